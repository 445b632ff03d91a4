package front

import (
	"container/list"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"time"

	"weirhaven/internal/hostloop"
	"weirhaven/internal/http1"
)

// conn is one client connection, owned by one goroutine. While a command waits, that goroutine is parked in a read, so
// that a client that goes away is noticed; the answer wakes it by the read's deadline.
type conn struct {
	front   *Front
	nc      net.Conn
	inbox   *inbox
	in      *http1.Reader
	answers chan hostloop.Answer
	by      time.Time // the request being read must be whole
	until   time.Time // the answer must be taken; zero: write from now
	closing bool      // by the client's word
	release func()    // of the answer's body; set in the loop before the answer is handed over

	place   *list.Element // under front.mu: among those without a command
	since   time.Time     // when it came there
	evicted bool          // under front.mu
	retired bool          // evicted, to be ended in good order; under front.mu
	lingers bool          // counts among those; under front.mu
}

func newConn(f *Front, nc net.Conn) *conn {
	x := &inbox{r: nc, now: f.o.Loop.Now, room: &f.room}
	return &conn{front: f, nc: nc, inbox: x, in: http1.NewReader(x), answers: make(chan hostloop.Answer, 1), by: time.Now().Add(requestTimeout)}
}

var longAgo = time.Unix(1, 0)

func (c *conn) run() {
	defer c.front.end(c)
	defer c.nc.Close()
	defer c.inbox.close()
	c.nc.SetReadDeadline(c.by)
	for {
		err := c.in.Await()
		if !c.front.put(c, placeReading) {
			if c.retired {
				c.lingeringClose()
			}
			return
		}
		if err == errCut {
			c.lingeringClose()
		}
		if err != nil {
			return
		}
		arrived := c.inbox.arrived(c.in.Buffered())
		if c.by.IsZero() {
			c.by = time.Now().Add(requestTimeout)
			c.nc.SetReadDeadline(c.by)
		}
		if !c.request(arrived) {
			return
		}
		c.by = time.Time{}
		c.nc.SetReadDeadline(time.Now().Add(idleTimeout))
		if !c.front.put(c, placeResting) {
			return
		}
	}
}

// request serves one; it tells whether the connection goes on.
func (c *conn) request(arrived time.Duration) bool {
	f := c.front
	h, err := c.in.Request()
	if err != nil {
		return c.fault(err)
	}
	c.closing = h.Close || f.ending.Load()
	if h.Method == "GET" && h.Target == "/-/ready" && h.Length == 0 {
		status := 200
		if !f.ready.Load() || f.ending.Load() {
			status = 503
		}
		return c.write(status, "", nil, c.closing)
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
	if !c.ordered() {
		return c.fault(errBeyond)
	}
	t.Arrived = arrived
	if until := time.Duration(f.until.Load()); until > 0 {
		t.Timeout = max(min(t.Timeout, until-arrived), 1)
	}
	return c.command(t, id)
}

// command hands a task to the loop and passes its answer on.
func (c *conn) command(t *hostloop.Task, id string) bool {
	f := c.front
	if !f.put(c, placeNone) {
		return false
	}
	if !f.ids.take(id) {
		return c.fault(&http1.Error{Status: 409, What: "the id is in use or was a moment ago"})
	}
	t.Answer = func(a hostloop.Answer) {
		c.release, t.Release = t.Release, nil
		c.nc.SetReadDeadline(longAgo) // first: whoever has the answer sets the next deadline
		c.answers <- a                // takes one without waiting
	}
	if c.inbox.err != nil { // the client has gone, as is known from behind what it sent
		f.ids.free(id, false)
		return false
	}
	c.nc.SetReadDeadline(time.Time{}) // the loop answers every command within its time-out
	f.mu.Lock()
	f.counts.Requests++
	f.mu.Unlock()
	if !f.o.Loop.Offer(func(core *hostloop.Core) { core.Take(t) }) {
		f.ids.free(id, false)
		f.mu.Lock()
		f.counts.Full++
		f.mu.Unlock()
		return c.write(503, "", nil, c.closing)
	}
	err := c.wait()
	if err != nil {
		told := make(chan bool)
		if f.o.Loop.First(func(core *hostloop.Core) { core.Gone(t); close(told) }) {
			select {
			case <-told: // from here on there is no answer, or it lies here
				c.free()
			case <-f.o.Loop.Done():
			}
		}
		f.ids.free(id, true)
		if err == errBeyond {
			return c.fault(err)
		}
		return false
	}
	a := <-c.answers
	f.ids.free(id, true)
	defer c.free()
	c.until = time.Now().Add(max(t.Arrived+t.Timeout-f.o.Loop.Now(), 0) + writeTimeout)
	return c.answer(a)
}

// errBeyond: a length was wrong, since what stands behind the body begins no request.
var errBeyond = &http1.Error{Status: 400, What: "bytes beyond the request"}

// ordered tells whether what came behind a request may be the next one.
func (c *conn) ordered() bool {
	b := c.in.Ahead(http1.StartSize)
	return http1.MayStart(append(b[:len(b):len(b)], c.inbox.head(http1.StartSize-len(b))...))
}

// wait reads ahead until the answer is there. Requests that come meanwhile are kept for their turn, a bounded amount; an
// error tells that the client went away, also behind such requests, or that it sent what can't be one.
func (c *conn) wait() error {
	for {
		switch err := c.inbox.ahead(); {
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

func (c *conn) answer(a hostloop.Answer) bool {
	last := c.closing || c.front.ending.Load()
	switch a.How {
	case hostloop.Completed:
		return c.write(200, "", a.Body, last)
	case hostloop.BusyReplied:
		more := ""
		if a.Pause > 0 {
			more = "Retry-After: " + strconv.FormatFloat(a.Pause.Seconds(), 'f', 3, 64) + "\r\n"
		}
		return c.write(503, more, nil, last)
	case hostloop.Aborted:
		if a.Reason != "" {
			c.front.refused(500, a.Reason)
		}
		if a.MayHaveRun {
			return c.write(504, "", nil, last)
		}
		return c.write(500, "", nil, last)
	}
	return false
}

var reasons = map[int]string{200: "OK", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed", 408: "Request Timeout",
	409: "Conflict", 411: "Length Required", 413: "Content Too Large", 431: "Request Header Fields Too Large",
	500: "Internal Server Error", 501: "Not Implemented", 503: "Service Unavailable", 504: "Gateway Timeout",
	505: "HTTP Version Not Supported"}

func (c *conn) write(status int, more string, body []byte, last bool) bool {
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
		return false
	}
	if last {
		c.lingeringClose()
	}
	return !last
}

// fault answers what can't be a command, if there is anything to answer, and ends the connection.
func (c *conn) fault(err error) bool {
	var wrong *http1.Error
	switch {
	case errors.As(err, &wrong):
	case errors.Is(err, os.ErrDeadlineExceeded):
		wrong = &http1.Error{Status: 408, What: "not whole in time"}
	case errors.Is(err, errCut):
		c.lingeringClose()
		return false
	default:
		return false // it broke off
	}
	c.front.refused(wrong.Status, wrong.What)
	return c.write(wrong.Status, "", nil, true)
}

// lingeringClose ends a connection so that its last answer is read: nothing more is sent, a bounded rest is read.
func (c *conn) lingeringClose() {
	if t, ok := c.nc.(*net.TCPConn); ok {
		t.CloseWrite()
	}
	c.front.put(c, placeLingering)
	rest := lingerTimeout
	if until := time.Duration(c.front.until.Load()); until > 0 {
		rest = min(rest, max(until-c.front.o.Loop.Now(), 0))
	}
	c.nc.SetReadDeadline(time.Now().Add(rest))
	io.Copy(io.Discard, io.LimitReader(c.nc, 1<<20))
}
