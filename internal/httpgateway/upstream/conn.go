package upstream

import (
	"context"
	"net"
	"runtime/debug"
	"slices"
	"time"

	"weirhaven/internal/engine"
	"weirhaven/internal/http1"
	"weirhaven/internal/httpgateway/metrics"
	"weirhaven/policy"
)

// conn is one connection to an endpoint. Its goroutine, run, owns it, and Pool.Close waits for that goroutine. Other goroutines
// assign an attempt to it (next) or close it while they hold Pool.mu.
type conn struct {
	endpoint      *endpoint
	nc            net.Conn // nil until the connection is established
	reader        *http1.Reader
	dialStartedAt time.Time
	cancelDial    context.CancelFunc
	next          *attempt      // attempt assigned while the connection was idle
	closed        bool          // closed, or canceled while dialing
	served        bool          // at least one response was received
	idleSince     time.Time     // start of the latest idle period; zero: never idle
	idleBefore    time.Duration // length of the idle period before the current attempt
}

// run establishes the connection and sends attempts on it, one at a time, until the connection ends.
func (c *conn) run(ctx context.Context) {
	p := c.endpoint.pool
	defer func() {
		if cause := recover(); cause != nil {
			c.handlePanic(cause)
		}
		p.mu.Lock()
		c.close()
		p.mu.Unlock()
	}()
	nc, err := c.connect(ctx)
	a := c.connected(nc, err)
	for c.nc != nil {
		if a == nil {
			if a = c.awaitAttempt(); a == nil {
				return
			}
		}
		if !c.exchange(a) {
			return
		}
		a = nil
	}
}

// connected handles the result of a dial. It returns the attempt assigned to the new connection; nil: no attempt is waiting, or
// the dial failed. If a failed dial leaves more waiting attempts than connections dialing or idle, the oldest one fails.
func (c *conn) connected(nc net.Conn, err error) *attempt {
	e, p := c.endpoint, c.endpoint.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	c.removeFromDialing()
	if err == nil && c.closed {
		_ = nc.Close()
		err = net.ErrClosed
	}
	if err != nil {
		p.counts.Open--
		c.closed = true
		if len(e.waiting) > len(e.dialing)+len(e.idle) {
			e.failUnconnected(e.waiting[0])
		}
		return nil
	}
	c.nc, c.reader = nc, http1.NewReader(nc)
	if len(e.waiting) > 0 {
		a := e.waiting[0]
		e.stopWaiting(a)
		a.conn = c
		return a
	}
	_ = c.nc.SetDeadline(time.Now().Add(p.idleLimit.Duration()))
	c.idleSince = time.Now()
	e.idle = append(e.idle, c)
	return nil
}

// removeFromDialing removes the connection from those being dialed. The caller holds mu.
func (c *conn) removeFromDialing() {
	c.endpoint.dialing = slices.DeleteFunc(c.endpoint.dialing, func(other *conn) bool { return other == c })
}

// exchange sends an attempt, reads the response and reports the outcome. It returns whether the connection may be reused.
func (c *conn) exchange(a *attempt) bool {
	now := c.endpoint.pool.options.Loop.Now
	started, complete, err := c.send(a)
	if !started || err != nil {
		c.sendFailed(a, started, complete)
		return false
	}
	head, body, err := c.readResponse(a)
	seenAt := now()
	if err != nil {
		c.responseFailed(a, seenAt, err)
		return false
	}
	c.recordUse(a, false)
	trailing := c.reader.Buffered() > 0 // bytes after the response belong to no attempt
	if trailing {
		c.recordUnsolicited(0)
	}
	reusable := !head.Close && !trailing && c.becomeIdle()
	c.endpoint.report(a, engine.AttemptReport{Outcome: outcomeOf(head), SeenAt: seenAt, Body: body,
		Load: policy.LoadReport{ServedElsewhere: parseLoad(head.Get("Other-Hosts"))}})
	return reusable
}

// sendFailed reports an attempt that was not sent, or whose connection broke during the write. An endpoint runs an attempt only
// after it has received all of it, so an attempt that was written completely may run although the connection broke.
func (c *conn) sendFailed(a *attempt, started, complete bool) {
	outcome := policy.NotSent
	if started {
		c.recordUse(a, true)
		outcome = policy.ConnectFailed
	}
	if complete {
		outcome = policy.ConnectionReset
	}
	c.endpoint.report(a, engine.AttemptReport{Outcome: outcome, SeenAt: c.endpoint.pool.options.Loop.Now()})
}

// close closes the connection; any goroutine may call it. A connection that is still being dialed counts as open until the
// dial has ended. The caller holds mu.
func (c *conn) close() {
	if c.closed {
		return
	}
	c.closed = true
	c.cancelDial()
	if c.nc != nil {
		c.endpoint.pool.counts.Open--
		_ = c.nc.Close()
	}
}

// handlePanic reports the attempt on this connection after a panic in its goroutine. The panic ends only this connection. An
// attempt whose write was started may have run.
func (c *conn) handlePanic(cause any) {
	p := c.endpoint.pool
	p.options.Log.Error("panic on an upstream connection", "endpoint", c.endpoint.name, "cause", cause, "stack", string(debug.Stack()))
	p.options.Recorder.Count(metrics.Attempt, metrics.Panicked)
	lost := c.lostAttempt()
	if lost == nil {
		return
	}
	outcome := policy.NotSent
	if lost.started {
		outcome = policy.ConnectionReset
	}
	c.endpoint.report(lost, engine.AttemptReport{Outcome: outcome, SeenAt: p.options.Loop.Now()})
}

// lostAttempt returns the attempt on this connection, nil if there is none. If the connection was never established, it is
// removed from the counts here; waiting attempts get another connection.
func (c *conn) lostAttempt() (lost *attempt) {
	p := c.endpoint.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.nc == nil {
		c.removeFromDialing()
		p.counts.Open--
		c.closed = true
	}
	for _, a := range c.endpoint.inFlight {
		if a.conn == c {
			lost = a
		}
	}
	return lost
}
