package endpointstate

import (
	"fmt"
	"time"
)

// Rule 4: what a complete list omits is gone, but a list that drops more than half of the endpoints has to be confirmed.
//
// Inputs: the names in a complete list; the endpoints that are not barred.
//
// A list service that came back with part of its data, or none, must not stop the fleet at once. Until a second list of a higher
// number omits them too, the endpoints of such a drop are doubted, and those that were heard themselves stay as they are.
// The price is one list's delay where half a fleet really was taken away. A drop of a single endpoint is always believed.
//
// An omitted endpoint is removed, not drained: a later list that names it brings it back without a new start. Otherwise one
// short list would bar endpoints until somebody restarts them.

// confirmations is how many complete lists in a row have to omit an endpoint when the drop is implausible.
const confirmations = 2

// weighOmissions takes what a complete list did not name.
func (f *Fleet) weighOmissions(named map[string]bool, now time.Duration) {
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
		if implausible && b.OmittedByLists < confirmations {
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

// countDropped counts the endpoints that are not barred, and those of them that a list omits.
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
