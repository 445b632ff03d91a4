// Package policy is the scheduler of one gateway: it decides which request goes to which storage endpoint and when, and which
// requests are retried, rejected or failed. It is a state machine without I/O, clock or goroutines. It knows only the traffic of its
// own gateway; each gateway enforces its share of the limits that apply to all gateways together.
//
// # Calls
//
// New creates a Scheduler. The gateway then calls one method for each event, always from the same goroutine:
//
//	endpoint list    BeginEndpointList, UpdateEndpoint, EndEndpointList, EndpointListFailed
//	requests         RequestReceived, ResponseStarted, ClientDisconnected
//	attempts         AttemptEnded, exactly once for each attempt sent
//	health           HealthChecked, GossipReceived
//	membership       SetGateways, SetVolumeGateways
//
// The scheduler acts during the call, through Runtime: it sends and cancels attempts, rejects and fails requests, checks health,
// sends gossip and sets timers. Every call of Runtime takes effect at once and must not call back into the scheduler.
//
// # Life cycle of a request
//
//  1. request.go queues the request by volume and shard. Two timers bound how long it may stay without a response (admission.go).
//  2. selection.go chooses the endpoint: among those with a free slot, the one with the lowest expected latency takes the next
//     request. concurrency.go sets the number of slots; an ejection (ejection.go) or a drain (endpoints.go) removes all of them.
//  3. fairqueue.go chooses the request: the most urgent first; among equally urgent ones, due reservations first, then the lowest
//     weight tag. ratelimit.go, slowstart.go and pacing.go delay requests beyond a volume's limit, a warming endpoint's budget or an
//     endpoint's send rate; idempotency.go, ordering.go and retry.go delay attempts that could take effect twice, run out of
//     order or exceed the retry limits.
//  4. attempt.go feeds the outcome into latency, pace and outlier detection (outlier.go); then the request completes, is retried or
//     fails. suspension.go excludes the time in which the process did not run from all measured durations.
//  5. admission.go sheds requests that can't complete in time: it rejects them with Retry-After if a retry by the client is harmless,
//     else it fails them. giveup.go records the reason.
//
// The algorithms follow "Demand Based Hierarchical QoS Using Storage Resource Pools": demand by Little's law (demand.go), the
// divvy of capacity among volumes (divvy.go), a concurrency limit driven by latency (concurrency.go) and the tags of mClock
// (fairqueue.go). Divvy is the paper's word for dividing an amount among claims by weight, each between a minimum and a maximum.
// docs/design.md describes the differences from the paper; docs/glossary.md maps the terms of the paper and of users to the names
// in this package.
//
// Times are time.Duration on the clock of Runtime.Now. A unit is the unit of work in which the settings express limits.
package policy
