package policy

import "time"

// Ejection: where gateways share health checks, an overloaded endpoint is ejected by all of them, since few requests from each of
// many gateways would keep it overloaded. One gateway checks its health for all. When a check returns quickly the ejection ends, and
// each gateway resumes sending at a low rate that then rises.

// ejectionPeriods is the duration of an ejection, in demand periods. The checking gateway renews the ejection; it expires if that
// gateway stops.
const ejectionPeriods = 2

// ejectionReason is the reason for an ejection in the log.
type ejectionReason string

const (
	rejectedAttempt ejectionReason = "it rejected an attempt"
	lateHealthCheck ejectionReason = "its health check is late"
)

// ejectForAll ejects an endpoint at all gateways and starts health checks for all of them.
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

// eject stops this gateway from sending to an endpoint until the ejection ends or expires.
func (s *Scheduler) eject(e *Endpoint, now time.Duration) {
	e.ejectedUntil = now + ejectionPeriods*demandPeriod
	e.smoothedLatency = max(e.smoothedLatency, s.shortestObjective)
}

// endEjection resumes sending to an endpoint, first with one request from each gateway, at random times so that these do not
// arrive together.
func (s *Scheduler) endEjection(e *Endpoint, now time.Duration) {
	e.ejectedUntil = 0
	e.checkedByThisGateway = false
	e.consecutiveFailures = 0
	e.smoothedLatency = s.congestionThreshold
	e.minSendInterval = s.congestionThreshold * time.Duration(s.gateways)
	e.lastSentAt = now - time.Duration(s.rng.Int63n(int64(e.minSendInterval)))
}
