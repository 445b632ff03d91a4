package endpointconn

import (
	"math"
	"time"

	"weirhaven/internal/engine"
	"weirhaven/internal/lineproto"
)

// requestHeadroom is the size, in bytes, that the head of a RUN message seldom exceeds.
const requestHeadroom = 256

// notWritten is the offset of a message that was not handed to the sender: nothing of it can have been written.
const notWritten = math.MaxInt64

// outgoing is an attempt or a health check on its way to an endpoint. It is encoded when its connection is up: the endpoint is
// told the time that is left then.
type outgoing struct {
	id       uint64
	request  *engine.Request // nil: a health check
	body     []byte          // the request's own, which drops it with the final response
	attempt  int             // 0: the first
	deadline time.Time       // of an attempt
}

// size bounds the encoded message, in bytes, but for long names.
func (o *outgoing) size() int { return requestHeadroom + len(o.body) }

func (o *outgoing) encode() []byte {
	if o.request == nil {
		var m lineproto.Builder
		return m.Start(lineproto.VerbHealthCheck, o.id).End(nil).Buffer
	}
	m := lineproto.Builder{Buffer: make([]byte, 0, o.size())}
	m.Start(lineproto.VerbRequest, o.id).
		Text(lineproto.FieldVolume, o.request.Volume).
		Text(lineproto.FieldClass, o.request.Class).
		Text(lineproto.FieldObject, o.request.Object).
		Text(lineproto.FieldTag, o.request.Tag).
		Text(lineproto.FieldTrace, o.request.Trace).
		Int(lineproto.FieldShard, int64(o.request.Shard)).
		Float(lineproto.FieldUnits, o.request.Units).
		Duration(lineproto.FieldTimeout, max(time.Until(o.deadline), 0))
	if o.attempt > 0 {
		m.Int(lineproto.FieldAttempt, int64(o.attempt))
	}
	if o.request.Retry {
		m.Int(lineproto.FieldRetry, 1)
	}
	return m.End(o.body).Buffer
}
