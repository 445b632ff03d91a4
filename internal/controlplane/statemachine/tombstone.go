package statemachine

import "slices"

// PruneTombstones drops the oldest tombstones beyond limit. Gateways at an earlier generation get the full snapshot from then on,
// since the removal can't be sent as a change any more. The tombstone of a drained endpoint is kept: it holds the drain.
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
