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
	id       uint64
	task     *engine.Request
	lead     []byte // the task's, which drops its body with the final answer
	body     []byte
	held     int64         // of the budget for bodies
	deadline time.Duration // on the loop's clock: its client, or the module, waits no longer
	notAfter time.Duration // it must begin by then, on the loop's clock; 0: any time
	ctx      context.Context
	stop     context.CancelFunc // ends ctx when it is given up
	conn     *conn              // that it is on; nil: it waits for one
	begun    bool               // its bytes are being written, or were
	reported bool
	wait     *time.Timer // while it waits
}

// outcomes names how an attempt ended, by policy.Ending: the word in log, counter and page.
var outcomes = [...]metrics.Reason{policy.Served: "completed", policy.ErrorResponse: "errored", policy.Rejected: "turned-away", policy.TimedOut: "timed-out",
	policy.ConnectFailed: "not-connected", policy.ConnectionReset: "broken", policy.Canceled: "called-off", policy.NotSent: "unsent"}

// heldUp is how long the process may be held up between reading its clock and writing; rules count with it.
const heldUp = 150 * time.Millisecond

// lateAfterEnd is the longest time after its client left, or was answered, in which an attempt may still begin.
const lateAfterEnd = 100 * time.Millisecond

// render is an attempt's bytes, which tell the server how much time is left.
func (j *attempt) render(left time.Duration) []byte {
	b := make([]byte, 0, len(j.lead)+96+len(j.body))
	b = append(b, j.lead...)
	b = http1.AppendField(b, "X-Remaining-Ms", strconv.FormatInt(max(left.Milliseconds(), 1), 10))
	if len(j.body) > 0 || len(b) > 0 && b[0] == 'P' {
		return http1.AppendEnd(b, j.body)
	}
	return append(b, "\r\n"...)
}

// send is the one place where an attempt's bytes leave. It decides by the state and the clock of that very moment whether
// the attempt may still begin; begun is false if not a byte was written.
func (c *conn) send(j *attempt) (begun, whole bool, err error) {
	now := c.endpoint.pool.o.Loop.Now
	if gone := j.task.ClientClosed; gone != nil && gone() {
		j.task.End(now())
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
	_, ended := j.task.EndedAt()
	switch {
	case c.endpoint.out[j.id] != j, c.dead: // it was given up
	case ended, now >= j.deadline, j.notAfter != 0 && now >= j.notAfter:
	default:
		j.begun = true
	}
	return j.begun
}

// check counts what a write broke that began at started.
func (c *conn) check(j *attempt, told, started time.Duration) {
	record := c.endpoint.pool.o.Observe
	if at, ended := j.task.EndedAt(); ended && started-at > lateAfterEnd {
		record.Violated(metrics.SendInTime, j.task.Trace, fmt.Sprintf("an attempt began %v after its request ended", started-at))
	}
	if started-j.deadline > heldUp {
		record.Violated(metrics.SendInTime, j.task.Trace, fmt.Sprintf("an attempt began %v after its deadline", started-j.deadline))
	}
	if over := told - (j.deadline - started); over > heldUp {
		record.Violated(metrics.DeadlineTold, j.task.Trace, fmt.Sprintf("told %v more than is left", over))
	}
}
