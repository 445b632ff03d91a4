package policy

import (
	"maps"
	"time"
)

// Ordering: requests of an ordered class that name one object run one at a time, in the order in which they arrived. After an
// attempt that may still run the key rests for OrderingCooldown, so that what follows is not overtaken by it. The order holds
// among the requests of this gateway; it can't know others'.

// orderingKey is the order of one object.
type orderingKey struct {
	waiting       []*Request // the first may run
	cooldownUntil time.Duration
}

// joinOrderingQueue puts a request of an ordered class behind the others with its key.
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

// orderAllows tells whether a request may run as far as order goes. A retry need not wait for its own key's rest.
func (r *Request) orderAllows(now time.Duration) bool {
	key := r.ordering
	if key == nil {
		return true
	}
	return key.waiting[0] == r && (now >= key.cooldownUntil || len(r.attempts) > 0)
}

// startOrderingCooldown lets the key rest after an outcome after which the request may still run.
func (s *Scheduler) startOrderingCooldown(r *Request, outcome Outcome, now time.Duration) {
	if r.ordering != nil && (outcome == TimedOut || outcome == ConnectionReset || outcome == Canceled) {
		r.ordering.cooldownUntil = max(r.ordering.cooldownUntil, now+s.settings.OrderingCooldown)
	}
}

// leaveOrderingQueue lets the next request of a key run, once this one is over and none of its attempts is in flight.
func (s *Scheduler) leaveOrderingQueue(r *Request) {
	if r.ordering != nil && r.inFlight == 0 {
		r.ordering.waiting = without(r.ordering.waiting, r)
	}
}

// removeIdleOrderingKeys drops keys that nobody waits for.
func (s *Scheduler) removeIdleOrderingKeys(now time.Duration) {
	maps.DeleteFunc(s.orderingKeys, func(_ string, key *orderingKey) bool {
		return len(key.waiting) == 0 && key.cooldownUntil <= now
	})
}
