package statemachine

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"weirhaven/internal/controlplane/snapshot"
	"weirhaven/internal/pb"
)

// SetDesired sets the desired version of a record; a record to be removed has Gone set. The next WriteDesired that holds the lease
// writes it. Known drains of an endpoint are merged into its record.
func (s *State) SetDesired(record *pb.Item) {
	key := snapshot.KeyOf(record)
	record = proto.Clone(record).(*pb.Item)
	if key.Kind == pb.Item_BRICK {
		drain := snapshot.MergeDrains(s.records[key].GetBrick().GetDrained(), s.desired[key].GetBrick().GetDrained())
		if drain != 0 {
			snapshot.AddDrain(record, drain)
		}
	}
	s.desired[key] = record
}

// WriteDesired writes the desired records that differ from the persisted ones as one new generation and returns them in order. It
// writes only while the lease is held. Without the lease, and after an error, the records remain desired.
func (s *State) WriteDesired(now time.Duration) (changed []*pb.Item, err error) {
	if s.Tick(now) != HoldingLease {
		return nil, nil
	}
	s.rewriteUncertain()
	changed = s.desiredChanges()
	if len(changed) == 0 {
		return nil, nil
	}
	next := s.generation + 1
	for _, record := range changed {
		record.Generation, record.Term = next, s.term.Term
	}
	if err := s.persist(next, changed); err != nil {
		return nil, fmt.Errorf("write generation %d: %w", next, err)
	}
	s.generation = next
	for _, record := range changed {
		s.put(record)
		delete(s.desired, snapshot.KeyOf(record))
	}
	s.PruneTombstones(s.config.MaxTombstones)
	return changed, nil
}

// desiredChanges returns copies of the desired records to write, in order. It drops desired records that change nothing.
func (s *State) desiredChanges() (changed []*pb.Item) {
	for key, desired := range s.desired {
		own := s.records[key]
		if own == nil && desired.Gone && !s.uncertain[key] {
			delete(s.desired, key)
			continue
		}
		record := proto.Clone(desired).(*pb.Item)
		if own != nil {
			addPersistedDrain(record, own)
			record.Generation, record.Term = own.Generation, own.Term
			if proto.Equal(own, record) && !s.uncertain[key] {
				delete(s.desired, key)
				continue
			}
		}
		changed = append(changed, record)
	}
	snapshot.Sort(changed)
	return changed
}

// addPersistedDrain merges a drain that was persisted after the record became desired.
func addPersistedDrain(record, own *pb.Item) {
	drained := record.GetBrick().GetDrained()
	if record.Kind == pb.Item_BRICK && snapshot.MergeDrains(own.GetBrick().GetDrained(), drained) != drained {
		snapshot.AddDrain(record, own.GetBrick().GetDrained())
	}
}

// persist stores records. After an error the disk may hold their previous or their new versions, so the records are uncertain until
// they are written again.
func (s *State) persist(generation uint64, records []*pb.Item) error {
	err := s.persister.Persist(s.term, generation, records)
	for _, record := range records {
		if err != nil {
			s.uncertain[snapshot.KeyOf(record)] = true
		} else {
			delete(s.uncertain, snapshot.KeyOf(record))
		}
	}
	return err
}

// rewriteUncertain adds the uncertain records to the desired ones, with their current content or as tombstones. Otherwise a change
// that failed to persist and was then reverted could reappear from the disk at the next start.
func (s *State) rewriteUncertain() {
	for key := range s.uncertain {
		if s.desired[key] != nil {
			continue
		}
		if own := s.records[key]; own != nil {
			s.desired[key] = proto.Clone(own).(*pb.Item)
		} else {
			s.desired[key] = &pb.Item{Kind: key.Kind, Name: key.Name, Gone: true}
		}
	}
}

// put adds a persisted record to the state.
func (s *State) put(record *pb.Item) {
	key := snapshot.KeyOf(record)
	previous := s.records[key]
	if key.Kind == pb.Item_PLACE {
		if previous != nil && !previous.Gone {
			s.placementsPerShard[previous.Place.GetCell()]--
		}
		if !record.Gone {
			s.placementsPerShard[record.Place.GetCell()]++
		}
	}
	if record.Gone && (previous == nil || !previous.Gone) {
		s.tombstones = append(s.tombstones, key)
	}
	s.records[key], s.digestValid = record, false
	s.generation = max(s.generation, record.Generation)
}
