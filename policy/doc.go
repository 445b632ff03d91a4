// Package policy is the scheduler of one gateway: it decides which request goes to which storage endpoint and when, what is
// retried, what is rejected and what fails. It is a state machine without I/O, clock or goroutine. It sees only what its own
// gateway sees; limits that hold over all gateways are split among them.
//
// # Calls
//
// New makes a Scheduler. Afterwards the gateway calls one method for each thing that happens, always from the same goroutine:
//
//	endpoint list    BeginEndpointList, UpdateEndpoint, EndEndpointList, EndpointListFailed
//	requests         RequestReceived, ResponseStarted, ClientDisconnected
//	attempts         AttemptEnded, exactly once for each attempt sent
//	health           HealthChecked, GossipReceived
//	membership       SetGateways, SetVolumeGateways
//
// The scheduler acts at once, during the call, through Runtime: it sends and cancels attempts, rejects and fails requests, checks
// health, gossips and sets timers. Every call of Runtime takes effect at once and may not call back into the scheduler.
//
// # A request's way
//
//  1. request.go: it is queued by volume and shard. Two timers bound how long it may stay without an answer (admission.go).
//  2. selection.go: an endpoint with a free place, the one that is expected to answer soonest first, takes the next request.
//     concurrency.go sets how many places it has; ejection.go and a drain (endpoints.go) take them all.
//  3. fairqueue.go: the next request is the most urgent one; among equals reservations that are due go first, then the lowest
//     weight tag. ratelimit.go, slowstart.go and pacing.go hold back what would exceed a volume's limit, a warming endpoint's
//     budget or an endpoint's pace; idempotency.go, ordering.go and retry.go hold back attempts that could have a wrong effect.
//  4. attempt.go: the outcome feeds latency, pace and outlier detection (outlier.go); then the request is answered, retried or ended.
//     suspension.go leaves out of all durations the time in which the process did not run.
//  5. admission.go: what can't be answered in time is shed: rejected with Retry-After where that promises nothing untrue, else failed; giveup.go says why.
//
// The ordinary path follows "Demand Based Hierarchical QoS Using Storage Resource Pools": demand by Little's law (demand.go), the
// divvy of capacity among volumes (divvy.go), a concurrency limit driven by latency (concurrency.go) and mClock's tags
// (fairqueue.go). docs/design.md says what was changed, docs/glossary.md maps the paper's and the users' words to the names here.
//
// Times are time.Duration on the clock of Runtime.Now. A unit is the unit of work that settings count limits in.
package policy
