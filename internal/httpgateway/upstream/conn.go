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

// conn is one connection to an endpoint. It is owned by one goroutine, run, which Pool.Close joins; others hand it an
// attempt (next) or close it, under Pool.mu.
type conn struct {
	endpoint      *endpoint
	nc            net.Conn // nil: not up yet
	reader        *http1.Reader
	dialStartedAt time.Time
	cancelDial    context.CancelFunc
	next          *attempt      // handed over while it was idle
	closed        bool          // or about to be
	served        bool          // a response came on it
	idleSince     time.Time     // zero: it was never idle
	idleBefore    time.Duration // how long it was idle before the attempt that it has
}

// run brings a connection up and sends attempts on it, one after the other, until it ends.
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

// connected takes a connection into use and returns the attempt that it gets, nil if none waits. If the dial failed, an
// attempt for which no other connection comes fails with it.
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

// removeFromDialing is called under mu.
func (c *conn) removeFromDialing() {
	c.endpoint.dialing = slices.DeleteFunc(c.endpoint.dialing, func(other *conn) bool { return other == c })
}

// exchange sends an attempt, reads its response and reports its outcome. It reports whether the connection may be used
// again.
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
	trailing := c.reader.Buffered() > 0 // what follows a response belongs to no attempt
	if trailing {
		c.recordUnsolicited(0)
	}
	reusable := !head.Close && !trailing && c.becomeIdle()
	c.endpoint.report(a, engine.AttemptReport{Outcome: outcomeOf(head), SeenAt: seenAt, Body: body,
		Load: policy.LoadReport{ServedElsewhere: parseLoad(head.Get("Other-Hosts"))}})
	return reusable
}

// sendFailed reports an attempt that was not sent, or whose connection broke while it was sent. An endpoint runs an attempt
// only once it has all of it; one that it has may run though the connection broke.
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

// close closes a connection from whichever goroutine; one that is not up yet counts as open until its socket is gone. The
// caller holds mu.
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

// handlePanic reports the attempt on a connection whose goroutine met a fault of this program. Other connections are not
// harmed: the panic ends this one alone. An attempt that had started may have run.
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

// lostAttempt returns the attempt on this connection, nil if there is none. If the connection never came up it is written
// off here; the attempts that wait are given another.
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
