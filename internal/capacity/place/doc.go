// Package place distributes a captured load over a different fleet: it assigns the parts of each volume to shards. It is deterministic, and has
// no I/O, clock or goroutine.
package place
