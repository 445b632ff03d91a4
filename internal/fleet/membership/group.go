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

	members  map[string]*entry // by name, without this gateway
	joined   bool              // somebody has sent all that it knows
	departed bool              // Leave was called

	// Failure detection (probe.go).
	order         []string // of pinging, drawn anew each round
	orderPosition int
	nextPeriodAt  time.Duration
	periods       int // begun since the start
	lastSeq       uint64
	probe         *probe                   // of this period; nil: none, or acknowledged
	forwarded     map[uint64]forwardedPing // pings sent for others, by their Seq
	updates       []*queuedUpdate          // to be passed on (dissemination.go)

	counts      Counts
	countsStale bool // they may have changed
}

// New returns a group that knows only this gateway and joins through the seeds (addresses). The incarnation of self must be
// above that of its last life. It calls outbound.MembershipChanged before it returns.
func New(self Member, rules Rules, seeds []string, outbound Outbound, rng *rand.Rand, now time.Duration) *Group {
	g := &Group{self: self, rules: rules, outbound: outbound, rng: rng, members: map[string]*entry{},
		forwarded: map[uint64]forwardedPing{}, seeds: seeds, countsStale: true}
	g.nextPeriodAt = now + time.Duration(rng.Int63n(int64(rules.PingInterval))) // so that gateways started together don't ping in step
	g.updateCounts()
	return g
}

// Restore takes saved members: they are asked first, and count in Parts until they say goodbye.
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

// Members returns all members known, this gateway too, sorted by name.
func (g *Group) Members() []Member {
	all := []Member{g.self}
	for _, e := range g.members {
		all = append(all, e.Member)
	}
	slices.SortFunc(all, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return all
}

// Counts returns the present counts.
func (g *Group) Counts() Counts { return g.counts }

// CountedByAll reports whether every member that may be sending counts this gateway in its Parts. Members whose own plan
// includes this gateway count it anyway.
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

// updateCounts counts again if anything has changed, and passes new counts on.
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
	if !g.joined { // it knows nobody yet, which doesn't mean that it is alone
		c.Serving = max(c.Serving, planned)
	}
	if !g.CountedByAll() {
		c.Parts = 0
	}
	return c
}

// SetPlanned sets how many gateways there are to be, as the control plane says. It only ever raises what the settings say.
func (g *Group) SetPlanned(gateways int) {
	if gateways > g.self.Planned {
		g.self.Planned, g.countsStale = gateways, true
		g.updateCounts()
	}
}
