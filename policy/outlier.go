package policy

import "time"

// Outlier detection: an endpoint that rejects, can't be reached, resets connections or does not answer fails. After a failure
// retries avoid it and its pace opens (pacing.go). Where gateways may check health and gossip, an endpoint that is overloaded is
// ejected for all gateways: a little from each of many would keep it so. One gateway checks it for all until a check comes back
// soon; then it recovers, from each gateway at a rate that starts low and rises.

// ejectionPeriods is how long an ejection lasts unless it is renewed, in demand periods: a gateway that checks for all may be gone.
const ejectionPeriods = 2

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
		s.log("endpoint %s: rejects, resets or can't be reached, after %v, %d in flight", e.Name, result.Duration, e.inFlight)
	}
	e.consecutiveFailures++
	s.updatePace(attempt, slowest, now)
	if result.Outcome == Rejected && s.gossips && now >= e.ejectedUntil {
		s.ejectForAll(e, now)
	}
}

// ejectForAll ejects an endpoint at all gateways and checks it for them.
func (s *Scheduler) ejectForAll(e *Endpoint, now time.Duration) {
	if now >= e.ejectedUntil {
		s.log("endpoint %s: ejected, overloaded or its health check late, %d in flight", e.Name, e.inFlight)
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

// recover lets an ejected endpoint have requests again, at first one for each gateway in a time of its own.
func (s *Scheduler) recover(e *Endpoint, now time.Duration) {
	e.ejectedUntil = 0
	e.checkedByThisGateway = false
	e.consecutiveFailures = 0
	e.smoothedLatency = s.congestionThreshold
	e.minSendInterval = s.congestionThreshold * time.Duration(s.gateways)
	e.lastSentAt = now - time.Duration(s.rng.Int63n(int64(e.minSendInterval)))
}
