package policy

import (
	"math"
	"time"
)

// Fair queueing, after mClock: each volume has a reservation tag, each of its queues a weight tag. Requests under a due reservation
// go first, lowest reservation tag first; the others share the remaining capacity by weight, lowest weight tag first. Urgency takes
// precedence over both tags: first requests that must go now to meet their latency objective, then those that meet it even if
// they wait, then those that will miss it.

// urgency orders requests before their tags are compared.
type urgency int

const (
	// urgent requests must be sent now to meet their latency objective.
	urgent urgency = iota
	// deferrable requests have more time left than deferrableObjectives times the shortest latency objective.
	deferrable
	// objectiveMissed requests will miss their latency objective even if they are sent now.
	objectiveMissed
)

// deferrableObjectives is the time left, in shortest latency objectives, above which a request is deferrable.
const deferrableObjectives = 2

// candidate is the request of one queue that may be sent next to an endpoint.
type candidate struct {
	request *Request
	urgency urgency
	due     bool    // covered by a due reservation of its volume
	tag     float64 // reservation tag in seconds if due, else weight tag
}

// before reports whether a candidate precedes another one.
func (c candidate) before(other candidate) bool {
	if c.urgency != other.urgency {
		return c.urgency < other.urgency
	}
	if c.due != other.due {
		return c.due
	}
	return c.tag < other.tag
}

// advanceTags advances the tag by which a request was chosen. Credit from an unused reservation lasts for one demand period, and
// a weight tag never falls behind the endpoint's virtual time.
func (r *Request) advanceTags(e *Endpoint, due bool, now time.Duration) {
	v, queue := r.Volume, r.queue
	if due {
		v.reservationTag = max(v.reservationTag, now-demandPeriod) + time.Duration(r.units/v.reservation*float64(time.Second))
		return
	}
	queue.weightTag = math.Max(queue.weightTag, e.virtualTime)
	e.virtualTime = queue.weightTag
	queue.weightTag += r.units / v.plan.Weight
}

// anyShard is the shard number of requests that any endpoint may serve.
const anyShard = -1

// nextFor chooses the next request for an endpoint, among the queues of its shard and those for any endpoint.
func (s *Scheduler) nextFor(e *Endpoint, now time.Duration) (best candidate, found bool) {
	allowance := s.slowStartAllowance(e, now)
	for _, shardNumber := range [2]int{e.shard, anyShard} {
		sinceSent := now - e.lastSentAt
		if shardNumber == anyShard { // these requests must not displace those that only this endpoint can serve
			sinceSent /= 2
		}
		for _, queue := range s.shardOf(shardNumber).queues {
			c, ok := s.candidateOf(queue, e, now, allowance)
			if ok && e.paceAllows(sinceSent, c) && (!found || c.before(best)) {
				best, found = c, true
			}
		}
	}
	return best, found
}

// candidateOf returns the first eligible request of a queue for an endpoint, with its tag.
func (s *Scheduler) candidateOf(queue *volumeQueue, e *Endpoint, now time.Duration, allowance float64) (candidate, bool) {
	r, urgency := s.firstEligible(queue, e, now, allowance)
	if r == nil {
		return candidate{}, false
	}
	v := queue.volume
	c := candidate{request: r, urgency: urgency, tag: math.Max(queue.weightTag, e.virtualTime)}
	if urgency != objectiveMissed && v.reservation > 0 && v.reservationTag <= now {
		c.due = true
		c.tag = max(v.reservationTag, now-demandPeriod).Seconds()
	}
	return c, true
}

// firstEligible chooses the request of a queue that is sent first to an endpoint: the most urgent one; among equally urgent ones the
// one with the highest value per unit of response time; among these the latest arrival, which has the most time left. It skips
// requests delayed by an allowance, idempotency, ordering or retry limits.
func (s *Scheduler) firstEligible(queue *volumeQueue, e *Endpoint, now time.Duration, allowance float64) (best *Request, bestUrgency urgency) {
	bestValue, volumeAllowance := 0.0, queue.volume.allowance(now)
	for _, r := range queue.waiting {
		if r.units > allowance || !r.charged && r.units > volumeAllowance {
			continue
		}
		value, urgency := s.rank(r, e, now)
		preferred := best == nil || urgency < bestUrgency || urgency == bestUrgency && value >= bestValue
		if preferred && s.attemptAllowed(r, e, now) && s.retryAllowed(r, e, now) {
			best, bestValue, bestUrgency = r, value, urgency
		}
	}
	return best, bestUrgency
}

// rank returns the value of a unit of the request relative to the response time per unit of its class, and the request's urgency.
func (s *Scheduler) rank(r *Request, e *Endpoint, now time.Duration) (value float64, u urgency) {
	value = r.class.PriorityWeight / r.class.responseTimePerUnit
	switch {
	case now+min(e.smoothedLatency, r.class.LatencyObjective/2) > r.latencyObjectiveAt:
		return value * r.class.LateValue, objectiveMissed
	case r.latencyObjectiveAt-now > deferrableObjectives*s.shortestObjective:
		return value, deferrable
	default:
		return value, urgent
	}
}
