package policy

import (
	"slices"
	"time"
)

// Load shedding: a request that can't complete in time is given up early, while its client still has time to retry. It is rejected
// with Retry-After if a retry is harmless, and fails otherwise.

// scheduleGiveUp sets the two timers of a request. The first one gives up a request that has had no attempt by its latency objective
// or by half of the time to its deadline: this frees the connection that the waiting request occupies and leaves the client time to
// retry. The deadline's timer is set at once rather than after the first one, so that the deadline can't be missed.
func (s *Scheduler) scheduleGiveUp(r *Request, now time.Duration) {
	objective := max(r.latencyObjectiveAt-now, s.congestionThreshold)
	s.runtime.After(min(objective, (r.deadline-now)/2)-s.timerMargin, func() {
		if !r.finished && len(r.attempts) == 0 {
			s.giveUp(r, NotSentInTime)
		}
	})
	s.runtime.After(r.deadline-s.timerMargin-now, func() {
		if !r.finished && !r.streaming {
			s.giveUp(r, DeadlinePassed)
		}
	})
}

// giveUp ends a request without the response that the client requested.
func (s *Scheduler) giveUp(r *Request, cause GiveUpCause) {
	r.giveUp = GiveUp{cause, s.holdOf(r, s.runtime.Now())}
	s.recordGivenUp(r)
	canReject := r.canReject()
	s.finish(r)
	if canReject {
		s.runtime.Reject(r, min(s.lowestLatency(r.shard), s.settings.MaxRetryAfter))
	} else {
		s.runtime.Fail(r)
	}
}

// canReject reports whether a rejection is safe: it tells the client that a retry is harmless. That holds if repeats of the class are
// harmless or recognized by every endpoint, or if no attempt may have run.
func (r *Request) canReject() bool {
	switch {
	case r.class.Idempotency == Idempotent:
		return true
	case r.class.Idempotency == IdempotentByKey && r.class.IdempotencyScope == ScopeFleet:
		return true
	default:
		return !slices.ContainsFunc(r.attempts, func(attempt *Attempt) bool { return attempt.mayHaveRun })
	}
}

// shedLate gives up the requests of a queue that can no longer meet their deadline or, while the endpoints are congested, their
// latency objective.
func (s *Scheduler) shedLate(queue *volumeQueue, now time.Duration) {
	for _, r := range slices.Clone(queue.waiting) {
		latency := s.lowestLatency(queue.shard)
		tooLate := now+latency > r.deadline
		congested := latency > s.congestionThreshold
		missesObjective := now+min(latency, r.class.LatencyObjective/2) > r.latencyObjectiveAt
		if tooLate || congested && missesObjective {
			s.giveUp(r, CannotBeInTime)
		}
	}
}

// noEndpointLatency is the latency assumed for a shard without an accepting endpoint, in congestion thresholds: above one, so that
// requests waiting there are given up when they miss their latency objective.
const noEndpointLatency = 2

// lowestLatency returns the lowest smoothed latency of the accepting endpoints of a shard.
func (s *Scheduler) lowestLatency(shardNumber int) time.Duration {
	lowest := maxDuration
	for _, e := range s.endpointsOf(shardNumber) {
		if e.accepting {
			lowest = min(lowest, e.smoothedLatency)
		}
	}
	if lowest == maxDuration {
		return noEndpointLatency * s.congestionThreshold
	}
	return lowest
}
