package policy

import (
	"math"
	"time"
)

// The concurrency limit: each endpoint has a limit on attempts in flight that all gateways estimate alike from latency, and each
// gateway has its share of it. While latency stays under the congestion threshold a limit that is used widens, above it it
// narrows. The share follows what the volumes of this gateway are entitled to there.

const (
	// initialFleetLimit is the limit of all gateways at an endpoint about which nothing is known.
	initialFleetLimit = 8.0
	// maxLimit bounds the limit, for all gateways together and for one.
	maxLimit = 32
	// limitGain is how much of the way to its new value a limit moves in one step.
	limitGain = 0.5
	// maxGrowth is the most that a limit grows in one step.
	maxGrowth = 0.25
	// limitPeriods is how many congestion thresholds lie between two steps of a limit.
	limitPeriods = 2
	// latencyGain is how fast the smoothed latency follows an answer.
	latencyGain = 0.1
	// idleLatencyDecay is the part of the way back to the threshold that the smoothed latency goes in a step without answers.
	idleLatencyDecay = 8
)

// concurrency is the limit of one endpoint as this gateway knows it.
type concurrency struct {
	fleetLimit     float64 // attempts in flight from all gateways: the paper's Q
	limitShare     float64 // of this gateway, 0 to 1
	limit          int     // attempts in flight from this gateway, at least 1
	limitUpdatedAt time.Duration
	limitReached   bool // since the last step

	smoothedLatency time.Duration
	latencySum      time.Duration // of the samples since the last step
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

// updateLimit moves an endpoint's limit by the latency since the last step. Attempts in flight for longer than the threshold count
// with their age, or an endpoint that hangs would keep its limit.
func (s *Scheduler) updateLimit(e *Endpoint, now time.Duration) {
	s.sampleInFlight(e, now)
	if e.latencySamples == 0 { // an endpoint that gets nothing is not slow for ever
		e.smoothedLatency += (s.congestionThreshold - e.smoothedLatency) / idleLatencyDecay
	} else {
		mean := e.latencySum.Seconds() / float64(e.latencySamples)
		ratio := math.Min(s.congestionThreshold.Seconds()/mean, 1+maxGrowth/limitGain)
		if ratio < 1 || e.limitReached { // low latency at an idle endpoint says nothing of a wider limit
			updated := (1-limitGain)*e.fleetLimit + limitGain*ratio*e.fleetLimit
			e.fleetLimit = math.Min(math.Max(updated, 1), maxLimit)
		}
	}
	e.latencySum, e.latencySamples = 0, 0
	e.limitUpdatedAt = now
	e.limit = limitOf(e.fleetLimit, e.limitShare)
	e.limitReached = e.inFlight >= e.limit
}

// sampleInFlight takes the age of attempts in flight for long as latency samples. Overdue ones lead to a health check where
// gateways share them, and open the send interval elsewhere.
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

// splitLimit sets this gateway's share of an endpoint's limit by the paper's divvy: each volume's claim lies between its
// reservation and its demand, by weight; the share is what this gateway's demand gets of all. It is an equal part at least: a
// gateway whose demand has just begun has measured none yet. The shares' sum may be above 1 meanwhile.
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

// limitOf is a gateway's share of a limit in whole attempts: one at least, or a gateway could never learn that an endpoint is well.
func limitOf(fleetLimit, share float64) int {
	return int(math.Min(math.Max(math.Round(fleetLimit*share), 1), maxLimit))
}
