// Package place lays a load out over a fleet other than the one it was captured on: which shard holds which part of which volume.
// The same inputs give the same layout. It has no I/O, clock or goroutine.
package place
