package policy

import (
	"math"
	"time"
)

// Fair queueing, after mClock: each volume has a reservation tag, each of its queues a weight tag. A request whose reservation is
// due goes first, the lowest tag before others; what is left goes by weight, the lowest tag first. Before tags comes urgency: what
// can still meet its latency objective, then what can wait for it, then what will miss it.

// urgency orders requests before any tag does.
type urgency int

const (
	// urgent requests must go now to meet their latency objective.
	urgent urgency = iota
	// deferrable requests meet it even if they wait for deferrableObjectives of the shortest objective.
	deferrable
	// objectiveMissed: the answer will be late, whatever is done.
	objectiveMissed
)

// deferrableObjectives is how many of the shortest latency objectives a deferrable request can wait.
const deferrableObjectives = 2

// candidate is the request of one queue that may go next to an endpoint.
type candidate struct {
	request *Request
	urgency urgency
	due     bool    // under its volume's reservation
	tag     float64 // reservation tag in seconds where due, else weight tag
}

// before tells whether a candidate goes before another one.
func (c candidate) before(other candidate) bool {
	if c.urgency != other.urgency {
		return c.urgency < other.urgency
	}
	if c.due != other.due {
		return c.due
	}
	return c.tag < other.tag
}

// advanceTags moves the tags by which a request was chosen. A reservation that was not used for over a demand period is not made
// up for, and a weight tag never lies behind the endpoint's virtual time.
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

// anyShard is the number of the queues whose requests any endpoint may take.
const anyShard = -1

// nextFor chooses the request that goes next to an endpoint, among the queues of its shard and those for any endpoint.
func (s *Scheduler) nextFor(e *Endpoint, now time.Duration) (best candidate, found bool) {
	allowance := s.slowStartAllowance(e, now)
	for _, shardNumber := range [2]int{e.shard, anyShard} {
		sinceSent := now - e.lastSentAt
		if shardNumber == anyShard { // it must not take the turn of what only this endpoint can serve
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

// candidateOf is the request of a queue that goes first to an endpoint, with its tag.
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

// firstEligible is the request of a queue that goes first to an endpoint: the most urgent one, of these the one whose units are worth most
// for the time that they take, of these the one that came last, which has the most time left. Requests that an allowance, idempotency, order or the retry budget hold back are passed over.
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

// rank is what a unit of the request is worth for the time that units of its class take, and how urgent the request is.
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
