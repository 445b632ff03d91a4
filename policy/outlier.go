package policy

import "time"

// Outlier detection: an endpoint that rejects, can't be reached, resets connections or does not answer fails. After a failure
// retries avoid it (retry.go) and its send interval opens (pacing.go); where gateways share health checks, one that rejects is
// ejected for all of them (ejection.go).

// outlierState is what is held against one endpoint.
type outlierState struct {
	consecutiveFailures  int
	consecutiveResets    int // the same, a first connection reset included
	ejectedUntil         time.Duration
	checkedByThisGateway bool // for all gateways
	checkInFlight        bool
	checkSentAt          time.Duration
}

func (o *outlierState) markHealthy() { o.consecutiveFailures, o.consecutiveResets = 0, 0 }

// observeFailure takes a rejection, a failed connect or a reset. The first reset in a row says nothing: one connection may break
// anywhere on the way.
func (s *Scheduler) observeFailure(attempt *Attempt, result AttemptResult, now time.Duration) {
	e := attempt.Endpoint
	e.consecutiveResets++
	if result.Outcome == ConnectionReset && e.consecutiveResets == 1 {
		return
	}
	if e.consecutiveFailures == 0 {
		s.log("endpoint %s: first failure: %s after %v, %d in flight", e.Name, result.Outcome, result.Duration, e.inFlight)
	}
	e.consecutiveFailures++
	s.updatePace(attempt, unboundedDuration, now)
	if result.Outcome == Rejected && s.sharedHealthChecks && now >= e.ejectedUntil {
		s.ejectForAll(e, rejectedAttempt, now)
	}
}
