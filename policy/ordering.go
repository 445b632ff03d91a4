package policy

import (
	"maps"
	"time"
)

// Ordering: requests of an ordered class for the same object run one at a time, in order of arrival. After an attempt that may still
// run, its key has a cooldown of OrderingCooldown, so that this attempt can't overtake later requests. The order covers the requests
// of this gateway only; other gateways' requests are unknown here.

// orderingKey is the queue of ordered requests for one object.
type orderingKey struct {
	waiting       []*Request // in order of arrival; only the first may run
	cooldownUntil time.Duration
}

// joinOrderingQueue appends a request of an ordered class to the queue of its key.
func (s *Scheduler) joinOrderingQueue(r *Request) {
	if !r.class.Ordered || r.object == "" {
		return
	}
	if s.orderingKeys[r.object] == nil {
		s.orderingKeys[r.object] = &orderingKey{}
	}
	r.ordering = s.orderingKeys[r.object]
	r.ordering.waiting = append(r.ordering.waiting, r)
}

// orderAllows reports whether order allows a request to run. A retry need not wait for the cooldown of its own key.
func (r *Request) orderAllows(now time.Duration) bool {
	key := r.ordering
	if key == nil {
		return true
	}
	return key.waiting[0] == r && (now >= key.cooldownUntil || len(r.attempts) > 0)
}

// startOrderingCooldown starts the cooldown of a key after an outcome that does not rule out that the request still runs.
func (s *Scheduler) startOrderingCooldown(r *Request, outcome Outcome, now time.Duration) {
	if r.ordering != nil && (outcome == TimedOut || outcome == ConnectionReset || outcome == Canceled) {
		r.ordering.cooldownUntil = max(r.ordering.cooldownUntil, now+s.settings.OrderingCooldown)
	}
}

// leaveOrderingQueue lets the next request of a key run, once this one is finished and has no attempt in flight.
func (s *Scheduler) leaveOrderingQueue(r *Request) {
	if r.ordering != nil && r.inFlight == 0 {
		r.ordering.waiting = without(r.ordering.waiting, r)
	}
}

// removeIdleOrderingKeys deletes keys without waiting requests whose cooldown has passed.
func (s *Scheduler) removeIdleOrderingKeys(now time.Duration) {
	maps.DeleteFunc(s.orderingKeys, func(_ string, key *orderingKey) bool {
		return len(key.waiting) == 0 && key.cooldownUntil <= now
	})
}
