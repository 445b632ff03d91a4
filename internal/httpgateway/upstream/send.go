package upstream

import (
	"fmt"
	"time"

	"weirhaven/internal/httpgateway/metrics"
)

const (
	// schedulingSlack is how long this process may be suspended between reading its clock and writing; the checks allow for it.
	schedulingSlack = 150 * time.Millisecond
	// maxEncodingAge is the longest time between encoding an attempt's remaining time and its write; the field counts in
	// milliseconds.
	maxEncodingAge = 5 * time.Millisecond
	// maxSendAfterEnd is the longest time after its client left, or was answered, within which an attempt may begin.
	maxSendAfterEnd = 100 * time.Millisecond
	// writeOverrun is how long past its deadline an attempt's connection may still be in use; the engine cancels it before.
	writeOverrun = time.Second
)

// send is the one place where bytes of an attempt leave. An attempt may have waited for its connection while its client
// left, its request was answered, its deadline passed or its endpoint began to drain; were it sent then, the endpoint would
// do work that nobody waits for, or run a write that was reported as not run. The guard holds since it reads the state, under
// the lock under which attempts are given up, and the clock right before the write. Where this process was suspended between
// the two, or after the remaining time was encoded, both are done anew.
//
// started is false if not a byte was written; complete is true if all were.
func (c *conn) send(a *attempt) (started, complete bool, err error) {
	now := c.endpoint.pool.options.Loop.Now
	for {
		encodedAt := now()
		remaining := a.deadline - encodedAt
		message := a.encode(remaining)
		_ = c.nc.SetDeadline(time.Now().Add(remaining + writeOverrun)) // a broken connection fails the write
		if !c.start(a) {
			return false, false, nil
		}
		startedAt := now()
		if startedAt-encodedAt > maxEncodingAge {
			continue
		}
		if beforeWrite := c.endpoint.pool.options.BeforeWrite; beforeWrite != nil {
			beforeWrite()
			startedAt = now()
		}
		n, err := c.nc.Write(message)
		c.checkSend(a, remaining, startedAt)
		return true, n >= len(message), err
	}
}

// start decides whether an attempt may be sent now, and marks it as started if so.
func (c *conn) start(a *attempt) bool {
	p := c.endpoint.pool
	if clientClosed := a.request.ClientClosed; clientClosed != nil && clientClosed() {
		a.request.End(p.options.Loop.Now())
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.options.Loop.Now()
	_, ended := a.request.EndedAt()
	canceled := c.endpoint.inFlight[a.id] != a || c.closed
	a.started = !canceled && !ended && now < a.deadline && (a.startBy == 0 || now < a.startBy)
	return a.started
}

// checkSend counts the invariants that a write violated which began at startedAt and gave its endpoint remaining.
func (c *conn) checkSend(a *attempt, remaining, startedAt time.Duration) {
	recorder, request := c.endpoint.pool.options.Recorder, a.request.Trace
	if endedAt, ended := a.request.EndedAt(); ended && startedAt-endedAt > maxSendAfterEnd {
		recorder.RecordViolation(metrics.SendInTime, request, fmt.Sprintf("an attempt began %v after its request ended", startedAt-endedAt))
	}
	if startedAt-a.deadline > schedulingSlack {
		recorder.RecordViolation(metrics.SendInTime, request, fmt.Sprintf("an attempt began %v after its deadline", startedAt-a.deadline))
	}
	if excess := remaining - (a.deadline - startedAt); excess > schedulingSlack {
		recorder.RecordViolation(metrics.DeadlinePropagated, request, fmt.Sprintf("the endpoint was given %v more than is left", excess))
	}
}
