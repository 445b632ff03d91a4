package downstream

import (
	"bytes"
	"container/list"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"runtime/debug"
	"strconv"
	"time"

	"weirhaven/internal/engine"
	"weirhaven/internal/http1"
	"weirhaven/internal/httpgateway/metrics"
	"weirhaven/internal/httpgateway/socket"
)

// conn is one client connection, owned by one goroutine, which alone closes it. While a request is in progress, that
// goroutine is parked in a read, so that a client that goes away is noticed; the answer wakes it by the read's deadline.
type conn struct {
	server   *Server
	nc       net.Conn
	pipeline *pipelineBuffer
	in       *http1.Reader
	answers  chan engine.Response
	deadline time.Time     // the request being read must be whole
	until    time.Time     // the answer must be taken; zero: write from now
	queued   time.Duration // it may have waited so long, with its first request, to be accepted
	closing  bool          // by the client's word, or since its bytes can't be trusted
	waiting  bool          // a request is in progress
	release  func()        // of the answer's body; set in the loop before the answer is handed over

	// What finish checks: a request that was read whole is owed an answer, unless its client has gone.
	pendingID   string // the request's id
	task        *engine.Request
	clientGone  bool
	closeReason metrics.Reason // why the connection ends
	answered    bool           // its last answer was written just now

	last bool // its next answer is the last

	// Under front.mu.
	list       *list.List // of its place
	element    *list.Element
	since      time.Time // when it came there
	busy       bool
	retired    bool // asked to end
	retiredFor metrics.Reason
}

// retiredReading is how long a request that has begun when its connection is retired may take to become whole.
const retiredReading = 100 * time.Millisecond

// anonymous stands for the id of a request that has none.
const anonymous = "-"

var longAgo = time.Unix(1, 0)

func newConn(f *Server, nc net.Conn) *conn {
	c := &conn{server: f, nc: nc, answers: make(chan engine.Response, 1), deadline: time.Now().Add(requestTimeout)}
	c.pipeline = &pipelineBuffer{r: c, now: f.options.Loop.Now, room: &f.room}
	c.in = http1.NewReader(c.pipeline)
	return c
}

func (c *conn) run() {
	defer c.finish()
	for c.serveOne() {
	}
}

// finish is the one place where a client's connection is closed. It checks that nothing is owed on it.
func (c *conn) finish() {
	if cause := recover(); cause != nil {
		c.panicked(cause)
	}
	switch record := c.server.options.Recorder; {
	case c.clientGone:
	case c.pendingID != "":
		record.RecordViolation(metrics.OneResponse, c.pendingID, "closed without an answer: "+string(c.closeReason))
	case c.closeReason != metrics.ClientRequestedClose && c.closeReason != metrics.BadRequest && c.closeReason != metrics.PipelineLimit && c.hasWholeFollower():
		record.RecordViolation(metrics.OneResponse, "pipelined", "closed over a request that was read: "+string(c.closeReason))
	}
	c.server.options.Recorder.Count(metrics.Closed, c.closeReason)
	c.server.options.Log.Debug("closed", "client", c.nc.RemoteAddr().String(), "reason", string(c.closeReason), "request", c.pendingID)
	c.pipeline.close()
	c.free()
	c.nc.Close()
	c.server.closed(c)
}

// hasWholeFollower reports whether a pipelined request was read whose head is whole.
func (c *conn) hasWholeFollower() bool {
	unparsed := c.in.Peek(c.in.Buffered())
	return bytes.Contains(append(unparsed[:len(unparsed):len(unparsed)], c.pipeline.buffered...), []byte("\r\n\r\n"))
}

// panicked answers what is owed after a fault of this program on this connection, which must not end the others.
func (c *conn) panicked(cause any) {
	c.closeReason = metrics.Panicked
	c.server.options.Log.Error("panic while serving a client", "request", c.pendingID, "cause", cause, "stack", string(debug.Stack()))
	if c.task != nil {
		c.withdraw()
	}
	if c.pendingID != "" {
		c.closing = true
		c.respond(500, "", nil)
	}
}

// Read reads from the socket. A deadline ends a connection only when its receive buffer is empty: a request that has come
// is served, whatever made the connection end.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.nc.Read(p)
	if n > 0 || c.waiting || !errors.Is(err, os.ErrDeadlineExceeded) || socket.Peek(c.nc) == socket.Empty {
		return n, err
	}
	c.nc.SetReadDeadline(time.Time{}) // what is there is read at once
	n, err = c.nc.Read(p)
	c.nc.SetReadDeadline(longAgo)
	return n, err
}

// serveOne waits for a request and serves it; it tells whether the connection goes on.
func (c *conn) serveOne() bool {
	if err := c.in.Await(); err != nil {
		c.endIdle(err)
		return false
	}
	arrived := c.pipeline.arrived(c.in.Buffered()) - c.queued
	c.queued = 0
	c.startReading()
	if !c.request(arrived) {
		return false
	}
	c.deadline = time.Time{}
	c.server.moveTo(c, resting, time.Now().Add(idleTimeout))
	return true
}

// startReading sets until when the request that has begun must be whole.
func (c *conn) startReading() {
	if c.deadline.IsZero() {
		c.deadline = time.Now().Add(requestTimeout)
	}
	if _, retired := c.server.whyRetired(c); retired {
		c.last = true
		c.nc.SetReadDeadline(time.Now().Add(retiredReading))
		return
	}
	c.server.moveTo(c, reading, c.deadline)
}

// endIdle ends a connection on which no request has begun.
func (c *conn) endIdle(err error) {
	switch {
	case errors.Is(err, errCut):
		c.refuseRest()
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.closeReason = metrics.IdleTimeout
		if why, retired := c.server.whyRetired(c); retired {
			c.closeReason = why
		}
		c.lingeringClose()
	default:
		c.clientGone, c.closeReason = true, metrics.ClientClosed
	}
}

// refuseRest answers the first of the requests that were dropped since more came at once than is kept.
func (c *conn) refuseRest() {
	c.closing = true
	c.server.countShed(metrics.PipelineLimit)
	c.respond(503, "", nil)
	c.closeReason = metrics.PipelineLimit
}

// request serves one; it tells whether the connection goes on.
func (c *conn) request(arrived time.Duration) bool {
	f := c.server
	h, err := c.in.Request()
	if err != nil {
		return c.fault(err)
	}
	c.closing = h.Close
	if h.Method == "GET" && h.Length == 0 {
		var body bytes.Buffer
		if status, ok := f.probe(h.Target, &body); ok {
			c.pendingID = anonymous
			return c.respond(status, "", body.Bytes())
		}
	}
	t, id, err := f.task(h)
	if err != nil {
		return c.fault(err)
	}
	if h.Get("Expect") == "100-continue" && c.in.Buffered() == 0 {
		c.nc.SetWriteDeadline(time.Now().Add(writeTimeout))
		io.WriteString(c.nc, "HTTP/1.1 100 Continue\r\n\r\n")
	}
	if t.Body, err = c.in.Body(h, maxBody); err != nil {
		return c.fault(err)
	}
	c.pendingID = id
	if !c.ordered() {
		return c.fault(errBeyond)
	}
	t.ReceivedAt = arrived
	if until := time.Duration(f.until.Load()); until > 0 {
		t.Timeout = max(min(t.Timeout, until-arrived), 1)
	}
	return c.serve(t)
}

// serve hands a task to the loop and passes its answer on.
func (c *conn) serve(t *engine.Request) bool {
	f, id := c.server, t.Trace
	if !f.admit(c) {
		c.last = true
		return c.refuse(metrics.ConnectionLimit)
	}
	if !f.ids.claim(id) {
		return c.fault(&http1.Error{Status: 409, Reason: "the id is in use or was a moment ago"})
	}
	t.Respond = func(a engine.Response) {
		c.release, t.Release = t.Release, nil
		c.nc.SetReadDeadline(longAgo) // first: whoever has the answer sets the next deadline
		c.answers <- a                // takes one without waiting
	}
	t.ClientClosed = func() bool { return socket.Peek(c.nc) == socket.Closed }
	if c.pipeline.err != nil { // the client has gone, as is known from behind what it sent
		f.ids.release(id, false)
		c.clientGone, c.closeReason = true, metrics.ClientClosed
		return false
	}
	c.waiting = true
	c.nc.SetReadDeadline(time.Time{}) // the loop answers every request within its deadline
	f.mu.Lock()
	f.counts.Requests++
	f.mu.Unlock()
	if !f.options.Loop.TryPost(func(core *engine.Core) { core.Submit(t) }) {
		c.waiting = false
		f.ids.release(id, false)
		return c.refuse(metrics.QueueFull)
	}
	f.options.Log.Debug("taken", "request", id, "class", t.Class, "plan", t.Plan, "units", t.Units, "left", t.Timeout)
	c.task = t
	err := c.wait()
	c.waiting = false
	if err != nil {
		c.withdraw()
		if err == errBeyond {
			return c.fault(err)
		}
		c.clientGone, c.closeReason = true, metrics.ClientClosed
		return false
	}
	c.task = nil
	a := <-c.answers
	f.ids.release(id, true)
	defer c.free()
	c.until = time.Now().Add(max(t.ReceivedAt+t.Timeout-f.options.Loop.Now(), 0) + writeTimeout)
	return c.answer(a)
}

// refuse answers a request that the decision module has not seen: trying again is harmless.
func (c *conn) refuse(why metrics.Reason) bool {
	c.server.countShed(why)
	return c.respond(503, "", nil)
}

// withdraw takes back the request in progress: its client has gone, or can't be served any more.
func (c *conn) withdraw() {
	t, loop := c.task, c.server.options.Loop
	c.task = nil
	t.End(loop.Now())
	done := make(chan bool)
	if loop.PostUrgent(func(core *engine.Core) { core.ClientDisconnected(t); close(done) }) {
		select {
		case <-done: // from here on there is no answer, or it lies here
			c.free()
		case <-loop.Done():
		}
	}
	c.server.ids.release(t.Trace, true)
}

// errBeyond: a length was wrong, since what stands behind the body begins no request.
var errBeyond = &http1.Error{Status: 400, Reason: "bytes beyond the request"}

// ordered tells whether what came behind a request may be the next one.
func (c *conn) ordered() bool {
	b := c.in.Peek(http1.MinRequestPrefix)
	return http1.MayStartRequest(append(b[:len(b):len(b)], c.pipeline.head(http1.MinRequestPrefix-len(b))...))
}

// wait reads ahead until the answer is there. Requests that come meanwhile are kept for their turn, a bounded amount; an
// error tells that the client went away, also behind such requests, or that it sent what can't be one.
func (c *conn) wait() error {
	for {
		switch err := c.pipeline.ahead(); {
		case err == nil:
			if !c.ordered() {
				return errBeyond
			}
		case errors.Is(err, os.ErrDeadlineExceeded):
			return nil
		default:
			return err
		}
	}
}

// free gives back what a line set aside for the answer's body.
func (c *conn) free() {
	if c.release != nil {
		c.release()
		c.release = nil
	}
}

func (c *conn) answer(a engine.Response) bool {
	c.server.options.Recorder.Count(metrics.Answered, metrics.Reason(a.Result.String()))
	switch a.Result {
	case engine.Served:
		return c.respond(200, "", a.Body)
	case engine.Rejected:
		more := ""
		if a.RetryAfter > 0 {
			more = "Retry-After: " + strconv.FormatFloat(a.RetryAfter.Seconds(), 'f', 3, 64) + "\r\n"
		}
		return c.respond(503, more, nil)
	case engine.Failed:
		if a.Reason != "" {
			c.server.refused(500, a.Reason)
		}
		if a.MayHaveRun {
			return c.respond(504, "", nil)
		}
		return c.respond(500, "", nil)
	}
	return false
}

var reasons = map[int]string{200: "OK", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed", 408: "Request Timeout",
	409: "Conflict", 411: "Length Required", 413: "Content Too Large", 431: "Request Header Fields Too Large",
	500: "Internal Server Error", 501: "Not Implemented", 503: "Service Unavailable", 504: "Gateway Timeout",
	505: "HTTP Version Not Supported"}

// lastAnswer tells whether the connection ends with the answer that goes out now. A request that was read behind it is
// served first, unless the client asked to close.
func (c *conn) lastAnswer() bool {
	switch {
	case c.closing:
		return true
	case c.last || c.server.ending.Load():
		return !c.hasFollower() || c.server.pastEnd()
	}
	return false
}

func (c *conn) hasFollower() bool { return c.in.Buffered() > 0 || len(c.pipeline.buffered) > 0 }

// pastEnd tells whether a stopping process has no time left.
func (f *Server) pastEnd() bool {
	until := time.Duration(f.until.Load())
	return until > 0 && f.options.Loop.Now() >= until
}

// respond writes an answer; it tells whether the connection goes on.
func (c *conn) respond(status int, more string, body []byte) bool {
	last := c.lastAnswer()
	b := make([]byte, 0, 128+len(more)+len(body))
	b = fmt.Appendf(b, "HTTP/1.1 %d %s\r\n%s", status, reasons[status], more)
	if last {
		b = http1.AppendField(b, "Connection", "close")
	}
	if c.until.IsZero() {
		c.until = time.Now().Add(writeTimeout)
	}
	c.nc.SetWriteDeadline(c.until)
	c.until = time.Time{}
	if _, err := c.nc.Write(http1.AppendEnd(b, body)); err != nil {
		c.clientGone, c.closeReason = true, metrics.WriteFailed
		return false
	}
	c.server.options.Log.Debug("answered", "request", c.pendingID, "status", status, "last", last)
	c.pendingID = ""
	if last {
		c.answered = true
		c.closeReason = c.whyLast()
		c.lingeringClose()
	}
	return !last
}

func (c *conn) whyLast() metrics.Reason {
	switch {
	case c.closeReason != "":
		return c.closeReason
	case c.closing:
		return metrics.ClientRequestedClose
	case c.server.ending.Load():
		return metrics.ShuttingDown
	}
	return metrics.Evicted
}

// fault answers what can't be a request, if there is anything to answer, and ends the connection.
func (c *conn) fault(err error) bool {
	var wrong *http1.Error
	c.closing, c.closeReason = true, metrics.BadRequest
	switch {
	case errors.As(err, &wrong):
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.closeReason = metrics.RequestTimeout
		wrong = &http1.Error{Status: 408, Reason: "not whole in time"}
	case errors.Is(err, errCut):
		c.refuseRest()
		return false
	default: // it broke off
		c.clientGone, c.closeReason = true, metrics.ClientClosed
		return false
	}
	c.server.refused(wrong.Status, wrong.Reason)
	return c.respond(wrong.Status, "", nil)
}

// lingeringClose ends a connection so that its last answer is read: nothing more is sent, a bounded rest is read.
func (c *conn) lingeringClose() {
	if t, ok := c.nc.(*net.TCPConn); ok {
		t.CloseWrite()
	}
	if !c.answered && !c.server.mayLinger(c) {
		return
	}
	rest := lingerTimeout
	if until := time.Duration(c.server.until.Load()); until > 0 {
		rest = min(rest, max(until-c.server.options.Loop.Now(), 0))
	}
	if why, retired := c.server.whyRetired(c); retired && why == metrics.Evicted {
		rest = min(rest, spareLingering)
	}
	c.server.moveTo(c, lingering, time.Now().Add(rest))
	io.Copy(io.Discard, io.LimitReader(c.nc, 1<<20))
}
