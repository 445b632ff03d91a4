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

// Bound of the responses that may be queued to one client, in bytes: some bodies of the allowed size, and slack. A client that
// reads too slowly for it is disconnected.
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
	requests map[uint64]*engine.Request // in flight, by the client's id; nil once the connection has ended
}

func newClientConn(g *Gateway, conn net.Conn) *clientConn {
	return &clientConn{gateway: g, conn: conn, requests: map[uint64]*engine.Request{},
		sender: lineproto.NewSender(queuedBodies*g.limits.MaxBody+slackBytes, g.limits.StallTimeout)}
}

// run reads until the connection ends, at the latest when shutDown closes it; the requests then in flight have lost their client.
func (c *clientConn) run() {
	defer func() { _ = c.conn.Close() }()
	limits := c.gateway.limits
	reader := lineproto.NewConnReader(c.conn, limits.MaxBody, limits.IdleTimeout, limits.StallTimeout)
	hello, err := lineproto.Greet(c.conn, reader, lineproto.RoleGateway, c.gateway.conf.Name, limits.StallTimeout, nil)
	c.sender.Start(c.conn)
	if err == nil {
		err = c.read(reader)
	}
	c.sendBad(0, err)
	c.sender.Finish()
	<-c.sender.Done()
	orphaned := c.takeRequests()
	if !endedNormally(err) {
		c.gateway.log.Info("client connection ended", "client", hello.Get(lineproto.FieldName), "in_flight", len(orphaned), "err", err)
	}
	for _, request := range orphaned {
		c.disconnected(request)
	}
}

// endedNormally reports whether a connection ended as connections do: at the client's end, at this one's, or with any error of the
// network, timeouts and resets included. What is left are messages that can't be read.
func endedNormally(err error) bool {
	var netErr net.Error
	return err == nil || errors.Is(err, io.EOF) || errors.Is(err, net.ErrClosed) || errors.As(err, &netErr)
}

// read takes messages until the connection ends, and returns why it does.
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

// awaitsResponse reports whether a read merely timed out between two messages while the client waits for responses.
func (c *clientConn) awaitsResponse(reader *lineproto.Reader, err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout() && c.inFlight() > 0 && !errors.Is(err, io.ErrUnexpectedEOF) && !reader.Buffered()
}

func (c *clientConn) inFlight() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.requests)
}

// takeRequest removes a request in flight; nil: there is none by that id.
func (c *clientConn) takeRequest(id uint64) *engine.Request {
	c.mu.Lock()
	defer c.mu.Unlock()
	request := c.requests[id]
	delete(c.requests, id)
	return request
}

// takeRequests removes all requests in flight, and lets no other in.
func (c *clientConn) takeRequests() map[uint64]*engine.Request {
	c.mu.Lock()
	defer c.mu.Unlock()
	requests := c.requests
	c.requests = nil
	return requests
}

// disconnected tells the loop that a request has lost its client, ahead of what is queued: nothing should be sent for it.
func (c *clientConn) disconnected(request *engine.Request) {
	c.gateway.loop.PostUrgent(func(core *engine.Core) { core.ClientDisconnected(request) })
}

// sendBad tells the client what it did wrong; what it sent had no effect. With id 0 that ends the connection, and a normal end needs
// no message.
func (c *clientConn) sendBad(id uint64, err error) {
	if err == nil || id == 0 && endedNormally(err) {
		return
	}
	var m lineproto.Builder
	c.send(m.Start(lineproto.VerbMalformed, id).Text(lineproto.FieldReason, err.Error()).End(nil))
}

// send queues a message. An error is dropped: the connection is closed then, or its client reads nothing, and its next response
// disconnects it.
func (c *clientConn) send(m *lineproto.Builder) { _, _ = c.sender.Send(m.Buffer) }
