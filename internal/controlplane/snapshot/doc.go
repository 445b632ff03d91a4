// Package snapshot implements a gateway's copy of the controller's records and decides which controller's messages the gateway
// accepts. The package does no I/O, reads no clock and starts no goroutine. A Snapshot must not be used by several goroutines at
// the same time.
//
// # Invariants
//
// Highest term. A gateway follows the highest term that it has seen and rejects every message of a lower one. A controller that
// stalled and resumes after another has taken over therefore cannot change anything. A higher term must be persisted before the
// gateway replies under it; otherwise the gateway could acknowledge a lower term after a restart.
//
// Generations. The generation never decreases, and only a later record replaces a record with the same key. A controller that lost
// its disk therefore cannot revert its earlier writes.
//
// Persistent drains. Known drains of an endpoint are merged into every record of it. A later start of the endpoint lifts them,
// since Drained then returns false.
//
// Atomic transfers. Chunks are collected and applied after the last one has arrived, if the digest of the result matches. A stream
// that ends in the middle of a transfer changes nothing.
//
// Missing changes. Changes that start after the held generation are not applied, since those in between are missing. The gateway
// requests the full snapshot instead.
package snapshot
