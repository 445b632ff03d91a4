package membership

import "time"

// leaveCopies is the number of copies of the leave message that each recipient gets. Any datagram may be lost, and if no member
// receives the message, the part of this gateway stays unused until Rules.RetainDeparted.
const leaveCopies = 2

// Leave sends a leave message to some members, including suspected ones, which disseminate it. Afterwards the group sends nothing
// and ignores all messages.
func (g *Group) Leave() {
	g.self.Incarnation++
	leaveUpdate := g.self
	leaveUpdate.State = Departed
	recipients, limit := 0, 2*g.rules.IndirectPings+2
	for _, name := range g.order {
		e := g.members[name]
		if e == nil || e.State > Suspect || recipients >= limit {
			continue
		}
		recipients++
		for range leaveCopies {
			g.outbound.Send(e.Address, Message{Kind: Ping, From: g.self, Updates: []Member{leaveUpdate}})
		}
	}
	g.departed = true
}

// Forget marks a gateway as departed after an operator confirmed that it sends nothing any more. It reports whether the gateway was
// known.
func (g *Group) Forget(name string, now time.Duration) bool {
	e := g.members[name]
	if e == nil {
		return false
	}
	forgotten := e.Member
	forgotten.State = Departed
	forgotten.Incarnation++ // overrides every update about its current incarnation
	g.apply(forgotten, now)
	g.updateCounts()
	return true
}
