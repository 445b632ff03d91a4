package endpointstate

import "time"

// Configured takes the endpoints that the settings name. They are always trusted, however old.
func (f *Fleet) Configured(reports []Report, now time.Duration) {
	for _, r := range reports {
		r.ObservedAt = now
		f.weigh(r, Settings, now)
	}
}

// PeerReported takes reports that another gateway, or the control plane, passed on: each as old as its ObservedAt says,
// and none from the future.
func (f *Fleet) PeerReported(reports []Report, now time.Duration) {
	for _, r := range reports {
		r.ObservedAt = min(r.ObservedAt, now)
		f.weigh(r, Peer, now)
	}
}

// ReportsForPeers returns the reports to pass on to other gateways, sorted by name: each trusted belief, and each drain with
// the latest start that it bars. A belief from the settings is not passed on, since it proves nothing about the endpoint.
func (f *Fleet) ReportsForPeers() (all []Report) {
	for _, b := range f.sorted() {
		r := b.Report
		switch {
		case b.removedByList: // not a drain; other gateways learn it from the list
			continue
		case b.Trust == Barred:
			r.Serving, r.Removed, r.Started = false, b.Removed, b.DrainedUpTo
		case b.Trust == Doubted || b.Source == Settings:
			continue
		}
		all = append(all, r)
	}
	return all
}

// weigh applies the rules to one report and updates the belief about its endpoint.
func (f *Fleet) weigh(r Report, source Source, now time.Duration) {
	b := f.endpoints[r.Name]
	switch {
	case b == nil:
		f.learn(r, source, now)
	case !r.Serving:
		f.weighDrain(b, r, source, now)
	default:
		f.weighServing(b, r, source, now)
	}
}

// learn takes the first report of an endpoint.
func (f *Fleet) learn(r Report, source Source, now time.Duration) {
	removalOfUnknown := !r.Serving && r.Removed && r.Address == ""
	if removalOfUnknown || !f.addressAllowed(r, source) {
		return
	}
	b := &Belief{Report: r, Source: source}
	f.endpoints[r.Name] = b
	if !r.Serving {
		b.ObservedAt = 0 // it was never known to serve
		f.drain(b, source, reasonDraining, r.Started, now)
	}
	f.update(b, now)
}

// weighDrain takes a report that a known endpoint drains or is gone.
func (f *Fleet) weighDrain(b *Belief, r Report, source Source, now time.Duration) {
	if f.drainOfEarlierStart(b, r) {
		return
	}
	b.Removed = b.Removed || r.Removed
	reason := reasonDraining
	if r.Removed {
		reason = reasonGone
	}
	f.drain(b, source, reason, r.Started, now)
	f.update(b, now)
}

// weighServing takes a report that a known endpoint serves.
func (f *Fleet) weighServing(b *Belief, r Report, source Source, now time.Duration) {
	newStart := f.isLaterStart(b, r)
	switch {
	case b.removedByList && source != List && !newStart,
		f.drainCovers(b, r),
		greetingOutweighs(b, r, source) && !newStart,
		r.ObservedAt < b.ObservedAt && !newStart,
		!f.addressAllowed(r, source):
		return
	}
	selfReportedStart := source == SelfReported && r.Started != 0
	if !newStart && b.Started != 0 && !selfReportedStart {
		r.Started = b.Started // the same start, as first reported
	}
	b.Report, b.Source, b.OmittedByLists, b.removedByList = r, source, 0, false
	if source == SelfReported {
		b.GreetedAt = now
	}
	f.update(b, now)
}
