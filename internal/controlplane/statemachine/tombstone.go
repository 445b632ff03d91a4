package statemachine

import "slices"

// PruneTombstones removes the oldest tombstones beyond limit. Gateways at an earlier generation then receive the full snapshot,
// since the removal can no longer be sent as a change. The tombstone of a drained endpoint is kept because it holds the drain.
func (s *State) PruneTombstones(limit int) {
	for i := 0; len(s.tombstones) > limit && i < len(s.tombstones); {
		key := s.tombstones[i]
		record := s.records[key]
		removed := record != nil && record.Gone
		if removed && record.GetBrick().GetDrained() != 0 {
			i++
			continue
		}
		if removed {
			s.changesKnownSince = max(s.changesKnownSince, record.Generation)
			delete(s.records, key)
			s.digestValid = false
		}
		s.tombstones = slices.Delete(s.tombstones, i, i+1)
	}
}
