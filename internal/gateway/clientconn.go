package gateway

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync"

	"weirhaven/internal/engine"
	"weirhaven/internal/lineproto"
)

// The responses queued to one client are limited to queuedBodies bodies of the maximum size plus slackBytes. A client that reads
// so slowly that its queue exceeds this limit is disconnected.
const (
	queuedBodies = 4
	slackBytes   = 1 << 20
)

// clientConn is one client connection.
type clientConn struct {
	gateway *Gateway
	conn    net.Conn
	sender  *lineproto.Sender

	mu       sync.Mutex
	requests map[uint64]*engine.Request // requests in flight, by the client's id; nil once the connection has ended
}

func newClientConn(g *Gateway, conn net.Conn) *clientConn {
	return &clientConn{gateway: g, conn: conn, requests: map[uint64]*engine.Request{},
		sender: lineproto.NewSender(queuedBodies*g.limits.MaxBody+slackBytes, g.limits.StallTimeout)}
}

// run serves the connection until it ends, at the latest when shutDown closes it. The client of the requests still in flight then
// counts as disconnected.
func (c *clientConn) run() {
	defer func() { _ = c.conn.Close() }()
	limits := c.gateway.limits
	reader := lineproto.NewConnReader(c.conn, limits.MaxBody, limits.IdleTimeout, limits.StallTimeout)
	hello, err := lineproto.Greet(c.conn, reader, lineproto.RoleGateway, c.gateway.conf.Name, limits.StallTimeout, nil)
	c.sender.Start(c.conn)
	client := "" // without a name before its greeting
	if err == nil {
		client = hello.Get(lineproto.FieldName)
		err = c.read(reader)
	}
	c.sendBad(0, err)
	c.sender.Finish()
	<-c.sender.Done()
	orphaned := c.takeRequests()
	if !endedNormally(err) {
		c.gateway.log.Info("client connection ended", "client", client, "in_flight", len(orphaned), "err", err)
	}
	for _, request := range orphaned {
		c.disconnected(request)
	}
}

// endedNormally reports whether a connection was closed by either side or by a network error, including timeouts and resets. All
// other errors are malformed messages.
func endedNormally(err error) bool {
	var netErr net.Error
	return err == nil || errors.Is(err, io.EOF) || errors.Is(err, net.ErrClosed) || errors.As(err, &netErr)
}

// read handles messages until the connection ends, and returns the cause.
func (c *clientConn) read(reader *lineproto.Reader) error {
	for {
		m, err := reader.Read()
		if err != nil {
			if c.awaitsResponse(reader, err) {
				continue
			}
			return err
		}
		switch m.Verb {
		case lineproto.VerbRequest:
			if err := c.submit(m); err != nil {
				return err
			}
		case lineproto.VerbCancel:
			if request := c.takeRequest(m.ID); request != nil {
				c.disconnected(request)
			}
		case lineproto.VerbShowFleet, lineproto.VerbForget, lineproto.VerbControlCapture:
			c.operate(m)
		default:
			c.sendBad(m.ID, fmt.Errorf("unknown verb %s", m.Verb))
		}
	}
}

// awaitsResponse reports whether err is only a read timeout between two messages while responses are pending.
func (c *clientConn) awaitsResponse(reader *lineproto.Reader, err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout() && c.inFlight() > 0 && !errors.Is(err, io.ErrUnexpectedEOF) && !reader.Buffered()
}

func (c *clientConn) inFlight() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.requests)
}

// takeRequest removes and returns the request in flight with that id; nil: there is none.
func (c *clientConn) takeRequest(id uint64) *engine.Request {
	c.mu.Lock()
	defer c.mu.Unlock()
	request := c.requests[id]
	delete(c.requests, id)
	return request
}

// takeRequests removes and returns all requests in flight. Call it only after reading has ended: no request may be added later.
func (c *clientConn) takeRequests() map[uint64]*engine.Request {
	c.mu.Lock()
	defer c.mu.Unlock()
	requests := c.requests
	c.requests = nil
	return requests
}

// disconnected notifies the loop, ahead of queued events, that the client of a request has disconnected or canceled it, so that no
// more attempts are sent.
func (c *clientConn) disconnected(request *engine.Request) {
	c.gateway.loop.PostUrgent(func(core *engine.Core) { core.ClientDisconnected(request) })
}

// sendBad reports a malformed or rejected message, which had no effect, to the client. Without an id, err may be the cause for which
// the connection ended; a normal end is not reported.
func (c *clientConn) sendBad(id uint64, err error) {
	if err == nil || id == 0 && endedNormally(err) {
		return
	}
	var m lineproto.Builder
	c.send(m.Start(lineproto.VerbMalformed, id).Text(lineproto.FieldReason, err.Error()).End(nil))
}

// send queues a message. It ignores errors: either the connection is closed, or the queue is full and the next response will
// disconnect the client.
func (c *clientConn) send(m *lineproto.Builder) { _, _ = c.sender.Send(m.Buffer) }
