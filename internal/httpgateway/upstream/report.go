package upstream

import (
	"weirhaven/internal/engine"
	"weirhaven/internal/httpgateway/metrics"
)

// report hands an attempt's outcome to the loop, unless it was canceled; the endpoint's name and the attempt's id are filled
// in here. Two reports would end a request twice, so whoever removes the attempt from inFlight, under mu, is the one that
// reports; a second report of the same attempt is counted as a violation. The caller does not hold mu: the loop may block.
func (e *endpoint) report(a *attempt, report engine.AttemptReport) {
	p := e.pool
	current, twice := e.remove(a)
	a.cancel()
	if twice {
		p.options.Recorder.RecordViolation(metrics.OneOutcome, a.request.Trace, "an attempt was reported twice")
	}
	release := func() { p.responseMemory.Release(a.reservedBytes) }
	if !current {
		release()
		return
	}
	outcome := report.Outcome.String()
	p.options.Recorder.Count(metrics.Attempt, metrics.Reason(outcome))
	p.options.Log.Debug("attempt ended", "request", a.request.Trace, "endpoint", e.name, "outcome", outcome, "started", a.started)
	report.Endpoint, report.ID = e.name, a.id
	posted := p.options.Loop.Post(func(core *engine.Core) {
		a.request.Release = release
		core.AttemptEnded(report)
		if a.request.Release != nil { // nobody takes the body
			a.request.Release = nil
			release()
		}
	})
	if !posted {
		release()
	}
}

// remove takes an attempt out of those in flight; current is false if it was canceled, twice is true if it was reported
// before.
func (e *endpoint) remove(a *attempt) (current, twice bool) {
	e.pool.mu.Lock()
	defer e.pool.mu.Unlock()
	current = e.inFlight[a.id] == a
	if current {
		delete(e.inFlight, a.id)
	}
	twice = current && a.reported
	a.reported = a.reported || current
	e.forgetIfDone()
	return current, twice
}
