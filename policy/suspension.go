package policy

import "time"

// Suspension: the operating system may suspend the whole process, for a moment or for seconds. A response that arrives meanwhile is
// read only after the process resumes, so the measured duration says nothing about the endpoint. The scheduler therefore subtracts
// suspensions from latencies and from the age of overdue attempts. Deadlines and all other waits are in real time. A suspension is
// detected by a sweep that starts late, since sweeps are frequent.

// suspendedShare is the lateness of a sweep from which it counts as a suspension, as a fraction of the congestion threshold. A
// shorter suspension can't make a quick response look congested.
const suspendedShare = 0.5

// maxSuspensions is the number of recent suspensions that are kept.
const maxSuspensions = 32

// suspension is an interval in which the process did not run.
type suspension struct{ from, to time.Duration }

// suspensionLog records the recent suspensions of the process, newest last.
type suspensionLog struct {
	tolerance         time.Duration // lateness up to which a sweep counts as on time
	sweepDueAt        time.Duration
	recentSuspensions []suspension
}

// sweepStarted records a suspension if the sweep that starts now is late.
func (l *suspensionLog) sweepStarted(now time.Duration) {
	if now-l.sweepDueAt <= l.tolerance {
		return
	}
	if len(l.recentSuspensions) == maxSuspensions {
		l.recentSuspensions = l.recentSuspensions[1:]
	}
	l.recentSuspensions = append(l.recentSuspensions, suspension{l.sweepDueAt, now})
}

// runningTime returns how long the process ran between two times.
func (l *suspensionLog) runningTime(from, to time.Duration) time.Duration {
	elapsed := to - from
	for _, s := range l.recentSuspensions {
		elapsed -= max(min(to, s.to)-max(from, s.from), 0)
	}
	return elapsed
}
