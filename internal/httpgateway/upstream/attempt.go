package upstream

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"weirhaven/internal/engine"
	"weirhaven/internal/http1"
	"weirhaven/internal/httpgateway/metrics"
	"weirhaven/policy"
)

// attempt is an attempt until it is reported or given up.
type attempt struct {
	id            uint64
	request       *engine.Request
	header        []byte // the task's, which drops its body with the final answer
	body          []byte
	reservedBytes int64         // of the budget for bodies
	deadline      time.Duration // on the loop's clock: its client, or the module, waits no longer
	sendBefore    time.Duration // it must begin by then, on the loop's clock; 0: any time
	ctx           context.Context
	cancel        context.CancelFunc // ends ctx when it is given up
	conn          *conn              // that it is on; nil: it waits for one
	started       bool               // its bytes are being written, or were
	reported      bool
	connectTimer  *time.Timer // while it waits
}

// outcomes names how an attempt ended, by policy.Ending: the word in log, counter and page.
var outcomeNames = [...]metrics.Reason{policy.Served: "completed", policy.ErrorResponse: "errored", policy.Rejected: "turned-away", policy.TimedOut: "timed-out",
	policy.ConnectFailed: "not-connected", policy.ConnectionReset: "broken", policy.Canceled: "called-off", policy.NotSent: "unsent"}

// heldUp is how long the process may be held up between reading its clock and writing; rules count with it.
const schedulingSlack = 150 * time.Millisecond

// lateAfterEnd is the longest time after its client left, or was answered, in which an attempt may still begin.
const maxSendAfterEnd = 100 * time.Millisecond

// render is an attempt's bytes, which tell the server how much time is left.
func (j *attempt) render(left time.Duration) []byte {
	b := make([]byte, 0, len(j.header)+96+len(j.body))
	b = append(b, j.header...)
	b = http1.AppendField(b, "X-Remaining-Ms", strconv.FormatInt(max(left.Milliseconds(), 1), 10))
	if len(j.body) > 0 || len(b) > 0 && b[0] == 'P' {
		return http1.AppendEnd(b, j.body)
	}
	return append(b, "\r\n"...)
}

// send is the one place where an attempt's bytes leave. It decides by the state and the clock of that very moment whether
// the attempt may still begin; begun is false if not a byte was written.
func (c *conn) send(j *attempt) (begun, whole bool, err error) {
	now := c.endpoint.pool.options.Loop.Now
	if gone := j.request.ClientClosed; gone != nil && gone() {
		j.request.End(now())
	}
	decided := now()
	if !c.begin(j, decided) {
		return false, false, nil
	}
	c.nc.SetDeadline(time.Now().Add(j.deadline - decided + time.Second)) // the loop gives it up before
	told := j.deadline - now()
	request := j.render(told)
	started := now()
	n, err := c.nc.Write(request)
	c.check(j, told, started)
	return true, n >= len(request), err
}

// begin tells whether an attempt may be written now, and marks it as begun if so.
func (c *conn) begin(j *attempt, now time.Duration) bool {
	p := c.endpoint.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	_, ended := j.request.EndedAt()
	switch {
	case c.endpoint.inFlight[j.id] != j, c.closed: // it was given up
	case ended, now >= j.deadline, j.sendBefore != 0 && now >= j.sendBefore:
	default:
		j.started = true
	}
	return j.started
}

// check counts what a write broke that began at started.
func (c *conn) check(j *attempt, told, started time.Duration) {
	record := c.endpoint.pool.options.Recorder
	if at, ended := j.request.EndedAt(); ended && started-at > maxSendAfterEnd {
		record.RecordViolation(metrics.SendInTime, j.request.Trace, fmt.Sprintf("an attempt began %v after its request ended", started-at))
	}
	if started-j.deadline > schedulingSlack {
		record.RecordViolation(metrics.SendInTime, j.request.Trace, fmt.Sprintf("an attempt began %v after its deadline", started-j.deadline))
	}
	if over := told - (j.deadline - started); over > schedulingSlack {
		record.RecordViolation(metrics.DeadlinePropagated, j.request.Trace, fmt.Sprintf("told %v more than is left", over))
	}
}
