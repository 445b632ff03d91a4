package endpointconn

import (
	"sync"
	"time"

	"weirhaven/internal/engine"
	"weirhaven/internal/lineproto"
	"weirhaven/policy"
)

// endpoint is an engine.EndpointConn. Its methods are called by the engine's loop and never block.
type endpoint struct {
	connector     *Connector
	name, address string

	mu     sync.Mutex // guards what follows, and the marked fields of each conn
	conn   *conn      // nil: none, the next attempt makes one
	closed bool
}

// Send sends an attempt of a request, on a connection that may have to be made first. The endpoint is told the time that is left
// when the attempt is written.
func (e *endpoint) Send(id uint64, request *engine.Request, attempt int, timeout, _ time.Duration) {
	e.send(&outgoing{id: id, request: request, body: request.Body, attempt: attempt, deadline: time.Now().Add(timeout)})
}

// CheckHealth sends a health check.
func (e *endpoint) CheckHealth(id uint64) { e.send(&outgoing{id: id}) }

// send queues a message on the present connection. What can't be queued is reported from a goroutine, because the engine's loop,
// which calls this, is in the middle of a turn and would wait for itself.
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

// current returns the connection, a new one if there is none; nil after Close. To be called with mu held.
func (e *endpoint) current() *conn {
	if e.conn == nil && !e.closed {
		e.conn = newConn(e)
		e.connector.wg.Go(e.conn.run)
	}
	return e.conn
}

// Cancel asks the endpoint to stop an attempt. No outcome is reported for it any more.
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
		return // it is not encoded
	}
	var m lineproto.Builder
	_, _ = e.conn.sender.Send(m.Start(lineproto.VerbCancel, id).End(nil).Buffer) // only spares the endpoint work
}

// RequestGreeting makes a new connection, on which the endpoint greets, unless something is in flight on the present one or
// its greeting is still awaited.
func (e *endpoint) RequestGreeting() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.conn != nil && len(e.conn.inFlight) == 0 && e.conn.greeted {
		e.conn.cancel()
		e.conn = nil
	}
	e.current()
}

// Withdraw returns false: what was handed over may have been written.
func (e *endpoint) Withdraw(uint64) bool { return false }

// Abandon drops an attempt or health check that has timed out. No outcome is reported for it any more, except by a late response.
func (e *endpoint) Abandon(id uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.conn != nil {
		delete(e.conn.inFlight, id)
	}
}

// Close ends the connection; what is in flight is reported.
func (e *endpoint) Close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.closed = true
	if e.conn != nil {
		e.conn.cancel()
	}
}

// report posts the outcome of an attempt or a health check, with the response if there was one.
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

// loadReport reads the load that an endpoint reports with a response. A figure that can't be read counts as none: the response is
// worth more than its load report.
func loadReport(response *lineproto.Message) (load policy.LoadReport) {
	load.ServedElsewhere, _ = response.Float(lineproto.FieldServedElsewhere, 0)
	load.Utilization, _ = response.Float(lineproto.FieldUtilization, 0)
	return load
}
