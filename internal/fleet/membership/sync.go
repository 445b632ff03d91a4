package membership

import (
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Updates may be lost, so each gateway asks another now and then for all that differs (Join, answered by Sync). Whole member lists would
// grow with the square of the gateways. A Join thus carries a checksum for each of some buckets of names, and one update
// missed costs one bucket.

// checksumBuckets is how many buckets the members are split into by name. All gateways have to use the same number.
const checksumBuckets = 32

// requestSync asks a seed until the group has joined, and then a random member each FullSyncTurns periods.
func (g *Group) requestSync() {
	g.periods++
	if !g.joined && len(g.seeds) > 0 {
		g.send(g.seeds[g.rng.Intn(len(g.seeds))], Message{Kind: Join})
		return
	}
	if g.periods%g.rules.FullSyncTurns != 0 {
		return
	}
	for _, e := range g.randomAlive(1, "") {
		g.send(e.Address, Message{Kind: Join, Checksums: g.checksums()})
	}
}

// receiveJoin answers with the members of all buckets that differ, or of all buckets where no checksums came.
func (g *Group) receiveJoin(m Message) {
	all := g.Members()
	differing := slices.Clone(all)
	if len(m.Checksums) == checksumBuckets {
		own := g.checksums()
		differing = slices.DeleteFunc(differing, func(member Member) bool {
			bucket, _ := checksum(member)
			return own[bucket] == m.Checksums[bucket]
		})
	}
	if len(differing) == 0 {
		g.send(m.From.Address, Message{Kind: Sync, Seq: m.Seq, Total: len(all)})
	}
	for part := range slices.Chunk(differing, pressureFactor*g.rules.UpdatesPerMessage) {
		g.send(m.From.Address, Message{Kind: Sync, Seq: m.Seq, Total: len(all), Updates: part})
	}
}

// receiveSync takes the answer to a Join; its updates are applied already. The group has joined once it knows as many as the sender.
func (g *Group) receiveSync(m Message, sender *entry) {
	g.countsStale = g.countsStale || !sender.acknowledged || !g.joined
	g.joined = g.joined || len(g.members)+1 >= m.Total
	sender.acknowledged = true
}

// checksum gives a member's bucket and what it adds to the checksum of that bucket.
func checksum(m Member) (bucket int, sum uint64) {
	return int(xxhash.Sum64String(m.Name) % checksumBuckets),
		xxhash.Sum64String(fmt.Sprint(m.Name, " ", m.Incarnation, " ", int(m.State)))
}

func (g *Group) checksums() []uint64 {
	all := make([]uint64, checksumBuckets)
	for _, m := range g.Members() {
		bucket, sum := checksum(m)
		all[bucket] ^= sum
	}
	return all
}
