package endpointconn

import (
	"sync"
	"time"

	"weirhaven/internal/engine"
	"weirhaven/internal/lineproto"
	"weirhaven/policy"
)

// endpoint implements engine.EndpointConn. The engine's loop calls its methods, which never block.
type endpoint struct {
	connector     *Connector
	name, address string

	mu     sync.Mutex // guards the fields below, and the fields of conn that are marked so
	conn   *conn      // nil: none; the next message establishes one
	closed bool
}

// Send sends an attempt of a request, after establishing a connection if there is none. The message carries the time that is
// left when it is encoded for writing.
func (e *endpoint) Send(id uint64, request *engine.Request, attempt int, timeout, _ time.Duration) {
	e.send(&outgoing{id: id, request: request, body: request.Body, attempt: attempt, deadline: time.Now().Add(timeout)})
}

// CheckHealth sends a health check.
func (e *endpoint) CheckHealth(id uint64) { e.send(&outgoing{id: id}) }

// send queues a message on the current connection. A message that can't be queued is reported from a goroutine: the caller is
// the engine's loop, and posting to its own full queue would deadlock.
func (e *endpoint) send(message *outgoing) {
	if e.enqueue(message) {
		return
	}
	e.connector.wg.Go(func() { e.report(message.id, policy.ConnectFailed, message.request == nil, nil) })
}

func (e *endpoint) enqueue(message *outgoing) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	c := e.current()
	if c == nil || len(c.inFlight) >= e.connector.limits.EndpointQueue || !c.add(message) {
		return false
	}
	if c.awaitingSince.IsZero() {
		c.awaitingSince = time.Now()
	}
	return true
}

// current returns the connection, and makes one if there is none; nil after Close. The caller holds mu.
func (e *endpoint) current() *conn {
	if e.conn == nil && !e.closed {
		e.conn = newConn(e)
		e.connector.wg.Go(e.conn.run)
	}
	return e.conn
}

// Cancel asks the endpoint to stop an attempt. Its outcome is no longer reported, unless a late response arrives.
func (e *endpoint) Cancel(id uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.conn == nil {
		return
	}
	if _, ok := e.conn.inFlight[id]; !ok {
		return
	}
	delete(e.conn.inFlight, id)
	if !e.conn.started {
		return // the attempt has not been encoded, and start skips it
	}
	var m lineproto.Builder
	_, _ = e.conn.sender.Send(m.Start(lineproto.VerbCancel, id).End(nil).Buffer) // may be lost: it only saves the endpoint work
}

// RequestGreeting replaces the connection by a new one, on which the endpoint sends a greeting, unless the current one has
// messages in flight or is still waiting for its greeting.
func (e *endpoint) RequestGreeting() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.conn != nil && len(e.conn.inFlight) == 0 && e.conn.greeted {
		e.conn.cancel()
		e.conn = nil
	}
	e.current()
}

// Withdraw always returns false: a message that was queued may have been written.
func (e *endpoint) Withdraw(uint64) bool { return false }

// Abandon drops an attempt or health check that has timed out. Its outcome is no longer reported, unless a late response
// arrives.
func (e *endpoint) Abandon(id uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.conn != nil {
		delete(e.conn.inFlight, id)
	}
}

// Close ends the connection; the attempts and health checks in flight are reported.
func (e *endpoint) Close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.closed = true
	if e.conn != nil {
		e.conn.cancel()
	}
}

// report posts the outcome of an attempt or a health check to the engine. response is nil if there was none.
func (e *endpoint) report(id uint64, outcome policy.Outcome, healthCheck bool, response *lineproto.Message) {
	if healthCheck {
		e.connector.loop.Post(func(c *engine.Core) { c.HealthChecked(e.name, id, outcome) })
		return
	}
	report := engine.AttemptReport{Endpoint: e.name, ID: id, Outcome: outcome}
	if response != nil {
		report.Body, report.Load = response.Body, loadReport(response)
	}
	e.connector.loop.Post(func(c *engine.Core) { c.AttemptEnded(report) })
}

// loadReport reads the load that an endpoint reports with a response. A value that can't be parsed counts as absent, so that a
// malformed load report does not invalidate the response.
func loadReport(response *lineproto.Message) (load policy.LoadReport) {
	load.ServedElsewhere, _ = response.Float(lineproto.FieldServedElsewhere, 0)
	load.Utilization, _ = response.Float(lineproto.FieldUtilization, 0)
	return load
}
