// Package decide holds the decision rules of the object API, one rule per file:
//   - preconditions.go: conditional requests (RFC 9110, section 13)
//   - ranges.go: range requests (RFC 9110, section 14)
//   - extents.go: the extents that a range covers, and the shard that stores a new extent
//   - uploads.go: the limits of multipart uploads, and the object made from the parts
//   - sweep.go: the extents that the sweep may remove
//   - faults.go: the errors returned to clients, and the error for each outcome of an engine request
//
// The functions depend only on their arguments: they do no I/O, read no clock and start no goroutines. They are safe for concurrent
// use.
package decide
