package endpointstate

import (
	"fmt"
	"time"
)

// Rule 5: trust decays with age.
//
// Inputs: the age of a belief (now - ObservedAt), Rules.Fresh, Rules.Expire, Rules.GreetingValid; the last greeting.
//
// A belief is trusted up to the age Fresh, then doubted, and dropped after Expire. A belief from the settings is trusted at any
// age. A doubted endpoint may have been restarted unnoticed, and all gateways together would overload an endpoint that is still
// warming up. The sink is therefore notified of it as just started, which keeps it in slow start until its greeting reports the
// real start.

// Tick updates the trust of all beliefs and drops endpoints that no source reported for Rules.Expire. Call it about once a second.
func (f *Fleet) Tick(now time.Duration) {
	for _, b := range f.sorted() {
		f.update(b, now)
		if f.isExpired(b, now) {
			f.notifyDropped(b)
			delete(f.endpoints, b.Name)
		}
	}
}

// isExpired reports whether the latest report and the latest drain of an endpoint are both older than Rules.Expire. A belief of
// unknown age (ObservedAt is 0) does not expire, since it may have been contradicted only recently.
func (f *Fleet) isExpired(b *Belief, now time.Duration) bool {
	return b.Source != Settings && b.ObservedAt != 0 && now-b.ObservedAt > f.rules.Expire && now-b.DrainKnownAt > f.rules.Expire
}

// Doubtful returns the names of the doubted endpoints, sorted. A greeting from one of them ends its doubt.
func (f *Fleet) Doubtful() (names []string) {
	for _, b := range f.sorted() {
		if b.Trust == Doubted {
			names = append(names, b.Name)
		}
	}
	return names
}

// update recomputes a belief's trust, notifies the sink of any change and logs a change of trust.
func (f *Fleet) update(b *Belief, now time.Duration) {
	previous, known := b.Trust, b.notified.sent
	b.Trust = f.trust(b, now)
	switch b.Trust {
	case Barred: // the reason was set with the drain or the removal
		f.notify(b, false, b.Removed, b.Started)
	case Trusted:
		b.Reason = reasonReportedBy + b.Source.String()
		f.notify(b, true, false, b.Started)
	case Doubted:
		b.Reason = reasonDoubted
		f.notify(b, true, false, f.assumedStart(b, previous, now))
	}
	if known && previous != b.Trust {
		f.log(fmt.Sprintf("%s %s: %s", b.Trust, b.Name, b.Reason))
	}
}

func (f *Fleet) trust(b *Belief, now time.Duration) Trust {
	switch {
	case f.isBarred(b):
		return Barred
	case b.Source == Settings, b.ObservedAt != 0 && now-b.ObservedAt <= f.rules.Fresh:
		return Trusted
	}
	return Doubted
}

// assumedStart returns the start time to report for a doubted endpoint: the time at which the doubt began, or the real start if
// the endpoint was trusted and last answered so recently that a restart would have been noticed.
func (f *Fleet) assumedStart(b *Belief, previous Trust, now time.Duration) time.Duration {
	if !b.notified.sent {
		return now
	}
	if previous == Doubted {
		return b.notified.startedAt
	}
	if previous == Trusted && b.GreetedAt > 0 && now-b.GreetedAt <= f.rules.GreetingValid {
		return b.Started
	}
	return now
}
