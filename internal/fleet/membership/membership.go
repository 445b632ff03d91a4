// Package membership decides which hosts there are: each asks others in turn whether they are there, suspects before it removes,
// and passes news along with what it sends anyway. It has no I/O, clock or goroutine: time and messages come in by calls,
// messages and changes go out through Ways. After "SWIM: Scalable Weakly-consistent Infection-style Process
// Group Membership Protocol" (Das, Gupta, Motivala, DSN 2002), with its suspicion and incarnation numbers.
//
// Two counts come of it. Serving: hosts that are not known to be away; what follows load goes by it. Parts: hosts that may
// still be sending, over which what must hold by all hosts together is split. Silence never lowers Parts: a host
// that nobody hears may serve clients on the other side of a split. Only its own goodbye does, or an operator, or Forget.
// Nor does it fall below the planned count. A host that the others may not count yet has no part: it waits until every
// member has answered it.
package membership

import (
	"cmp"
	"fmt"
	"math"
	"math/rand"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// State of a member, in the order in which news of one incarnation overrides.
type State int

const (
	Alive State = iota
	Suspect
	Faulty
	Departed
)

func (s State) String() string { return [...]string{"alive", "suspect", "faulty", "departed"}[s] }

// Member is what is known of one host.
type Member struct {
	Name        string
	Ordinal     int
	Address     string
	Planned     int // hosts that its settings plan for
	Incarnation uint64
	State       State
}

// Kind of a message.
type Kind int

const (
	Ping Kind = iota
	Ack
	PingRequest // ping About for me
	Join        // tell me all that differs from Sums
	Sync        // what differs
)

// Message is what hosts send each other. Any may be lost, doubled or late.
type Message struct {
	Kind      Kind
	Seq       uint64
	From      Member
	Target    string   // of Ask, and of an Ack that answers one
	Total     int      // of Sync: how many members its sender knows
	Checksums []uint64 // of Join: what its sender knows, in parts by name; none: it knows nothing
	Updates   []Member
}

// Parts into which what is known is summed up for Join: one news missed costs one part of the whole, not all of it.
const sums = 32

// Ways are the group's ways out. No call may block or come back.
type Outbound interface {
	Send(address string, m Message)
	MembershipChanged(v Counts)
	Log(line string)
}

// View is what the group amounts to.
type Counts struct{ Serving, Parts int }

// Rules are the figures.
type Rules struct {
	PingInterval      time.Duration // between two pings of a host
	AckTimeout        time.Duration // for an answer, before others are asked to try
	SuspicionTimeout  time.Duration // suspicion, times log10 of the count
	RetainDeparted    time.Duration // members that have left or were removed so long ago; parts of removed ones end only by it
	IndirectPings     int           // asked to try
	UpdatesPerMessage int           // pieces in a message; four times as many while much waits
	FullSyncTurns     int           // each so many turns all that is known is asked for, so that lost news is made up for
}

// Usual figures: a silent host is removed within some seconds.
func DefaultRules() Rules {
	return Rules{PingInterval: 500 * time.Millisecond, AckTimeout: 150 * time.Millisecond, SuspicionTimeout: 5 * time.Second, RetainDeparted: 24 * time.Hour,
		IndirectPings: 3, UpdatesPerMessage: 8, FullSyncTurns: 10}
}

type entry struct {
	Member
	since time.Duration // of its state
	acked bool          // it has answered this host's incarnation, so it counts it
}

type news struct {
	m    Member
	sent int
}

type probe struct {
	name  string
	seq   uint64
	at    time.Duration
	asked bool // others were asked to try
	again bool // the turn before was unanswered too
}

// Group is one host's membership. It is not safe for concurrent use.
type Group struct {
	self    Member
	rules   Rules
	ways    Outbound
	rng     *rand.Rand
	members map[string]*entry
	order   []string
	at      int
	next    time.Duration
	seq     uint64
	probe   *probe
	asks    map[uint64]ask // pings made for others
	queue   []*news        // to be passed on, in turn
	turns   int
	stale   bool // the view may have changed
	seeds   []string
	joined  bool
	view    Counts
	gone    bool
}

type ask struct {
	to    string
	seq   uint64
	about string
	until time.Duration
}

// New starts alone. The incarnation of self must be above that of its last life.
func New(self Member, r Rules, seeds []string, w Outbound, rng *rand.Rand, now time.Duration) *Group {
	g := &Group{self: self, rules: r, ways: w, rng: rng, members: map[string]*entry{}, asks: map[uint64]ask{}, seeds: seeds, stale: true}
	g.next = now + time.Duration(rng.Int63n(int64(r.PingInterval)))
	g.tell()
	return g
}

// Restore takes members saved: they are asked first, and count as parts until they say goodbye.
func (g *Group) Restore(saved []Member, now time.Duration) {
	for _, m := range saved {
		if m.Name != g.self.Name && m.State != Departed {
			g.members[m.Name] = &entry{Member: m, since: now}
			g.seeds = append(g.seeds, m.Address)
		}
	}
	g.shuffle()
	g.stale = true
	g.tell()
}

// Members are all known, by name, this host too.
func (g *Group) Members() []Member {
	all := []Member{g.self}
	for _, e := range g.members {
		all = append(all, e.Member)
	}
	slices.SortFunc(all, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return all
}

// View is the present one.
func (g *Group) Counts() Counts { return g.view }

// Settled tells whether every member that may be sending counts this host.
func (g *Group) CountedByAll() bool {
	if g.self.Ordinal >= g.self.Planned && !g.joined {
		return false
	}
	for _, e := range g.members {
		if e.State != Departed && !e.acked && e.Planned <= g.self.Ordinal {
			return false
		}
	}
	return true
}

func (g *Group) tell() {
	if !g.stale {
		return
	}
	g.stale = false
	v := Counts{Serving: 1, Parts: 1}
	planned := g.self.Planned
	for _, e := range g.members {
		if e.State != Departed {
			v.Parts++
			planned = max(planned, e.Planned)
		}
		if e.State == Alive || e.State == Suspect {
			v.Serving++
		}
	}
	v.Parts = max(v.Parts, planned)
	if !g.joined { // nobody has told yet: it must not take itself for alone
		v.Serving = max(v.Serving, planned)
	}
	if !g.CountedByAll() {
		v.Parts = 0
	}
	if v != g.view {
		g.view = v
		g.ways.MembershipChanged(v)
	}
}

// Next is when Tick wants to be called.
func (g *Group) NextTick() time.Duration {
	if p := g.probe; p != nil && !p.asked {
		return min(g.next, p.at+g.rules.AckTimeout)
	}
	return g.next
}

// Tick lets time pass.
func (g *Group) Tick(now time.Duration) {
	if g.gone {
		return
	}
	if p := g.probe; p != nil && !p.asked && now >= p.at+g.rules.AckTimeout {
		p.asked = true
		for _, e := range g.some(g.rules.IndirectPings, p.name) {
			g.send(e.Address, Message{Kind: PingRequest, Seq: p.seq, Target: p.name})
		}
	}
	if now < g.next {
		return
	}
	g.next = now + g.rules.PingInterval
	var again *entry // a turn lost says little where messages are lost: the host has another before all are told to suspect it
	if p := g.probe; p != nil {
		g.probe = nil
		if e := g.members[p.name]; e != nil && e.State == Alive && !p.again {
			again = e
		} else if e != nil && e.State == Alive {
			g.apply(Member{Name: e.Name, Ordinal: e.Ordinal, Address: e.Address, Planned: e.Planned, Incarnation: e.Incarnation,
				State: Suspect}, now)
		}
	}
	g.expire(now)
	if g.turns++; !g.joined && len(g.seeds) > 0 {
		g.send(g.seeds[g.rng.Intn(len(g.seeds))], Message{Kind: Join})
	} else if g.turns%g.rules.FullSyncTurns == 0 {
		for _, e := range g.some(1, "") {
			g.send(e.Address, Message{Kind: Join, Checksums: g.sums()})
		}
	}
	e := again
	if e == nil {
		e = g.turn()
	}
	if e != nil {
		g.seq++
		g.probe = &probe{name: e.Name, seq: g.seq, at: now, again: again != nil}
		g.send(e.Address, Message{Kind: Ping, Seq: g.seq})
	}
	g.tell()
}

// expire ends suspicions, and forgets what is long over.
func (g *Group) expire(now time.Duration) {
	bound := time.Duration(float64(g.rules.SuspicionTimeout) * math.Max(1, math.Log10(float64(len(g.members)+1))))
	var due []string
	for name, e := range g.members {
		if e.State == Suspect && now-e.since >= bound || e.State >= Faulty && now-e.since >= g.rules.RetainDeparted {
			due = append(due, name)
		}
	}
	slices.Sort(due) // one seed, one run
	for _, name := range due {
		e := g.members[name]
		if e.State == Suspect {
			m := e.Member
			m.State = Faulty
			g.apply(m, now)
			continue
		}
		delete(g.members, name)
		g.stale = true
		g.ways.Log(fmt.Sprintf("forgot host %s: %s for %v", name, e.State, now-e.since))
	}
	for seq, a := range g.asks {
		if now > a.until {
			delete(g.asks, seq)
		}
	}
}

func (g *Group) names() []string {
	all := make([]string, 0, len(g.members))
	for n := range g.members {
		all = append(all, n)
	}
	slices.Sort(all)
	return all
}

// turn is whom to ask next: each once a round, in an order drawn anew. Now and then one that was removed: a split may have healed.
func (g *Group) turn() *entry {
	for range len(g.order) + 1 {
		if g.at >= len(g.order) {
			g.shuffle()
		}
		if len(g.order) == 0 {
			return nil
		}
		e := g.members[g.order[g.at]]
		if g.at++; e == nil || e.State == Departed || e.State == Faulty && g.rng.Intn(4) > 0 {
			continue
		}
		return e
	}
	return nil
}

func (g *Group) shuffle() {
	g.order, g.at = g.names(), 0
	g.rng.Shuffle(len(g.order), func(i, j int) { g.order[i], g.order[j] = g.order[j], g.order[i] })
}

// Some are the addresses of up to n members that are there.
func (g *Group) RandomAddresses(n int) (addresses []string) {
	for _, e := range g.some(n, "") {
		addresses = append(addresses, e.Address)
	}
	return addresses
}

// some are up to n members that are there, drawn from the present order.
func (g *Group) some(n int, but string) (found []*entry) {
	if len(g.order) == 0 {
		return nil
	}
	for i, from := 0, g.rng.Intn(len(g.order)); i < len(g.order) && len(found) < n; i++ {
		name := g.order[(from+i)%len(g.order)]
		if e := g.members[name]; e != nil && e.State == Alive && name != but {
			found = append(found, e)
		}
	}
	return found
}

// send adds news that waits, in turn.
func (g *Group) send(address string, m Message) {
	m.From = g.self
	most, k := 3+int(4*math.Log10(float64(len(g.members)+1))), g.rules.UpdatesPerMessage
	if len(g.queue) > 4*k {
		k *= 4
	}
	k = min(k, len(g.queue))
	first := g.queue[:k]
	g.queue = slices.Clone(g.queue[k:])
	for _, n := range first {
		m.Updates = append(m.Updates, n.m)
		if n.sent++; n.sent < most {
			g.queue = append(g.queue, n)
		}
	}
	g.ways.Send(address, m)
}

// Receive takes a message.
func (g *Group) Receive(m Message, now time.Duration) {
	if g.gone || m.From.Name == g.self.Name {
		return
	}
	from := m.From
	from.State = Alive // it speaks
	g.apply(from, now)
	for _, n := range m.Updates {
		g.apply(n, now)
	}
	e := g.members[from.Name]
	if e == nil || e.State == Departed {
		return
	}
	var about []Member
	if e.State != Alive { // it must hear what is said of it, to speak against it
		about = append(about, e.Member)
	}
	switch m.Kind {
	case Ping:
		g.send(from.Address, Message{Kind: Ack, Seq: m.Seq, Updates: about})
	case Join:
		all, mine := g.Members(), []uint64(nil)
		if len(m.Checksums) == sums {
			mine = g.sums()
		}
		differ := slices.DeleteFunc(slices.Clone(all), func(x Member) bool {
			i, _ := sum(x)
			return mine != nil && mine[i] == m.Checksums[i]
		})
		if len(differ) == 0 {
			g.send(from.Address, Message{Kind: Sync, Seq: m.Seq, Total: len(all)})
		}
		for part := range slices.Chunk(differ, 4*g.rules.UpdatesPerMessage) {
			g.send(from.Address, Message{Kind: Sync, Seq: m.Seq, Total: len(all), Updates: part})
		}
	case Sync:
		g.stale = g.stale || !e.acked || !g.joined
		g.joined = g.joined || len(g.members)+1 >= m.Total
		e.acked = true
	case PingRequest:
		if about := g.members[m.Target]; about != nil && len(g.asks) < 1024 {
			g.seq++
			g.asks[g.seq] = ask{from.Address, m.Seq, m.Target, now + 2*g.rules.PingInterval}
			g.send(about.Address, Message{Kind: Ping, Seq: g.seq})
		}
	case Ack:
		if a, ok := g.asks[m.Seq]; ok && m.Target == "" && a.about == from.Name {
			delete(g.asks, m.Seq)
			g.send(a.to, Message{Kind: Ack, Seq: a.seq, Target: from.Name})
			break
		}
		if m.Target == "" { // its own answer to this host's ping: it counts this host
			g.stale = g.stale || !e.acked
			e.acked = true
		}
		if p := g.probe; p != nil && p.seq == m.Seq && (p.name == from.Name || p.name == m.Target) {
			g.probe = nil
		}
	}
	g.tell()
}

// sum is a member's part and what it adds to the sum of that part.
func sum(m Member) (part int, word uint64) {
	return int(xxhash.Sum64String(m.Name) % sums), xxhash.Sum64String(fmt.Sprint(m.Name, " ", m.Incarnation, " ", int(m.State)))
}

func (g *Group) sums() []uint64 {
	all := make([]uint64, sums)
	for _, m := range g.Members() {
		i, word := sum(m)
		all[i] ^= word
	}
	return all
}

// apply weighs one piece of news: a higher incarnation wins, within one the later state.
func (g *Group) apply(m Member, now time.Duration) {
	if m.Name == g.self.Name {
		// Somebody takes this host for away: it says that it is not, in a way that outweighs.
		if m.State != Alive && m.Incarnation >= g.self.Incarnation {
			g.self.Incarnation = m.Incarnation + 1
			g.spread(g.self, true)
		}
		return
	}
	e := g.members[m.Name]
	if e == nil {
		if m.State == Departed {
			return
		}
		g.members[m.Name] = &entry{Member: m, since: now}
		g.ways.Log(fmt.Sprintf("host %s at %s: %s", m.Name, m.Address, m.State))
		g.spread(m, false)
		g.stale = true
		return
	}
	if m.Incarnation < e.Incarnation || m.Incarnation == e.Incarnation && m.State <= e.State {
		return
	}
	if m.State != e.State {
		g.ways.Log(fmt.Sprintf("host %s: %s, was %s", m.Name, m.State, e.State))
		e.since = now
	}
	if m.Incarnation > e.Incarnation && m.State == Alive && e.State >= Faulty {
		e.acked = false // a new life: what it counted is gone
	}
	e.Member, g.stale = m, true
	g.spread(m, true)
}

// spread lets news go out with what is sent; that of a change before that of hosts which were not known.
func (g *Group) spread(m Member, change bool) {
	g.queue = slices.DeleteFunc(g.queue, func(n *news) bool { return n.m.Name == m.Name })
	if change {
		g.queue = slices.Insert(g.queue, 0, &news{m: m})
	} else {
		g.queue = append(g.queue, &news{m: m})
	}
}

// Plan is how many hosts there are to be, as a planner says; it only ever raises what settings say.
func (g *Group) SetPlanned(hosts int) {
	if hosts > g.self.Planned {
		g.self.Planned, g.stale = hosts, true
		g.tell()
	}
}

// Leave says goodbye to some; they pass it on. Nothing is sent after it.
func (g *Group) Leave() {
	g.self.Incarnation++
	m := g.self
	m.State = Departed
	told := 0
	for _, name := range g.order { // a goodbye that nobody hears keeps a part for a day: the suspected hear it too, each twice
		if e := g.members[name]; e != nil && e.State <= Suspect && told < 2*g.rules.IndirectPings+2 {
			told++
			for range 2 {
				g.ways.Send(e.Address, Message{Kind: Ping, From: g.self, Updates: []Member{m}})
			}
		}
	}
	g.gone = true
}

// Forget is an operator's word: the host named sends nothing any more.
func (g *Group) Forget(name string, now time.Duration) bool {
	e := g.members[name]
	if e == nil {
		return false
	}
	m := e.Member
	m.State = Departed
	m.Incarnation++
	g.apply(m, now)
	g.tell()
	return true
}
