package endpointstate

import (
	"fmt"
	"time"
)

// Rule 1: a drain takes precedence.
//
// Inputs: reports from any source that an endpoint is draining or removed; the start of the endpoint's process in the report and in
// the belief (time on the gateway's clock, 0: unknown); Rules.StartTolerance.
//
// A drain from any source bars the reported process and all earlier ones. Neither age nor a later report lifts the drain, only
// evidence of a later start or an operator (Forget). Using a draining endpoint makes requests fail, and an endpoint that is being
// stopped for maintenance may lose them, whereas barring an endpoint for too long costs only capacity. Because the sources lag by
// different amounts, a rule that the latest report wins would bring drained endpoints back.

// drain bars the process that a report refers to. If its start is unknown, the process is assumed to be older than the last
// report that it was serving: any process that starts after that report is a different one, however late the drain became known.
func (f *Fleet) drain(b *Belief, source Source, reason string, started, now time.Duration) {
	barredStart := max(started, b.Started)
	if barredStart == 0 {
		barredStart = b.ObservedAt
	}
	if barredStart == 0 {
		barredStart = now
	}
	if !f.isBarred(b) {
		b.DrainKnownAt = now
	}
	b.DrainedUpTo = max(b.DrainedUpTo, barredStart, 1) // 0 means no drain
	b.Serving = false
	b.Reason = fmt.Sprintf("%s, %s%s", reason, reasonReportedBy, source)
}

// isBarred reports whether the endpoint's known process was drained, or a complete list removed the endpoint.
func (f *Fleet) isBarred(b *Belief) bool {
	return b.removedByList || b.DrainedUpTo > 0 && f.isStartDrained(b, b.Started)
}

// isDrainedProcess reports whether a report of a serving endpoint refers to a drained process.
func (f *Fleet) isDrainedProcess(b *Belief, r Report) bool {
	if b.DrainedUpTo <= 0 {
		return false
	}
	started := r.Started
	if started == 0 {
		started = b.Started
	}
	return f.isStartDrained(b, started)
}

// isStartDrained reports whether a process with this start time was drained.
func (f *Fleet) isStartDrained(b *Belief, started time.Duration) bool {
	return started <= b.DrainedUpTo+f.rules.StartTolerance
}

// isDrainOfEarlierStart reports whether a drain refers to a process before the known one and is therefore out of date.
func (f *Fleet) isDrainOfEarlierStart(b *Belief, r Report) bool {
	return r.Started != 0 && b.Started != 0 && r.Started < b.Started-f.rules.StartTolerance
}

// isLaterStart reports whether a report refers to a process after the known one.
func (f *Fleet) isLaterStart(b *Belief, r Report) bool {
	return r.Started != 0 && r.Started > b.Started+f.rules.StartTolerance
}
