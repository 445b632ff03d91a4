package endpointstate

import (
	"fmt"
	"time"
)

// Rule 1: a drain wins.
//
// Inputs: reports that an endpoint drains or is gone, from any source; the start of the endpoint's process as reported and as
// held (time on the gateway's clock, 0: not known); Rules.StartTolerance.
//
// Whoever reports a drain, the endpoint is barred for the process that the report speaks of and for all earlier ones. No age and
// no later report lifts it: only evidence of a later start, or an operator (Forget). An endpoint that is used although it
// drains fails requests, and one that is stopped for maintenance may lose them; one that is barred for too long only
// costs capacity. Sources are late in different ways, so "the latest report wins" would bring drained endpoints back.

// drain bars the process that a report speaks of. Where nobody reported its start, the process is older than the last
// report that it served: whatever starts after that is another process, however late the drain became known.
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
	b.DrainedUpTo = max(b.DrainedUpTo, barredStart, 1) // 0 would mean: no drain
	b.Serving = false
	b.Reason = fmt.Sprintf("%s, %s%s", reason, reasonToldBy, source)
}

// isBarred reports whether the process that is held of an endpoint was drained, or a complete list removed the endpoint.
func (f *Fleet) isBarred(b *Belief) bool {
	return b.removedByList || b.DrainedUpTo > 0 && f.startDrained(b, b.Started)
}

// drainCovers reports whether a report of a serving endpoint speaks of a process that was drained.
func (f *Fleet) drainCovers(b *Belief, r Report) bool {
	if b.DrainedUpTo <= 0 {
		return false
	}
	started := r.Started
	if started == 0 {
		started = b.Started
	}
	return f.startDrained(b, started)
}

// startDrained reports whether a process started then was drained.
func (f *Fleet) startDrained(b *Belief, started time.Duration) bool {
	return started <= b.DrainedUpTo+f.rules.StartTolerance
}

// drainOfEarlierStart reports whether a drain speaks of a process before the one held, and so is past.
func (f *Fleet) drainOfEarlierStart(b *Belief, r Report) bool {
	return r.Started != 0 && b.Started != 0 && r.Started < b.Started-f.rules.StartTolerance
}

// isLaterStart reports whether a report speaks of a process after the one held.
func (f *Fleet) isLaterStart(b *Belief, r Report) bool {
	return r.Started != 0 && r.Started > b.Started+f.rules.StartTolerance
}
