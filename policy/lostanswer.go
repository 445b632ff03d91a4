package policy

import (
	"slices"
	"time"
)

// Lost answers: a connection that fell silent leaves an attempt in flight until its deadline. When an endpoint answers a later
// request or a health check quickly, an attempt that is overdue there is presumed lost: it no longer occupies a place, and it is
// canceled so that its request can be retried. Without a health check it is canceled only after half of its request's time: the
// endpoint may be slow for this request alone, and a retry would double its work.

const (
	// overdueThresholds and overdueServiceTimes: an attempt is overdue after so many congestion thresholds and so many times its own work.
	overdueThresholds   = 2
	overdueServiceTimes = 6
)

// overdue tells whether an attempt takes far longer than its own work, as of a time.
func (s *Scheduler) overdue(attempt *Attempt, asOf time.Duration) bool {
	r := attempt.Request
	serviceTime := time.Duration(overdueServiceTimes * r.class.serviceTimePerUnit * r.units * float64(time.Second))
	return s.suspensions.runningTime(attempt.sentAt, asOf) > overdueThresholds*s.congestionThreshold+serviceTime
}

// presumeLost finds attempts that were overdue at an endpoint when something was sent there that was answered quickly.
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

// shouldCancelLost tells whether an attempt that is presumed lost is canceled: only where a retry may follow.
func (s *Scheduler) shouldCancelLost(attempt *Attempt, now time.Duration) bool {
	r := attempt.Request
	halfTimePassed := now-r.receivedAt >= r.deadline-now
	return (s.sharedHealthChecks || halfTimePassed) && len(r.attempts) < s.settings.MaxAttempts &&
		s.attemptAllowed(r, attempt.Endpoint, now) && s.retryBudget.allows(now)
}
