package upstream

import (
	"context"
	"strconv"
	"time"

	"weirhaven/internal/engine"
	"weirhaven/internal/http1"
)

// attempt is an attempt until it is reported or canceled. What changes after Send is guarded by Pool.mu.
type attempt struct {
	id            uint64
	request       *engine.Request
	header, body  []byte        // the request's own, which drops its body with the final response
	deadline      time.Duration // on the loop's clock: the client, or the scheduler, waits no longer
	startBy       time.Duration // on the loop's clock: it must have begun by then; 0: no such limit
	reservedBytes int64         // of Pool.responseMemory

	ctx          context.Context
	cancel       context.CancelFunc // ends ctx when the attempt is canceled or reported
	conn         *conn              // that it is on; nil: it waits for one
	connectTimer *time.Timer        // while it waits
	started      bool               // its bytes are being written, or were
	reported     bool
}

// encode returns the attempt's bytes. remaining is the deadline that the endpoint is given, at least a millisecond.
func (a *attempt) encode(remaining time.Duration) []byte {
	message := make([]byte, 0, len(a.header)+96+len(a.body))
	message = append(message, a.header...)
	message = http1.AppendField(message, "X-Remaining-Ms", strconv.FormatInt(max(remaining.Milliseconds(), 1), 10))
	if len(a.body) > 0 || message[0] == 'P' { // a PUT has a length also where its body is empty
		return http1.AppendBody(message, a.body)
	}
	return append(message, "\r\n"...)
}
