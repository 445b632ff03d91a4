package upstream

import (
	"fmt"
	"time"

	"weirhaven/internal/httpgateway/metrics"
)

const (
	// schedulingSlack is the tolerance of the invariant checks: this process may be suspended for so long between reading its
	// clock and writing.
	schedulingSlack = 150 * time.Millisecond
	// maxEncodingAge is the maximum time between encoding the remaining time of an attempt and writing it. The encoded value
	// is in milliseconds.
	maxEncodingAge = 5 * time.Millisecond
	// maxSendAfterEnd is the maximum time between the end of a request (client disconnected or final response sent) and the
	// start of one of its attempts.
	maxSendAfterEnd = 100 * time.Millisecond
	// writeOverrun is the time after an attempt's deadline at which I/O on its connection fails; the engine cancels the attempt
	// earlier.
	writeOverrun = time.Second
)

// send writes an attempt; no other function does. While the attempt waited for its connection, its client may have disconnected,
// its request may have got a response, its deadline may have passed, or its endpoint may have begun to drain. If it were sent
// then, the endpoint would do useless work, or run a write that was reported as not run. So send checks the state, under the lock
// that cancellation takes too, and the clock immediately before the write. If the process was suspended after the remaining time
// was encoded, send encodes and checks again.
//
// started is false if no byte was written; complete is true if all bytes were written.
func (c *conn) send(a *attempt) (started, complete bool, err error) {
	now := c.endpoint.pool.options.Loop.Now
	for {
		encodedAt := now()
		remaining := a.deadline - encodedAt
		head, body := a.encode(remaining)
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
		err := c.write(head, body)
		c.checkSend(a, remaining, startedAt)
		a.body = nil
		return true, err == nil, err
	}
}

// write writes an attempt's head and body.
func (c *conn) write(head, body []byte) error {
	if _, err := c.nc.Write(head); err != nil || len(body) == 0 {
		return err
	}
	_, err := c.nc.Write(body)
	return err
}

// start reports whether the attempt may be sent now, and marks it as started if so.
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

// checkSend records a violation for each invariant broken by a write that started at startedAt and sent remaining as the time
// left.
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
