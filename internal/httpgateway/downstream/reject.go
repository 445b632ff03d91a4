package downstream

import (
	"errors"
	"os"

	"weirhaven/internal/http1"
	"weirhaven/internal/httpgateway/metrics"
)

// shed answers 503 to a request that the scheduler has not seen; the client may retry it without harm.
func (c *conn) shed(reason metrics.Reason) bool {
	c.server.countShed(reason)
	return c.respond(503, "", nil)
}

// shedPipelined answers the first of the requests that were dropped since more came at once than is kept, and ends the
// connection.
func (c *conn) shedPipelined() {
	c.mustClose = true
	c.server.countShed(metrics.PipelineLimit)
	c.respond(503, "", nil)
	c.closeReason = metrics.PipelineLimit
}

// rejectMalformed answers what can't be a request, if there is anything to answer, and ends the connection: where a request
// is malformed it isn't known where the next one begins. It returns false.
func (c *conn) rejectMalformed(err error) bool {
	var malformed *http1.Error
	c.mustClose, c.closeReason = true, metrics.BadRequest
	switch {
	case errors.As(err, &malformed):
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.closeReason = metrics.RequestTimeout
		malformed = &http1.Error{Status: 408, Reason: "not whole in time"}
	case errors.Is(err, errPipelineLimit):
		c.shedPipelined()
		return false
	default: // the client closed the connection in the middle of the request
		c.clientGone, c.closeReason = true, metrics.ClientClosed
		return false
	}
	c.server.countBadRequest(malformed.Status, malformed.Reason)
	return c.respond(malformed.Status, "", nil)
}
