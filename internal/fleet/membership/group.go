package membership

import (
	"cmp"
	"math/rand"
	"slices"
	"time"
)

// Group is one gateway's view of the membership. It is not safe for concurrent use.
type Group struct {
	self     Member
	rules    Rules
	outbound Outbound
	rng      *rand.Rand
	seeds    []string // addresses to join through

	members  map[string]*entry // other members by name
	joined   bool              // whether another gateway has sent all members that it knows
	departed bool              // whether Leave was called

	// Failure detection (probe.go).
	order         []string // names in ping order, shuffled anew each round
	orderPosition int
	nextPeriodAt  time.Duration
	periods       int // number of protocol periods begun
	lastSeq       uint64
	probe         *probe                   // probe of the current period; nil: none, or acknowledged
	forwarded     map[uint64]forwardedPing // pings sent on behalf of others, by their Seq
	updates       []*queuedUpdate          // updates to be disseminated (dissemination.go)

	counts      Counts
	countsStale bool // whether counts must be recomputed
}

// New returns a group that knows only this gateway and joins through the seeds (addresses). The incarnation of self must be
// above that of its previous run. New calls outbound.MembershipChanged before it returns.
func New(self Member, rules Rules, seeds []string, outbound Outbound, rng *rand.Rand, now time.Duration) *Group {
	g := &Group{self: self, rules: rules, outbound: outbound, rng: rng, members: map[string]*entry{},
		forwarded: map[uint64]forwardedPing{}, seeds: seeds, countsStale: true}
	g.nextPeriodAt = now + time.Duration(rng.Int63n(int64(rules.PingInterval))) // spreads the pings of gateways started together
	g.updateCounts()
	return g
}

// Restore loads saved members. They become additional seeds and count in Parts until they leave.
func (g *Group) Restore(saved []Member, now time.Duration) {
	for _, m := range saved {
		if m.Name != g.self.Name && m.State != Departed {
			g.members[m.Name] = &entry{Member: m, since: now}
			g.seeds = append(g.seeds, m.Address)
		}
	}
	g.shuffle()
	g.countsStale = true
	g.updateCounts()
}

// Members returns all known members, including this gateway, sorted by name.
func (g *Group) Members() []Member {
	all := []Member{g.self}
	for _, e := range g.members {
		all = append(all, e.Member)
	}
	slices.SortFunc(all, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return all
}

// Counts returns the current counts.
func (g *Group) Counts() Counts { return g.counts }

// CountedByAll reports whether every member that may be sending counts this gateway in its Parts. Members whose planned number
// includes this gateway always count it.
func (g *Group) CountedByAll() bool {
	if g.self.Ordinal >= g.self.Planned && !g.joined {
		return false
	}
	for _, e := range g.members {
		if e.State != Departed && !e.acknowledged && e.Planned <= g.self.Ordinal {
			return false
		}
	}
	return true
}

// updateCounts recomputes the counts if they may have changed, and reports new counts to outbound.
func (g *Group) updateCounts() {
	if !g.countsStale {
		return
	}
	g.countsStale = false
	if c := g.count(); c != g.counts {
		g.counts = c
		g.outbound.MembershipChanged(c)
	}
}

func (g *Group) count() Counts {
	c := Counts{Serving: 1, Parts: 1}
	planned := g.self.Planned
	for _, e := range g.members {
		if e.State != Departed {
			c.Parts++
			planned = max(planned, e.Planned)
		}
		if e.State == Alive || e.State == Suspect {
			c.Serving++
		}
	}
	c.Parts = max(c.Parts, planned)
	if !g.joined { // other gateways may exist that this one does not know yet
		c.Serving = max(c.Serving, planned)
	}
	if !g.CountedByAll() {
		c.Parts = 0
	}
	return c
}

// SetPlanned sets the planned number of gateways from the control plane. It can only raise the number from the settings.
func (g *Group) SetPlanned(gateways int) {
	if gateways > g.self.Planned {
		g.self.Planned, g.countsStale = gateways, true
		g.updateCounts()
	}
}
