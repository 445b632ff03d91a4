// Package bounds computes how far a load may grow before it reaches a limit, by adding up the work of requests. It is quick, and serves as a
// check on the simulated forecast. It ignores queueing, retries and caches, and has no I/O, clock or goroutine.
//
// Every bound evaluates the worst window of the load. A window is as long as the longest request timeout, since a request can't be deferred
// beyond its timeout. A mean over the whole capture would hide a surge.
package bounds
