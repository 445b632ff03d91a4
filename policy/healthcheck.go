package policy

import "time"

// Active health checks tell whether an endpoint that left an attempt unanswered is slow, or only that answer was lost. They are
// sent only where settings allow them and gossip, so that one gateway's check serves all.

// quickResponse: an answer or a health check within so many congestion thresholds shows an endpoint that is well.
const quickResponse = 2

// checkHealth sends a health check, unless one is in flight.
func (s *Scheduler) checkHealth(e *Endpoint, now time.Duration) {
	if s.sharedHealthChecks && !e.checkInFlight && e.accepting {
		e.checkInFlight = true
		e.checkSentAt = now
		s.runtime.CheckHealth(e)
	}
}

// HealthChecked takes the outcome of a health check.
func (s *Scheduler) HealthChecked(e *Endpoint, outcome Outcome, duration time.Duration) {
	now := s.runtime.Now()
	e.checkInFlight = false
	elapsed := s.suspensions.runningTime(e.checkSentAt, e.checkSentAt+duration)
	timedOut := outcome == TimedOut && elapsed == duration
	quick := outcome == Served && elapsed <= quickResponse*s.congestionThreshold
	late := timedOut || outcome == Served && elapsed > s.shortestObjective
	switch {
	case quick:
		e.consecutiveFailures = 0
		if e.checkedByThisGateway {
			s.sendGossip(gossipRecovered, e)
			s.endEjection(e, now)
		}
		s.presumeLost(e, e.checkSentAt, now)
	case e.checkedByThisGateway, late && now >= e.ejectedUntil:
		s.ejectForAll(e, lateHealthCheck, now)
	}
}
