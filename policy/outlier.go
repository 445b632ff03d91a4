package policy

import "time"

// Outlier detection: an endpoint fails if it rejects attempts, can't be reached, resets connections or does not respond. After a
// failure, retries avoid the endpoint (retry.go) and its send interval lengthens (pacing.go). Where gateways share health checks, an
// endpoint that rejects an attempt is ejected by all of them (ejection.go).

// outlierState is the failure and health-check state of one endpoint.
type outlierState struct {
	consecutiveFailures  int
	consecutiveResets    int // rejections, failed connects and resets in a row, including the first reset
	ejectedUntil         time.Duration
	checkedByThisGateway bool // this gateway checks the endpoint's health for all gateways
	checkInFlight        bool
	checkSentAt          time.Duration
}

func (o *outlierState) markHealthy() { o.consecutiveFailures, o.consecutiveResets = 0, 0 }

// observeFailure records a rejection, a failed connect or a reset. The first of several consecutive resets does not count as a
// failure: a single connection may break anywhere on its path.
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
