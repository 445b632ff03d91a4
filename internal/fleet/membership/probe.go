package membership

import (
	"slices"
	"time"
)

// Failure detection: each protocol period, one member is pinged. If its ack is late, some others are asked to ping it on behalf of
// this gateway, since the fault may lie on the path between the two. A period without an ack is repeated once before the member is
// suspected: on a lossy network one period is weak evidence, and each suspicion costs an update to all members.

// probe is the ping of the current period.
type probe struct {
	target        string // name of the member
	seq           uint64
	sentAt        time.Duration
	indirectSent  bool // whether indirect pings were requested
	isSecondProbe bool // whether the previous period also ended without an ack
}

// faultyPingRatio is the mean number of turns of a faulty member per ping. Faulty members are still pinged now and then, since a
// network split may have healed.
const faultyPingRatio = 4

// NextTick returns the time of the next call of Tick.
func (g *Group) NextTick() time.Duration {
	if p := g.probe; p != nil && !p.indirectSent {
		return min(g.nextPeriodAt, p.sentAt+g.rules.AckTimeout)
	}
	return g.nextPeriodAt
}

// Tick requests indirect pings and begins protocol periods when they are due.
func (g *Group) Tick(now time.Duration) {
	if g.departed {
		return
	}
	g.requestIndirectPings(now)
	if now < g.nextPeriodAt {
		return
	}
	g.nextPeriodAt = now + g.rules.PingInterval
	unanswered := g.endProbe(now)
	g.expire(now)
	g.requestSync()
	if target := unanswered; target != nil {
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

// requestIndirectPings asks other members to ping the target of a probe whose ack is late.
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

// endProbe ends the period's probe. It returns the target if it is to be pinged once more; after the second probe it suspects the
// target.
func (g *Group) endProbe(now time.Duration) (unanswered *entry) {
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

// nextTarget returns the next member to ping. Each member comes up once a round, in an order that is shuffled each round.
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
		if e == nil || e.State == Departed || e.State == Faulty && g.rng.Intn(faultyPingRatio) > 0 {
			continue
		}
		return e
	}
	return nil
}

// shuffle begins a round of pings in a new random order.
func (g *Group) shuffle() {
	g.order, g.orderPosition = g.names(), 0
	g.rng.Shuffle(len(g.order), func(i, j int) { g.order[i], g.order[j] = g.order[j], g.order[i] })
}

// names returns the names of the members, sorted so that a run is reproducible from its seed.
func (g *Group) names() []string {
	all := make([]string, 0, len(g.members))
	for name := range g.members {
		all = append(all, name)
	}
	slices.Sort(all)
	return all
}

// RandomAddresses returns the addresses of up to n alive members.
func (g *Group) RandomAddresses(n int) (addresses []string) {
	for _, e := range g.randomAlive(n, "") {
		addresses = append(addresses, e.Address)
	}
	return addresses
}

// randomAlive returns up to n alive members other than except, starting at a random position of the current ping order.
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
