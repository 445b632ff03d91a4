// Package httpgateway runs a gateway over HTTP/1.1: requests come in from clients (package downstream), the engine and its
// scheduler decide where and when each runs, and attempts go out to storage endpoints over pooled connections (package
// upstream). The list of endpoints comes from the agent on this machine (package discovery).
//
// Its invariants; those with a counter for where they would be broken are metrics.Invariants:
//
//   - A request that was read whole gets exactly one final response, or its client has gone.
//   - No byte of an attempt is sent long after the client left, after the final response, past the deadline, or to a draining
//     endpoint past the grace.
//   - The deadline that an endpoint is given is at most what the client has left.
//   - One attempt is one send; nothing is sent again below the scheduler.
//   - An attempt is reported to the scheduler exactly once.
//   - Nothing is buffered without bound: connections, bytes and queued events all have a limit.
//
// It knows nothing of the line protocol, the control plane or the object API; other servers and stores aren't started here,
// since the platform's limits on memory and descriptors leave no room for them.
package httpgateway
