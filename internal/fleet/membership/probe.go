package membership

import (
	"slices"
	"time"
)

// Failure detection: in each protocol period one member is pinged. If its ack is late, some others are asked to ping it for this
// gateway, since the fault may lie between the two alone. A period without an ack is repeated once before the member is
// suspected: where messages are lost, one period says little, and each suspicion costs an update to all.

// probe is the ping of the present period.
type probe struct {
	target        string // member's name
	seq           uint64
	sentAt        time.Duration
	indirectSent  bool // others were asked to ping
	isSecondProbe bool // the period before was without an ack too
}

// revisitFaulty: one faulty member in so many turns is pinged all the same, since a network split may have healed.
const revisitFaulty = 4

// NextTick is when Tick is to be called next.
func (g *Group) NextTick() time.Duration {
	if p := g.probe; p != nil && !p.indirectSent {
		return min(g.nextPeriodAt, p.sentAt+g.rules.AckTimeout)
	}
	return g.nextPeriodAt
}

// Tick lets time pass: it asks for indirect pings and begins protocol periods when they are due.
func (g *Group) Tick(now time.Duration) {
	if g.departed {
		return
	}
	g.requestIndirectPings(now)
	if now < g.nextPeriodAt {
		return
	}
	g.nextPeriodAt = now + g.rules.PingInterval
	repeat := g.endProbe(now)
	g.expire(now)
	g.requestSync()
	if target := repeat; target != nil {
		g.ping(target, true, now)
	} else if target = g.nextTarget(); target != nil {
		g.ping(target, false, now)
	}
	g.updateCounts()
}

func (g *Group) ping(target *entry, isSecondProbe bool, now time.Duration) {
	g.lastSeq++
	g.probe = &probe{target: target.Name, seq: g.lastSeq, sentAt: now, isSecondProbe: isSecondProbe}
	g.send(target.Address, Message{Kind: Ping, Seq: g.lastSeq})
}

// requestIndirectPings asks others to ping the target of a probe whose ack is late.
func (g *Group) requestIndirectPings(now time.Duration) {
	p := g.probe
	if p == nil || p.indirectSent || now < p.sentAt+g.rules.AckTimeout {
		return
	}
	p.indirectSent = true
	for _, helper := range g.randomAlive(g.rules.IndirectPings, p.target) {
		g.send(helper.Address, Message{Kind: PingRequest, Seq: p.seq, Target: p.target})
	}
}

// endProbe ends the period's probe. It returns the target if it is to be pinged once more, and suspects it after the second time.
func (g *Group) endProbe(now time.Duration) (repeat *entry) {
	p := g.probe
	if p == nil {
		return nil
	}
	g.probe = nil
	target := g.members[p.target]
	if target == nil || target.State != Alive {
		return nil
	}
	if !p.isSecondProbe {
		return target
	}
	suspected := target.Member
	suspected.State = Suspect
	g.apply(suspected, now)
	return nil
}

// nextTarget is the member to ping next: each once a round, in an order drawn anew for each.
func (g *Group) nextTarget() *entry {
	for range len(g.order) + 1 {
		if g.orderPosition >= len(g.order) {
			g.shuffle()
		}
		if len(g.order) == 0 {
			return nil
		}
		e := g.members[g.order[g.orderPosition]]
		g.orderPosition++
		if e == nil || e.State == Departed || e.State == Faulty && g.rng.Intn(revisitFaulty) > 0 {
			continue
		}
		return e
	}
	return nil
}

// shuffle begins a round of pings.
func (g *Group) shuffle() {
	g.order, g.orderPosition = g.names(), 0
	g.rng.Shuffle(len(g.order), func(i, j int) { g.order[i], g.order[j] = g.order[j], g.order[i] })
}

// names are sorted, so that one seed gives one run.
func (g *Group) names() []string {
	all := make([]string, 0, len(g.members))
	for name := range g.members {
		all = append(all, name)
	}
	slices.Sort(all)
	return all
}

// RandomAddresses returns the addresses of up to n members that are alive.
func (g *Group) RandomAddresses(n int) (addresses []string) {
	for _, e := range g.randomAlive(n, "") {
		addresses = append(addresses, e.Address)
	}
	return addresses
}

// randomAlive are up to n members that are alive and not named except, drawn from the present order.
func (g *Group) randomAlive(n int, except string) (found []*entry) {
	if len(g.order) == 0 {
		return nil
	}
	for i, first := 0, g.rng.Intn(len(g.order)); i < len(g.order) && len(found) < n; i++ {
		name := g.order[(first+i)%len(g.order)]
		if e := g.members[name]; e != nil && e.State == Alive && name != except {
			found = append(found, e)
		}
	}
	return found
}
