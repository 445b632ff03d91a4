package upstream

import (
	"context"
	"strconv"
	"time"

	"weirhaven/internal/engine"
	"weirhaven/internal/http1"
)

// attempt is an attempt that is neither reported nor canceled. Pool.mu guards the fields that change after Send.
type attempt struct {
	id           uint64
	request      *engine.Request
	header, body []byte        // header and body of the request, which drops its body with the final response
	deadline     time.Duration // time on the loop's clock after which neither the client nor the scheduler waits
	startBy      time.Duration // time on the loop's clock before which the write must start; 0: no such limit
	memory       bodyMemory    // memory of the response

	ctx          context.Context
	cancel       context.CancelFunc // ends ctx when the attempt is canceled or reported
	conn         *conn              // assigned connection; nil: waiting for one
	connectTimer *time.Timer        // set while the attempt waits for a connection
	started      bool               // whether its write was started
	reported     bool
}

// maxCopiedBody is the size in bytes up to which a body is copied, so that it is written together with its head.
const maxCopiedBody = 4 << 10

// encode returns the attempt as an HTTP/1.1 request, in a head and a body that follows it. remaining is the time until the deadline; the
// endpoint gets it in milliseconds, at least one.
func (a *attempt) encode(remaining time.Duration) (head, body []byte) {
	message := make([]byte, 0, len(a.header)+96+min(len(a.body), maxCopiedBody))
	message = append(message, a.header...)
	message = http1.AppendField(message, "X-Remaining-Ms", strconv.FormatInt(max(remaining.Milliseconds(), 1), 10))
	switch {
	case len(a.body) > maxCopiedBody:
		return http1.AppendLength(message, len(a.body)), a.body
	case len(a.body) > 0 || message[0] == 'P': // a PUT has a length even if its body is empty
		return http1.AppendBody(message, a.body), nil
	}
	return append(message, "\r\n"...), nil
}
