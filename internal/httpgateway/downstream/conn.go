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
	"weirhaven/internal/httpgateway/membudget"
	"weirhaven/internal/httpgateway/metrics"
	"weirhaven/internal/httpgateway/socket"
)

// conn is one client connection. One goroutine, run, owns it, and only that goroutine closes it. While a request is in
// progress the goroutine blocks in a read, so that it detects a disconnect; a response wakes it by means of the read
// deadline.
type conn struct {
	server    *Server
	nc        net.Conn
	memory    *membudget.Account // what the requests of the connection hold
	pipeline  *pipelineBuffer
	reader    *http1.Reader
	responses chan engine.Response // buffer of one, so that the loop never blocks on it
	// retirements signals, with a buffer of one, that the connection was retired.
	retirements chan struct{}

	requestDeadline time.Time         // time by which the request being read must be complete; zero: none is being read
	writeDeadline   time.Time         // time by which the response must be written; zero: writeTimeout from now
	wasEstablished  bool              // the connection was open when it was accepted, as far as the system tells
	readableAt      time.Duration     // time on the loop's clock at which the bytes of the present read had come; 0: when they are read
	acceptDelay     time.Duration     // estimate of the time that the connection waited in the accept queue
	mustClose       bool              // true: the client requested the close, or its input is malformed
	lastResponse    bool              // true: the connection closes after the next response
	inEngine        bool              // true: a submitted request has no response yet
	bodyMemory      engine.BodyMemory // memory of the response's body; set in the loop before the response is sent on responses

	// State that finish checks: a request that was read completely gets a response unless its client has disconnected.
	charged     int             // bytes of memory that the present request holds, beside what reader holds
	pendingID   string          // id of the request whose response is pending; empty: none
	request     *engine.Request // submitted request that is neither answered nor canceled
	proven      bool            // true: the engine has served a request of the connection
	needsTurn   *turns          // what limits the work on the present request; nil: nothing
	turn        *heldTurn       // nil: none
	heldBack    bool            // true: an error was held back
	clientGone  bool            // true: the client has disconnected
	closeReason metrics.Reason

	// Guarded by Server.mu.
	list         *list.List // list of the Server that contains element
	element      *list.Element
	stateSince   time.Time
	inProgress   bool
	retired      bool // true: run was told to close the connection, see Server.retire
	retireReason metrics.Reason
}

// retiredRequestTimeout is the time within which a request must be complete if it had begun when its connection was retired.
const retiredRequestTimeout = 100 * time.Millisecond

// pastDeadline is a deadline that interrupts a read at once.
var pastDeadline = time.Unix(1, 0)

func newConn(s *Server, nc net.Conn) *conn {
	c := &conn{server: s, nc: nc, responses: make(chan engine.Response, 1), retirements: make(chan struct{}, 1), requestDeadline: time.Now().Add(requestTimeout)}
	c.wasEstablished = socket.Established(nc)
	c.memory = s.options.RequestMemory.Open(func() { s.giveWay(c) })
	c.pipeline = &pipelineBuffer{source: c, now: c.arrivalNow, memory: s.options.ReadAheadMemory.Open(nil)}
	c.reader = http1.NewReaderWithMemory(c.pipeline, requestMemory{c})
	return c
}

// arrivalNow returns the time, on the loop's clock, at which the bytes that were just read had come.
func (c *conn) arrivalNow() time.Duration {
	if c.readableAt > 0 {
		return c.readableAt
	}
	return c.server.options.Loop.Now()
}

func (c *conn) run() {
	defer c.finish()
	for c.serveNext() {
	}
}

// serveNext waits for a request and serves it. It reports whether the connection stays open.
func (c *conn) serveNext() bool {
	follows := c.hasPipelined()
	if err := c.reader.Await(); err != nil && !c.handleAwaitError(err) {
		return false
	}
	c.beginTurn(follows)
	arrivedAt := c.pipeline.arrivalTime(c.reader.Buffered()) - c.acceptDelay
	c.acceptDelay = 0
	c.startRequestTimeout()
	if !c.serveRequest(arrivedAt) {
		return false
	}
	c.requestDeadline = time.Time{}
	c.endTurn()
	c.memory.SetYield(membudget.ToNobody)
	c.server.moveTo(c, idle, time.Now().Add(idleTimeout))
	return true
}

// startRequestTimeout sets the deadline by which the request that has begun must be complete.
func (c *conn) startRequestTimeout() {
	if c.requestDeadline.IsZero() {
		c.requestDeadline = time.Now().Add(requestTimeout)
	}
	if c.server.extendForLastRequest(c) {
		c.lastResponse = true
		return
	}
	c.memory.SetYield(membudget.ToSmaller)
	c.server.moveTo(c, reading, c.requestDeadline)
}

// handleAwaitError handles an error of the wait for a request. It closes the sending side of the connection where that is
// called for. It reports whether a request began within the grace period of a retired connection and has to be served.
func (c *conn) handleAwaitError(err error) (requestBegun bool) {
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

// Read reads from the socket. It returns a deadline error only if the receive buffer is empty. Otherwise a request that
// arrived just as its connection was evicted or the server shut down would be answered by a reset.
func (c *conn) Read(p []byte) (int, error) {
	c.readableAt = 0
	if !c.inEngine && c.needsTurn != nil {
		c.awaitTurnToRead()
	}
	n, err := c.nc.Read(p)
	if n > 0 || c.inEngine || !errors.Is(err, os.ErrDeadlineExceeded) || socket.Peek(c.nc) == socket.Empty {
		return n, err
	}
	_ = c.nc.SetReadDeadline(time.Time{}) // the read returns the buffered bytes without blocking
	n, err = c.nc.Read(p)
	_ = c.nc.SetReadDeadline(pastDeadline)
	return n, err
}

// finish closes the connection; nothing else does. It checks that no response is pending.
func (c *conn) finish() {
	if cause := recover(); cause != nil {
		c.handlePanic(cause)
	}
	c.endTurn()
	_ = c.nc.Close() // before the checks: bytes that arrive between the last check of the receive buffer and here are answered by a reset
	c.checkNoPendingResponse()
	c.server.options.Recorder.Count(metrics.Closed, c.closeReason)
	c.server.options.Log.Debug("client connection closed", "client", c.nc.RemoteAddr().String(), "reason", string(c.closeReason), "request", c.pendingID)
	c.pipeline.close()
	c.memory.Close()
	c.releaseResponseBody()
	c.server.remove(c)
}

// checkNoPendingResponse records a violation if the connection is closed before the response to a request that was read, or
// with a pipelined request that may not be dropped.
func (c *conn) checkNoPendingResponse() {
	recorder := c.server.options.Recorder
	switch {
	case c.clientGone:
	case c.pendingID != "":
		recorder.RecordViolation(metrics.OneResponse, c.pendingID, "closed without a response: "+string(c.closeReason))
	case c.mayDropPipelined():
	case c.hasCompletePipelinedHead():
		recorder.RecordViolation(metrics.OneResponse, "pipelined", "closed over a request that was read: "+string(c.closeReason))
	}
}

// mayDropPipelined reports whether the connection may be closed without serving its pipelined requests.
func (c *conn) mayDropPipelined() bool {
	switch c.closeReason {
	case metrics.ClientRequestedClose, metrics.BadRequest, metrics.PipelineLimit, metrics.MemoryLimit:
		return true
	}
	return false
}

// hasCompletePipelinedHead reports whether the complete head of a pipelined request was read.
func (c *conn) hasCompletePipelinedHead() bool {
	unparsed := c.reader.Peek(c.reader.Buffered())
	return bytes.Contains(append(unparsed[:len(unparsed):len(unparsed)], c.pipeline.buffered...), []byte("\r\n\r\n"))
}

// handlePanic answers a pending request with status 500 after a panic on this connection. The panic must not end the process,
// since all other clients would lose their requests.
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
