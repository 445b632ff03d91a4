package engine

import (
	"slices"
	"time"

	"weirhaven/policy"
)

// EndpointConn is the connection to one endpoint. Calls come from the Core's owner and must not block. The connection
// reports each attempt and health check to Core.AttemptEnded or Core.HealthChecked at most once, as soon as it knows the
// outcome, also without a response of the endpoint. It never reports from within a call of EndpointConn.
type EndpointConn interface {
	// Send sends attempt number (0: the first) of a request under the ID id. remaining is the time until the request's
	// deadline. The attempt must not begin after startBy, on the engine's clock; 0: no bound.
	Send(id uint64, request *Request, number int, remaining, startBy time.Duration)
	// Cancel asks the endpoint to stop an attempt whose outcome is no longer needed.
	Cancel(id uint64)
	// Withdraw removes an attempt of which no byte was written, so that none ever is; it reports whether it did.
	Withdraw(id uint64) bool
	// RequestGreeting asks the endpoint for a greeting, on a new connection if necessary.
	RequestGreeting()
	// Abandon drops an attempt or health check that timed out.
	Abandon(id uint64)
	// CheckHealth sends a health check under the ID id.
	CheckHealth(id uint64)
	// Close ends the connection and everything in flight on it.
	Close()
}

// AttemptReport is the outcome of an attempt as its connection observed it.
type AttemptReport struct {
	Endpoint string // name of the endpoint that the attempt was sent to
	ID       uint64 // as in EndpointConn.Send
	Outcome  policy.Outcome
	// SeenAt is the time on the engine's clock at which the connection observed the outcome; 0: now. The time that the
	// report then spends in the loop's queue does not count as the endpoint's latency.
	SeenAt time.Duration
	Body   []byte // response body; only with policy.Served
	Load   policy.LoadReport
}

// attempt is an attempt from the scheduler's Send until its outcome.
type attempt struct {
	*policy.Attempt // the scheduler's view of it
	id              uint64
	owner           *openRequest
	target          *endpoint // nil: the endpoint was removed before the attempt
	sentAt          time.Duration
	recordIndex     int // index in the owner's record.Attempts
	ended           bool
}

// hasConn reports whether the attempt's endpoint has a connection.
func (a *attempt) hasConn() bool { return a.target != nil && a.target.conn != nil }

// send carries out the scheduler's Send. An attempt that can't be sent ends as policy.NotSent after the scheduler has
// returned.
func (c *Core) send(scheduled *policy.Attempt) {
	open := c.requests[scheduled.Request.ID]
	c.lastID++
	a := &attempt{Attempt: scheduled, id: c.lastID, owner: open, target: c.endpoints[scheduled.Endpoint.Name], sentAt: c.now}
	c.attempts[a.id] = a
	open.inFlight = append(open.inFlight, a)
	c.recordAttempt(a)
	c.counts.InFlight++
	if a.target != nil {
		a.target.inFlight++
	}
	if !c.canSend(a) {
		c.finishLater(a, policy.NotSent)
		return
	}
	open.attemptsSent++
	c.checkOverlap(a)
	c.counts.Attempts++
	if scheduled.Number > 0 {
		c.counts.Retries++
	}
	remaining := open.deadline - c.now
	c.schedule(remaining, timer{attempt: a})
	a.target.conn.Send(a.id, open.request, scheduled.Number, remaining, scheduled.StartBy)
}

// canSend enforces the limits that apply whatever the scheduler decides.
func (c *Core) canSend(a *attempt) bool {
	open := a.owner
	return !open.done && open.deadline > c.now && open.attemptsSent < c.maxAttempts && a.hasConn() && !c.stopping
}

// checkOverlap counts an attempt that begins while another attempt of its request is in flight although the settings
// forbid hedging.
func (c *Core) checkOverlap(sent *attempt) {
	if !c.hedgingDisabled || !slices.ContainsFunc(sent.owner.inFlight, func(a *attempt) bool { return a != sent && !a.ended }) {
		return
	}
	c.counts.Overlapping++
	if c.OnOverlap != nil {
		c.OnOverlap(sent.owner.request.Trace)
	}
}

// cancel carries out the scheduler's Cancel.
func (c *Core) cancel(scheduled *policy.Attempt) {
	open := c.requests[scheduled.Request.ID]
	if open == nil {
		return
	}
	i := slices.IndexFunc(open.inFlight, func(a *attempt) bool { return a.Attempt == scheduled && !a.ended })
	if i < 0 {
		return
	}
	a := open.inFlight[i]
	if c.withdraw(a) {
		return
	}
	if a.hasConn() {
		a.target.conn.Cancel(a.id)
	}
	c.finishLater(a, policy.Canceled)
}

// withdraw ends an attempt as policy.NotSent if no byte of it was written; it reports whether it did.
func (c *Core) withdraw(a *attempt) bool {
	if a.ended || !a.hasConn() || !a.target.conn.Withdraw(a.id) {
		return false
	}
	c.finishLater(a, policy.NotSent)
	return true
}

// finishLater ends an attempt after the scheduler has returned.
func (c *Core) finishLater(a *attempt, outcome policy.Outcome) {
	c.deferCall(func() { c.finishAttempt(a, AttemptReport{Outcome: outcome, SeenAt: c.now}) })
}

// ResponseStarted reports that an endpoint has begun to stream the response to the attempt id. Part of the response may
// have reached the client then, so the attempt no longer times out and the request is not retried.
func (c *Core) ResponseStarted(endpointName string, id uint64) {
	a := c.attempts[id]
	if a == nil || a.Endpoint.Name != endpointName || a.owner.done || a.owner.responseStarted {
		c.counts.LateOutcomes++
		return
	}
	a.owner.responseStarted = true
	if a.owner.request.ResponseStarted != nil {
		a.owner.request.ResponseStarted()
	}
	c.scheduler.ResponseStarted(a.Attempt)
	c.runDeferred()
}

// AttemptEnded takes the outcome of an attempt. A report on an attempt that has already ended, or that was sent to another
// endpoint, is counted and dropped.
func (c *Core) AttemptEnded(report AttemptReport) {
	a := c.attempts[report.ID]
	if a == nil {
		c.counts.LateOutcomes++
		return
	}
	if a.Endpoint.Name != report.Endpoint {
		c.counts.MismatchedOutcomes++
		return
	}
	if report.SeenAt == 0 {
		report.SeenAt = c.now
	}
	c.finishAttempt(a, report)
	c.runDeferred()
}

// finishAttempt ends an attempt; every attempt ends here.
func (c *Core) finishAttempt(a *attempt, report AttemptReport) {
	if a.ended {
		c.counts.LateOutcomes++
		return
	}
	open := a.owner
	if report.Outcome == policy.TimedOut && open.responseStarted && !open.done {
		return // a streamed response does not time out
	}
	report.SeenAt = min(max(report.SeenAt, a.sentAt), c.now)
	c.closeAttempt(a, report)
	if report.Outcome == policy.TimedOut && a.hasConn() {
		a.target.conn.Abandon(a.id)
	}
	if report.Outcome.MayHaveRun() {
		open.mayHaveRun = true
	}
	switch {
	case report.Outcome == policy.Served:
		c.respond(open, Response{Result: Served, Body: report.Body})
	case open.responseStarted && !open.done: // the client may have part of the response: no retry is possible
		c.respond(open, Response{Result: Failed, Reason: "the answer broke off"})
	}
	c.scheduler.AttemptEnded(a.Attempt, policy.AttemptResult{Outcome: report.Outcome, Duration: report.SeenAt - a.sentAt, RequestOver: open.done,
		Load: report.Load})
	c.releaseIfDone(open)
	c.endpointAttemptEnded(a.target, report.Outcome)
}

// closeAttempt removes an attempt from those in flight and counts its outcome.
func (c *Core) closeAttempt(a *attempt, report AttemptReport) {
	a.ended = true
	delete(c.attempts, a.id)
	c.counts.InFlight--
	c.counts.Outcomes[report.Outcome]++
	a.owner.inFlight = slices.DeleteFunc(a.owner.inFlight, func(other *attempt) bool { return other == a })
	recordOutcome(a, report)
}
