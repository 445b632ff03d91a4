package endpointconn

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"weirhaven/internal/engine"
	"weirhaven/internal/lineproto"
	"weirhaven/internal/settings"
	"weirhaven/policy"
)

// The limit of queued bytes allows one body of the maximum size, headBytes for each queued message, and slackBytes.
const (
	headBytes  = 64
	slackBytes = 1 << 20
)

// conn is a connection to an endpoint, from dialing to its end.
type conn struct {
	endpoint *endpoint
	sender   *lineproto.Sender
	ctx      context.Context
	cancel   context.CancelFunc

	// Guarded by endpoint.mu.
	started       bool        // sender has been started
	waiting       []*outgoing // messages queued until the sender is started, oldest first
	waitingBytes  int         // sum of the estimated sizes of waiting
	greeted       bool        // the endpoint's greeting was received
	awaitingSince time.Time   // start of the wait for a response, restarted by each response; zero: no response is awaited
	inFlight      map[uint64]pending
}

// pending is an attempt or a health check without an outcome.
type pending struct {
	offset      int64 // offset of its message in the sender's stream
	healthCheck bool
}

func newConn(e *endpoint) *conn {
	ctx, cancel := context.WithCancel(e.connector.ctx)
	limits := e.connector.limits
	return &conn{endpoint: e, ctx: ctx, cancel: cancel, inFlight: map[uint64]pending{},
		sender: lineproto.NewSender(maxQueued(limits), limits.StallTimeout)}
}

// maxQueued returns the maximum number of bytes queued to one endpoint.
func maxQueued(limits settings.Limits) int {
	return limits.MaxBody + headBytes*limits.EndpointQueue + slackBytes
}

// run serves the connection, then reports the outcome of everything still in flight.
func (c *conn) run() {
	err := c.serve()
	c.cancel()
	c.sender.Close()
	<-c.sender.Done() // no byte is written after this, so MayHaveBeenWritten is final
	e := c.endpoint
	e.mu.Lock()
	if e.conn == c {
		e.conn = nil
	}
	inFlight := c.inFlight
	c.inFlight = nil
	e.mu.Unlock()
	if err != nil && e.connector.ctx.Err() == nil {
		e.connector.log.Debug("endpoint connection ended", "endpoint", e.name, "address", e.address, "in_flight", len(inFlight), "err", err)
	}
	for id, p := range inFlight {
		outcome := policy.ConnectFailed
		if c.sender.MayHaveBeenWritten(p.offset) {
			outcome = policy.ConnectionReset
		}
		e.report(id, outcome, p.healthCheck, nil)
	}
}

// serve connects, exchanges greetings and reads messages until the connection ends. It returns the reason for the end.
func (c *conn) serve() error {
	netConn, err := c.dial()
	if err != nil {
		return fmt.Errorf("connect to endpoint %s: %w", c.endpoint.name, err)
	}
	defer func() { _ = netConn.Close() }()
	stopWatching := context.AfterFunc(c.ctx, func() { _ = netConn.Close() })
	defer stopWatching()
	limits := c.endpoint.connector.limits
	reader := lineproto.NewConnReader(netConn, limits.MaxBody, limits.IdleTimeout, limits.StallTimeout)
	if err := c.exchangeGreetings(netConn, reader); err != nil {
		return err
	}
	c.start(netConn)
	return c.readMessages(reader)
}

// add queues a message; it returns false if the queue is full. The caller holds endpoint.mu.
func (c *conn) add(message *outgoing) bool {
	offset := int64(notWritten)
	if c.started {
		var err error
		if offset, err = c.sender.Send(message.encode()); err != nil {
			return false
		}
	} else {
		if c.waitingBytes+message.size() > maxQueued(c.endpoint.connector.limits) {
			return false
		}
		c.waiting = append(c.waiting, message)
		c.waitingBytes += message.size()
	}
	c.inFlight[message.id] = pending{offset: offset, healthCheck: message.request == nil}
	return true
}

// start starts the sender, beginning with the messages that waited for the connection and were not canceled. A message that the
// sender has no space for is never written; it is reported as policy.ConnectFailed when the connection ends.
func (c *conn) start(netConn net.Conn) {
	c.endpoint.mu.Lock()
	defer c.endpoint.mu.Unlock()
	c.started = true
	for _, message := range c.waiting {
		p, inFlight := c.inFlight[message.id]
		if !inFlight {
			continue
		}
		if offset, err := c.sender.Send(message.encode()); err == nil {
			p.offset = offset
			c.inFlight[message.id] = p
		}
	}
	c.waiting = nil
	c.sender.Start(netConn)
}

func (c *conn) dial() (net.Conn, error) {
	connector := c.endpoint.connector
	ctx, cancel := context.WithTimeout(c.ctx, connector.limits.ConnectTimeout)
	defer cancel()
	return connector.dialer.DialContext(ctx, "tcp", c.endpoint.address)
}

// exchangeGreetings checks that the expected endpoint is at the address, and posts its greeting to the engine.
func (c *conn) exchangeGreetings(netConn net.Conn, reader *lineproto.Reader) error {
	e := c.endpoint
	hello, err := lineproto.Greet(netConn, reader, lineproto.RoleGateway, e.connector.gateway, e.connector.limits.ConnectTimeout, nil)
	if err != nil {
		return fmt.Errorf("endpoint %s at %s: %w", e.name, e.address, err)
	}
	if name := hello.Get(lineproto.FieldName); name != e.name {
		e.connector.loop.Post(func(core *engine.Core) { core.WrongEndpoint(e.name, e.address) })
		return fmt.Errorf("endpoint %s: its address %s now belongs to %q; the endpoint list is out of date", e.name, e.address, name)
	}
	age, err := hello.Duration(lineproto.FieldAge, 0)
	if err != nil {
		return fmt.Errorf("endpoint %s: %w", e.name, err)
	}
	greeting := engine.Greeting{Endpoint: e.name, Address: e.address, HasAge: hello.Get(lineproto.FieldAge) != "", Age: age,
		Draining: hello.Get(lineproto.FieldState) == lineproto.StateDraining}
	e.connector.loop.Post(func(core *engine.Core) { core.Greeted(greeting) })
	e.mu.Lock()
	c.greeted = true
	e.mu.Unlock()
	return nil
}

func (c *conn) readMessages(reader *lineproto.Reader) error {
	for {
		m, err := reader.Read()
		if err != nil {
			var netErr net.Error
			if errors.As(err, &netErr) && netErr.Timeout() && c.awaitsResponse() {
				continue // each attempt has its own timeout
			}
			return err
		}
		if err := c.receive(m); err != nil {
			return err
		}
	}
}

// awaitsResponse reports whether a response has been awaited for less than the idle timeout. Otherwise a connection that
// receives nothing is closed: it is idle, or half open (the peer closed it or crashed, and the end was never received).
func (c *conn) awaitsResponse() bool {
	c.endpoint.mu.Lock()
	defer c.endpoint.mu.Unlock()
	return !c.awaitingSince.IsZero() && time.Since(c.awaitingSince) < c.endpoint.connector.limits.IdleTimeout
}

// outcomes maps the verbs of final responses to outcomes.
var outcomes = map[string]policy.Outcome{
	lineproto.VerbServed:            policy.Served,
	lineproto.VerbHealthCheckPassed: policy.Served,
	lineproto.VerbRejected:          policy.Rejected,
	lineproto.VerbFailed:            policy.ErrorResponse,
	lineproto.VerbMalformed:         policy.ErrorResponse,
}

// receive handles one message from the endpoint. An error ends the connection. Unknown verbs are ignored: later minor versions
// of the protocol may add some.
func (c *conn) receive(m *lineproto.Message) error {
	e := c.endpoint
	switch m.Verb {
	case lineproto.VerbDraining:
		e.connector.loop.Post(func(core *engine.Core) { core.EndpointDraining(e.name) })
		return nil
	case lineproto.VerbResponseStarted:
		e.connector.loop.Post(func(core *engine.Core) { core.ResponseStarted(e.name, m.ID) })
		return nil
	}
	outcome, ok := outcomes[m.Verb]
	if !ok {
		return nil
	}
	p, known := c.complete(m.ID)
	if !known {
		if m.Verb == lineproto.VerbMalformed && m.ID == 0 {
			return fmt.Errorf("endpoint %s rejected a message of this gateway as malformed: %s", e.name, m.Get(lineproto.FieldReason))
		}
		p.healthCheck = m.Verb == lineproto.VerbHealthCheckPassed // canceled or abandoned; the engine counts the outcome as late
	}
	e.report(m.ID, outcome, p.healthCheck, m)
	return nil
}

// complete removes an attempt or health check from those in flight and restarts the wait for the others; known is false if id
// is not in flight.
func (c *conn) complete(id uint64) (p pending, known bool) {
	c.endpoint.mu.Lock()
	defer c.endpoint.mu.Unlock()
	p, known = c.inFlight[id]
	delete(c.inFlight, id)
	c.awaitingSince = time.Time{}
	if len(c.inFlight) > 0 {
		c.awaitingSince = time.Now()
	}
	return p, known
}
