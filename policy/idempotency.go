package policy

import "time"

// Idempotency: no request may have its effect twice. An attempt that may have run allows another one only where the class says
// that a repeat is harmless or known: by its idempotency key, for the class's window since the attempt was sent, at the endpoints
// that share the memory of keys.

// attemptAllowed tells whether an attempt of r at e, beginning now, keeps idempotency and order.
func (s *Scheduler) attemptAllowed(r *Request, e *Endpoint, now time.Duration) bool {
	if !r.orderAllows(now) {
		return false
	}
	for _, earlier := range r.attempts {
		if earlier.mayHaveRun && !r.class.repeatIsSafe(earlier, e, now) {
			return false
		}
	}
	return true
}

// repeatIsSafe tells whether an endpoint would know a repeat of an earlier attempt that may have run.
func (c *class) repeatIsSafe(earlier *Attempt, e *Endpoint, now time.Duration) bool {
	switch c.Idempotency {
	case Idempotent:
		return true
	case IdempotentByKey:
		return now < earlier.sentAt+c.IdempotencyWindow && c.sharesKeys(earlier.Endpoint, e)
	default:
		return false
	}
}

// sharesKeys tells whether one endpoint knows the idempotency keys that another has seen.
func (c *class) sharesKeys(one, other *Endpoint) bool {
	switch c.IdempotencyScope {
	case ScopeZone:
		return one.zone == other.zone
	case ScopeShard:
		return one.shard == other.shard
	default:
		return true
	}
}

// startBy is until when the next attempt may begin, 0: any time. It is handed to the gateway with the attempt, since one that
// waits for its connection could otherwise begin when its idempotency key is forgotten.
func (r *Request) startBy() (startBy time.Duration) {
	if r.class.Idempotency != IdempotentByKey {
		return 0
	}
	for _, earlier := range r.attempts {
		end := earlier.sentAt + r.class.IdempotencyWindow
		if earlier.mayHaveRun && (startBy == 0 || end < startBy) {
			startBy = end
		}
	}
	return startBy
}
