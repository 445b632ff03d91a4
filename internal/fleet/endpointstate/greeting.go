package endpointstate

import (
	"fmt"
	"time"
)

// Rule 2: an endpoint's own greeting takes precedence over other reports, except a drain.
//
// Inputs: the greeting (name, address, start of the process, draining or not) and responses on a greeted connection, each received
// at now; ObservedAt of other reports.
//
// The endpoint knows its own state first, and its greeting arrives directly. A report from another source replaces it only if
// that report was true later or refers to a later start.

// Greeted processes an endpoint's greeting on a connection to address (empty: unknown). started is the start time of the
// endpoint's process (0: not given). A greeting of an endpoint that no source has reported is ignored, since its shard is unknown.
func (f *Fleet) Greeted(name, address string, started time.Duration, draining bool, now time.Duration) {
	b := f.endpoints[name]
	if b == nil {
		return
	}
	if address != b.Address && address != "" {
		return // the connection goes to an earlier address of the endpoint
	}
	r := b.Report
	r.ObservedAt, r.Serving, r.Removed = now, !draining, false
	if started != 0 {
		r.Started = started
	}
	f.applyReport(r, SelfReported, now)
}

// Answered processes a response on a greeted connection as evidence that the endpoint is up. It does not lift a drain.
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

// WrongEndpoint processes a greeting from a different endpoint at this endpoint's address: reports about this endpoint are no
// longer trusted, except its own.
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

// greetingTakesPrecedence reports whether the belief was reported by the endpoint itself and the report comes from another
// source and is not newer.
func greetingTakesPrecedence(b *Belief, r Report, source Source) bool {
	return b.Source == SelfReported && source != SelfReported && r.ObservedAt <= b.ObservedAt
}
