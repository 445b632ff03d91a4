package membership

import (
	"fmt"
	"math"
	"slices"
	"time"
)

// expire ends suspicions that nobody refuted, and forgets members that are faulty or departed for Rules.RetainDeparted.
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

// expired are the names of members whose state has lasted for its time, sorted, so that one seed gives one run.
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

// suspicionTimeout grows with the logarithm of the members, as the time does that an update takes to reach all.
func (g *Group) suspicionTimeout() time.Duration {
	return time.Duration(float64(g.rules.SuspicionTimeout) * math.Max(1, math.Log10(float64(len(g.members)+1))))
}
