package endpointstate

import (
	"fmt"
	"time"
)

// Rule 3: a later report takes precedence over an earlier one.
//
// Inputs: the epoch and number of an endpoint list; ObservedAt of each report (time on the gateway's clock).
//
// Among the lists of one discovery service, the higher number is the later list. The time of arrival says nothing about the order,
// since a restarted or lagging replica serves an old list. From a list whose number does not increase, only drains and unknown
// endpoints are taken, the latter as doubted. Between sources, the time at which a report was true decides (applyServing).

// ListReceived processes an endpoint list, or only the changes since the previous one if complete is false. It reports whether
// the list was accepted.
func (f *Fleet) ListReceived(g Generation, complete bool, reports []Report, now time.Duration) bool {
	if f.isStale(g) {
		f.applyStaleList(g, reports, now)
		return false
	}
	f.lastGeneration, f.listReceived = g, true
	named := map[string]bool{}
	for _, r := range reports {
		named[r.Name] = true
		r.ObservedAt = now
		f.applyReport(r, List, now)
	}
	if complete {
		f.applyOmissions(named, now)
	}
	return true
}

// isStale reports whether a list has the same epoch as the latest accepted one and a number that is not higher. After a restart,
// a list with the saved generation is not stale, since the discovery service has just confirmed it.
func (f *Fleet) isStale(g Generation) bool {
	if g == (Generation{}) || f.lastGeneration == (Generation{}) {
		return false // without a number
	}
	if g == f.lastGeneration && !f.listReceived {
		return false
	}
	return g.Epoch == f.lastGeneration.Epoch && g.Number <= f.lastGeneration.Number
}

// applyStaleList takes from a stale list its drains and its unknown endpoints, the latter as doubted.
func (f *Fleet) applyStaleList(g Generation, reports []Report, now time.Duration) {
	f.log(fmt.Sprintf("endpoint list %d is stale, list %d is known; only drains are taken from it", g.Number, f.lastGeneration.Number))
	for _, r := range reports {
		if !r.Serving {
			f.applyReport(r, List, now)
		} else if f.endpoints[r.Name] == nil {
			r.ObservedAt = 0
			f.applyReport(r, List, now)
		}
	}
}

// ListUnchanged processes the discovery service's confirmation that its last list is still current.
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
