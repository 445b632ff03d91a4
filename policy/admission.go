package policy

import (
	"slices"
	"time"
)

// Load shedding: a request that can't be answered in time is given up early, while its client still has time to ask again. It is
// rejected, with Retry-After, where that promises nothing untrue, and fails otherwise.

// scheduleGiveUp sets the two timers of a request. One without an attempt when its latency objective passes, or by half of its time,
// is given up then: it frees the connection that a waiting request holds, and the client has time to ask again. The deadline's timer
// is set at once, so that it can't be missed.
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

// giveUp ends a request without the answer that it asked for.
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

// canReject tells whether a rejection would be true: it says that asking again is harmless. So it is for a class whose repeats are
// harmless or known to every endpoint, or while no attempt may have run.
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

// shedLate gives up the requests of a queue that can't be answered in time any more, or not within their latency objective while
// the endpoints are congested.
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

// noEndpointLatency is the latency taken for a shard without an accepting endpoint, in congestion thresholds: what waits there is given
// up when its latency objective passes.
const noEndpointLatency = 2

// lowestLatency is the least latency that the accepting endpoints of a shard show.
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
