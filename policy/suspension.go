package policy

import "time"

// Suspension: an operating system may keep the whole process from running, for a moment or for seconds. What is measured across
// such an interval says nothing of an endpoint: an answer that came at once is read when the process runs again. So the time in
// which the process did not run counts neither as latency nor towards an attempt that is overdue. Deadlines and all other waits are
// real time. The sweep, which is due often, shows a suspension by being late.

// suspendedShare is how late a sweep has to be, as a part of the congestion threshold: what is shorter can't make a quick answer look
// congested.
const suspendedShare = 0.5

// maxSuspensions bounds those that are remembered, newest last.
const maxSuspensions = 32

// suspension is an interval in which the process did not run.
type suspension struct{ from, to time.Duration }

// suspensionLog remembers the suspensions of the process.
type suspensionLog struct {
	tolerance  time.Duration // by which a sweep may be late
	sweepDueAt time.Duration
	recent     []suspension
}

// sweepStarted notes a suspension if the sweep that starts now is late.
func (l *suspensionLog) sweepStarted(now time.Duration) {
	if now-l.sweepDueAt <= l.tolerance {
		return
	}
	if len(l.recent) == maxSuspensions {
		l.recent = l.recent[1:]
	}
	l.recent = append(l.recent, suspension{l.sweepDueAt, now})
}

// running is how long the process ran between two times.
func (l *suspensionLog) runningTime(from, to time.Duration) time.Duration {
	elapsed := to - from
	for _, s := range l.recent {
		elapsed -= max(min(to, s.to)-max(from, s.from), 0)
	}
	return elapsed
}
