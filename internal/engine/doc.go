// Package engine runs one scheduler (package policy) in a gateway: it translates external events into calls of the
// scheduler and carries out the scheduler's own calls.
//
// Core is the state machine: it has no clock, no goroutine and no I/O. Its owner moves its clock with Advance and reports
// events through the other methods. A Core acts on the outside only through three interfaces, whose calls must not block.
// Loop is the goroutine that owns a Core in a real gateway; a simulation in virtual time owns one directly. All calls of
// a Core's methods come from its owner, one at a time.
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
//   - A submitted request gets exactly one response, or none if its client disconnected first.
//   - An attempt is in flight from the scheduler's Send until finishAttempt, which reports its outcome to the scheduler
//     once. Later reports are counted as late and dropped.
//   - No attempt begins to be written after its request's response or after its client disconnected. An attempt that is
//     being written by then may be completed.
//   - The scheduler is never re-entered: the effects of its own calls wait in Core.deferred until it returns.
//
// The engine has no knowledge of protocols and sockets, and makes no decisions: it does not choose endpoints, retry,
// reject, limit or order requests. Times are durations since the zero of the owner's clock, which lies far in the past.
package engine
