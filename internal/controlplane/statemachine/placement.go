package statemachine

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"weirhaven/internal/controlplane/snapshot"
	"weirhaven/internal/pb"
)

var (
	// ErrNoLease is returned where a placement is requested and the lease isn't held.
	ErrNoLease = errors.New("the lease is not held")
	// ErrUnknownVolume is returned where a placement in a volume that doesn't exist is requested.
	ErrUnknownVolume = errors.New("unknown volume")
	// ErrNoServingEndpoint is returned where no shard of the volume has a serving endpoint.
	ErrNoServingEndpoint = errors.New("no serving endpoint")
)

// Place chooses the shard of a new object or extent and persists it before it returns. The same name is given the same shard again,
// also when that was requested by another gateway or the lease is not held; a caller that finds no endpoint of the shard serving any
// more asks under a new name. The shard is:
//
//   - one that the volume may use, with at least one endpoint that serves and is not drained;
//   - in another zone than request.ButZone, if there is such a shard;
//   - of these, the one with the fewest placements for each serving endpoint, then the lowest number.
//
// The error wraps ErrNoLease, ErrUnknownVolume, ErrNoServingEndpoint or snapshot.ErrTooManyRecords, or is the Persister's.
func (s *State) Place(request *pb.PlaceAsk, now time.Duration) (*pb.Item, error) {
	key := snapshot.Key{Kind: pb.Item_PLACE, Name: request.Volume + "/" + request.Name}
	if own := s.records[key]; own != nil && !own.Gone {
		return own, nil
	}
	if s.Tick(now) != HoldingLease {
		return nil, fmt.Errorf("place %q: %w: the controller is %s", key.Name, ErrNoLease, s.phase)
	}
	volume := s.records[snapshot.Key{Kind: pb.Item_VOLUME, Name: request.Volume}]
	if volume == nil || volume.Gone {
		return nil, fmt.Errorf("place %q: %w %q", key.Name, ErrUnknownVolume, request.Volume)
	}
	if len(s.records) >= s.config.MaxRecords {
		return nil, fmt.Errorf("place %q: %w: at most %d", key.Name, snapshot.ErrTooManyRecords, s.config.MaxRecords)
	}
	shard, found := s.chooseShard(s.candidateShards(volume.GetVolume(), request.ButZone))
	if !found {
		return nil, fmt.Errorf("place %q: %w in the shards of volume %q", key.Name, ErrNoServingEndpoint, request.Volume)
	}
	next := s.generation + 1
	record := &pb.Item{Kind: key.Kind, Name: key.Name, Generation: next, Term: s.term.Term,
		Place: &pb.PlanPlace{Volume: request.Volume, Cell: shard, Edge: request.Edge}}
	if err := s.persist(next, []*pb.Item{record}); err != nil {
		return nil, fmt.Errorf("place %q: persist: %w", key.Name, err)
	}
	s.generation = next
	s.put(record)
	return record, nil
}

// shardCandidate is a shard where an object may be placed.
type shardCandidate struct {
	endpoints   int  // that serve
	outsideZone bool // one of them is outside the zone to avoid
}

// candidateShards are the shards that a volume may use (all, if it names none) with an endpoint that serves, by shard.
func (s *State) candidateShards(volume *pb.PlanVolume, avoidZone string) map[uint32]shardCandidate {
	candidates := map[uint32]shardCandidate{}
	for key, record := range s.records {
		endpoint := record.GetBrick()
		if key.Kind != pb.Item_BRICK || record.Gone || !endpoint.GetServing() || snapshot.Drained(endpoint) || endpoint.GetCell() < 0 {
			continue
		}
		shard := uint32(endpoint.Cell)
		if allowed := volume.GetCell(); len(allowed) > 0 && !slices.Contains(allowed, shard) {
			continue
		}
		candidate := candidates[shard]
		candidate.endpoints++
		candidate.outsideZone = candidate.outsideZone || avoidZone == "" || endpoint.Zone != avoidZone
		candidates[shard] = candidate
	}
	return candidates
}

// chooseShard is the best candidate by the order that Place gives.
func (s *State) chooseShard(candidates map[uint32]shardCandidate) (best uint32, found bool) {
	for shard := range candidates {
		if !found || s.betterShard(candidates, shard, best) {
			best, found = shard, true
		}
	}
	return best, found
}

// betterShard compares two candidates. The loads, placements an endpoint, are compared by cross products: no division.
func (s *State) betterShard(candidates map[uint32]shardCandidate, a, b uint32) bool {
	if candidates[a].outsideZone != candidates[b].outsideZone {
		return candidates[a].outsideZone
	}
	loadA := s.placementsPerShard[a] * candidates[b].endpoints
	loadB := s.placementsPerShard[b] * candidates[a].endpoints
	if loadA != loadB {
		return loadA < loadB
	}
	return a < b
}
