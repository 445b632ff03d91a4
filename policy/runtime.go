package policy

import "time"

// Runtime is the gateway as the scheduler sees it. Every call takes effect at once, must not block and must not call the
// scheduler; what follows from it reaches the scheduler by a later call.
type Runtime interface {
	// Now is the time on a clock that never runs backwards and is never near zero, so that starts before the gateway's own have
	// a positive time.
	Now() time.Duration
	// Send begins an attempt. Exactly one AttemptEnded follows.
	Send(attempt *Attempt)
	// Cancel stops waiting for an attempt; its AttemptEnded follows as Canceled or NotSent.
	Cancel(attempt *Attempt)
	// Reject ends a request that was shed: asking again is harmless, after retryAfter (0: no advice).
	Reject(request *Request, retryAfter time.Duration)
	// Fail ends a request without a promise: it may have had its effect.
	Fail(request *Request)
	// After calls f from the scheduler's goroutine once wait has passed; a wait below zero counts as zero.
	After(wait time.Duration, f func())
	// RequestEndpointList polls the endpoint list, or opens the watch on it.
	RequestEndpointList()
	// CheckHealth sends an active health check. One HealthChecked follows, or none if the gateway forgets the endpoint before.
	CheckHealth(endpoint *Endpoint)
	// SendGossip sends a short message to every other gateway; it may be lost.
	SendGossip(message []byte)
	// Log writes a line for the operator.
	Log(line string)
}
