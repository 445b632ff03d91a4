package membership

import (
	"math"
	"slices"
)

// Updates ride on the messages that are sent anyway (the paper's infection-style dissemination): each goes out with some
// messages, a number that grows with the logarithm of the members, which reaches all of them with high probability.

// pressureFactor is how many times UpdatesPerMessage may go with one message while more than that are queued.
const pressureFactor = 4

// queuedUpdate is an update to be passed on.
type queuedUpdate struct {
	member Member
	sent   int // messages that carried it
}

// disseminate queues an update in place of older ones of the same member. The change of a known member goes first, before
// members that were not known.
func (g *Group) disseminate(m Member, change bool) {
	g.updates = slices.DeleteFunc(g.updates, func(u *queuedUpdate) bool { return u.member.Name == m.Name })
	if change {
		g.updates = slices.Insert(g.updates, 0, &queuedUpdate{member: m})
	} else {
		g.updates = append(g.updates, &queuedUpdate{member: m})
	}
}

// send sends a message from this gateway, with queued updates.
func (g *Group) send(address string, m Message) {
	m.From = g.self
	m.Updates = append(m.Updates, g.takeUpdates()...)
	g.outbound.Send(address, m)
}

// takeUpdates takes the first queued updates; those that have not gone out often enough are queued again, at the end.
func (g *Group) takeUpdates() (members []Member) {
	count := g.rules.UpdatesPerMessage
	if len(g.updates) > pressureFactor*count {
		count *= pressureFactor
	}
	count = min(count, len(g.updates))
	first := g.updates[:count]
	g.updates = slices.Clone(g.updates[count:])
	limit := g.transmissionLimit()
	for _, u := range first {
		members = append(members, u.member)
		if u.sent++; u.sent < limit {
			g.updates = append(g.updates, u)
		}
	}
	return members
}

// transmissionLimit is with how many messages an update goes out.
func (g *Group) transmissionLimit() int {
	return 3 + int(4*math.Log10(float64(len(g.members)+1)))
}
