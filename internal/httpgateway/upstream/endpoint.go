package upstream

import (
	"context"
	"time"

	"weirhaven/internal/engine"
	"weirhaven/policy"
)

// endpoint is the way to one storage endpoint. It implements engine.EndpointConn, whose methods the engine calls from its
// loop; none blocks. All mutable fields are guarded by pool.mu.
type endpoint struct {
	pool          *Pool
	name, address string

	inFlight map[uint64]*attempt // sent here by the engine and neither reported nor canceled
	waiting  []*attempt          // of these, those without a connection, oldest first
	dialing  []*conn             // connections that are not up yet
	idle     []*conn             // connections without an attempt; the one used last is the last
	closed   bool                // the endpoint left the list: what is in flight may end, nothing new begins

	localFailureSince time.Time // dials fail on this machine since then; zero: they don't
}

// Send begins an attempt: on the idle connection used last if one may be used already, else on the first one that is there
// for it. timeout is what the client has left, or less; the attempt must not begin at startBy or later on the loop's
// clock (0: no such limit).
func (e *endpoint) Send(id uint64, request *engine.Request, _ int, timeout, startBy time.Duration) {
	p := e.pool
	deadline := p.options.Loop.Now() + timeout
	if request.Deadline > 0 { // the loop may have been held up since it computed the timeout
		deadline = min(deadline, request.Deadline)
	}
	a := &attempt{id: id, request: request, header: request.Header, body: request.Body, deadline: deadline, startBy: startBy}
	a.ctx, a.cancel = context.WithCancel(p.ctx)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counts.Attempts++
	e.inFlight[id] = a
	e.place(a)
}

// Cancel gives up an attempt: it is not reported, and its connection, if it has one, is closed.
func (e *endpoint) Cancel(id uint64) {
	e.pool.mu.Lock()
	defer e.pool.mu.Unlock()
	if a := e.inFlight[id]; a != nil {
		e.drop(a)
	}
}

// Abandon gives up an attempt whose time is over. HTTP/1.1 has no other way to do that than Cancel's.
func (e *endpoint) Abandon(id uint64) { e.Cancel(id) }

// Withdraw gives up an attempt of which no byte was written; true: none ever will be. False leaves the attempt as it is.
func (e *endpoint) Withdraw(id uint64) bool {
	e.pool.mu.Lock()
	defer e.pool.mu.Unlock()
	a := e.inFlight[id]
	if a == nil || a.started {
		return false
	}
	e.drop(a)
	return true
}

// CheckHealth reports a failure at once: the platform allows no health checks.
func (e *endpoint) CheckHealth(id uint64) {
	e.pool.tasks.Go(func() {
		e.pool.options.Loop.Post(func(core *engine.Core) { core.HealthChecked(e.name, id, policy.ConnectFailed) })
	})
}

// RequestGreeting does nothing: endpoints of the platform send no greeting.
func (e *endpoint) RequestGreeting() {}

// Close begins nothing new; attempts whose bytes are being sent may end.
func (e *endpoint) Close() {
	e.pool.mu.Lock()
	defer e.pool.mu.Unlock()
	e.closed = true
	e.closeIdle()
	for _, c := range e.dialing {
		c.close()
	}
	for len(e.waiting) > 0 {
		e.failUnconnected(e.waiting[0])
	}
	e.forgetIfDone()
}

// drop removes an attempt without a report. The caller holds mu.
func (e *endpoint) drop(a *attempt) {
	delete(e.inFlight, a.id)
	e.release(a)
	e.forgetIfDone()
}

// release lets go of what an attempt holds, and closes its connection. The caller holds mu.
func (e *endpoint) release(a *attempt) {
	a.cancel()
	e.stopWaiting(a)
	if a.conn != nil {
		a.conn.close()
	}
}

// closeIdle closes all idle connections. The caller holds mu.
func (e *endpoint) closeIdle() {
	for _, c := range e.idle {
		c.close()
	}
	e.idle = nil
}

// forgetIfDone removes a closed endpoint that has nothing in flight. The caller holds mu.
func (e *endpoint) forgetIfDone() {
	if e.closed && len(e.inFlight) == 0 {
		delete(e.pool.endpoints, e)
	}
}
