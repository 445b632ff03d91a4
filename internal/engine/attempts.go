package engine

import (
	"slices"
	"time"

	"weirhaven/policy"
)

// EndpointConn is the connection to one endpoint. Calls come from the Core's owner and return at once. An attempt or
// health check that the endpoint doesn't answer is reported by Core.AttemptEnded or Core.HealthChecked once the
// connection knows how it ended. Each is reported once at most, never from within a call of EndpointConn.
type EndpointConn interface {
	// Send sends attempt number (0: the first) of a request as id. remaining is how long the request still has. If the
	// attempt has not begun by startBy, on the engine's clock, it must not; 0: no such time.
	Send(id uint64, request *Request, number int, remaining, startBy time.Duration)
	// Cancel asks the endpoint to stop an attempt whose outcome is not waited for any more.
	Cancel(id uint64)
	// Withdraw reports whether no byte of the attempt was written; then none ever will be.
	Withdraw(id uint64) bool
	// RequestGreeting asks the endpoint for a greeting, on a new connection if need be.
	RequestGreeting()
	// Abandon gives up waiting for an attempt or health check that timed out.
	Abandon(id uint64)
	// CheckHealth sends a health check as id.
	CheckHealth(id uint64)
	// Close ends the connection and whatever is in flight on it.
	Close()
}

// AttemptReport is how an attempt ended, as its connection saw it.
type AttemptReport struct {
	Endpoint string // to which the attempt was sent
	ID       uint64 // as in EndpointConn.Send
	Outcome  policy.Outcome
	// SeenAt is when the connection saw the outcome, on the engine's clock; 0: now. Time that the report then waited for
	// the loop's turn doesn't count against the endpoint.
	SeenAt time.Duration
	Body   []byte // only of policy.Served
	Load   policy.LoadReport
}

// attempt is one attempt from the scheduler's Send until its outcome.
type attempt struct {
	*policy.Attempt // the scheduler's view of it
	id              uint64
	owner           *openRequest
	target          *endpoint // nil: the endpoint was dropped before the attempt
	sentAt          time.Duration
	recordIndex     int // in the attempts of the owner's record
	ended           bool
}

// hasConn reports whether there is a connection that may know of the attempt.
func (a *attempt) hasConn() bool { return a.target != nil && a.target.conn != nil }

// send carries out the scheduler's Send. One that can't be sent ends as policy.NotSent, once the scheduler has returned.
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
	c.schedule(remaining, timer{expires: a})
	a.target.conn.Send(a.id, open.request, scheduled.Number, remaining, scheduled.StartBy)
}

// canSend holds the limits that no scheduler may pass, however it decides.
func (c *Core) canSend(a *attempt) bool {
	open := a.owner
	return !open.done && open.deadline > c.now && open.attemptsSent < c.maxAttempts && a.hasConn() && !c.stopping
}

// checkOverlap counts an attempt that begins while another of its request is in flight and settings forbid that.
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

// withdraw ends an attempt as policy.NotSent if nothing of it was written; it reports whether that is so.
func (c *Core) withdraw(a *attempt) bool {
	if a.ended || !a.hasConn() || !a.target.conn.Withdraw(a.id) {
		return false
	}
	c.finishLater(a, policy.NotSent)
	return true
}

// finishLater ends an attempt once the scheduler has returned.
func (c *Core) finishLater(a *attempt, outcome policy.Outcome) {
	c.deferCall(func() { c.finishAttempt(a, AttemptReport{Outcome: outcome, SeenAt: c.now}) })
}

// ResponseStarted reports that an endpoint has begun to stream the response of the attempt id. From then on the response
// is the client's: the attempt has no timeout and the request no retry.
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

// AttemptEnded reports how an attempt ended. A report on an attempt that is over already, or that went to another
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

// finishAttempt is the one place where an attempt ends.
func (c *Core) finishAttempt(a *attempt, report AttemptReport) {
	if a.ended {
		c.counts.LateOutcomes++
		return
	}
	open := a.owner
	if report.Outcome == policy.TimedOut && open.responseStarted && !open.done {
		return // a stream has no timeout
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
	case open.responseStarted && !open.done: // the client has part of the response: a retry can't mend it
		c.respond(open, Response{Result: Failed, Reason: "the answer broke off"})
	}
	c.scheduler.AttemptEnded(a.Attempt, policy.AttemptResult{Outcome: report.Outcome, Duration: report.SeenAt - a.sentAt, RequestOver: open.done,
		Load: report.Load})
	c.releaseIfDone(open)
	c.endpointAttemptEnded(a.target, report.Outcome)
}

// closeAttempt takes an attempt out of what is in flight.
func (c *Core) closeAttempt(a *attempt, report AttemptReport) {
	a.ended = true
	delete(c.attempts, a.id)
	c.counts.InFlight--
	c.counts.Outcomes[report.Outcome]++
	a.owner.inFlight = slices.DeleteFunc(a.owner.inFlight, func(other *attempt) bool { return other == a })
	recordOutcome(a, report)
}
