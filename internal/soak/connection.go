package soak

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"weirhaven/internal/http1"
	"weirhaven/internal/pb"
)

// connections is the pool of idle connections to a process.
type connections struct {
	mu   sync.Mutex
	idle []*connection
}

// maxResponseBody is the longest body that a client reads, in bytes.
const maxResponseBody = 1 << 20

// errOutOfService is the error for a new connection to a process that takes no new clients.
var errOutOfService = errors.New("the process is out of service")

// connection is a connection from a client to a process.
type connection struct {
	conn   net.Conn
	reader *http1.Reader
	reused bool // at least one response has arrived on it

	incarnation uint32 // incarnation of the process
}

// connect returns an idle connection to a process, or a new one if there is none or forceNew is set.
func (l *load) connect(process int, forceNew bool) (*connection, error) {
	pool := &l.pools[process]
	pool.mu.Lock()
	defer pool.mu.Unlock()
	if n := len(pool.idle); n > 0 && !forceNew {
		c := pool.idle[n-1]
		pool.idle = pool.idle[:n-1]
		return c, nil
	}
	if !l.run.processes[process].takesNewClients() {
		return nil, errOutOfService
	}
	incarnation := l.run.processes[process].incarnation.Load()
	nc, err := net.DialTimeout("tcp", l.run.processes[process].address, 250*time.Millisecond)
	if err != nil {
		return nil, err
	}
	return &connection{conn: nc, reader: http1.NewReader(nc), incarnation: incarnation}, nil
}

// release returns a connection to the pool.
func (l *load) release(process int, c *connection) {
	pool := &l.pools[process]
	pool.mu.Lock()
	defer pool.mu.Unlock()
	pool.idle = append(pool.idle, c)
}

// send sends a request and waits for its response.
func (l *load) send(q request) {
	c, err := l.connect(q.process, q.newConnection)
	if err != nil {
		return
	}
	text := q.text(l.run.deployment.RequestTimeout)
	sent := 0
	if q.piecewise {
		sent = len(text) / 2
		_, _ = io.WriteString(c.conn, text[:sent])
		time.Sleep(30 * time.Millisecond)
	}
	l.recordAsked(q, c)
	if _, err := io.WriteString(c.conn, text[sent:]); err != nil {
		l.finishWithoutResponse(q, c, false)
		return
	}
	if q.abandonAfter > 0 {
		time.AfterFunc(q.abandonAfter, func() { l.abandon(q, c) })
	}
	l.awaitResponse(q, c)
}

// recordAsked records that a request is sent on a connection.
func (l *load) recordAsked(q request, c *connection) {
	l.run.recorder.See(&pb.Seen{What: pb.Seen_ASKED, Host: uint32(q.process), Incarnation: c.incarnation, Command: q.number, First: q.number,
		Volume: q.volume, Plan: uint32(q.plan), QueueType: uint32(q.class), Units: float64(q.units), Cell: int32(q.shard), Timeout: int64(l.run.deployment.RequestTimeout)})
}

// abandon disconnects a client before its response and records when.
func (l *load) abandon(q request, c *connection) {
	l.mu.Lock()
	l.abandoned[q.number] = l.run.recorder.Now()
	l.mu.Unlock()
	_ = c.conn.Close()
}

// awaitResponse waits for the response, until some time after the request's timeout: a late response is recorded as such.
func (l *load) awaitResponse(q request, c *connection) {
	deadline := time.AfterFunc(l.run.deployment.RequestTimeout, func() {
		l.run.recorder.See(&pb.Seen{What: pb.Seen_GIVEN_UP, Host: uint32(q.process), Command: q.number})
	})
	defer deadline.Stop()
	_ = c.conn.SetReadDeadline(time.Now().Add(l.run.deployment.RequestTimeout + answerSlack + 2*observationDelay))
	head, body, err := c.readResponse()
	if err != nil {
		l.finishWithoutResponse(q, c, isTimeout(err))
		return
	}
	l.recordResponse(q, head, body)
	c.reused = true
	if head.Close || q.abandonAfter > 0 || q.closeAfter {
		_ = c.conn.Close()
		return
	}
	_ = c.conn.SetReadDeadline(time.Time{})
	l.release(q.process, c)
}

// readResponse reads a complete response.
func (c *connection) readResponse() (*http1.Head, []byte, error) {
	if err := c.reader.Await(); err != nil {
		return nil, nil, err
	}
	head, err := c.reader.Response()
	if err != nil {
		return nil, nil, err
	}
	body, err := c.reader.Body(head, maxResponseBody)
	return head, body, err
}

// isTimeout reports whether a read failed because of its deadline.
func isTimeout(err error) bool {
	var failure net.Error
	return errors.As(err, &failure) && failure.Timeout()
}

// holdIdle holds idle connections to a process until ctx ends. If partial is set, each has sent the beginning of a request.
func (l *load) holdIdle(ctx context.Context, process, count int, partial bool) {
	var held []net.Conn
	for range count {
		nc, err := net.DialTimeout("tcp", l.run.processes[process].address, 250*time.Millisecond)
		if err != nil {
			continue
		}
		if partial {
			_, _ = io.WriteString(nc, "GET /read/0000")
		}
		held = append(held, nc)
	}
	<-ctx.Done()
	for _, nc := range held {
		_ = nc.Close()
	}
}
