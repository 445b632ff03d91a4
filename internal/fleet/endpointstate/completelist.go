package endpointstate

import (
	"fmt"
	"time"
)

// Rule 4: an endpoint that a complete list omits is removed, but a list that drops more than half of the endpoints needs
// confirmation.
//
// Inputs: the names in a complete list; the endpoints that are not barred.
//
// A discovery service that comes back with part of its data, or none, must not take the whole fleet out of service. The endpoints
// of such a drop are doubted until a second list with a higher number omits them too; an endpoint whose belief is its own report
// stays as it is. The price is a delay of one list when half of the fleet really was removed. A drop of a single endpoint is always
// accepted.
//
// An omitted endpoint is removed, not drained: a later list that names it restores it without a new start. Otherwise one
// incomplete list would bar endpoints until they are restarted.

// requiredOmissions is the number of consecutive complete lists that must omit an endpoint when the drop is implausible.
const requiredOmissions = 2

// applyOmissions processes the endpoints that a complete list did not name.
func (f *Fleet) applyOmissions(named map[string]bool, now time.Duration) {
	serving, dropped := f.countDropped(named)
	implausible := dropped > 1 && 2*dropped > serving
	for _, b := range f.sorted() {
		if named[b.Name] {
			b.OmittedByLists = 0
			continue
		}
		if f.isBarred(b) {
			continue
		}
		b.OmittedByLists++
		if implausible && b.OmittedByLists < requiredOmissions {
			if b.Source != SelfReported {
				b.ObservedAt = 0
			}
		} else {
			b.removedByList, b.Serving, b.Removed, b.DrainKnownAt, b.Reason = true, false, true, now, reasonNotInList
		}
		f.update(b, now)
	}
	if implausible {
		f.log(fmt.Sprintf("complete endpoint list names %d of %d serving endpoints; the others are doubted until a second list omits them",
			serving-dropped, serving))
	}
}

// countDropped counts the endpoints that are not barred, and how many of those a list omits.
func (f *Fleet) countDropped(named map[string]bool) (serving, dropped int) {
	for name, b := range f.endpoints {
		if b.Trust == Barred {
			continue
		}
		serving++
		if !named[name] {
			dropped++
		}
	}
	return serving, dropped
}
