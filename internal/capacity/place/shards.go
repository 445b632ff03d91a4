package place

import (
	"slices"

	"weirhaven/internal/capacity/demand"
	"weirhaven/internal/pb"
)

// VolumeShards returns the shards on which a load shows each volume, in order. Volumes that the fleet places itself are as it says.
func VolumeShards(load []demand.Request, f *pb.CapacityFleet) map[string][]int {
	shards := statedShards(f)
	stated := map[string]bool{}
	for _, volume := range f.Volume {
		stated[volume.Name] = len(volume.Cell) > 0
	}
	for i := range load {
		request := &load[i]
		if request.Shard >= 0 && !stated[request.Volume] && !slices.Contains(shards[request.Volume], request.Shard) {
			shards[request.Volume] = append(shards[request.Volume], request.Shard)
		}
	}
	for _, s := range shards {
		slices.Sort(s)
	}
	return shards
}

// statedShards are the shards that the fleet states for its volumes, in its order.
func statedShards(f *pb.CapacityFleet) map[string][]int {
	shards := map[string][]int{}
	for _, volume := range f.Volume {
		for _, shard := range volume.Cell {
			shards[volume.Name] = append(shards[volume.Name], int(shard))
		}
	}
	return shards
}

// fibonacciHash is 2^64 over the golden ratio: it spreads object numbers that follow one another.
const fibonacciHash = 0x9E3779B97F4A7C15

// partOf shares the objects of a shard out over n parts. An object is always on the same part.
func partOf(request *demand.Request, n int) int {
	return int((request.Object*fibonacciHash>>20)+uint64(request.Shard)*7) % n
}
