package endpointconn

import (
	"math"
	"time"

	"weirhaven/internal/engine"
	"weirhaven/internal/lineproto"
)

// requestHeadroom is the assumed size of a RUN message's head, in bytes, which heads rarely exceed.
const requestHeadroom = 256

// notWritten is the offset of a message that was not passed to the sender, so that no byte of it can have been written.
const notWritten = math.MaxInt64

// outgoing is an attempt or a health check to be sent to an endpoint. It is encoded only after the connection is established,
// so that the timeout it carries is the time left then.
type outgoing struct {
	id       uint64
	request  *engine.Request // nil for a health check
	body     []byte          // body of the request, kept here since the request drops it with the final response
	attempt  int             // attempt number; 0: the first
	deadline time.Time       // deadline of the attempt
}

// size estimates the size of the encoded message, in bytes; messages with long names are larger.
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
