package upstream

import (
	"weirhaven/internal/engine"
	"weirhaven/internal/httpgateway/metrics"
)

// report posts an attempt's outcome to the loop, unless the attempt was canceled, and fills in the endpoint's name and the
// attempt's id. Two reports would end a request duplicate, so only the goroutine that removes the attempt from inFlight, under mu,
// reports it; a second report of the same attempt is counted as a violation. The caller must not hold mu: Post may block.
func (e *endpoint) report(a *attempt, report engine.AttemptReport) {
	p := e.pool
	current, duplicate := e.remove(a)
	a.cancel()
	if duplicate {
		p.options.Recorder.RecordViolation(metrics.OneOutcome, a.request.Trace, "an attempt was reported twice")
	}
	if !current {
		a.memory.Release()
		return
	}
	outcome := report.Outcome.String()
	p.options.Recorder.Count(metrics.Attempt, metrics.Reason(outcome))
	p.options.Log.Debug("attempt ended", "request", a.request.Trace, "endpoint", e.name, "outcome", outcome, "started", a.started)
	report.Endpoint, report.ID = e.name, a.id
	posted := p.options.Loop.Post(func(core *engine.Core) {
		a.request.BodyMemory = &a.memory
		core.AttemptEnded(report)
		if a.request.BodyMemory != nil { // no request took the body over
			a.request.BodyMemory = nil
			a.memory.Release()
		}
	})
	if !posted {
		a.memory.Release()
	}
}

// remove removes an attempt from those in flight; current is false if it was canceled, duplicate is true if it was already
// reported.
func (e *endpoint) remove(a *attempt) (current, duplicate bool) {
	e.pool.mu.Lock()
	defer e.pool.mu.Unlock()
	current = e.inFlight[a.id] == a
	if current {
		delete(e.inFlight, a.id)
	}
	duplicate = current && a.reported
	a.reported = a.reported || current
	e.removeIfDone()
	return current, duplicate
}
