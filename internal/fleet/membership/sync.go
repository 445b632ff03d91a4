package membership

import (
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Anti-entropy: since updates may be lost, each gateway regularly requests the differing members from another one (Join, answered by
// Sync). The traffic of complete member lists would grow with the square of the number of gateways. A Join therefore carries one
// checksum per bucket of names, and one missed update costs one bucket.

// checksumBuckets is the number of buckets that the members are split into by name. It must be the same on all gateways.
const checksumBuckets = 32

// requestSync sends a Join to a random seed until the group has joined, and then to a random member every FullSyncPeriods periods.
func (g *Group) requestSync() {
	g.periods++
	if !g.joined && len(g.seeds) > 0 {
		g.send(g.seeds[g.rng.Intn(len(g.seeds))], Message{Kind: Join})
		return
	}
	if g.periods%g.rules.FullSyncPeriods != 0 {
		return
	}
	for _, e := range g.randomAlive(1, "") {
		g.send(e.Address, Message{Kind: Join, Checksums: g.checksums()})
	}
}

// receiveJoin answers with the members of all buckets that differ, or with all members if the Join has no checksums.
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
	for part := range slices.Chunk(differing, backlogFactor*g.rules.UpdatesPerMessage) {
		g.send(m.From.Address, Message{Kind: Sync, Seq: m.Seq, Total: len(all), Updates: part})
	}
}

// receiveSync processes the answer to a Join, whose updates are already applied. The group has joined once it knows as many members
// as the sender.
func (g *Group) receiveSync(m Message, sender *entry) {
	g.countsStale = g.countsStale || !sender.acknowledged || !g.joined
	g.joined = g.joined || len(g.members)+1 >= m.Total
	sender.acknowledged = true
}

// checksum returns a member's bucket and its contribution to the checksum of that bucket.
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
