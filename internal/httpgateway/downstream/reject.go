package downstream

import (
	"errors"
	"os"

	"weirhaven/internal/http1"
	"weirhaven/internal/httpgateway/membudget"
	"weirhaven/internal/httpgateway/metrics"
)

// shed answers a request with 503 without submitting it to the scheduler, so the client may safely retry it.
func (c *conn) shed(reason metrics.Reason) bool {
	c.server.countShed(reason)
	c.endTurn() // the client may read nothing
	return c.respond(503, "", nil)
}

// shedPipelined answers the first of the pipelined requests that were discarded at the buffer limit with 503 and closes the
// connection.
func (c *conn) shedPipelined() {
	c.mustClose = true
	c.holdBack()
	c.server.countShed(metrics.PipelineLimit)
	c.respond(503, "", nil)
	c.closeReason = metrics.PipelineLimit
}

// rejectMalformed answers a malformed or incomplete request with an error status, unless the client has disconnected, and
// closes the connection: after a malformed request the start of the next one is unknown. One that there is no memory for is shed.
// It returns false.
func (c *conn) rejectMalformed(err error) bool {
	var malformed *http1.Error
	c.mustClose, c.closeReason = true, metrics.BadRequest
	c.dropInput()
	switch {
	case errors.Is(err, membudget.ErrExhausted), errors.Is(err, os.ErrDeadlineExceeded) && c.gaveWay():
		c.closeReason = metrics.MemoryLimit
		c.holdBack()
		return c.shed(metrics.MemoryLimit)
	case errors.As(err, &malformed):
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.closeReason = metrics.RequestTimeout
		malformed = &http1.Error{Status: 408, Reason: "request incomplete at its timeout"}
	case errors.Is(err, errPipelineLimit):
		c.shedPipelined()
		return false
	default: // the client closed the connection in the middle of the request
		c.clientGone, c.closeReason = true, metrics.ClientClosed
		return false
	}
	c.holdBack()
	c.server.countBadRequest(malformed.Status, malformed.Reason)
	return c.respond(malformed.Status, "", nil)
}
