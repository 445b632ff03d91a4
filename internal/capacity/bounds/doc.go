// Package bounds computes, from sums alone, how far a load may grow before a limit is reached. It is quick, and a check on what the
// simulated forecast finds. It has no I/O, clock or goroutine, and it doesn't know of queueing, retries or caches.
//
// Every bound looks at the worst window of the load. A window is as long as the longest request timeout: what is asked for within
// it can't be put off past it. A mean over the whole capture would hide a surge; the worst window doesn't.
package bounds
