package membership

import "time"

// maxForwarded bounds the pings that are out for others: a flood of requests must not take the memory.
const maxForwarded = 1024

// forwardedPing is a ping sent for another member that asked for it.
type forwardedPing struct {
	requester    string // address
	requesterSeq uint64
	target       string // name
	expiresAt    time.Duration
}

// Receive takes a message of another gateway.
func (g *Group) Receive(m Message, now time.Duration) {
	if g.departed || m.From.Name == g.self.Name {
		return
	}
	from := m.From
	from.State = Alive // it sends
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

// receivePing acknowledges. A sender that is suspect or faulty here is told so: only it can refute that.
func (g *Group) receivePing(m Message, sender *entry) {
	var toRefute []Member
	if sender.State != Alive {
		toRefute = append(toRefute, sender.Member)
	}
	g.send(m.From.Address, Message{Kind: Ack, Seq: m.Seq, Updates: toRefute})
}

// receivePingRequest pings the target for the sender.
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

// receiveAck takes the answer to this gateway's ping, to its request for an indirect one (m.Target is set), or to a ping that
// it sent for another.
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

// expireForwarded gives up on pings sent for others that nobody answered.
func (g *Group) expireForwarded(now time.Duration) {
	for seq, f := range g.forwarded {
		if now > f.expiresAt {
			delete(g.forwarded, seq)
		}
	}
}
