package endpointstate

import (
	"fmt"
	"time"
)

// Rule 3: a later report outweighs an earlier one.
//
// Inputs: the epoch and number of an endpoint list; ObservedAt of each report (time on the gateway's clock).
//
// Of one list service a higher number is later; the time of arrival proves nothing, since a restarted or lagging replica
// serves an old list. Only drains are taken from a list whose number doesn't rise, and endpoints that nothing is known of, as
// doubted. Between sources the time at which a report was true decides (weighServing).

// ListReceived takes an endpoint list, or the changes since the one before (complete is false). It returns whether the list
// was believed.
func (f *Fleet) ListReceived(g Generation, complete bool, reports []Report, now time.Duration) bool {
	if f.isStale(g) {
		f.takeStaleList(g, reports, now)
		return false
	}
	f.lastGeneration, f.listReceived = g, true
	named := map[string]bool{}
	for _, r := range reports {
		named[r.Name] = true
		r.ObservedAt = now
		f.weigh(r, List, now)
	}
	if complete {
		f.weighOmissions(named, now)
	}
	return true
}

// isStale reports whether a list is of the same epoch as the latest one believed and its number doesn't rise. After a restart the
// saved list is not stale: the service, asked again, confirms it.
func (f *Fleet) isStale(g Generation) bool {
	if g == (Generation{}) || f.lastGeneration == (Generation{}) {
		return false // without a number
	}
	if g == f.lastGeneration && !f.listReceived {
		return false
	}
	return g.Epoch == f.lastGeneration.Epoch && g.Number <= f.lastGeneration.Number
}

// takeStaleList takes what a stale list may still teach: drains, and endpoints that nothing is known of, as doubted.
func (f *Fleet) takeStaleList(g Generation, reports []Report, now time.Duration) {
	f.log(fmt.Sprintf("endpoint list %d is stale, list %d is known; only drains are taken from it", g.Number, f.lastGeneration.Number))
	for _, r := range reports {
		if !r.Serving {
			f.weigh(r, List, now)
		} else if f.endpoints[r.Name] == nil {
			r.ObservedAt = 0
			f.weigh(r, List, now)
		}
	}
}

// ListUnchanged takes the list service's sign of life without a new list: what it reported last is true now.
func (f *Fleet) ListUnchanged(now time.Duration) {
	if !f.listReceived {
		return
	}
	for _, b := range f.endpoints {
		if b.Source == List && !f.isBarred(b) && b.OmittedByLists == 0 && b.ObservedAt != 0 {
			b.ObservedAt = now
		}
	}
}
