package membership

import (
	"container/heap"
	"fmt"
	"math/rand"
	"os"
	"testing"
	"time"
)

// network simulates message delivery in virtual time. It loses, delays and duplicates messages, and delivers none between sides.
type network struct {
	now      time.Duration
	rng      *rand.Rand
	lossRate float64
	maxDelay time.Duration
	events   events
	seq      int
	nodes    []*node
	side     func(i int) int // side of gateway i; gateways on different sides cannot reach each other; nil: one side
	bytes    int
	log      []string
}

type node struct {
	net     *network
	ordinal int
	group   *Group
	down    bool
	counts  Counts
	life    int
}

type event struct {
	at  time.Duration
	seq int
	run func()
}
type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any     { o := *e; x := o[len(o)-1]; *e = o[:len(o)-1]; return x }

func (n *network) after(d time.Duration, run func()) {
	n.seq++
	heap.Push(&n.events, event{n.now + d, n.seq, run})
}

func (n *network) run(d time.Duration) {
	for until := n.now + d; ; {
		if len(n.events) == 0 || n.events[0].at > until {
			n.now = until
			return
		}
		e := heap.Pop(&n.events).(event)
		n.now = e.at
		e.run()
	}
}

func (member *node) Send(address string, m Message) {
	n := member.net
	n.bytes += 40 + 28*(1+len(m.Updates)) + 9*len(m.Checksums) // approximate size on the wire
	var to int
	fmt.Sscan(address, &to)
	for range 1 + n.rng.Intn(20)/19 { // one message in 20 is duplicated
		if n.rng.Float64() < n.lossRate || n.side != nil && n.side(member.ordinal) != n.side(to) {
			continue
		}
		n.after(time.Duration(n.rng.Int63n(int64(n.maxDelay)))+time.Millisecond, func() {
			if receiver := n.nodes[to]; !receiver.down {
				receiver.group.Receive(m, n.now)
			}
		})
	}
}
func (member *node) MembershipChanged(v Counts) { member.counts = v }
func (member *node) Log(line string) {
	member.net.log = append(member.net.log, fmt.Sprintf("%v %d: %s", member.net.now, member.ordinal, line))
}

func (member *node) start(planned int) {
	member.life++
	member.down = false
	life := member.life
	member.group = New(Member{Name: fmt.Sprint("h", member.ordinal), Ordinal: member.ordinal, Address: fmt.Sprint(member.ordinal), Planned: planned, Incarnation: uint64(member.life) << 20},
		DefaultRules(), []string{"0", "1"}, member, rand.New(rand.NewSource(int64(member.ordinal*100+member.life))), member.net.now)
	var tick func()
	tick = func() {
		if !member.down && member.life == life {
			member.group.Tick(member.net.now)
			member.net.after(max(member.group.NextTick()-member.net.now, time.Millisecond), tick)
		}
	}
	member.net.after(member.group.NextTick()-member.net.now, tick)
}

func startNetwork(gateways, planned int, lossRate float64, seed int64) *network {
	n := &network{rng: rand.New(rand.NewSource(seed)), lossRate: lossRate, maxDelay: 40 * time.Millisecond}
	for i := range gateways {
		member := &node{net: n, ordinal: i}
		n.nodes = append(n.nodes, member)
		member.start(planned)
	}
	return n
}

// runUntilServing runs until every gateway that is up counts the wanted number as serving. It returns the time that took, or false
// after the time limit.
func (n *network) runUntilServing(want int, within time.Duration) (time.Duration, bool) {
	for begin := n.now; n.now-begin < within; n.run(100 * time.Millisecond) {
		ok := true
		for _, member := range n.nodes {
			ok = ok && (member.down || member.group.joined && member.counts.Serving == want)
		}
		if ok {
			return n.now - begin, true
		}
	}
	return within, false
}

// falselyFaulty counts the pairs of gateways in which one considers the other faulty although it is up.
func (n *network) falselyFaulty() (wrong int) {
	for _, member := range n.nodes {
		if member.down {
			continue
		}
		for _, m := range member.group.Members() {
			if m.State == Faulty && !n.nodes[m.Ordinal].down {
				wrong++
			}
		}
	}
	return wrong
}

// Twelve gateways start while a fifth of the messages is lost. When four of them crash, they must be detected as faulty, which lowers
// Serving but not Parts. After their restart they must be counted again.
func TestJoinCrashReturn(t *testing.T) {
	n := startNetwork(12, 12, 0.2, 1)
	if _, ok := n.runUntilServing(12, 20*time.Second); !ok {
		t.Fatal("the gateways did not all join")
	}
	for i := range 4 {
		n.nodes[2+i].down = true
	}
	if _, ok := n.runUntilServing(8, 40*time.Second); !ok {
		t.Fatal("four crashed gateways are still counted as serving")
	}
	for _, member := range n.nodes {
		if !member.down && member.counts.Parts != 12 {
			t.Errorf("silence lowered the parts: %+v", member.counts)
		}
	}
	for i := range 4 {
		n.nodes[2+i].start(12)
	}
	if _, ok := n.runUntilServing(12, 40*time.Second); !ok {
		t.Error("four restarted gateways are not counted as serving")
	}
}

// During a network split, neither side may take over the parts of the other. After the split has healed, all gateways must count all
// others again.
func TestNetworkSplitKeepsParts(t *testing.T) {
	n := startNetwork(10, 10, 0.1, 2)
	n.run(10 * time.Second)
	n.runUntilServing(10, 20*time.Second)
	n.side = func(i int) int { return i / 5 }
	if _, ok := n.runUntilServing(5, 60*time.Second); !ok {
		t.Fatal("the sides still count each other as serving")
	}
	for _, member := range n.nodes {
		if member.counts.Parts != 10 {
			t.Errorf("a split changed Parts: %+v", member.counts)
		}
	}
	n.side = nil
	if _, ok := n.runUntilServing(10, 120*time.Second); !ok {
		t.Error("the gateways do not all count each other after the split")
	}
}

// Gateways join and leave around the planned number. The parts of all gateways must never add up to more than one: a leave message
// lowers Parts, but not below the planned number, and a gateway beyond that number has no part until all others count it.
func TestPartsNeverExceedOne(t *testing.T) {
	n := startNetwork(5, 3, 0.3, 3)
	check := func() {
		t.Helper()
		sum := 0.0
		for _, member := range n.nodes {
			if !member.down && member.counts.Parts > 0 {
				sum += 1 / float64(member.counts.Parts)
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
	if n.nodes[3].counts.Parts != 0 {
		t.Error("a gateway beyond the planned number started with a part")
	}
	watch(10 * time.Second)
	if n.nodes[3].counts.Parts != 4 || n.nodes[0].counts.Parts != 4 {
		t.Errorf("the joined gateway is not counted: %+v %+v", n.nodes[3].counts, n.nodes[0].counts)
	}
	n.nodes[4].start(3)
	watch(10 * time.Second)
	for _, member := range n.nodes[3:] {
		member.group.Leave()
		member.down = true
	}
	watch(30 * time.Second)
	if v := n.nodes[0].counts; v.Parts != 3 || v.Serving != 3 {
		t.Errorf("after two leave messages: %+v", v)
	}
	n.nodes[1].down = true
	watch(40 * time.Second)
	if v := n.nodes[0].counts; v.Parts != 3 || v.Serving != 2 {
		t.Errorf("after a crash: %+v", v)
	}
}

// Two late updates arrive. An update with an old incarnation must not change anything, and one that reports the receiver as faulty
// must be refuted. An operator's Forget must take effect.
func TestStaleUpdates(t *testing.T) {
	n := startNetwork(3, 3, 0, 4)
	n.run(10 * time.Second)
	n.runUntilServing(3, 10*time.Second)
	g := n.nodes[0].group
	old := Member{Name: "h1", Ordinal: 1, Address: "1", Incarnation: 1, State: Faulty}
	from := Member{Name: "h2", Ordinal: 2, Address: "2", Incarnation: 2 << 20}
	g.Receive(Message{Kind: Ping, From: from, Updates: []Member{old, {Name: "h0", Incarnation: 5 << 20, State: Faulty}}}, n.now)
	if v := g.Counts(); v.Serving != 3 || g.Members()[0].Incarnation != 5<<20+1 {
		t.Errorf("%+v %+v", v, g.Members()[0])
	}
	if !g.Forget("h1", n.now) || g.Counts().Serving != 2 || g.Forget("nobody", n.now) {
		t.Error("an operator's Forget had no effect, or reported an unknown gateway as known")
	}
}

// Two runs with the same seed must be identical; otherwise failures of the other tests could not be reproduced.
func TestSameSeedSameRun(t *testing.T) {
	one := func() (string, int) {
		n := startNetwork(20, 20, 0.2, 9)
		n.run(20 * time.Second)
		return fmt.Sprint(n.log), n.bytes
	}
	a, firstBytes := one()
	if b, secondBytes := one(); a != b || firstBytes != secondBytes {
		t.Error("two runs with the same seed differ")
	}
}

// Groups of several sizes lose a tenth of the messages. No gateway may be detected as faulty by mistake, and when 30% crash at once,
// all others must agree on it. SCALE=1 prints the table of docs/ROADMAP.md.
func TestScale(t *testing.T) {
	sizes := []int{10, 100}
	if os.Getenv("SCALE") != "" {
		sizes = append(sizes, 500)
	}
	for _, gateways := range sizes {
		n := startNetwork(gateways, gateways, 0.1, int64(gateways))
		joined, ok1 := n.runUntilServing(gateways, 5*time.Minute)
		n.run(10 * time.Second)
		n.bytes = 0
		wrong := 0
		for range 60 {
			n.run(time.Second)
			wrong += n.falselyFaulty()
		}
		rate := float64(n.bytes) / 60 / float64(gateways)
		for i := range gateways * 3 / 10 {
			n.nodes[i*3+2].down = true
		}
		left, ok2 := n.runUntilServing(gateways-gateways*3/10, 5*time.Minute)
		t.Logf("%d gateways: all joined after %v, falsely faulty %d in a minute, %.0f bytes a gateway a second; agreed on 30%% crashed after %v",
			gateways, joined, wrong, rate, left)
		if !ok1 || !ok2 || wrong > 0 {
			t.Errorf("%d gateways: joined %v, agreed %v, falsely faulty %d", gateways, ok1, ok2, wrong)
		}
	}
}
