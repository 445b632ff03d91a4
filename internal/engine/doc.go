// Package engine runs one scheduler (package policy) in a gateway: it turns what happens outside into calls of the
// scheduler and carries out what the scheduler asks for.
//
// Core is the state machine: no clock, no goroutine, no I/O. Whoever owns it moves its clock with Advance and reports
// events by the other methods. Everything that leaves a Core goes through three interfaces whose calls return at once.
// Loop is the goroutine that owns a Core in a real gateway; a simulation in virtual time owns one directly. All calls of
// one Core come from its owner, one at a time.
//
//	events in                                     scheduler (interface Scheduler)
//	  Submit, ClientDisconnected           ->       RequestReceived, ClientDisconnected
//	  AttemptEnded, ResponseStarted        ->       AttemptEnded, ResponseStarted
//	  HealthChecked, GossipReceived        ->       HealthChecked, GossipReceived
//	  EndpointList..., Greeted, Restore    ->       BeginEndpointList, UpdateEndpoint, EndEndpointList
//	  MembershipReceived                   ->       SetGateways
//	  Advance                              ->       timers that are due
//
//	scheduler's calls (policy.Runtime)            calls out
//	  Send, Cancel, CheckHealth            ->       EndpointConn of the endpoint
//	  Reject, Fail                         ->       Request.Respond
//	  RequestEndpointList, SendGossip, Log ->       Outbound
//
// Invariants:
//
//   - A request that was submitted gets exactly one response, or none if its client disconnected first.
//   - An attempt is in flight from the scheduler's Send until finishAttempt; the scheduler learns its outcome once.
//     Reports after that are counted as late and dropped.
//   - Nothing is written for a request after its response or its client's departure, unless it was being written already.
//   - The scheduler is never entered again while it acts: what its own calls cause waits in Core.deferred until it returns.
//
// The engine knows nothing of protocols and sockets, and takes no decision: it does not choose endpoints, retry, reject,
// limit or order requests. Times are on the owner's clock, as durations since that clock's zero, which lies far in the past.
package engine
