package policy

import (
	"math"
	"time"
)

// Concurrency limit: each endpoint has a limit on the attempts in flight from all gateways. Every gateway estimates this limit from
// latency, independently but by the same rule, and uses its own share of it. The limit widens while it is used and latency stays
// under the congestion threshold; it narrows while latency is above the threshold. The share follows the entitlements of this
// gateway's volumes at the endpoint.

const (
	// initialFleetLimit is the limit for all gateways together at an endpoint without measurements, in attempts in flight.
	initialFleetLimit = 8.0
	// maxLimit bounds both the limit for all gateways together and that for one gateway, in attempts in flight.
	maxLimit = 32
	// limitGain is the weight of the new value when the limit is updated; the old value has the rest.
	limitGain = 0.5
	// maxGrowth bounds the relative growth of a limit in one update.
	maxGrowth = 0.25
	// limitPeriods is the interval between two updates of a limit, in congestion thresholds.
	limitPeriods = 2
	// latencyGain is the weight of a new sample in the smoothed latency.
	latencyGain = 0.1
	// idleLatencyDecay divides the distance from the smoothed latency to the congestion threshold; an update without samples moves
	// the smoothed latency by the quotient.
	idleLatencyDecay = 8
)

// concurrency is the concurrency limit of one endpoint as estimated by this gateway.
type concurrency struct {
	fleetLimit     float64 // limit on attempts in flight from all gateways: the paper's Q
	limitShare     float64 // this gateway's share of fleetLimit, 0 to 1
	limit          int     // limit on attempts in flight from this gateway, at least 1
	limitUpdatedAt time.Duration
	limitReached   bool // the limit was reached since its last update

	smoothedLatency time.Duration
	latencySum      time.Duration // sum of the samples since the last update of the limit
	latencySamples  int
}

func (c *concurrency) startLimit(gateways float64, latency time.Duration) {
	c.fleetLimit = initialFleetLimit
	c.limitShare = 1 / gateways
	c.limit = limitOf(c.fleetLimit, c.limitShare)
	c.smoothedLatency = latency
}

func (c *concurrency) addLatencySample(latency time.Duration) {
	c.latencySum += latency
	c.latencySamples++
}

func (c *concurrency) smoothLatency(latency time.Duration) {
	c.smoothedLatency += time.Duration(latencyGain * float64(latency-c.smoothedLatency))
}

// updateLimit updates an endpoint's limit from the latency since the last update. Attempts in flight for longer than the threshold
// count with their age; otherwise an endpoint that hangs would keep its limit.
func (s *Scheduler) updateLimit(e *Endpoint, now time.Duration) {
	s.sampleInFlight(e, now)
	if e.latencySamples == 0 { // an endpoint without traffic must not stay marked as slow
		e.smoothedLatency += (s.congestionThreshold - e.smoothedLatency) / idleLatencyDecay
	} else {
		mean := e.latencySum.Seconds() / float64(e.latencySamples)
		ratio := math.Min(s.congestionThreshold.Seconds()/mean, 1+maxGrowth/limitGain)
		if ratio < 1 || e.limitReached { // low latency below the limit does not justify a wider one
			updated := (1-limitGain)*e.fleetLimit + limitGain*ratio*e.fleetLimit
			e.fleetLimit = math.Min(math.Max(updated, 1), maxLimit)
		}
	}
	e.latencySum, e.latencySamples = 0, 0
	e.limitUpdatedAt = now
	e.limit = limitOf(e.fleetLimit, e.limitShare)
	e.limitReached = e.inFlight >= e.limit
}

// sampleInFlight counts the age of attempts in flight for longer than the congestion threshold as latency samples. These attempts
// lengthen the send interval; where gateways share health checks, overdue ones trigger a health check instead.
func (s *Scheduler) sampleInFlight(e *Endpoint, now time.Duration) {
	for _, attempt := range e.attempts {
		age := s.suspensions.runningTime(attempt.sentAt, now)
		if age <= s.congestionThreshold || attempt.presumedLost && !s.sharedHealthChecks {
			continue
		}
		e.addLatencySample(age)
		if !s.sharedHealthChecks {
			s.updatePace(attempt, age, now)
		} else if s.overdue(attempt, now) {
			s.checkHealth(e, now)
		}
	}
}

// splitLimit sets this gateway's share of an endpoint's limit by the paper's divvy. Each volume claims between its reservation and
// its demand, by weight; this gateway's share is the part of the grants that belongs to its own demand. The share is at least an
// equal part, because a gateway whose demand has just begun has not measured any yet. Until it has, the shares of all gateways may
// add up to more than 1.
func (s *Scheduler) splitLimit(e *Endpoint) {
	queues := s.shardOf(e.shard).queues
	claims := make([]claim, len(queues))
	for i, queue := range queues {
		total := queue.demand + queue.demandElsewhere
		reserved := queue.volume.plan.Reservation * total / math.Max(queue.volume.demand, epsilon)
		claims[i] = claim{minimum: math.Min(reserved, total), maximum: total, weight: queue.volume.plan.Weight}
	}
	here, sum := 0.0, 0.0
	capacity := e.fleetLimit / s.congestionThreshold.Seconds() * s.settings.TypicalUnits
	for i, c := range divvy(capacity, claims) {
		sum += c.granted
		here += c.granted * queues[i].demand / math.Max(c.maximum, epsilon)
	}
	e.limitShare = math.Max(1/s.gateways, here/math.Max(sum, epsilon))
	e.limit = limitOf(e.fleetLimit, e.limitShare)
}

// limitOf returns a gateway's share of a limit in whole attempts, at least one: without any attempt a gateway could not detect that
// an endpoint has recovered.
func limitOf(fleetLimit, share float64) int {
	return int(math.Min(math.Max(math.Round(fleetLimit*share), 1), maxLimit))
}
