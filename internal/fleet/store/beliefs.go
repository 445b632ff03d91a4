package store

import (
	"fmt"
	"time"

	"go.etcd.io/bbolt"
	"google.golang.org/protobuf/proto"

	"weirhaven/internal/fleet/endpointstate"
	"weirhaven/internal/pb"
)

// AgeGranularity limits how often a confirmed belief is written: only after its ObservedAt has advanced by this much. A belief on
// disk may seem that much older than it is.
const AgeGranularity = 30 * time.Second

// Load returns all beliefs, sorted by name, and the generation of the latest accepted list. An empty store has none. Load fails with
// ErrNotAStore, ErrNewerFormat or ErrOtherGateway, or if an entry is unreadable.
func (s *Store) Load() (beliefs []endpointstate.Belief, last endpointstate.Generation, err error) {
	err = s.db.View(func(tx *bbolt.Tx) error {
		meta := tx.Bucket(metaBucket)
		if meta == nil {
			return nil // new file
		}
		if last, err = s.decodeMeta(meta.Get(metaKey)); err != nil {
			return err
		}
		endpoints := tx.Bucket(endpointBucket)
		if endpoints == nil {
			return nil
		}
		return endpoints.ForEach(func(name, value []byte) error {
			saved := &pb.SavedBrick{}
			if err := proto.Unmarshal(value, saved); err != nil || saved.Name != string(name) {
				return fmt.Errorf("the entry of endpoint %q is unreadable", name)
			}
			beliefs = append(beliefs, decodeBelief(saved))
			return nil
		})
	})
	return beliefs, last, err
}

// Save writes the beliefs that have changed since the last save and deletes those that are no longer present, in one transaction.
// It returns the number of entries written or deleted. A belief whose ObservedAt only advanced by less than AgeGranularity counts as
// unchanged, and without changed beliefs last is not written either. Save fails with ErrReadOnly or a disk error.
func (s *Store) Save(beliefs []endpointstate.Belief, last endpointstate.Generation) (written int, err error) {
	changed, dropped := s.changes(beliefs)
	if len(changed)+len(dropped) == 0 {
		return 0, nil
	}
	if s.readOnly {
		return 0, fmt.Errorf("save the fleet: %w", ErrReadOnly)
	}
	err = s.update(func(tx *bbolt.Tx) error { return s.writeBeliefs(tx, changed, dropped, last) })
	if err != nil {
		s.markUncertain(changed, dropped)
		return 0, fmt.Errorf("save the fleet: %w", err)
	}
	clear(s.uncertain)
	for _, b := range changed {
		s.beliefs[b.Name] = b
	}
	for _, name := range dropped {
		delete(s.beliefs, name)
	}
	return len(changed) + len(dropped), nil
}

// changes returns the beliefs to write and the names to delete.
func (s *Store) changes(beliefs []endpointstate.Belief) (changed []endpointstate.Belief, dropped []string) {
	current := map[string]bool{}
	for _, b := range beliefs {
		current[b.Name] = true
		if saved, ok := s.beliefs[b.Name]; !ok || differs(saved, b) || s.uncertain[b.Name] {
			changed = append(changed, b)
		}
	}
	for name := range s.beliefs {
		if !current[name] {
			dropped = append(dropped, name)
		}
	}
	for name := range s.uncertain {
		if _, saved := s.beliefs[name]; !current[name] && !saved {
			dropped = append(dropped, name)
		}
	}
	return changed, dropped
}

func (s *Store) writeBeliefs(tx *bbolt.Tx, changed []endpointstate.Belief, dropped []string, last endpointstate.Generation) error {
	if err := s.writeMeta(tx, last); err != nil {
		return err
	}
	endpoints, err := tx.CreateBucketIfNotExists(endpointBucket)
	if err != nil {
		return err
	}
	for _, b := range changed {
		value, err := proto.Marshal(encodeBelief(b))
		if err != nil {
			return err
		}
		if err := endpoints.Put([]byte(b.Name), value); err != nil {
			return err
		}
	}
	for _, name := range dropped {
		if err := endpoints.Delete([]byte(name)); err != nil {
			return err
		}
	}
	return nil
}

// markUncertain records the entries of a failed save. The disk may hold their state before or after that save, so the next save
// must write them whatever their state.
func (s *Store) markUncertain(changed []endpointstate.Belief, dropped []string) {
	for _, b := range changed {
		s.uncertain[b.Name] = true
	}
	for _, name := range dropped {
		s.uncertain[name] = true
	}
}

// differs reports whether a belief must be written. If only the source, the reason or DrainKnownAt changed, the belief is not written
// until something else changes too.
func differs(saved, current endpointstate.Belief) bool {
	return saved.Address != current.Address || saved.Zone != current.Zone || saved.Shard != current.Shard ||
		saved.Serving != current.Serving || saved.Removed != current.Removed ||
		saved.Started != current.Started || saved.DrainedUpTo != current.DrainedUpTo ||
		current.ObservedAt-saved.ObservedAt >= AgeGranularity || current.ObservedAt < saved.ObservedAt
}
