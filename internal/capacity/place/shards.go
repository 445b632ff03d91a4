package place

import (
	"slices"

	"weirhaven/internal/capacity/demand"
	"weirhaven/internal/pb"
)

// VolumeShards returns the sorted shards of each volume: those that the fleet configures for it, else those of its requests in the load.
func VolumeShards(load []demand.Request, f *pb.CapacityFleet) map[string][]int {
	shards := configuredShards(f)
	configured := map[string]bool{}
	for _, volume := range f.Volume {
		configured[volume.Name] = len(volume.Cell) > 0
	}
	for i := range load {
		request := &load[i]
		if request.Shard >= 0 && !configured[request.Volume] && !slices.Contains(shards[request.Volume], request.Shard) {
			shards[request.Volume] = append(shards[request.Volume], request.Shard)
		}
	}
	for _, s := range shards {
		slices.Sort(s)
	}
	return shards
}

// configuredShards returns the shards that the fleet configures for its volumes, in the order of the configuration.
func configuredShards(f *pb.CapacityFleet) map[string][]int {
	shards := map[string][]int{}
	for _, volume := range f.Volume {
		for _, shard := range volume.Cell {
			shards[volume.Name] = append(shards[volume.Name], int(shard))
		}
	}
	return shards
}

// fibonacciHash is 2^64 divided by the golden ratio: it spreads consecutive object numbers evenly.
const fibonacciHash = 0x9E3779B97F4A7C15

// partOf returns the part, of n, that holds the request's object. All requests for an object have the same part.
func partOf(request *demand.Request, n int) int {
	return int((request.Object*fibonacciHash>>20)+uint64(request.Shard)*7) % n
}
