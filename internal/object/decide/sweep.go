package decide

import (
	"time"

	"weirhaven/internal/pb"
)

// RemovableExtents returns those unreferenced extents whose bytes may be removed:
//   - an abandoned one, if it was abandoned before oldestReader, the time at which the oldest read under way began: a later read finds
//     nothing that names the extent;
//   - an intended one, once it is minAge old. Its writer may be alive still: the caller leaves out what its own process writes.
//
// An extent that is referenced is never returned. All times are on one clock.
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
