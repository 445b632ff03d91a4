// Package snapshot is what a gateway holds of the controller's decisions, and which controller's messages it takes. It does no I/O,
// reads no clock and starts no goroutine; a Snapshot is used by one goroutine at a time.
//
// # Invariants
//
// The highest term seen is followed. A message of a lower one is refused whatever it says, so a controller that stalled and goes on
// after another took over changes nothing. A higher term must be persisted before it is answered: a gateway that restarts would else
// acknowledge a lower one again.
//
// The generation never falls, and a record is replaced by a later one of its key only: a controller that lost its disk can't take
// back what it wrote before.
//
// A drain stays. Whatever a record says, the drains learned of an endpoint are merged into it; a later start of the endpoint lifts
// them, as then Drained no longer holds.
//
// A transfer is all or nothing. Chunks are collected, and applied when the last one is there and the digest of the result is right; a
// stream that ends half way changes nothing.
//
// Changes that begin beyond the generation held are not applied, since those between are missing: the gateway asks for the full
// snapshot.
package snapshot
