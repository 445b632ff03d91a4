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
	// ErrNoLease is returned if a placement is requested while the controller does not hold the lease.
	ErrNoLease = errors.New("the lease is not held")
	// ErrUnknownVolume is returned if a placement is requested in a volume that does not exist.
	ErrUnknownVolume = errors.New("unknown volume")
	// ErrNoServingEndpoint is returned if no shard of the volume has a serving endpoint.
	ErrNoServingEndpoint = errors.New("no serving endpoint")
)

// Place chooses the shard for a new object or extent and persists the placement before it returns. A repeated request for the same
// name returns the existing placement, even if another gateway requested it or the lease is not held. If no endpoint of that shard
// is serving any more, the caller must request a placement under a new name.
//
// Place considers the shards that the volume may use and that have at least one serving endpoint that is not drained. It prefers
// shards with such an endpoint outside the zone request.ButZone, then the fewest placements per serving endpoint, then the lowest
// shard number.
//
// The error wraps ErrNoLease, ErrUnknownVolume, ErrNoServingEndpoint, snapshot.ErrTooManyRecords or the Persister's error.
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

// shardCandidate is a shard in which an object may be placed.
type shardCandidate struct {
	endpoints   int  // number of serving endpoints
	outsideZone bool // at least one of the endpoints is outside the zone to avoid
}

// candidateShards returns the candidates by shard: the shards that a volume may use (all, if it lists none) with a serving
// endpoint.
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

// chooseShard returns the best candidate in the order described at Place.
func (s *State) chooseShard(candidates map[uint32]shardCandidate) (best uint32, found bool) {
	for shard := range candidates {
		if !found || s.betterShard(candidates, shard, best) {
			best, found = shard, true
		}
	}
	return best, found
}

// betterShard reports whether shard a is a better candidate than shard b. The loads, which are placements per endpoint, are
// cross-multiplied to avoid a division.
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
