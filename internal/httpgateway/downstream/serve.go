package downstream

import (
	"errors"
	"io"
	"os"
	"time"

	"weirhaven/internal/engine"
	"weirhaven/internal/http1"
	"weirhaven/internal/httpgateway/membudget"
	"weirhaven/internal/httpgateway/metrics"
	"weirhaven/internal/httpgateway/socket"
)

// serveRequest reads one request, submits it and writes its response. It reports whether the connection stays open.
// arrivedAt is the arrival time of the request's first byte, on the loop's clock.
func (c *conn) serveRequest(arrivedAt time.Duration) bool {
	head, err := c.reader.Request()
	if err != nil {
		return c.rejectMalformed(err)
	}
	c.mustClose = head.Close
	if status, body, ok := c.server.serveAdminPath(head); ok {
		c.pendingID = adminRequestID
		c.endTurn() // the client may read nothing
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

// readRequest builds a request from its head and reads its body. Once it succeeds a response is pending.
func (c *conn) readRequest(head *http1.Head) (*engine.Request, error) {
	if err := c.charge(head.Size() + requestOverhead); err != nil {
		return nil, err
	}
	request, err := c.server.parseRequest(head)
	if err != nil {
		return nil, err
	}
	if head.Length > 0 && !c.memory.HasRoom(int(head.Length)) { // refused before it is read
		return nil, membudget.ErrExhausted
	}
	if head.Get("Expect") == "100-continue" && c.reader.Buffered() == 0 {
		_ = c.nc.SetWriteDeadline(time.Now().Add(writeTimeout))
		_, _ = io.WriteString(c.nc, "HTTP/1.1 100 Continue\r\n\r\n") // an error is ignored: reading the body then fails
	}
	if request.Body, err = c.reader.Body(head, maxBody); err != nil {
		return nil, err
	}
	c.charged += cap(request.Body) // charged by the reader
	c.reader.ReleaseHead()
	c.pendingID = request.Trace
	if !c.nextBytesMayBeRequest() {
		return nil, errTrailingBytes
	}
	return request, nil
}

// submit submits a request to the engine and writes its response. It reports whether the connection stays open.
func (c *conn) submit(request *engine.Request) bool {
	s, id := c.server, request.Trace
	if c.pipeline.stopped {
		return c.shed(metrics.ShuttingDown)
	}
	if err := c.readReceived(); err != nil {
		return c.rejectMalformed(err)
	}
	c.memory.SetYield(membudget.ToNobody)
	if !s.admit(c) {
		c.lastResponse = true
		return c.shed(metrics.ConnectionLimit)
	}
	switch err := s.ids.claim(id); {
	case errors.Is(err, errTooManyIDs):
		return c.shed(metrics.IDLimit)
	case err != nil:
		return c.rejectMalformed(&http1.Error{Status: 409, Reason: "duplicate request id"})
	}
	request.Respond = func(response engine.Response) { // in the loop
		c.bodyMemory, request.BodyMemory = request.BodyMemory, nil
		_ = c.nc.SetReadDeadline(pastDeadline) // before the send: the receiver of the response sets the next deadline
		c.responses <- response                // doesn't block: the buffer holds one
	}
	request.ClientClosed = c.clientClosed
	if c.pipeline.err != nil || c.clientClosed() { // the client disconnected after it had sent this request
		s.ids.release(id, false)
		c.clientGone, c.closeReason = true, metrics.ClientClosed
		return false
	}
	c.limitTurn()
	c.inEngine = true
	_ = c.nc.SetReadDeadline(time.Time{}) // no deadline: the engine answers every request in time
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

const (
	// muchReceived is the number of bytes behind a request from which on more may follow at once.
	muchReceived = 16 << 10
	// moreComesWithin is the time for which that is waited for.
	moreComesWithin = 5 * time.Millisecond
)

// readReceived reads ahead what the client has sent behind the present request. The close of a client that has sent much can't even
// arrive before that is read: its request must not begin. It returns errPipelineLimit if there is far too much.
func (c *conn) readReceived() error {
	before := c.pipeline.received
	for c.pipeline.err == nil {
		if socket.Peek(c.nc) != socket.Unread {
			if c.pipeline.received-before < muchReceived {
				return nil
			}
			_ = c.nc.SetReadDeadline(time.Now().Add(moreComesWithin)) // a broken connection fails the read
		}
		switch err := c.pipeline.readAhead(); {
		case errors.Is(err, errPipelineFlood):
			return errPipelineLimit
		case errors.Is(err, os.ErrDeadlineExceeded):
			return nil
		}
	}
	return nil
}

// clientClosed reports whether the client has closed its connection, also behind bytes that were not read yet.
func (c *conn) clientClosed() bool {
	switch socket.Peek(c.nc) {
	case socket.Closed:
		return true
	case socket.Unread:
		return socket.PeerClosed(c.nc, c.wasEstablished)
	}
	return false
}

// complete waits for the response to a submitted request and writes it. It cancels the request if the client disconnects or
// sends invalid bytes.
func (c *conn) complete(request *engine.Request) bool {
	err := c.awaitResponse()
	c.inEngine = false
	if err != nil {
		c.cancelRequest()
		if errors.Is(err, errTrailingBytes) || errors.Is(err, errPipelineFlood) {
			return c.rejectMalformed(err)
		}
		c.clientGone, c.closeReason = true, metrics.ClientClosed
		return false
	}
	c.request = nil
	response := <-c.responses
	c.endTurn()
	c.proven = c.proven || response.Result == engine.Served
	c.server.ids.release(request.Trace, true)
	defer c.releaseResponseBody()
	c.releaseRequest()
	left := max(request.ReceivedAt+request.Timeout-c.server.options.Loop.Now(), 0)
	c.writeDeadline = time.Now().Add(left + writeTimeout)
	return c.writeResponse(response)
}

// awaitResponse reads ahead until the response is available. It buffers a bounded amount of pipelined requests meanwhile. It
// returns an error if the client disconnects, even after pipelined requests, or sends bytes that can't start a request.
func (c *conn) awaitResponse() error {
	for {
		switch err := c.pipeline.readAhead(); {
		case err == nil:
			if !c.nextBytesMayBeRequest() {
				return errTrailingBytes
			}
		case errors.Is(err, os.ErrDeadlineExceeded):
			return nil
		default:
			return err
		}
	}
}

// cancelRequest cancels the request in progress. It returns once the engine has canceled it: after that no further response
// is sent, and the body of one that was already sent is released.
func (c *conn) cancelRequest() {
	request, loop := c.request, c.server.options.Loop
	c.request = nil
	request.End(loop.Now())
	done := make(chan bool)
	if loop.PostUrgent(func(core *engine.Core) { core.ClientDisconnected(request); close(done) }) {
		select {
		case <-done:
			c.releaseResponseBody()
		case <-loop.Done():
		}
	}
	c.server.ids.release(request.Trace, true)
}

// releaseResponseBody releases the memory that upstream reserved for the response's body.
func (c *conn) releaseResponseBody() {
	if c.bodyMemory != nil {
		c.bodyMemory.Release()
		c.bodyMemory = nil
	}
}

// errTrailingBytes reports that the bytes after a body don't start a request, so the body's length was wrong. They might hide
// a request, so the connection is not used any further.
var errTrailingBytes = &http1.Error{Status: 400, Reason: "unexpected bytes after the request"}

// nextBytesMayBeRequest reports whether the bytes received after the current request may start the next one.
func (c *conn) nextBytesMayBeRequest() bool {
	prefix := c.reader.Peek(http1.MinRequestPrefix)
	return http1.MayStartRequest(append(prefix[:len(prefix):len(prefix)], c.pipeline.peek(http1.MinRequestPrefix-len(prefix))...))
}
