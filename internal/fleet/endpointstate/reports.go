package endpointstate

import "time"

// Configured processes the endpoints named in the settings. They are trusted at any age.
func (f *Fleet) Configured(reports []Report, now time.Duration) {
	for _, r := range reports {
		r.ObservedAt = now
		f.applyReport(r, Settings, now)
	}
}

// PeerReported processes reports forwarded by another gateway or the control plane. The age of each follows from its
// ObservedAt, which is capped at now.
func (f *Fleet) PeerReported(reports []Report, now time.Duration) {
	for _, r := range reports {
		r.ObservedAt = min(r.ObservedAt, now)
		f.applyReport(r, Peer, now)
	}
}

// ReportsForPeers returns the reports to forward to other gateways, sorted by name: every trusted belief, and every drain with
// the latest start that it covers. Beliefs from the settings are left out, since they are no evidence about the endpoint.
func (f *Fleet) ReportsForPeers() (all []Report) {
	for _, b := range f.sorted() {
		r := b.Report
		switch {
		case b.removedByList: // not a drain; other gateways get the removal from the list
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

// applyReport applies the rules to one report and updates the belief about its endpoint.
func (f *Fleet) applyReport(r Report, source Source, now time.Duration) {
	b := f.endpoints[r.Name]
	switch {
	case b == nil:
		f.addEndpoint(r, source, now)
	case !r.Serving:
		f.applyDrain(b, r, source, now)
	default:
		f.applyServing(b, r, source, now)
	}
}

// addEndpoint processes the first report of an endpoint.
func (f *Fleet) addEndpoint(r Report, source Source, now time.Duration) {
	removesUnknown := !r.Serving && r.Removed && r.Address == ""
	if removesUnknown || !f.addressAllowed(r, source) {
		return
	}
	b := &Belief{Report: r, Source: source}
	f.endpoints[r.Name] = b
	if !r.Serving {
		b.ObservedAt = 0 // the endpoint was never known to serve
		f.drain(b, source, reasonDraining, r.Started, now)
	}
	f.update(b, now)
}

// applyDrain processes a report that a known endpoint is draining or removed.
func (f *Fleet) applyDrain(b *Belief, r Report, source Source, now time.Duration) {
	if f.isDrainOfEarlierStart(b, r) {
		return
	}
	b.Removed = b.Removed || r.Removed
	reason := reasonDraining
	if r.Removed {
		reason = reasonRemoved
	}
	f.drain(b, source, reason, r.Started, now)
	f.update(b, now)
}

// applyServing processes a report that a known endpoint is serving.
func (f *Fleet) applyServing(b *Belief, r Report, source Source, now time.Duration) {
	newStart := f.isLaterStart(b, r)
	switch {
	case b.removedByList && source != List && !newStart,
		f.isDrainedProcess(b, r),
		greetingTakesPrecedence(b, r, source) && !newStart,
		r.ObservedAt < b.ObservedAt && !newStart,
		!f.addressAllowed(r, source):
		return
	}
	selfReportedStart := source == SelfReported && r.Started != 0
	if !newStart && b.Started != 0 && !selfReportedStart {
		r.Started = b.Started // same process: keep the start as first reported
	}
	b.Report, b.Source, b.OmittedByLists, b.removedByList = r, source, 0, false
	if source == SelfReported {
		b.GreetedAt = now
	}
	f.update(b, now)
}
