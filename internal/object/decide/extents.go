package decide

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"weirhaven/internal/pb"
)

// ExtentRange is a stretch of one extent's bytes.
type ExtentRange struct {
	Extent     *pb.ExtentRecord
	From, Size int64 // bytes, From counted from the extent's first
}

// ExtentRanges returns the extents that a range of an object takes, in order, each with the stretch that is used. Extents have to be read
// whole all the same: their checksum is over all their bytes.
func ExtentRanges(extents []*pb.ExtentRecord, r Range) (used []ExtentRange) {
	offset := int64(0) // of the extent in the object
	for _, extent := range extents {
		from, to := max(r.From-offset, 0), min(r.From+r.Size-offset, extent.Size)
		if from < to {
			used = append(used, ExtentRange{extent, from, to - from})
		}
		offset += extent.Size
	}
	return used
}

// RankShards returns a volume's shards in the order in which the extent of an id prefers them; it goes to the first. By rendezvous hashing
// (Thaler and Ravishankar 1998) each extent has an order of its own: all shards get the same share, and a shard that comes or goes
// moves no other's extents.
func RankShards(shards []uint32, id string) []uint32 {
	ranked := slices.Clone(shards)
	weight := func(shard uint32) uint64 { return xxhash.Sum64String(fmt.Sprint(id, "/", shard)) }
	slices.SortFunc(ranked, func(a, b uint32) int { return cmp.Or(cmp.Compare(weight(b), weight(a)), cmp.Compare(a, b)) })
	return ranked
}

// Units returns the units of work that a request for size bytes counts as, of unitBytes each; at least 1.
func Units(size int64, unitBytes int64) float64 { return max(1, float64(size)/float64(unitBytes)) }
