package downstream

import (
	"errors"
	"io"
	"os"
	"time"

	"weirhaven/internal/engine"
	"weirhaven/internal/http1"
	"weirhaven/internal/httpgateway/metrics"
	"weirhaven/internal/httpgateway/socket"
)

// serveRequest reads one request, submits it and writes its response; it reports whether the connection goes on. The
// request's first byte came at arrivedAt on the loop's clock.
func (c *conn) serveRequest(arrivedAt time.Duration) bool {
	head, err := c.reader.Request()
	if err != nil {
		return c.rejectMalformed(err)
	}
	c.mustClose = head.Close
	if status, body, ok := c.server.serveAdminPath(head); ok {
		c.pendingID = anonymous
		return c.respond(status, "", body)
	}
	request, err := c.readRequest(head)
	if err != nil {
		return c.rejectMalformed(err)
	}
	request.ReceivedAt = arrivedAt
	c.server.limitToShutdown(request)
	return c.submit(request)
}

// readRequest makes a request of its head and reads its body. From its return on a response is owed.
func (c *conn) readRequest(head *http1.Head) (*engine.Request, error) {
	request, err := c.server.parseRequest(head)
	if err != nil {
		return nil, err
	}
	if head.Get("Expect") == "100-continue" && c.reader.Buffered() == 0 {
		_ = c.nc.SetWriteDeadline(time.Now().Add(writeTimeout))
		_, _ = io.WriteString(c.nc, "HTTP/1.1 100 Continue\r\n\r\n") // a broken connection fails the read of the body
	}
	if request.Body, err = c.reader.Body(head, maxBody); err != nil {
		return nil, err
	}
	c.pendingID = request.Trace
	if !c.mayFollow() {
		return nil, errTrailingBytes
	}
	return request, nil
}

// submit hands a request to the engine and writes its response; it reports whether the connection goes on.
func (c *conn) submit(request *engine.Request) bool {
	s, id := c.server, request.Trace
	if !s.admit(c) {
		c.lastResponse = true
		return c.shed(metrics.ConnectionLimit)
	}
	if !s.ids.claim(id) {
		return c.rejectMalformed(&http1.Error{Status: 409, Reason: "the id is in use or was a moment ago"})
	}
	request.Respond = func(response engine.Response) { // in the loop
		c.releaseBody, request.Release = request.Release, nil
		_ = c.nc.SetReadDeadline(longAgo) // first: whoever has the response sets the next deadline
		c.responses <- response           // has space for one
	}
	request.ClientClosed = func() bool { return socket.Peek(c.nc) == socket.Closed }
	if c.pipeline.err != nil { // the client has gone, as is known from behind what it sent
		s.ids.release(id, false)
		c.clientGone, c.closeReason = true, metrics.ClientClosed
		return false
	}
	c.inEngine = true
	_ = c.nc.SetReadDeadline(time.Time{}) // the engine answers every request within its deadline
	s.mu.Lock()
	s.counts.Requests++
	s.mu.Unlock()
	if !s.options.Loop.TryPost(func(core *engine.Core) { core.Submit(request) }) {
		c.inEngine = false
		s.ids.release(id, false)
		return c.shed(metrics.QueueFull)
	}
	s.options.Log.Debug("request received", "request", id, "class", request.Class, "plan", request.Plan, "units", request.Units, "timeout", request.Timeout)
	c.request = request
	return c.complete(request)
}

// complete waits for the response of a request that was submitted and writes it, or cancels the request if its client goes.
func (c *conn) complete(request *engine.Request) bool {
	err := c.awaitResponse()
	c.inEngine = false
	if err != nil {
		c.cancelRequest()
		if errors.Is(err, errTrailingBytes) {
			return c.rejectMalformed(err)
		}
		c.clientGone, c.closeReason = true, metrics.ClientClosed
		return false
	}
	c.request = nil
	response := <-c.responses
	c.server.ids.release(request.Trace, true)
	defer c.freeResponse()
	left := max(request.ReceivedAt+request.Timeout-c.server.options.Loop.Now(), 0)
	c.writeDeadline = time.Now().Add(left + writeTimeout)
	return c.writeResponse(response)
}

// awaitResponse reads ahead until the response is there. Requests that come meanwhile are kept for their turn, a bounded
// amount; an error tells that the client went away, also behind such requests, or sent what can't be one.
func (c *conn) awaitResponse() error {
	for {
		switch err := c.pipeline.readAhead(); {
		case err == nil:
			if !c.mayFollow() {
				return errTrailingBytes
			}
		case errors.Is(err, os.ErrDeadlineExceeded):
			return nil
		default:
			return err
		}
	}
}

// cancelRequest takes back the request in progress: its client has gone, or can't be served any more. It returns once the
// engine has done so, for from then on no response comes, or one lies in the channel and is freed.
func (c *conn) cancelRequest() {
	request, loop := c.request, c.server.options.Loop
	c.request = nil
	request.End(loop.Now())
	done := make(chan bool)
	if loop.PostUrgent(func(core *engine.Core) { core.ClientDisconnected(request); close(done) }) {
		select {
		case <-done:
			c.freeResponse()
		case <-loop.Done():
		}
	}
	c.server.ids.release(request.Trace, true)
}

// freeResponse gives back the memory that upstream reserved for the response's body.
func (c *conn) freeResponse() {
	if c.releaseBody != nil {
		c.releaseBody()
		c.releaseBody = nil
	}
}

// errTrailingBytes: a length was wrong, since what follows the body begins no request. What it hides might be another
// request, so nothing more is served on the connection.
var errTrailingBytes = &http1.Error{Status: 400, Reason: "bytes beyond the request"}

// mayFollow reports whether what came behind a request may be the next one.
func (c *conn) mayFollow() bool {
	prefix := c.reader.Peek(http1.MinRequestPrefix)
	return http1.MayStartRequest(append(prefix[:len(prefix):len(prefix)], c.pipeline.peek(http1.MinRequestPrefix-len(prefix))...))
}
