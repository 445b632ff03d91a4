package endpointstate

import (
	"fmt"
	"time"
)

// Rule 2: an endpoint's own greeting outweighs other reports, except a drain.
//
// Inputs: the greeting (name, address, start of the process, draining or not) and answers on a greeted connection, each heard now;
// ObservedAt of other reports.
//
// The endpoint knows its own state first and by no detour. A report of another source replaces it only where it was true later or speaks
// of a later start.

// Greeted takes an endpoint's greeting on a connection to address ("": not known which): it is there, started then (0: not
// given), and drains or not. An endpoint that no source has reported is ignored, since its shard is not known.
func (f *Fleet) Greeted(name, address string, started time.Duration, draining bool, now time.Duration) {
	b := f.endpoints[name]
	if b == nil {
		return
	}
	if address != b.Address && address != "" {
		return // a connection to the address of before
	}
	r := b.Report
	r.ObservedAt, r.Serving, r.Removed = now, !draining, false
	if started != 0 {
		r.Started = started
	}
	f.weigh(r, SelfReported, now)
}

// Answered takes an answer of an endpoint on a connection that it greeted: it is there. A drain stands.
func (f *Fleet) Answered(name string, now time.Duration) {
	b := f.endpoints[name]
	if b == nil || f.isBarred(b) {
		return
	}
	b.ObservedAt, b.Source, b.GreetedAt = now, SelfReported, now
	if b.Trust == Doubted {
		f.update(b, now)
	}
}

// WrongEndpoint takes the greeting of another endpoint at an endpoint's address: what was reported of it is not trusted any
// more, unless it comes from the endpoint itself.
func (f *Fleet) WrongEndpoint(name, address string, now time.Duration) {
	b := f.endpoints[name]
	if b == nil || b.Address != address || b.Source == SelfReported {
		return
	}
	if b.ObservedAt != 0 {
		f.log(fmt.Sprintf("doubted %s: another endpoint answers at its address %s", name, address))
	}
	b.ObservedAt = 0
	f.update(b, now)
}

// greetingOutweighs reports whether the belief is the endpoint's own word and the report is another source's, true no later.
func greetingOutweighs(b *Belief, r Report, source Source) bool {
	return b.Source == SelfReported && source != SelfReported && r.ObservedAt <= b.ObservedAt
}
