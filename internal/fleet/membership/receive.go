package membership

import "time"

// maxForwarded limits the outstanding pings on behalf of others, so that a flood of requests cannot exhaust the memory.
const maxForwarded = 1024

// forwardedPing is a ping sent on behalf of another member.
type forwardedPing struct {
	requester    string // address
	requesterSeq uint64
	target       string // name
	expiresAt    time.Duration
}

// Receive processes a message from another gateway.
func (g *Group) Receive(m Message, now time.Duration) {
	if g.departed || m.From.Name == g.self.Name {
		return
	}
	from := m.From
	from.State = Alive // a member that sends is alive
	g.apply(from, now)
	for _, update := range m.Updates {
		g.apply(update, now)
	}
	sender := g.members[from.Name]
	if sender == nil || sender.State == Departed {
		return
	}
	switch m.Kind {
	case Ping:
		g.receivePing(m, sender)
	case Ack:
		g.receiveAck(m, sender)
	case PingRequest:
		g.receivePingRequest(m, now)
	case Join:
		g.receiveJoin(m)
	case Sync:
		g.receiveSync(m, sender)
	}
	g.updateCounts()
}

// receivePing sends an ack. A sender that is suspect or faulty here gets that update back, since only the sender can refute it.
func (g *Group) receivePing(m Message, sender *entry) {
	var toRefute []Member
	if sender.State != Alive {
		toRefute = append(toRefute, sender.Member)
	}
	g.send(m.From.Address, Message{Kind: Ack, Seq: m.Seq, Updates: toRefute})
}

// receivePingRequest pings the target on behalf of the sender.
func (g *Group) receivePingRequest(m Message, now time.Duration) {
	target := g.members[m.Target]
	if target == nil || len(g.forwarded) >= maxForwarded {
		return
	}
	g.lastSeq++
	g.forwarded[g.lastSeq] = forwardedPing{requester: m.From.Address, requesterSeq: m.Seq, target: m.Target,
		expiresAt: now + 2*g.rules.PingInterval}
	g.send(target.Address, Message{Kind: Ping, Seq: g.lastSeq})
}

// receiveAck processes the answer to this gateway's ping, to its request for an indirect ping (m.Target is set), or to a ping that
// it sent on behalf of another member.
func (g *Group) receiveAck(m Message, sender *entry) {
	direct := m.Target == ""
	if f, ok := g.forwarded[m.Seq]; ok && direct && f.target == sender.Name {
		delete(g.forwarded, m.Seq)
		g.send(f.requester, Message{Kind: Ack, Seq: f.requesterSeq, Target: sender.Name})
		return
	}
	if direct {
		g.countsStale = g.countsStale || !sender.acknowledged
		sender.acknowledged = true
	}
	if p := g.probe; p != nil && p.seq == m.Seq && (p.target == sender.Name || p.target == m.Target) {
		g.probe = nil
	}
}

// expireForwarded drops pings on behalf of others that were not answered in time.
func (g *Group) expireForwarded(now time.Duration) {
	for seq, f := range g.forwarded {
		if now > f.expiresAt {
			delete(g.forwarded, seq)
		}
	}
}
