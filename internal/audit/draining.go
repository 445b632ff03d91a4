package audit

import (
	"time"

	"weirhaven/internal/settings"
)

// Rule 3: once a gateway was notified that an endpoint is draining or removed, its attempts may reach the endpoint only within the
// drain grace, until the gateway is notified of a later start.

func (a *auditor) judgeDraining() {
	grace := settings.Duration(a.header.Fleet.DrainGrace, 0)
	for _, r := range a.requests {
		for _, t := range r.attempts {
			now := at(t.reached)
			drained := a.drainedBy(r.gateway, t.reached.Brick, now)
			if drained != nil && now > drained.at+grace+a.observationTolerance {
				a.violation(ruleDraining, now, r.trace, "request %d reached %s %v after gateway %d was notified that it drains or is removed",
					r.sent.Command, t.reached.Brick, now-drained.at, r.gateway.number)
			}
		}
	}
}

// drainedBy returns the notification by which a gateway knows, at a given time, that an endpoint is draining or removed. It returns
// nil if there is none.
func (a *auditor) drainedBy(g gateway, endpoint string, now time.Duration) (drained *listing) {
	listings := a.listings[g][endpoint]
	for i := range listings {
		l := &listings[i]
		switch {
		case l.at > now:
		case l.serving && (drained == nil || !l.startKnown || l.startedAt > drained.startedAt+a.observationTolerance):
			drained = nil
		case !l.serving && drained == nil:
			drained = l
		}
	}
	return drained
}
