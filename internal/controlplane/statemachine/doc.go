// Package statemachine implements the controller's decisions: what it may write and when, what it must learn from gateways before
// that, which gateway receives a snapshot next, and where new objects are placed.
//
// The package does no I/O, reads no clock and starts no goroutine. The caller passes the current time of one monotonic clock as an
// argument. State that must survive a restart is written through Persister and takes effect only after that call has returned
// without an error. A State must not be used by several goroutines at the same time.
//
// # Invariants
//
// Single writer. At most one controller holds the lease. A controller holds it while more than half of the gateways have
// acknowledged a heartbeat sent within the lease duration. Each gateway acknowledges only heartbeats of the highest term that it
// has seen, so two controllers never count the same gateway. The lease duration starts when the heartbeat is sent, so network delay
// shortens a lease and never prolongs it. After it first reaches a majority, a controller waits for 1.25 lease durations before it
// writes. By then the lease of a previous holder has expired, even if the clock rates differ by up to a fifth.
//
// Increasing terms. Each start takes a term above all known terms and persists it before using it. A term consists of a number, the
// controller's name and a random incarnation, so that two starts without a disk, or two controllers with the same name, have
// different terms. A controller whose gateways follow a higher term stops writing and sending snapshots.
//
// Increasing generations. Each write creates one new generation, which is persisted before it is sent to any gateway. Losing the
// disk or restoring an older copy cannot decrease the generation: the controller writes nothing before more than half of the
// gateways (or, after the recovery timeout, all connected ones) have reported their records, and then continues above the highest
// reported generation.
//
// Persistent drains. A drain of an endpoint is merged into every later record of the endpoint, whatever the endpoint list says.
// Only a later start of the endpoint lifts the drain. Gateway reports can add drains but never remove one.
//
// Failed writes. A write that returned an error may have reached the disk nevertheless. Its records count as uncertain until they
// are written again, either with their current content or as tombstones.
//
// # Terms
//
// A record (pb.Item) describes an endpoint, a volume, a plan, a placement or the number of gateways. The snapshot is the set of
// records that a gateway should hold; it is sent in full or as the changes since a generation. A tombstone marks a removed record.
package statemachine
