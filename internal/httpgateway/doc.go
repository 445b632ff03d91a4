// Package httpgateway runs a gateway over HTTP/1.1. Package downstream receives requests from clients, the engine and its
// scheduler decide where and when each request runs, and package upstream sends attempts to storage endpoints over pooled
// connections. Package discovery gets the endpoint list from the agent on this machine.
//
// Its invariants (metrics.Invariants lists those with a violation counter):
//
//   - A request that was read completely gets exactly one final response, unless its client has disconnected.
//   - No byte of an attempt is sent long after the client disconnected, after the final response, after the deadline, or to a
//     draining endpoint after the grace period.
//   - The remaining time sent to an endpoint is at most the time left until the client's deadline.
//   - Each attempt is sent at most once; only the scheduler retries.
//   - An attempt is reported to the scheduler exactly once.
//   - Connections, buffered bytes and queued events all have a limit.
//
// The package has no notion of the line protocol, the control plane or the object API. It starts no other servers or stores,
// since the platform's limits on memory and descriptors leave no capacity for them.
package httpgateway
