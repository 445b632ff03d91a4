package upstream

import (
	"context"
	"time"

	"weirhaven/internal/engine"
	"weirhaven/policy"
)

// endpoint holds the connections to one storage endpoint and the attempts in flight there. It implements engine.EndpointConn;
// the engine calls the methods from its loop, and none of them blocks. pool.mu guards all mutable fields.
type endpoint struct {
	pool          *Pool
	name, address string

	inFlight map[uint64]*attempt // attempts that the engine has sent and that are neither reported nor canceled, by id
	waiting  []*attempt          // attempts in flight without a connection, oldest first
	dialing  []*conn             // connections not established yet
	idle     []*conn             // connections without an attempt, the most recently used last
	closed   bool                // removed from the list: started attempts may complete, no new one starts

	localFailureSince time.Time // start of the current series of dials that failed on this machine; zero: none
}

// Send starts an attempt on the most recently used idle connection whose reuse delay has passed, or on the next connection that
// becomes available. timeout is at most the remaining time of the client. No byte may be written at startBy or later on the
// loop's clock (0: no such limit).
func (e *endpoint) Send(id uint64, request *engine.Request, _ int, timeout, startBy time.Duration) {
	p := e.pool
	deadline := p.options.Loop.Now() + timeout
	if request.Deadline > 0 { // the loop may have been delayed since it computed the timeout
		deadline = min(deadline, request.Deadline)
	}
	a := &attempt{id: id, request: request, header: request.Header, body: request.Body, deadline: deadline, startBy: startBy}
	a.ctx, a.cancel = context.WithCancel(p.ctx)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counts.Attempts++
	e.inFlight[id] = a
	e.assignConnection(a)
}

// Cancel cancels an attempt: no outcome is reported, and its connection, if any, is closed.
func (e *endpoint) Cancel(id uint64) {
	e.pool.mu.Lock()
	defer e.pool.mu.Unlock()
	if a := e.inFlight[id]; a != nil {
		e.drop(a)
	}
}

// Abandon cancels an attempt that has timed out. HTTP/1.1 can cancel only by closing the connection, as Cancel does.
func (e *endpoint) Abandon(id uint64) { e.Cancel(id) }

// Withdraw cancels an attempt if no byte of it was written. True: no byte will ever be written. False: the attempt is unchanged.
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

// Close closes the endpoint: no new attempt starts, and attempts that were started may complete.
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
	e.removeIfDone()
}

// drop removes an attempt without reporting it. The caller holds mu.
func (e *endpoint) drop(a *attempt) {
	delete(e.inFlight, a.id)
	e.release(a)
	e.removeIfDone()
}

// release frees the resources of an attempt and closes its connection. The caller holds mu.
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

// removeIfDone removes the endpoint from the pool if it is closed and has no attempt in flight. The caller holds mu.
func (e *endpoint) removeIfDone() {
	if e.closed && len(e.inFlight) == 0 {
		delete(e.pool.endpoints, e)
	}
}
