// Package statemachine holds the controller's decisions: what it may write and when, what it must learn from gateways before that,
// which gateway is sent a snapshot next, where new objects are placed.
//
// It does no I/O, reads no clock and starts no goroutine. Time comes in as an argument, a span on one monotonic clock; what must
// survive a restart goes out through Persister and counts only once that call has returned without an error. A State is used by one
// goroutine at a time.
//
// # Invariants
//
// One writer. At most one controller holds the lease. A controller holds it while more than half of the gateways have acknowledged a
// heartbeat sent within the lease duration; each gateway acknowledges heartbeats of the highest term that it has seen only, so two
// controllers never count the same gateway. The span is counted from the sending of the heartbeat, so delays on the way shorten a
// lease and never prolong it. After its first majority a controller waits for a lease and a quarter before it writes: whoever held
// the lease before has lost it by then, with clocks that differ in speed by up to a fifth.
//
// Terms rise. Each start takes a term above all known terms and persists it before it is used. A term is a number, the controller's
// name and a random life: two starts without a disk, or two controllers of one name, still differ. A controller whose gateways follow
// a higher term stands back.
//
// Generations rise. Each write makes one new generation, persisted before any gateway hears of it. A disk that was lost or replaced
// by an older copy can't make generations fall: nothing is written before more than half of the gateways have reported what they hold
// (or, after the recovery timeout, all that are connected), and numbering goes on above the highest generation reported.
//
// Drains stay. A drain of an endpoint is merged into every later record of it, whatever the endpoint list says; only a later start
// of the endpoint lifts it. Reports add drains and never remove one.
//
// Failed writes are unknown. What failed to persist may have reached the disk all the same. It stays uncertain until it is written
// again, as it is held here or as a tombstone.
//
// # Terms
//
// A record (pb.Item) is one endpoint, volume, plan, placement or the number of gateways. The snapshot is the set of records that a
// gateway should hold; it is sent in full or as the changes since a generation. A tombstone is the record of what was removed.
package statemachine
