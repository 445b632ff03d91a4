package policy

import "time"

// Ejection: where gateways share health checks, an endpoint that is overloaded is ejected for all of them, since a little from each
// of many would keep it so. One gateway checks it for all until a check comes back soon; then the ejection ends, and each gateway
// sends again at a rate that starts low and rises.

// ejectionPeriods is how long an ejection lasts unless it is renewed, in demand periods: a gateway that checks for all may be gone.
const ejectionPeriods = 2

// ejectionReason is why an endpoint was ejected, for the log.
type ejectionReason string

const (
	rejectedAttempt ejectionReason = "it rejected an attempt"
	lateHealthCheck ejectionReason = "its health check is late"
)

// ejectForAll ejects an endpoint at all gateways and checks it for them.
func (s *Scheduler) ejectForAll(e *Endpoint, reason ejectionReason, now time.Duration) {
	if now >= e.ejectedUntil {
		s.log("endpoint %s: ejected, %s, %d in flight", e.Name, reason, e.inFlight)
	}
	e.checkedByThisGateway = true
	if e.ejectedUntil < now+demandPeriod {
		s.sendGossip(gossipEjected, e)
		s.eject(e, now)
	}
	s.runtime.After(s.shortestObjective, func() {
		if e.checkedByThisGateway {
			s.checkHealth(e, s.runtime.Now())
		}
	})
}

// eject keeps this gateway from an endpoint for a while.
func (s *Scheduler) eject(e *Endpoint, now time.Duration) {
	e.ejectedUntil = now + ejectionPeriods*demandPeriod
	e.smoothedLatency = max(e.smoothedLatency, s.shortestObjective)
}

// endEjection lets an endpoint have requests again, at first one for each gateway, each at a time of its own.
func (s *Scheduler) endEjection(e *Endpoint, now time.Duration) {
	e.ejectedUntil = 0
	e.checkedByThisGateway = false
	e.consecutiveFailures = 0
	e.smoothedLatency = s.congestionThreshold
	e.minSendInterval = s.congestionThreshold * time.Duration(s.gateways)
	e.lastSentAt = now - time.Duration(s.rng.Int63n(int64(e.minSendInterval)))
}
