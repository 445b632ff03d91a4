package upstream

import (
	"context"
	"slices"
	"time"

	"weirhaven/internal/engine"
)

// A dial that takes long may have lost its packets: beside it another one is made after each dialsPerAttempt-th part of the
// time that an attempt waits for its connection. The slow connection is kept for later attempts.
const dialsPerAttempt = 4

// maxReuseWait is the longest rest of an idle connection that is waited for in place of opening one more: endpoints hold few.
const maxReuseWait = 10 * time.Millisecond

// longAgo as a deadline ends a read at once.
var longAgo = time.Unix(1, 0)

// place finds a connection for an attempt of which nothing was sent. The caller holds mu.
func (e *endpoint) place(a *attempt) {
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

// soonAvailable counts connections that an attempt can expect within a moment. The caller holds mu.
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

// mayDial bounds the dials at a time. The caller holds mu.
func (e *endpoint) mayDial() bool { return len(e.dialing) < len(e.waiting)+dialsPerAttempt-1 }

// awaitConnection makes one more dial after each interval and at last fails the attempt. The caller holds mu.
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
			e.dial() // only while there are enough: no other connection ends for it
		}
		a.connectTimer.Reset(interval)
	})
}

// assignIdle gives waiting attempts to idle connections that have rested for long enough: a duplicate of the response before
// would have come by now. The caller holds mu.
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
		_ = c.nc.SetReadDeadline(longAgo) // wakes its goroutine
	}
	if len(e.waiting) > 0 && len(e.idle) > 0 {
		time.AfterFunc(delay, func() { // one that fires after Close finds nothing waiting
			p.mu.Lock()
			defer p.mu.Unlock()
			e.assignIdle()
		})
	}
}

// dial opens one more connection, and closes an idle one for it if there are MaxConnections; false: none was idle. The
// caller holds mu.
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

// failUnconnected reports an attempt that never had a connection. The caller holds mu.
func (e *endpoint) failUnconnected(a *attempt) {
	e.stopWaiting(a)
	outcome := e.unconnectedOutcome()
	e.pool.tasks.Go(func() {
		e.report(a, engine.AttemptReport{Outcome: outcome, SeenAt: e.pool.options.Loop.Now()})
	})
}

// stopWaiting takes an attempt off the list of those that wait. The caller holds mu.
func (e *endpoint) stopWaiting(a *attempt) {
	if i := slices.Index(e.waiting, a); i >= 0 {
		e.waiting = slices.Delete(e.waiting, i, i+1)
	}
	if a.connectTimer != nil {
		a.connectTimer.Stop()
		a.connectTimer = nil
	}
}
