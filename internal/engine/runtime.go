package engine

import (
	"time"

	"weirhaven/policy"
)

// Scheduler is the set of scheduler methods that the engine calls; *policy.Scheduler implements it. They are called by
// the Core's owner, and never from within one of the scheduler's own calls of its policy.Runtime.
type Scheduler interface {
	BeginEndpointList(complete bool)
	UpdateEndpoint(endpoint *policy.Endpoint, update policy.EndpointUpdate)
	EndEndpointList()
	EndpointListFailed()
	RequestReceived(request *policy.Request, arrival policy.RequestArrival) error
	ResponseStarted(attempt *policy.Attempt)
	AttemptEnded(attempt *policy.Attempt, result policy.AttemptResult)
	ClientDisconnected(request *policy.Request)
	HealthChecked(endpoint *policy.Endpoint, outcome policy.Outcome, duration time.Duration)
	GossipReceived(sender int, message []byte)
	SetGateways(serving, slowStartShares int)
	SetVolumeGateways(volume *policy.Volume, gateways int)
	ForgetVolume(volume *policy.Volume) bool
}

// schedulerRuntime implements policy.Runtime on a Core.
type schedulerRuntime Core

func (r *schedulerRuntime) core() *Core { return (*Core)(r) }

// Now implements policy.Runtime.
func (r *schedulerRuntime) Now() time.Duration { return r.now }

// After implements policy.Runtime.
func (r *schedulerRuntime) After(wait time.Duration, fire func()) {
	r.core().schedule(wait, timer{fire: fire})
}

// Send implements policy.Runtime.
func (r *schedulerRuntime) Send(scheduled *policy.Attempt) { r.core().send(scheduled) }

// Cancel implements policy.Runtime.
func (r *schedulerRuntime) Cancel(scheduled *policy.Attempt) { r.core().cancel(scheduled) }

// Reject implements policy.Runtime.
func (r *schedulerRuntime) Reject(request *policy.Request, retryAfter time.Duration) {
	r.respond(request, Response{Result: Rejected, RetryAfter: retryAfter})
}

// Fail implements policy.Runtime.
func (r *schedulerRuntime) Fail(request *policy.Request) {
	r.respond(request, Response{Result: Failed})
}

func (r *schedulerRuntime) respond(request *policy.Request, response Response) {
	c := r.core()
	if open := c.requests[request.ID]; open != nil {
		response.GiveUp = request.GiveUp()
		c.respond(open, response)
		c.releaseIfDone(open)
	}
}

// CheckHealth implements policy.Runtime.
func (r *schedulerRuntime) CheckHealth(endpoint *policy.Endpoint) { r.core().checkHealth(endpoint) }

// RequestEndpointList implements policy.Runtime.
func (r *schedulerRuntime) RequestEndpointList() { r.outbound.RequestEndpointList() }

// SendGossip implements policy.Runtime.
func (r *schedulerRuntime) SendGossip(message []byte) { r.outbound.SendGossip(message) }

// Log implements policy.Runtime.
func (r *schedulerRuntime) Log(line string) { r.outbound.Log(line) }
