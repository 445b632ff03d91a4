package policy

import (
	"cmp"
	"slices"
	"time"
)

// Endpoint selection: an endpoint has a free slot while it accepts attempts, is not ejected and has fewer attempts in flight than its
// limit. When a request arrives, its queue is offered to the endpoints with a free slot in order of expected latency. When a slot
// becomes free, its endpoint takes the next request of all queues that it serves (fairqueue.go).

// serveQueue offers a queue's requests to the endpoints with a free slot, lowest expected latency first.
func (s *Scheduler) serveQueue(queue *volumeQueue) {
	free := slices.Clone(s.endpointsOf(queue.shard))
	for len(queue.waiting) > 0 {
		free = slices.DeleteFunc(free, func(e *Endpoint) bool { return s.freeSlots(e) <= 0 })
		if len(free) == 0 {
			return
		}
		soonest := slices.MinFunc(free, func(a, b *Endpoint) int { return cmp.Compare(a.expectedLatency(), b.expectedLatency()) })
		if !s.sendNext(soonest) { // blocked here by pace or slow start: try another endpoint
			free = without(free, soonest)
		}
	}
}

// fillEndpoint sends requests to an endpoint until it has no free slot or no request is eligible.
func (s *Scheduler) fillEndpoint(e *Endpoint) {
	for s.freeSlots(e) > 0 {
		if !s.sendNext(e) {
			return
		}
	}
}

// expectedLatency estimates the latency of one more request.
func (e *Endpoint) expectedLatency() time.Duration {
	return e.smoothedLatency * time.Duration(e.inFlight+1)
}

// freeSlots returns how many more attempts this gateway may have in flight at an endpoint.
func (s *Scheduler) freeSlots(e *Endpoint) int {
	now := s.runtime.Now()
	if !e.accepting || now < e.ejectedUntil {
		return 0
	}
	free := e.limit - e.inFlight
	allOverdue := true
	for _, attempt := range e.attempts {
		if attempt.presumedLost && !s.sharedHealthChecks {
			free++
		}
		allOverdue = allOverdue && s.overdue(attempt, now)
	}
	if s.settings.CanCancel && !s.sharedHealthChecks && allOverdue {
		return max(free, 1) // without health checks, one more request shows whether the responses of the overdue attempts were lost
	}
	return free
}

// sendNext sends the next request to an endpoint with a free slot and reports whether it found one.
func (s *Scheduler) sendNext(e *Endpoint) bool {
	now := s.runtime.Now()
	next, ok := s.nextFor(e, now)
	if !ok {
		return false
	}
	r := next.request
	r.charge()
	r.advanceTags(e, next.due, now)
	if len(r.attempts) > 0 {
		s.retryBudget.retrySent(now)
	}
	s.dequeue(r)
	s.send(r, e, now)
	return true
}

// send starts an attempt.
func (s *Scheduler) send(r *Request, e *Endpoint, now time.Duration) {
	attempt := &Attempt{
		Request:         r,
		Endpoint:        e,
		Number:          len(r.attempts),
		StartBy:         r.startBy(),
		sentAt:          now,
		minSendInterval: s.baseInterval(e),
		mayHaveRun:      true,
	}
	r.attempts = append(r.attempts, attempt)
	r.inFlight++
	e.inFlight++
	e.attempts = append(e.attempts, attempt)
	if s.slowStart.warming(e, now) {
		e.slowStartAttempts = append(e.slowStartAttempts, attempt)
	}
	s.runtime.Send(attempt)
	e.recordSent(now)
	e.limitReached = e.limitReached || e.inFlight >= e.limit
}
