package policy

import (
	"cmp"
	"slices"
	"time"
)

// Endpoint selection: which endpoint gets the next request, and when one may be sent at all. An endpoint has a free place while it
// accepts attempts, is not ejected and has fewer in flight than its limit. When a request comes, its queue is offered to the endpoints with a
// free place, the one that is expected to answer soonest first; when a place becomes free, its endpoint takes the next request of
// all queues that it serves (fairqueue.go).

// serveQueue offers a queue's requests to the endpoints with a free place, the one that is expected to answer soonest first.
func (s *Scheduler) serveQueue(queue *volumeQueue) {
	free := slices.Clone(s.endpointsOf(queue.shard))
	for len(queue.waiting) > 0 {
		free = slices.DeleteFunc(free, func(e *Endpoint) bool { return s.freeSlots(e) <= 0 })
		if len(free) == 0 {
			return
		}
		soonest := slices.MinFunc(free, func(a, b *Endpoint) int { return cmp.Compare(a.expectedLatency(), b.expectedLatency()) })
		if !s.sendNext(soonest) { // held back by pace or slow start: another one may do
			free = without(free, soonest)
		}
	}
}

// fillEndpoint sends requests to an endpoint while it has free places and takes them.
func (s *Scheduler) fillEndpoint(e *Endpoint) {
	for s.freeSlots(e) > 0 {
		if !s.sendNext(e) {
			return
		}
	}
}

// expectedLatency is when one more request would be answered, from now.
func (e *Endpoint) expectedLatency() time.Duration {
	return e.smoothedLatency * time.Duration(e.inFlight+1)
}

// freeSlots is how many more attempts an endpoint may have in flight from this gateway.
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
		return max(free, 1) // without health checks one more request shows whether what is in flight was lost
	}
	return free
}

// sendNext sends the next request to an endpoint with a free place; it tells whether there was one.
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

// send begins an attempt.
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
