// Package decide holds the decisions of the object API, a file a rule:
//   - preconditions.go: conditional requests (RFC 9110, section 13)
//   - ranges.go: range requests (RFC 9110, section 14)
//   - extents.go: which extents a range takes, and in which shard a new extent goes
//   - uploads.go: what the parts of a multipart upload come to, and its limits
//   - sweep.go: which extents may be removed
//   - faults.go: the errors that clients get, and which of them a failed request means
//
// Its functions depend on their arguments only: no I/O, no clock, no goroutine. They are safe for concurrent use.
package decide
