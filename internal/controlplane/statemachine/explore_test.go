package statemachine

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"weirhaven/internal/controlplane/snapshot"
	"weirhaven/internal/pb"
)

// The small world of the exhaustive search: two planners, two edges, three changes. What may happen, in any order:
type action struct {
	what    string
	planner int
	edge    int
}

func (a action) String() string {
	return fmt.Sprintf("%s planner %d edge %d", a.what, a.planner, a.edge)
}

func actions() (all []action) {
	all = append(all, action{"a while passes", 0, 0})
	for p := range 2 {
		all = append(all, action{"killed, back from its disk:", p, 0}, action{"killed, back from nothing:", p, 0}, action{"is told a change:", p, 0})
		for e := range 2 {
			all = append(all, action{"all that waits is delivered:", p, e}, action{"one message is delivered:", p, e}, action{"the connection is lost:", p, e})
		}
	}
	return all
}

// breach is a property that does not hold.
type breach struct{ text string }

type catcher struct{}

func (catcher) Fatalf(format string, args ...any) { panic(breach{fmt.Sprintf(format, args...)}) }

// play plays actions from the beginning; the properties are checked after each: no two planners hold the lease at once; no edge's
// generation falls, no edge's tenure falls; no drain is forgotten; two edges that were told one generation under one tenure hold the same.
func play(trace []action) (w *world, why string) {
	defer func() {
		if p := recover(); p != nil {
			b, ok := p.(breach)
			if !ok {
				panic(p)
			}
			why = b.text
		}
	}()
	lives := uint64(0)
	w = &world{t: catcher{}, now: 100 * time.Hour, given: map[string]uint32{}, life: func() uint64 { lives++; return lives }}
	for range 2 {
		w.edges = append(w.edges, &anEdge{v: snapshot.New(nil, 0, nil, 1000), drained: map[string]int64{}})
	}
	disks := []*disk{{items: map[snapshot.Key]*pb.Item{}}, {items: map[snapshot.Key]*pb.Item{}}}
	alive := []*planner{w.startWith(small, "a", disks[0]), w.startWith(small, "b", disks[1])}
	changes := 0
	type stand struct {
		g uint64
		t *pb.Tenure
	}
	was := make([]stand, 2)
	for _, a := range trace {
		p := alive[a.planner]
		switch a.what {
		case "a while passes":
			w.now += small.Lease * 5 / 8
			for _, p := range alive {
				p.Beat(w.clock(p))
				p.Write(w.clock(p))
			}
		case "killed, back from its disk:", "killed, back from nothing:":
			p.up = false
			for e := range w.edges {
				w.cut(p, e)
			}
			if strings.Contains(a.what, "nothing") {
				disks[a.planner] = &disk{items: map[snapshot.Key]*pb.Item{}}
			}
			alive[a.planner] = w.startWith(small, []string{"a", "b"}[a.planner], disks[a.planner])
		case "is told a change:":
			if changes++; changes <= 3 {
				p.Want(&pb.Item{Kind: pb.Item_BRICK, Name: "x", Brick: &pb.PlanBrick{Address: "x", Serving: changes != 2, Started: 1, Drained: int64(changes % 3 / 2)}})
				p.Write(w.clock(p))
			}
		case "all that waits is delivered:", "one message is delivered:":
			if p.conns[a.edge] == nil {
				w.connect(p, a.edge)
			}
			n := 1
			if strings.HasPrefix(a.what, "all") {
				n = 10
			}
			for range n {
				w.step(p, a.edge)
			}
		case "the connection is lost:":
			w.cut(p, a.edge)
		}
		w.check()
		for i, e := range w.edges {
			if e.v.Generation() < was[i].g || snapshot.Compare(e.v.Tenure(), was[i].t) < 0 {
				return w, fmt.Sprintf("edge %d went back: generation %d after %d, tenure %v after %v", i, e.v.Generation(), was[i].g, e.v.Tenure(), was[i].t)
			}
			was[i] = stand{e.v.Generation(), e.v.Tenure()}
		}
		x, y := w.edges[0].v, w.edges[1].v
		if x.Generation() == y.Generation() && x.Generation() > 0 && w.edges[0].from != nil && snapshot.Compare(w.edges[0].from, w.edges[1].from) == 0 && x.Digest() != y.Digest() && !w.unfit() {
			return w, fmt.Sprintf("two edges hold generation %d of one tenure, and not the same", x.Generation())
		}
	}
	return w, ""
}

// unfit tells whether an edge knows that what it holds does not fit, or has not heard its planner's view yet.
func (w *world) unfit() bool {
	for i, e := range w.edges {
		if e.whole || e.following == nil {
			return true
		}
		c := e.following.conns[i]
		if c == nil || c.at != e.v.Generation() || c.digest != e.v.Digest() || len(c.to) > 0 {
			return true
		}
	}
	return false
}

var small = Rules{Edges: 2, Lease: time.Second, Recover: time.Second, AtOnce: 2, Tombstones: 3, Items: 100}

func (w *world) startWith(r Rules, name string, d *disk) *planner {
	p := &planner{disk: d, speed: 1, up: true, conns: map[int]*conn{}}
	var items []*pb.Item
	for _, x := range d.items {
		items = append(items, x)
	}
	s, err := New(name, w.life(), d.tenure, d.generation, items, r, d, func(string) {}, w.now)
	if err != nil {
		w.t.Fatalf("%v", err)
	}
	p.State = s
	w.planners = append(w.planners, p)
	return p
}

// mark tells states apart: all that what comes next depends on, times as ages.
func (w *world) mark() string {
	var b strings.Builder
	for i, p := range w.planners {
		if !p.up {
			continue
		}
		fmt.Fprint(&b, i%2, p.tenure, p.generation, p.floor, p.Items(), p.phase, p.recovered, w.age(p.started), w.age(p.majority), w.age(p.outranked), p.beat, "|")
		for e := range w.edges {
			if x := p.State.edges[fmt.Sprint("e", e)]; x != nil {
				fmt.Fprint(&b, x.connected, x.reported, x.tenure, x.generation, w.age(x.beat), x.sending, x.queued)
			}
			if c := p.conns[e]; c != nil {
				fmt.Fprint(&b, c.to, c.from, c.at, c.digest, c.held, c.whole)
			}
		}
		keys := make([]string, 0, len(p.wanted))
		for k, x := range p.wanted {
			keys = append(keys, fmt.Sprint(k, x))
		}
		slices.Sort(keys)
		fmt.Fprint(&b, keys)
	}
	for _, e := range w.edges {
		fmt.Fprint(&b, e.v.Tenure(), e.v.Generation(), e.v.Items(), e.whole, e.from, e.following == nil, e.drained, "/")
		if e.following != nil {
			fmt.Fprint(&b, e.following.tenure)
		}
	}
	return b.String()
}

// age of a moment, in the search's steps; what is long ago is alike.
func (w *world) age(at time.Duration) int {
	if at == 0 {
		return -1
	}
	return min(int((w.now-at)/(small.Lease*5/8)), 8)
}

// beginnings are where the search starts: nothing yet; one planner holds the lease and both edges its view; that one came back from
// nothing; the other has come to one of the edges.
func beginnings() [][]action {
	held := []action{{"is told a change:", 0, 0}}
	for range 5 {
		held = append(held, action{"all that waits is delivered:", 0, 0}, action{"all that waits is delivered:", 0, 1}, action{"a while passes", 0, 0})
	}
	return [][]action{nil, held, append(slices.Clone(held), action{"killed, back from nothing:", 0, 0}),
		append(slices.Clone(held), action{"all that waits is delivered:", 1, 0})}
}

// All orders of what may happen, up to a depth, and beyond it for as long as the bound of states lasts. EXPLORE=n: n thousand states (the
// two minutes' run: EXPLORE=120).
func TestExplore(t *testing.T) {
	most := 4000
	if s := os.Getenv("EXPLORE"); s != "" {
		fmt.Sscan(s, &most)
		most *= 1000
	}
	seen := map[string]bool{}
	level := beginnings()
	states, whole := 0, 0
	for depth := 1; len(level) > 0 && states < most; depth++ {
		var next [][]action
		for _, trace := range level {
			for _, a := range actions() {
				x := append(slices.Clone(trace), a)
				w, why := play(x)
				if why != "" {
					var b strings.Builder
					for i, a := range x {
						fmt.Fprintf(&b, "%2d. %v\n", i+1, a)
					}
					t.Fatalf("%s\n%s", why, b.String())
				}
				if k := w.mark(); !seen[k] {
					seen[k] = true
					states++
					next = append(next, x)
				}
			}
			if states >= most {
				break
			}
		}
		if states < most {
			whole = depth
		}
		level = next
	}
	if w, _ := play(beginnings()[1]); w.planners[0].Phase() != Holding || w.edges[1].v.Generation() == 0 {
		t.Error("the search does not begin where it should")
	}
	t.Logf("%d states, all orders of up to %d happenings", states, whole)
	if whole < 2 {
		t.Errorf("only %d deep", whole)
	}
}
