package policy

import "time"

// Idempotency: no request may take effect twice. After an attempt that may have run, another one is allowed only if repeats of the
// class are harmless or are recognized by their idempotency key. The endpoints that share the storage of keys recognize a key for the
// idempotency window of the class, counted from when the attempt was sent.

// attemptAllowed reports whether an attempt of r at e that starts now keeps idempotency and order.
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

// repeatIsSafe reports whether a repeat at e of an earlier attempt that may have run is harmless or recognized.
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

// sharesKeys reports whether one endpoint recognizes the idempotency keys that another one has received.
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

// startBy returns the latest start of the next attempt, 0: no bound. The gateway enforces it, since an attempt that waits for a
// connection could otherwise start after the endpoint has dropped the idempotency key.
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
