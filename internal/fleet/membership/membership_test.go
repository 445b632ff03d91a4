package membership

import (
	"container/heap"
	"fmt"
	"math/rand"
	"os"
	"testing"
	"time"
)

// net is a network in virtual time: messages are lost, late, doubled, and cut between sides.
type net struct {
	now    time.Duration
	rng    *rand.Rand
	lost   float64
	delay  time.Duration
	events events
	seq    int
	nodes  []*node
	side   func(i int) int // hosts on different sides don't hear each other
	bytes  int
	log    []string
}

type node struct {
	net  *net
	no   int
	g    *Group
	down bool
	view Counts
	life int
}

type event struct {
	at  time.Duration
	seq int
	f   func()
}
type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any     { o := *e; x := o[len(o)-1]; *e = o[:len(o)-1]; return x }

func (n *net) after(d time.Duration, f func()) {
	n.seq++
	heap.Push(&n.events, event{n.now + d, n.seq, f})
}

func (n *net) run(d time.Duration) {
	for until := n.now + d; ; {
		if len(n.events) == 0 || n.events[0].at > until {
			n.now = until
			return
		}
		e := heap.Pop(&n.events).(event)
		n.now = e.at
		e.f()
	}
}

func (x *node) Send(address string, m Message) {
	n := x.net
	n.bytes += 40 + 28*(1+len(m.Updates)) + 9*len(m.Checksums) // what the names, numbers and states take on the wire, about
	var to int
	fmt.Sscan(address, &to)
	for range 1 + n.rng.Intn(20)/19 { // now and then one is doubled
		if n.rng.Float64() < n.lost || n.side != nil && n.side(x.no) != n.side(to) {
			continue
		}
		n.after(time.Duration(n.rng.Int63n(int64(n.delay)))+time.Millisecond, func() {
			if y := n.nodes[to]; !y.down {
				y.g.Receive(m, n.now)
			}
		})
	}
}
func (x *node) MembershipChanged(v Counts) { x.view = v }
func (x *node) Log(line string) {
	x.net.log = append(x.net.log, fmt.Sprintf("%v %d: %s", x.net.now, x.no, line))
}

func (x *node) start(planned int) {
	x.life++
	x.down = false
	life := x.life
	x.g = New(Member{Name: fmt.Sprint("h", x.no), Ordinal: x.no, Address: fmt.Sprint(x.no), Planned: planned, Incarnation: uint64(x.life) << 20},
		DefaultRules(), []string{"0", "1"}, x, rand.New(rand.NewSource(int64(x.no*100+x.life))), x.net.now)
	var tick func()
	tick = func() {
		if !x.down && x.life == life {
			x.g.Tick(x.net.now)
			x.net.after(max(x.g.NextTick()-x.net.now, time.Millisecond), tick)
		}
	}
	x.net.after(x.g.NextTick()-x.net.now, tick)
}

func grow(hosts, planned int, lost float64, seed int64) *net {
	n := &net{rng: rand.New(rand.NewSource(seed)), lost: lost, delay: 40 * time.Millisecond}
	for i := range hosts {
		x := &node{net: n, no: i}
		n.nodes = append(n.nodes, x)
		x.start(planned)
	}
	return n
}

// agree runs until all that are up count so many as serving; it returns how long that took, false where it didn't.
func (n *net) agree(want int, within time.Duration) (time.Duration, bool) {
	for begin := n.now; n.now-begin < within; n.run(100 * time.Millisecond) {
		ok := true
		for _, x := range n.nodes {
			ok = ok && (x.down || x.g.joined && x.view.Serving == want)
		}
		if ok {
			return n.now - begin, true
		}
	}
	return within, false
}

// removals counts how often a host that is up stands as removed somewhere.
func (n *net) removals() (wrong int) {
	for _, x := range n.nodes {
		if x.down {
			continue
		}
		for _, m := range x.g.Members() {
			if m.State == Faulty && !n.nodes[m.Ordinal].down {
				wrong++
			}
		}
	}
	return wrong
}

func TestJoinCrashReturn(t *testing.T) {
	n := grow(12, 12, 0.2, 1)
	if _, ok := n.agree(12, 20*time.Second); !ok {
		t.Fatal("they did not find each other")
	}
	for i := range 4 {
		n.nodes[2+i].down = true
	}
	if _, ok := n.agree(8, 40*time.Second); !ok {
		t.Fatal("four that died are still counted")
	}
	for _, x := range n.nodes {
		if !x.down && x.view.Parts != 12 {
			t.Errorf("silence lowered the parts: %+v", x.view)
		}
	}
	for i := range 4 {
		n.nodes[2+i].start(12)
	}
	if _, ok := n.agree(12, 40*time.Second); !ok {
		t.Error("four that came back are not counted")
	}
}

// A split and its end: neither side raises its parts; afterwards all count all again.
func TestSplitHeals(t *testing.T) {
	n := grow(10, 10, 0.1, 2)
	n.run(10 * time.Second)
	n.agree(10, 20*time.Second)
	n.side = func(i int) int { return i / 5 }
	if _, ok := n.agree(5, 60*time.Second); !ok {
		t.Fatal("the sides still count each other")
	}
	for _, x := range n.nodes {
		if x.view.Parts != 10 {
			t.Errorf("a split raised parts: %+v", x.view)
		}
	}
	n.side = nil
	if _, ok := n.agree(10, 120*time.Second); !ok {
		t.Error("the split did not heal")
	}
}

// Goodbye lowers the parts, to what is planned and no further; a newcomer beyond the plan has no part until all count it. At no moment do
// the parts of all hosts together pass one.
func TestPartsNeverPassOne(t *testing.T) {
	n := grow(5, 3, 0.3, 3)
	check := func() {
		t.Helper()
		sum := 0.0
		for _, x := range n.nodes {
			if !x.down && x.view.Parts > 0 {
				sum += 1 / float64(x.view.Parts)
			}
		}
		if sum > 1+1e-9 {
			t.Fatalf("at %v the parts add up to %.3f", n.now, sum)
		}
	}
	n.nodes[3].down, n.nodes[4].down = true, true
	watch := func(d time.Duration) {
		for end := n.now + d; n.now < end; n.run(10 * time.Millisecond) {
			check()
		}
	}
	watch(10 * time.Second)
	n.nodes[3].start(3)
	if n.nodes[3].view.Parts != 0 {
		t.Error("a newcomer beyond the plan began with a part")
	}
	watch(10 * time.Second)
	if n.nodes[3].view.Parts != 4 || n.nodes[0].view.Parts != 4 {
		t.Errorf("the newcomer is not counted: %+v %+v", n.nodes[3].view, n.nodes[0].view)
	}
	n.nodes[4].start(3)
	watch(10 * time.Second)
	for _, x := range n.nodes[3:] {
		x.g.Leave()
		x.down = true
	}
	watch(30 * time.Second)
	if v := n.nodes[0].view; v.Parts != 3 || v.Serving != 3 {
		t.Errorf("after two goodbyes: %+v", v)
	}
	n.nodes[1].down = true
	watch(40 * time.Second)
	if v := n.nodes[0].view; v.Parts != 3 || v.Serving != 2 {
		t.Errorf("after a death: %+v", v)
	}
}

// Old news, doubled news and news of this host itself bring nothing back.
func TestOldNews(t *testing.T) {
	n := grow(3, 3, 0, 4)
	n.run(10 * time.Second)
	n.agree(3, 10*time.Second)
	g := n.nodes[0].g
	old := Member{Name: "h1", Ordinal: 1, Address: "1", Incarnation: 1, State: Faulty}
	from := Member{Name: "h2", Ordinal: 2, Address: "2", Incarnation: 2 << 20}
	g.Receive(Message{Kind: Ping, From: from, Updates: []Member{old, {Name: "h0", Incarnation: 5 << 20, State: Faulty}}}, n.now)
	if v := g.Counts(); v.Serving != 3 || g.Members()[0].Incarnation != 5<<20+1 {
		t.Errorf("%+v %+v", v, g.Members()[0])
	}
	if !g.Forget("h1", n.now) || g.Counts().Serving != 2 || g.Forget("nobody", n.now) {
		t.Error("an operator's word was not taken")
	}
}

func TestSameSeedSameRun(t *testing.T) {
	one := func() (string, int) {
		n := grow(20, 20, 0.2, 9)
		n.run(20 * time.Second)
		return fmt.Sprint(n.log), n.bytes
	}
	a, x := one()
	if b, y := one(); a != b || x != y {
		t.Error("two runs of one seed differ")
	}
}

// SCALE=1 prints the table of docs/ROADMAP.md: virtual time, a tenth of the messages lost, 30% leave at once without a word.
func TestScale(t *testing.T) {
	sizes := []int{10, 100}
	if os.Getenv("SCALE") != "" {
		sizes = append(sizes, 500)
	}
	for _, hosts := range sizes {
		n := grow(hosts, hosts, 0.1, int64(hosts))
		joined, ok1 := n.agree(hosts, 5*time.Minute)
		n.run(10 * time.Second)
		n.bytes = 0
		wrong := 0
		for range 60 {
			n.run(time.Second)
			wrong += n.removals()
		}
		rate := float64(n.bytes) / 60 / float64(hosts)
		for i := range hosts * 3 / 10 {
			n.nodes[i*3+2].down = true
		}
		left, ok2 := n.agree(hosts-hosts*3/10, 5*time.Minute)
		t.Logf("%d hosts: all joined after %v, false removals %d in a minute, %.0f bytes a host a second; agreed on 30%% gone after %v",
			hosts, joined, wrong, rate, left)
		if !ok1 || !ok2 || wrong > 0 {
			t.Errorf("%d hosts: joined %v, agreed %v, false removals %d", hosts, ok1, ok2, wrong)
		}
	}
}
