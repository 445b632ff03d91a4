package upstream

import (
	"context"
	"slices"
	"time"

	"weirhaven/internal/engine"
)

// dialsPerAttempt is the maximum number of dials made within ConnectTimeout for one attempt. A slow dial may have lost packets, so
// another dial is started after each ConnectTimeout/dialsPerAttempt. The slow connection is kept for later attempts.
const dialsPerAttempt = 4

// maxReuseWait is the longest remaining reuse delay of an idle connection for which an attempt waits instead of opening another
// connection: endpoints hold few connections.
const maxReuseWait = 10 * time.Millisecond

// pastDeadline is a deadline that ends a read at once.
var pastDeadline = time.Unix(1, 0)

// assignConnection assigns a connection to an attempt of which no byte was written, or starts to wait for one. The caller holds
// mu.
func (e *endpoint) assignConnection(a *attempt) {
	a.conn = nil
	if e.closed || e.pool.ctx.Err() != nil {
		e.failUnconnected(a)
		return
	}
	e.waiting = append(e.waiting, a)
	if e.assignIdle(); a.conn != nil {
		return
	}
	if e.soonAvailable() < len(e.waiting) && e.mayDial() && !e.dial() && len(e.dialing)+len(e.idle) == 0 {
		e.failUnconnected(a)
		return
	}
	e.awaitConnection(a)
}

// soonAvailable returns the number of connections expected to be available soon. The caller holds mu.
func (e *endpoint) soonAvailable() (n int) {
	for _, c := range e.dialing {
		if time.Since(c.dialStartedAt) < e.pool.options.ConnectTimeout/dialsPerAttempt {
			n++
		}
	}
	delay := e.pool.reuseDelay.Duration(e.pool.options.Loop.Now())
	for _, c := range e.idle {
		if delay-time.Since(c.idleSince) <= maxReuseWait {
			n++
		}
	}
	return n
}

// mayDial reports whether the bound on concurrent dials allows another one. The caller holds mu.
func (e *endpoint) mayDial() bool { return len(e.dialing) < len(e.waiting)+dialsPerAttempt-1 }

// awaitConnection starts another dial after each interval, and fails the attempt after ConnectTimeout. The caller holds mu.
func (e *endpoint) awaitConnection(a *attempt) {
	interval := e.pool.options.ConnectTimeout / dialsPerAttempt
	intervals := 0
	a.connectTimer = time.AfterFunc(interval, func() {
		e.pool.mu.Lock()
		defer e.pool.mu.Unlock()
		if !slices.Contains(e.waiting, a) {
			return
		}
		if intervals++; intervals == dialsPerAttempt {
			e.failUnconnected(a)
			return
		}
		if e.mayDial() && e.pool.counts.Open < e.pool.options.MaxConnections/2 {
			e.dial() // below this bound no other connection is evicted for it
		}
		a.connectTimer.Reset(interval)
	})
}

// assignIdle assigns waiting attempts to idle connections whose reuse delay has passed, that is, on which a duplicate of the
// previous response would have arrived by now. The caller holds mu.
func (e *endpoint) assignIdle() {
	p := e.pool
	if n := len(e.idle); n > 0 && time.Since(e.idle[n-1].idleSince) > p.idleLimit.Duration() {
		e.closeIdle() // the others have been idle for longer
	}
	delay := p.reuseDelay.Duration(p.options.Loop.Now())
	for i := len(e.idle) - 1; i >= 0 && len(e.waiting) > 0; i-- {
		c := e.idle[i]
		if c.served && time.Since(c.idleSince) < delay {
			continue
		}
		e.idle = slices.Delete(e.idle, i, i+1)
		a := e.waiting[0]
		e.stopWaiting(a)
		c.idleBefore, c.next, a.conn = time.Since(c.idleSince), a, c
		_ = c.nc.SetReadDeadline(pastDeadline) // wakes the connection's goroutine
	}
	if len(e.waiting) > 0 && len(e.idle) > 0 {
		time.AfterFunc(delay, func() { // after Close no attempt is waiting
			p.mu.Lock()
			defer p.mu.Unlock()
			e.assignIdle()
		})
	}
}

// dial starts to open a connection. If MaxConnections are open, it evicts an idle one first, and returns false if none is idle.
// The caller holds mu.
func (e *endpoint) dial() bool {
	p := e.pool
	if p.counts.Open >= p.options.MaxConnections && !p.evict() {
		p.counts.Exhausted++
		return false
	}
	p.counts.Open++
	p.counts.Opened++
	ctx, cancel := context.WithCancel(p.ctx)
	c := &conn{endpoint: e, cancelDial: cancel, dialStartedAt: time.Now()}
	e.dialing = append(e.dialing, c)
	p.tasks.Go(func() { c.run(ctx) })
	return true
}

// failUnconnected reports an attempt that got no connection. The caller holds mu.
func (e *endpoint) failUnconnected(a *attempt) {
	e.stopWaiting(a)
	outcome := e.unconnectedOutcome()
	e.pool.tasks.Go(func() {
		e.report(a, engine.AttemptReport{Outcome: outcome, SeenAt: e.pool.options.Loop.Now()})
	})
}

// stopWaiting removes an attempt from the waiting ones. The caller holds mu.
func (e *endpoint) stopWaiting(a *attempt) {
	if i := slices.Index(e.waiting, a); i >= 0 {
		e.waiting = slices.Delete(e.waiting, i, i+1)
	}
	if a.connectTimer != nil {
		a.connectTimer.Stop()
		a.connectTimer = nil
	}
}
