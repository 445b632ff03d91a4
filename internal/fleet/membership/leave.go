package membership

import "time"

// goodbyeCopies is how often the goodbye goes to each member that hears it: any datagram may be lost, and a goodbye that nobody hears
// keeps the part of this gateway unused until Rules.RetainDeparted.
const goodbyeCopies = 2

// Leave says goodbye to some members, suspected ones too, which pass it on. Afterwards the group sends nothing and ignores
// all it receives.
func (g *Group) Leave() {
	g.self.Incarnation++
	goodbye := g.self
	goodbye.State = Departed
	recipients, limit := 0, 2*g.rules.IndirectPings+2
	for _, name := range g.order {
		e := g.members[name]
		if e == nil || e.State > Suspect || recipients >= limit {
			continue
		}
		recipients++
		for range goodbyeCopies {
			g.outbound.Send(e.Address, Message{Kind: Ping, From: g.self, Updates: []Member{goodbye}})
		}
	}
	g.departed = true
}

// Forget takes an operator's word that the gateway named sends nothing any more. It returns whether it was known.
func (g *Group) Forget(name string, now time.Duration) bool {
	e := g.members[name]
	if e == nil {
		return false
	}
	forgotten := e.Member
	forgotten.State = Departed
	forgotten.Incarnation++ // overrides whatever is known of its present life
	g.apply(forgotten, now)
	g.updateCounts()
	return true
}
