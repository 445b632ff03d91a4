package downstream

import (
	"fmt"
	"strconv"
	"time"

	"weirhaven/internal/engine"
	"weirhaven/internal/http1"
	"weirhaven/internal/httpgateway/metrics"
	"weirhaven/policy"
)

// writeResponse maps the engine's result to a status and writes the response. It reports whether the connection stays open.
func (c *conn) writeResponse(response engine.Response) bool {
	c.server.options.Recorder.Count(metrics.Responded, metrics.Reason(response.Result.String()))
	c.recordGiveUp(response.GiveUp)
	switch response.Result {
	case engine.Served:
		return c.respond(200, "", response.Body)
	case engine.Rejected: // safe to retry: the request did not run or is idempotent
		fields := ""
		if response.RetryAfter > 0 {
			fields = "Retry-After: " + strconv.FormatFloat(response.RetryAfter.Seconds(), 'f', 3, 64) + "\r\n"
		}
		return c.respond(503, fields, nil)
	case engine.Failed:
		if response.Reason != "" { // set only for a client error
			c.server.countBadRequest(500, response.Reason)
		}
		if response.MayHaveRun {
			return c.respond(504, "", nil)
		}
		return c.respond(500, "", nil)
	}
	return false
}

// recordGiveUp counts and logs the cause if the scheduler ended the request without a result.
func (c *conn) recordGiveUp(giveUp policy.GiveUp) {
	if giveUp == (policy.GiveUp{}) {
		return
	}
	recorder := c.server.options.Recorder
	recorder.Count(metrics.GivenUp, metrics.Reason(giveUp.Cause))
	recorder.Count(metrics.HeldBack, metrics.Reason(giveUp.Hold))
	c.server.options.Log.Debug("request given up", "request", c.pendingID, "cause", string(giveUp.Cause), "held_by", string(giveUp.Hold))
}

// statusTexts maps each status that the server writes to its reason phrase.
var statusTexts = map[int]string{200: "OK", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed", 408: "Request Timeout",
	409: "Conflict", 411: "Length Required", 413: "Content Too Large", 431: "Request Header Fields Too Large",
	500: "Internal Server Error", 501: "Not Implemented", 503: "Service Unavailable", 504: "Gateway Timeout",
	505: "HTTP Version Not Supported"}

// respond writes the pending response. fields are additional header lines. It reports whether the connection stays open.
func (c *conn) respond(status int, fields string, body []byte) bool {
	last := c.isLastResponse()
	message := make([]byte, 0, 256+len(fields)+min(len(body), maxCopiedBody))
	message = fmt.Appendf(message, "HTTP/1.1 %d %s\r\n%s", status, statusTexts[status], fields)
	if last {
		message = http1.AppendField(message, "Connection", "close")
	}
	if c.writeDeadline.IsZero() {
		c.writeDeadline = time.Now().Add(writeTimeout)
	}
	_ = c.nc.SetWriteDeadline(c.writeDeadline)
	c.writeDeadline = time.Time{}
	c.server.markWriting(c)
	if err := c.write(message, body); err != nil {
		c.clientGone, c.closeReason = true, metrics.WriteFailed
		return false
	}
	c.server.options.Log.Debug("response sent", "request", c.pendingID, "status", status, "last", last)
	c.pendingID = ""
	if last {
		c.closeReason = c.lastResponseCloseReason()
		c.lingeringClose()
	}
	return !last
}

// maxCopiedBody is the size in bytes up to which a body is copied, so that it is written together with its head.
const maxCopiedBody = 4 << 10

// write writes a response's head and body. While the write is blocked, others may take the memory of the body; the write then fails.
func (c *conn) write(head, body []byte) error {
	if c.bodyMemory != nil {
		c.bodyMemory.GiveWay(func() { _ = c.nc.SetWriteDeadline(pastDeadline) })
	}
	if len(body) <= maxCopiedBody {
		_, err := c.nc.Write(http1.AppendBody(head, body))
		return err
	}
	if _, err := c.nc.Write(http1.AppendLength(head, len(body))); err != nil {
		return err
	}
	_, err := c.nc.Write(body)
	return err
}

// isLastResponse reports whether the connection closes after the current response. Pipelined requests that were already read
// are served first, or refused once the shutdown's deadline has passed, unless the connection must close.
func (c *conn) isLastResponse() bool {
	switch {
	case c.mustClose:
		return true
	case c.lastResponse || c.server.draining.Load():
		if c.server.pastShutdownDeadline() {
			c.pipeline.stopped = true
			return !c.hasCompletePipelinedHead()
		}
		return !c.hasPipelined()
	}
	return false
}

func (c *conn) hasPipelined() bool { return c.reader.Buffered() > 0 || len(c.pipeline.buffered) > 0 }

// lastResponseCloseReason returns the reason for closing the connection after the response that was just written.
func (c *conn) lastResponseCloseReason() metrics.Reason {
	switch {
	case c.closeReason != "":
		return c.closeReason
	case c.mustClose:
		return metrics.ClientRequestedClose
	case c.server.draining.Load():
		return metrics.ShuttingDown
	}
	return metrics.Evicted
}
