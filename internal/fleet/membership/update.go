package membership

import (
	"fmt"
	"time"
)

// apply processes one update: a higher incarnation overrides, and within one incarnation a higher state. Since only the member
// itself raises its incarnation, its own latest statement prevails whatever the order of arrival.
func (g *Group) apply(m Member, now time.Duration) {
	if m.Name == g.self.Name {
		g.refute(m)
		return
	}
	e := g.members[m.Name]
	if e == nil {
		g.addMember(m, now)
		return
	}
	if m.Incarnation < e.Incarnation || m.Incarnation == e.Incarnation && m.State <= e.State {
		return
	}
	if m.State != e.State {
		g.outbound.Log(fmt.Sprintf("gateway %s: %s, was %s", m.Name, m.State, e.State))
		e.since = now
	}
	if m.Incarnation > e.Incarnation && m.State == Alive && e.State >= Faulty {
		e.acknowledged = false // the member restarted and no longer knows which gateways it counted
	}
	e.Member, g.countsStale = m, true
	g.disseminate(m, true)
}

// addMember adds an unknown member.
func (g *Group) addMember(m Member, now time.Duration) {
	if m.State == Departed {
		return
	}
	g.members[m.Name] = &entry{Member: m, since: now}
	g.outbound.Log(fmt.Sprintf("gateway %s at %s: %s", m.Name, m.Address, m.State))
	g.disseminate(m, false)
	g.countsStale = true
}

// refute answers an update that reports this gateway as anything but alive, by raising its incarnation.
func (g *Group) refute(m Member) {
	if m.State != Alive && m.Incarnation >= g.self.Incarnation {
		g.self.Incarnation = m.Incarnation + 1
		g.disseminate(g.self, true)
	}
}
