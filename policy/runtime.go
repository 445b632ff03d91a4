package policy

import "time"

// Runtime is the scheduler's interface to its gateway. Every call takes effect at once, must not block and must not call the
// scheduler; the gateway reports the results of a call later, through the methods of Scheduler.
type Runtime interface {
	// Now returns the time on a monotonic clock whose values are never near zero, so that events before the gateway's own start
	// have positive times.
	Now() time.Duration
	// Send starts an attempt. Exactly one AttemptEnded follows.
	Send(attempt *Attempt)
	// Cancel stops waiting for an attempt; its AttemptEnded follows as Canceled or NotSent.
	Cancel(attempt *Attempt)
	// Reject ends a shed request. The client may retry safely after retryAfter (0: no advice).
	Reject(request *Request, retryAfter time.Duration)
	// Fail ends a request that may have had its effect, so that the client must not assume that a retry is safe.
	Fail(request *Request)
	// After calls f from the scheduler's goroutine once wait has passed; a negative wait counts as zero.
	After(wait time.Duration, f func())
	// RequestEndpointList polls the endpoint list, or opens a watch on it.
	RequestEndpointList()
	// CheckHealth sends an active health check. One HealthChecked follows, or none if the gateway removes the endpoint first.
	CheckHealth(endpoint *Endpoint)
	// SendGossip sends a short message to every other gateway, without guarantee of delivery.
	SendGossip(message []byte)
	// Log writes a line for the operator.
	Log(line string)
}
