package decide

import (
	"time"

	"weirhaven/internal/pb"
)

// RemovableExtents returns the unreferenced extents whose bytes may be removed:
//   - An abandoned extent may be removed if it was abandoned before oldestReader, the start of the oldest read in progress. A read that
//     began later can't find the extent, because no object or part refers to it.
//   - An intended extent may be removed once it is minAge old. Its write may still be in progress; the caller must exclude the extents
//     that its own process is writing.
//
// A referenced extent is never returned. All times are on the same clock.
func RemovableExtents(unreferenced []*pb.LooseRecord, referenced func(id string) bool, now, minAge, oldestReader time.Duration) (removable []*pb.LooseRecord) {
	for _, record := range unreferenced {
		if !referenced(record.Extent.Id) && mayRemove(record, now, minAge, oldestReader) {
			removable = append(removable, record)
		}
	}
	return removable
}

func mayRemove(record *pb.LooseRecord, now, minAge, oldestReader time.Duration) bool {
	since := time.Duration(record.Since)
	if record.Doomed { // abandoned
		return since < oldestReader
	}
	return now-since >= minAge
}
