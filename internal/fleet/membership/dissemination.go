package membership

import (
	"math"
	"slices"
)

// Dissemination: updates are piggybacked on other messages (the paper's infection-style dissemination). Each update is sent with a
// number of messages that grows with the logarithm of the number of members, so that it reaches all of them with high probability.

// backlogFactor multiplies UpdatesPerMessage for one message while more than that many updates are queued.
const backlogFactor = 4

// queuedUpdate is an update to be disseminated.
type queuedUpdate struct {
	member Member
	sent   int // number of messages that carried the update
}

// disseminate queues an update and drops queued updates about the same member. Changes of known members are queued in front of new
// members.
func (g *Group) disseminate(m Member, change bool) {
	g.updates = slices.DeleteFunc(g.updates, func(u *queuedUpdate) bool { return u.member.Name == m.Name })
	if change {
		g.updates = slices.Insert(g.updates, 0, &queuedUpdate{member: m})
	} else {
		g.updates = append(g.updates, &queuedUpdate{member: m})
	}
}

// send sends a message from this gateway with queued updates attached.
func (g *Group) send(address string, m Message) {
	m.From = g.self
	m.Updates = append(m.Updates, g.dequeueUpdates()...)
	g.outbound.Send(address, m)
}

// dequeueUpdates returns the first queued updates. Updates that have not been sent often enough are queued again at the end.
func (g *Group) dequeueUpdates() (members []Member) {
	count := g.rules.UpdatesPerMessage
	if len(g.updates) > backlogFactor*count {
		count *= backlogFactor
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

// transmissionLimit returns the number of messages that carry each update.
func (g *Group) transmissionLimit() int {
	return 3 + int(4*math.Log10(float64(len(g.members)+1)))
}
