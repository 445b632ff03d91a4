package membership

import (
	"fmt"
	"math"
	"slices"
	"time"
)

// expire turns suspects that did not refute in time into faulty members, and deletes members that have been faulty or departed for
// Rules.RetainDeparted.
func (g *Group) expire(now time.Duration) {
	for _, name := range g.expired(now) {
		e := g.members[name]
		if e.State == Suspect {
			faulty := e.Member
			faulty.State = Faulty
			g.apply(faulty, now)
			continue
		}
		delete(g.members, name)
		g.countsStale = true
		g.outbound.Log(fmt.Sprintf("forgot gateway %s: %s for %v", name, e.State, now-e.since))
	}
	g.expireForwarded(now)
}

// expired returns the names of members whose state has timed out, sorted so that a run is reproducible from its seed.
func (g *Group) expired(now time.Duration) (names []string) {
	timeout := g.suspicionTimeout()
	for name, e := range g.members {
		lasted := now - e.since
		if e.State == Suspect && lasted >= timeout || e.State >= Faulty && lasted >= g.rules.RetainDeparted {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// suspicionTimeout returns Rules.SuspicionTimeout scaled by the logarithm of the number of members, as the time does that an update
// takes to reach all.
func (g *Group) suspicionTimeout() time.Duration {
	return time.Duration(float64(g.rules.SuspicionTimeout) * math.Max(1, math.Log10(float64(len(g.members)+1))))
}
