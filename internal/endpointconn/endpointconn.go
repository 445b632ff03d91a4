// Package endpointconn keeps the connection to each brick: one, pipelined, made when the first dispatch needs it.
// Every dispatch that is not answered is reported with the one way it ended; "not connected" is told only where
// no byte of it can have reached the brick.
package endpointconn

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"time"

	"weirhaven/internal/engine"
	"weirhaven/internal/lineproto"
	"weirhaven/internal/settings"
	"weirhaven/policy"
)

// Poster takes events for the host loop; it may wait for room.
type Poster interface {
	Post(f func(*engine.Core)) bool
}

// Lines makes the lines to bricks and joins their goroutines.
type Lines struct {
	host   string
	loop   Poster
	limits settings.Limits
	log    *slog.Logger
	dialer net.Dialer
	ctx    context.Context
	stop   context.CancelFunc
	wg     sync.WaitGroup
}

// New makes lines for the host of that name.
func New(host string, loop Poster, limits settings.Limits, log *slog.Logger) *Lines {
	ctx, stop := context.WithCancel(context.Background())
	return &Lines{host: host, loop: loop, limits: limits, log: log, ctx: ctx, stop: stop}
}

// Close ends all connections and waits for their goroutines.
func (s *Lines) Close() {
	s.stop()
	s.wg.Wait()
}

// Line is the way to one brick.
func (s *Lines) Connect(brick, address string) engine.EndpointConn {
	return &line{lines: s, brick: brick, address: address}
}

type line struct {
	lines          *Lines
	brick, address string

	mu     sync.Mutex
	conn   *conn // nil: none, the next dispatch makes one
	closed bool
}

// conn is one connection from its first dialling to its end.
type conn struct {
	line   *line
	sender *lineproto.Sender
	ctx    context.Context
	stop   context.CancelFunc

	// under line.mu
	greeted bool
	since   time.Time        // since when something is awaited and nothing was heard; zero: nothing is
	out     map[uint64]int64 // dispatch or probe -> where it begins in the stream
	probes  map[uint64]bool
}

// current returns the connection, a new one if need be. Under mu.
func (l *line) current() *conn {
	if l.conn != nil || l.closed {
		return l.conn
	}
	s := l.lines
	ctx, stop := context.WithCancel(s.ctx)
	c := &conn{line: l, sender: lineproto.NewSender(s.limits.Body+64*s.limits.BrickQueue+1<<20, s.limits.Stall), ctx: ctx,
		stop: stop, out: map[uint64]int64{}, probes: map[uint64]bool{}}
	l.conn = c
	s.wg.Add(1)
	go func() {
		defer s.wg.Done()
		c.run()
	}()
	return c
}

func (l *line) Send(id uint64, t *engine.Request, n int, left, _ time.Duration) {
	var o lineproto.Out
	o.B = make([]byte, 0, 256+len(t.Body))
	o.Start(lineproto.Run, id).Text("Volume", t.Volume).Text("Queue-Type", t.Class).Text("Object", t.Object).
		Text("Tag", t.Tag).Text("Trace", t.Trace).Whole("Cell", int64(t.Shard)).Number("Units", t.Units).
		Micros("Timeout", left)
	if n > 0 {
		o.Whole("Dispatch", int64(n))
	}
	if t.Retry {
		o.Whole("Repeat", 1)
	}
	l.send(id, o.End(t.Body).B, false)
}

func (l *line) CheckHealth(id uint64) {
	var o lineproto.Out
	l.send(id, o.Start(lineproto.Probe, id).End(nil).B, true)
}

func (l *line) send(id uint64, b []byte, probe bool) {
	l.mu.Lock()
	c := l.current()
	sent := false
	if c != nil && len(c.out) < l.lines.limits.BrickQueue {
		if at, err := c.sender.Send(b); err == nil {
			c.out[id], sent = at, true
			if c.since.IsZero() {
				c.since = time.Now()
			}
			if probe {
				c.probes[id] = true
			}
		}
	}
	l.mu.Unlock()
	if !sent { // the loop is in the middle of a call: it hears of this later
		l.lines.wg.Add(1)
		go func() {
			defer l.lines.wg.Done()
			l.report(id, policy.ConnectFailed, probe, nil)
		}()
	}
}

func (l *line) Cancel(id uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn == nil {
		return
	}
	if _, ok := l.conn.out[id]; ok {
		delete(l.conn.out, id) // the loop knows its end
		var o lineproto.Out
		l.conn.sender.Send(o.Start(lineproto.Cancel, id).End(nil).B)
	}
}

// Greet makes a new connection, for the brick's greeting, unless something is out on the present one.
func (l *line) RequestGreeting() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn != nil && len(l.conn.out) == 0 && l.conn.greeted {
		l.conn.stop()
		l.conn = nil
	}
	l.current()
}

// Withdraw takes nothing back: what is handed over here is on its way.
func (l *line) Withdraw(uint64) bool { return false }

// Forget tells that the loop waits no longer for the answer.
func (l *line) Abandon(id uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn != nil {
		delete(l.conn.out, id)
		delete(l.conn.probes, id)
	}
}

func (l *line) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	if l.conn != nil {
		l.conn.stop()
	}
}

func (l *line) report(id uint64, how policy.Outcome, probe bool, m *lineproto.Message) {
	var load policy.LoadReport
	var body []byte
	if m != nil {
		load.ServedElsewhere, _ = m.Number("Elsewhere", 0)
		load.Utilization, _ = m.Number("Metered", 0)
		body = m.Body
	}
	l.lines.loop.Post(func(c *engine.Core) {
		if probe {
			c.HealthChecked(l.brick, id, how)
		} else {
			c.AttemptEnded(engine.AttemptReport{Endpoint: l.brick, ID: id, Outcome: how, Body: body, Load: load})
		}
	})
}

// run makes the connection, reads from it, and reports what was out when it ends.
func (c *conn) run() {
	err := c.serve()
	c.stop()
	c.sender.Close()
	<-c.sender.Done()
	l := c.line
	l.mu.Lock()
	if l.conn == c {
		l.conn = nil
	}
	out, probes := c.out, c.probes
	c.out = nil
	l.mu.Unlock()
	if err != nil && l.lines.ctx.Err() == nil {
		l.lines.log.Debug("brick connection ended", "brick", l.brick, "address", l.address, "out", len(out), "err", err)
	}
	for id, at := range out {
		how := policy.ConnectFailed
		if c.sender.MayHaveLeft(at) {
			how = policy.ConnectionReset
		}
		l.report(id, how, probes[id], nil)
	}
}

func (c *conn) serve() error {
	l, limits := c.line, c.line.lines.limits
	ctx, done := context.WithTimeout(c.ctx, limits.Connect)
	defer done()
	nc, err := l.lines.dialer.DialContext(ctx, "tcp", l.address)
	if err != nil {
		return fmt.Errorf("connect to brick %s: %w", l.brick, err)
	}
	unhook := context.AfterFunc(c.ctx, func() { nc.Close() })
	defer unhook()
	defer nc.Close()
	r := lineproto.NewConnReader(nc, limits.Body, limits.Idle, limits.Stall)
	hello, err := lineproto.Greet(nc, r, "host", l.lines.host, limits.Connect, nil)
	if err != nil {
		return fmt.Errorf("brick %s at %s: %w", l.brick, l.address, err)
	}
	if name := hello.Get("Name"); name != l.brick {
		l.lines.loop.Post(func(c *engine.Core) { c.WrongEndpoint(l.brick, l.address) })
		return fmt.Errorf("brick %s: at its address %s is %q now; the list is out of date", l.brick, l.address, name)
	}
	age, err := hello.Micros("Age", 0)
	if err != nil {
		return fmt.Errorf("brick %s: %w", l.brick, err)
	}
	greeting := engine.Greeting{Endpoint: l.brick, Address: l.address, HasStart: hello.Get("Age") != "", Age: age, Draining: hello.Get("State") == "draining"}
	l.lines.loop.Post(func(c *engine.Core) { c.Greeted(greeting) })
	l.mu.Lock()
	c.greeted = true
	l.mu.Unlock()
	c.sender.Start(nc)
	for {
		m, err := r.Read()
		if err != nil {
			var late net.Error
			if errors.As(err, &late) && late.Timeout() && c.waits() {
				continue // silent, but not for long; each dispatch has a time-out of its own
			}
			return err
		}
		if err := c.take(m); err != nil {
			return err
		}
	}
}

// waits tells whether something was sent, less than the idle time ago, that may still be answered. Otherwise a
// silent connection is over: nothing is wanted of it, or it is half open.
func (c *conn) waits() bool {
	c.line.mu.Lock()
	defer c.line.mu.Unlock()
	return !c.since.IsZero() && time.Since(c.since) < c.line.lines.limits.Idle
}

var endings = map[string]policy.Outcome{lineproto.Done: policy.Served, lineproto.Busy: policy.Rejected,
	lineproto.Abort: policy.ErrorResponse, lineproto.Probed: policy.Served, lineproto.Bad: policy.ErrorResponse}

func (c *conn) take(m *lineproto.Message) error {
	l := c.line
	switch m.Verb {
	case lineproto.Drain:
		l.lines.loop.Post(func(c *engine.Core) { c.EndpointDraining(l.brick) })
		return nil
	case lineproto.Begun:
		l.lines.loop.Post(func(c *engine.Core) { c.ResponseStarted(l.brick, m.ID) })
		return nil
	}
	how, ok := endings[m.Verb]
	if !ok {
		return nil // of a later minor version: it has no meaning here
	}
	l.mu.Lock()
	probe := c.probes[m.ID]
	_, known := c.out[m.ID]
	delete(c.out, m.ID)
	delete(c.probes, m.ID)
	c.since = time.Time{}
	if len(c.out) > 0 {
		c.since = time.Now()
	}
	l.mu.Unlock()
	if !known && m.Verb == lineproto.Bad && m.ID == 0 {
		return fmt.Errorf("brick %s can't understand this host: %s", l.brick, m.Get("Reason"))
	}
	if !known { // called off, or timed out: counted there
		probe = m.Verb == lineproto.Probed
	}
	l.report(m.ID, how, probe, m)
	return nil
}
