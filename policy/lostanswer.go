package policy

import (
	"slices"
	"time"
)

// Lost responses: if a connection silently fails, its attempt stays in flight until the deadline. When an endpoint quickly answers a
// later request or a health check, an attempt that is overdue there is presumed lost: it no longer occupies a slot, and it is
// canceled so that its request can be retried. Without health checks it is canceled only after half of its request's time: the
// endpoint may be slow for this request alone, and a retry would double its work.

const (
	// An attempt is overdue after overdueThresholds congestion thresholds plus overdueServiceTimes times its own service time.
	overdueThresholds   = 2
	overdueServiceTimes = 6
)

// overdue reports whether an attempt has been in flight far longer than its service time, as of a given time.
func (s *Scheduler) overdue(attempt *Attempt, asOf time.Duration) bool {
	r := attempt.Request
	serviceTime := time.Duration(overdueServiceTimes * r.class.serviceTimePerUnit * r.units * float64(time.Second))
	return s.suspensions.runningTime(attempt.sentAt, asOf) > overdueThresholds*s.congestionThreshold+serviceTime
}

// presumeLost finds the attempts at an endpoint that were already overdue at quickSentAt, when a request or health check was sent
// that was answered quickly.
func (s *Scheduler) presumeLost(e *Endpoint, quickSentAt, now time.Duration) {
	if !s.settings.CanCancel {
		return
	}
	for _, attempt := range slices.Clone(e.attempts) {
		r := attempt.Request
		if attempt.canceledAsLost || r.finished || r.streaming || !s.overdue(attempt, quickSentAt) {
			continue
		}
		attempt.presumedLost = attempt.presumedLost || !s.sharedHealthChecks
		if s.shouldCancelLost(attempt, now) {
			attempt.presumedLost, attempt.canceledAsLost = true, true
			s.runtime.Cancel(attempt)
		}
	}
}

// shouldCancelLost reports whether an attempt that is presumed lost is canceled: only if a retry may follow.
func (s *Scheduler) shouldCancelLost(attempt *Attempt, now time.Duration) bool {
	r := attempt.Request
	halfTimePassed := now-r.receivedAt >= r.deadline-now
	return (s.sharedHealthChecks || halfTimePassed) && len(r.attempts) < s.settings.MaxAttempts &&
		s.attemptAllowed(r, attempt.Endpoint, now) && s.retryBudget.allows(now)
}
