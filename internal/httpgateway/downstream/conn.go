package downstream

import (
	"bytes"
	"container/list"
	"errors"
	"net"
	"os"
	"runtime/debug"
	"time"

	"weirhaven/internal/engine"
	"weirhaven/internal/http1"
	"weirhaven/internal/httpgateway/metrics"
	"weirhaven/internal/httpgateway/socket"
)

// conn is one client connection. It is owned by one goroutine, run, which alone closes it. While a request is in progress
// that goroutine waits in a read, so that a client which disconnects is noticed; the response wakes it through the read
// deadline.
type conn struct {
	server    *Server
	nc        net.Conn
	pipeline  *pipelineBuffer
	reader    *http1.Reader
	responses chan engine.Response // holds one; the loop never blocks on it

	requestDeadline time.Time     // the request being read must be whole by then; zero: none is being read
	writeDeadline   time.Time     // the response must be received by then; zero: writeTimeout from now
	acceptDelay     time.Duration // the connection may have waited so long, with its first request, to be accepted
	mustClose       bool          // the client asked for it, or its bytes can't be trusted any more
	lastResponse    bool          // its next response is the last
	inEngine        bool          // a request was submitted and has no response yet
	releaseBody     func()        // of the response; set in the loop before the response is handed over

	// What finish checks: a request that was read whole is owed a response, unless its client has gone.
	pendingID   string          // of the request that is owed one; empty: none is
	request     *engine.Request // submitted and neither answered nor canceled
	clientGone  bool
	closeReason metrics.Reason

	// Guarded by Server.mu.
	list         *list.List // that it stands in
	element      *list.Element
	stateSince   time.Time
	inProgress   bool
	retired      bool // asked to end
	retireReason metrics.Reason
}

// retiredRequestTimeout is how long a request that has begun when its connection is retired may take to become whole.
const retiredRequestTimeout = 100 * time.Millisecond

// longAgo as a deadline ends a read at once.
var longAgo = time.Unix(1, 0)

func newConn(s *Server, nc net.Conn) *conn {
	c := &conn{server: s, nc: nc, responses: make(chan engine.Response, 1), requestDeadline: time.Now().Add(requestTimeout)}
	c.pipeline = &pipelineBuffer{source: c, now: s.options.Loop.Now, sharedFree: &s.readAheadFree}
	c.reader = http1.NewReader(c.pipeline)
	return c
}

func (c *conn) run() {
	defer c.finish()
	for c.serveNext() {
	}
}

// serveNext waits for a request and serves it; it reports whether the connection goes on.
func (c *conn) serveNext() bool {
	if err := c.reader.Await(); err != nil && !c.endWithoutRequest(err) {
		return false
	}
	arrivedAt := c.pipeline.arrivalTime(c.reader.Buffered()) - c.acceptDelay
	c.acceptDelay = 0
	c.startRequestTimeout()
	if !c.serveRequest(arrivedAt) {
		return false
	}
	c.requestDeadline = time.Time{}
	c.server.moveTo(c, idle, time.Now().Add(idleTimeout))
	return true
}

// startRequestTimeout sets by when the request that has begun must be whole.
func (c *conn) startRequestTimeout() {
	if c.requestDeadline.IsZero() {
		c.requestDeadline = time.Now().Add(requestTimeout)
	}
	if c.server.startLastRequest(c) {
		c.lastResponse = true
		return
	}
	c.server.moveTo(c, reading, c.requestDeadline)
}

// endWithoutRequest ends a connection on which no request has begun; it reports whether one has begun in its last moment,
// which is to be served.
func (c *conn) endWithoutRequest(err error) (requestBegun bool) {
	switch {
	case errors.Is(err, errPipelineLimit):
		c.shedPipelined()
	case errors.Is(err, os.ErrDeadlineExceeded):
		reason, retired := c.server.retirement(c)
		if retired && c.isFresh() {
			c.closeReason = reason
			return c.awaitFirstRequest()
		}
		c.closeReason = metrics.IdleTimeout
		if retired {
			c.closeReason = reason
		}
		c.halfClose()
	default:
		c.clientGone, c.closeReason = true, metrics.ClientClosed
	}
	return false
}

// Read reads from the socket. A deadline ends a connection only where its receive buffer is empty: were a request left in it
// that arrived in the moment of an eviction or a shutdown, its client would get a reset for it in place of a response.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.nc.Read(p)
	if n > 0 || c.inEngine || !errors.Is(err, os.ErrDeadlineExceeded) || socket.Peek(c.nc) == socket.Empty {
		return n, err
	}
	_ = c.nc.SetReadDeadline(time.Time{}) // what is there is read without waiting
	n, err = c.nc.Read(p)
	_ = c.nc.SetReadDeadline(longAgo)
	return n, err
}

// finish is the one place where a client connection is closed. It checks that no response is owed on it.
func (c *conn) finish() {
	if cause := recover(); cause != nil {
		c.handlePanic(cause)
	}
	_ = c.nc.Close() // at once: what arrives between the last look into the receive buffer and here is reset
	c.checkNothingOwed()
	c.server.options.Recorder.Count(metrics.Closed, c.closeReason)
	c.server.options.Log.Debug("client connection closed", "client", c.nc.RemoteAddr().String(), "reason", string(c.closeReason), "request", c.pendingID)
	c.pipeline.release()
	c.freeResponse()
	c.server.remove(c)
}

// checkNothingOwed counts a violation where the connection is closed over a request that was read, or over a pipelined one
// that nobody asked to drop.
func (c *conn) checkNothingOwed() {
	recorder := c.server.options.Recorder
	switch {
	case c.clientGone:
	case c.pendingID != "":
		recorder.RecordViolation(metrics.OneResponse, c.pendingID, "closed without a response: "+string(c.closeReason))
	case c.mayDropPipelined():
	case c.hasWholePipelinedHead():
		recorder.RecordViolation(metrics.OneResponse, "pipelined", "closed over a request that was read: "+string(c.closeReason))
	}
}

// mayDropPipelined reports whether pipelined requests are rightly not served.
func (c *conn) mayDropPipelined() bool {
	switch c.closeReason {
	case metrics.ClientRequestedClose, metrics.BadRequest, metrics.PipelineLimit:
		return true
	}
	return false
}

// hasWholePipelinedHead reports whether a pipelined request was read whose head is whole.
func (c *conn) hasWholePipelinedHead() bool {
	unparsed := c.reader.Peek(c.reader.Buffered())
	return bytes.Contains(append(unparsed[:len(unparsed):len(unparsed)], c.pipeline.buffered...), []byte("\r\n\r\n"))
}

// handlePanic answers what is owed after a fault of this program on this connection. The fault must not end the process: all
// other clients would lose their requests with it.
func (c *conn) handlePanic(cause any) {
	c.closeReason = metrics.Panicked
	c.server.options.Log.Error("panic while serving a client", "request", c.pendingID, "cause", cause, "stack", string(debug.Stack()))
	if c.request != nil {
		c.cancelRequest()
	}
	if c.pendingID != "" {
		c.mustClose = true
		c.respond(500, "", nil)
	}
}
