package policy

import "time"

// After an attempt without a response, an active health check distinguishes a slow endpoint from a lost response. Health checks are
// sent only where the settings allow both health checks and gossip, so that one gateway's check serves all gateways.

// quickResponse is the latency up to which a response or a health check proves an endpoint healthy, in congestion thresholds.
const quickResponse = 2

// checkHealth sends a health check, unless one is in flight.
func (s *Scheduler) checkHealth(e *Endpoint, now time.Duration) {
	if s.sharedHealthChecks && !e.checkInFlight && e.accepting {
		e.checkInFlight = true
		e.checkSentAt = now
		s.runtime.CheckHealth(e)
	}
}

// HealthChecked reports the outcome of a health check.
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
