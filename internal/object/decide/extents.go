package decide

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"weirhaven/internal/pb"
)

// ExtentRange is a byte range within one extent.
type ExtentRange struct {
	Extent     *pb.ExtentRecord
	From, Size int64 // bytes; From is the offset in the extent
}

// ExtentRanges returns the extents that overlap a range of an object, in order, each with the overlapping bytes. The caller still has to
// read each extent in full, because its checksum covers all its bytes.
func ExtentRanges(extents []*pb.ExtentRecord, r Range) (used []ExtentRange) {
	offset := int64(0) // position of the extent in the object
	for _, extent := range extents {
		from, to := max(r.From-offset, 0), min(r.From+r.Size-offset, extent.Size)
		if from < to {
			used = append(used, ExtentRange{extent, from, to - from})
		}
		offset += extent.Size
	}
	return used
}

// RankShards returns a volume's shards in order of preference for the extent with the given id; the extent is stored on the first. The
// order comes from rendezvous hashing (Thaler and Ravishankar 1998) and differs between extents: all shards get about the same number of
// extents, and adding or removing a shard does not move extents between the other shards.
func RankShards(shards []uint32, id string) []uint32 {
	ranked := slices.Clone(shards)
	weight := func(shard uint32) uint64 { return xxhash.Sum64String(fmt.Sprint(id, "/", shard)) }
	slices.SortFunc(ranked, func(a, b uint32) int { return cmp.Or(cmp.Compare(weight(b), weight(a)), cmp.Compare(a, b)) })
	return ranked
}

// Units returns the cost of a request for size bytes, in units of work of unitBytes each; at least 1.
func Units(size int64, unitBytes int64) float64 { return max(1, float64(size)/float64(unitBytes)) }
