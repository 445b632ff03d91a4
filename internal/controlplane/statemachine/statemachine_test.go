package statemachine

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"weirhaven/internal/controlplane/snapshot"
	"weirhaven/internal/pb"
)

var rules = Rules{Edges: 5, Lease: time.Second, Recover: 2 * time.Second, AtOnce: 2, Tombstones: 3, Items: 1000}

// disk keeps what is written; it may be full, and copied.
type disk struct {
	tenure     *pb.Tenure
	generation uint64
	items      map[snapshot.Key]*pb.Item
	full       bool
	landed     bool // writes reach the disk and are told as failed
}

func (d *disk) Keep(t *pb.Tenure, g uint64, changed []*pb.Item) error {
	if d.full {
		return errors.New("no space left on device")
	}
	d.tenure, d.generation = proto.Clone(t).(*pb.Tenure), g
	for _, x := range changed {
		d.items[snapshot.KeyOf(x)] = proto.Clone(x).(*pb.Item)
	}
	if d.landed {
		return errors.New("input/output error")
	}
	return nil
}

func (d *disk) copy() *disk {
	c := &disk{tenure: d.tenure, generation: d.generation, items: map[snapshot.Key]*pb.Item{}}
	for k, x := range d.items {
		c.items[k] = proto.Clone(x).(*pb.Item)
	}
	return c
}

// planner is one life of a planner in a world of messages that may be cut off anywhere; its clock may run a tenth fast or slow.
type planner struct {
	*State
	disk  *disk
	speed float64
	up    bool
	conns map[int]*conn
}

type conn struct {
	to, from []any // messages on their way
	at       uint64
	digest   uint64
	held     *pb.Tenure
	whole    bool
}

type anEdge struct {
	v         *snapshot.View
	following *planner
	from      *pb.Tenure // under which its view was told
	whole     bool
	drained   map[string]int64
	places    map[string]uint32
}

type world struct {
	t interface {
		Fatalf(format string, args ...any)
	}
	life     func() uint64 // of a planner that starts
	now      time.Duration
	planners []*planner
	edges    []*anEdge
	given    map[string]uint32
	lostDisk bool
}

func (w *world) clock(p *planner) time.Duration { return time.Duration(float64(w.now) * p.speed) }

func (w *world) start(name string, d *disk, speed float64) *planner {
	d.full = false // else it does not start, and says so
	p := &planner{disk: d, speed: speed, up: true, conns: map[int]*conn{}}
	var items []*pb.Item
	for _, x := range d.items {
		items = append(items, x)
	}
	s, err := New(name, w.life(), d.tenure, d.generation, items, rules, d, func(string) {}, time.Duration(float64(w.now)*speed))
	if err != nil {
		w.t.Fatalf("%v", err)
	}
	p.State = s
	p.Want(&pb.Item{Kind: pb.Item_VOLUME, Name: "v", Volume: &pb.PlanVolume{Plan: "p", Hosts: 2}})
	w.planners = append(w.planners, p)
	return p
}

func (w *world) connect(p *planner, i int) {
	e := w.edges[i]
	c := &conn{at: e.v.Generation(), digest: e.v.Digest(), held: e.v.Tenure(), whole: e.whole}
	ask, err := p.Hello(fmt.Sprint("e", i), "a", e.v.Tenure(), e.v.Generation(), e.v.Digest(), e.following != nil && e.following != p && e.following.up, e.whole, w.clock(p))
	if err != nil {
		return
	}
	p.conns[i] = c
	c.to = append(c.to, &pb.PlannerSays{Tenure: proto.Clone(p.Tenure()).(*pb.Tenure)})
	if ask {
		c.to = append(c.to, &pb.PlannerSays{Tenure: proto.Clone(p.Tenure()).(*pb.Tenure), What: &pb.PlannerSays_Report{Report: &pb.ReportAsk{}}})
	}
}

func (w *world) cut(p *planner, i int) {
	if p.conns[i] == nil {
		return
	}
	delete(p.conns, i)
	if p.up {
		p.Gone(fmt.Sprint("e", i), w.clock(p))
	}
	if w.edges[i].following == p {
		w.edges[i].following = nil
		w.edges[i].v.Cut()
	}
}

// step moves one message of a conversation, if there is one.
func (w *world) step(p *planner, i int) {
	c, e, name := p.conns[i], w.edges[i], fmt.Sprint("e", i)
	if c == nil || !p.up {
		return
	}
	if len(c.from) > 0 {
		m := c.from[0]
		c.from = c.from[1:]
		switch m := m.(type) {
		case *pb.EdgeAck:
			p.Ack(name, m.Tenure, m.Generation, m.Beat, w.clock(p))
		case *pb.EdgeReport:
			if err := p.Report(name, m.Item, m.Last, w.clock(p)); err != nil {
				w.cut(p, i)
			}
		}
		return
	}
	if len(c.to) == 0 {
		ph := p.Tick(w.clock(p))
		if ph != Recovering && ph != Outranked {
			if part, due := p.View(name, c.held, c.at, c.digest, c.whole); due {
				if ok, _ := p.Admit(name, w.clock(p)); ok {
					for k, x := range part.Item { // in pieces of one
						c.to = append(c.to, &pb.PlannerSays{Tenure: proto.Clone(p.Tenure()).(*pb.Tenure), What: &pb.PlannerSays_Part{Part: &pb.ViewPart{
							From: part.From, To: part.To, Whole: part.Whole, Item: []*pb.Item{proto.Clone(x).(*pb.Item)}}}})
						_ = k
					}
					c.to = append(c.to, &pb.PlannerSays{Tenure: proto.Clone(p.Tenure()).(*pb.Tenure), What: &pb.PlannerSays_Part{Part: &pb.ViewPart{
						From: part.From, To: part.To, Whole: part.Whole, Last: true, Digest: part.Digest}}})
					c.at, c.digest, c.held, c.whole = part.To, part.Digest, p.Tenure(), false
					return
				}
			}
		}
		c.to = append(c.to, &pb.PlannerSays{Tenure: proto.Clone(p.Tenure()).(*pb.Tenure), What: &pb.PlannerSays_Alive{Alive: &pb.Alive{Beat: p.BeatNow()}}})
		return
	}
	m := c.to[0].(*pb.PlannerSays)
	c.to = c.to[1:]
	before := e.v.Generation()
	if _, err := e.v.Offered(m.Tenure); err != nil {
		w.cut(p, i)
		return
	}
	if e.following != p {
		if e.following != nil {
			w.cut(e.following, i)
		}
		e.following = p
	}
	switch x := m.What.(type) {
	case *pb.PlannerSays_Report:
		c.from = append(c.from, &pb.EdgeReport{Item: e.v.Items(), Last: true})
	case *pb.PlannerSays_Alive:
		c.from = append(c.from, &pb.EdgeAck{Tenure: e.v.Tenure(), Generation: e.v.Generation(), Beat: x.Alive.Beat})
	case *pb.PlannerSays_Part:
		t, err := e.v.Part(m.Tenure, x.Part)
		if err != nil || t.Whole {
			e.whole = !x.Part.Whole
			w.cut(p, i)
			return
		}
		if t.Last {
			e.whole, e.from = false, proto.Clone(m.Tenure).(*pb.Tenure)
			p.Sent(name, w.clock(p))
			c.from = append(c.from, &pb.EdgeAck{Tenure: e.v.Tenure(), Generation: e.v.Generation()})
		}
	}
	if e.v.Generation() < before {
		w.t.Fatalf("edge %d went back from generation %d to %d", i, before, e.v.Generation())
	}
}

// check: what must hold at every moment.
func (w *world) check() {
	holding := 0
	for _, p := range w.planners {
		if p.up && p.Tick(w.clock(p)) == Holding {
			holding++
		}
	}
	if holding > 1 {
		w.t.Fatalf("%d planners hold the lease at %v", holding, w.now)
	}
	for i, e := range w.edges {
		for name, d := range e.drained {
			if x := e.v.Get(snapshot.Key{Kind: pb.Item_BRICK, Name: name}); snapshot.Drain(x.GetBrick().GetDrained(), d) != x.GetBrick().GetDrained() {
				w.t.Fatalf("edge %d forgot that %s was drained at %d: %v", i, name, d, x)
			}
		}
		for _, x := range e.v.Items() {
			if d := x.GetBrick().GetDrained(); d != 0 {
				e.drained[x.Name] = snapshot.Drain(e.drained[x.Name], d)
				if x.Brick.Serving && snapshot.Drained(x.Brick) {
					w.t.Fatalf("edge %d: %s serves though drained: %v", i, x.Name, x)
				}
			}
		}
	}
}

// Whatever is killed, cut off, restarted from its disk, from an older copy of it or from none, or started twice: no edge goes back,
// no drain is forgotten, no two planners hold the lease, no name has two places while the disk's word is to be had; and once things
// are quiet one planner holds the lease and all edges hold its view.
func TestAnythingGoes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{t: t, now: 100 * time.Hour, given: map[string]uint32{}, life: func() uint64 { return rapid.Uint64().Draw(t, "life") }}
		for range 5 {
			w.edges = append(w.edges, &anEdge{v: snapshot.New(nil, 0, nil, 1000), drained: map[string]int64{}})
		}
		d := &disk{items: map[snapshot.Key]*pb.Item{}}
		speed := func() float64 { return rapid.SampledFrom([]float64{0.95, 1, 1.05}).Draw(t, "speed") }
		main := w.start("a", d, speed())
		old := d.copy()
		advance := func(for_ time.Duration) {
			for range int(for_ / (50 * time.Millisecond)) {
				w.now += 50 * time.Millisecond
				for _, p := range w.planners {
					if p.up {
						p.Beat(w.clock(p))
						if _, err := p.Write(w.clock(p)); err != nil && !p.disk.full {
							t.Fatal(err)
						}
						for i := range w.edges {
							if p.conns[i] == nil {
								w.connect(p, i)
							}
							for range 12 {
								w.step(p, i)
							}
						}
					}
				}
				w.check()
			}
		}
		for range rapid.IntRange(3, 25).Draw(t, "events") {
			i := rapid.IntRange(0, 4).Draw(t, "edge")
			brick := fmt.Sprint("b", rapid.IntRange(0, 3).Draw(t, "brick"))
			switch rapid.IntRange(0, 11).Draw(t, "what") {
			case 0, 1: // the list says something
				main.Want(&pb.Item{Kind: pb.Item_BRICK, Name: brick, Brick: &pb.PlanBrick{Cell: int64(brick[1] - '0'), Serving: true,
					Started: rapid.Int64Range(0, 5).Draw(t, "start"), Address: "x"}})
			case 2:
				main.Want(&pb.Item{Kind: pb.Item_BRICK, Name: brick, Gone: true})
			case 3: // an edge learns of a drain
				drained := rapid.Int64Range(1, 6).Draw(t, "drained")
				if w.edges[i].v.Learn(brick, drained) {
					if p := w.edges[i].following; p != nil && p.conns[i] != nil {
						p.conns[i].from = append(p.conns[i].from, &pb.EdgeReport{Item: w.edges[i].v.Items(), Last: true})
					}
				}
			case 4:
				for _, p := range w.planners {
					w.cut(p, i)
				}
			case 5: // killed, at whatever it was doing; its disk stays
				main.up = false
				for k := range w.edges {
					w.cut(main, k)
				}
				main = w.start("a", d, speed())
			case 6: // an older copy of the disk
				main.up = false
				for k := range w.edges {
					w.cut(main, k)
				}
				d = old.copy()
				main = w.start("a", d, speed())
				w.lostDisk = true
			case 7: // no disk
				main.up = false
				for k := range w.edges {
					w.cut(main, k)
				}
				d = &disk{items: map[snapshot.Key]*pb.Item{}}
				main = w.start("a", d, speed())
				w.lostDisk = true
			case 8: // a second one by mistake, with a disk of its own
				w.start("b", &disk{items: map[snapshot.Key]*pb.Item{}}, speed())
			case 9:
				old = d.copy()
			case 10:
				name := fmt.Sprint("o", rapid.IntRange(0, 3).Draw(t, "object"))
				for _, p := range w.planners {
					if !p.up {
						continue
					}
					x, err := p.Place(fmt.Sprint("e", i), "v", name, "", w.clock(p))
					if err != nil {
						continue
					}
					w.edges[i].v.Given(proto.Clone(x).(*pb.Item))
					if c, ok := w.given[name]; ok && c != x.Place.Cell && !w.lostDisk && len(w.planners) == 1 {
						t.Fatalf("object %s was given cell %d and %d", name, c, x.Place.Cell)
					}
					w.given[name] = x.Place.Cell
				}
			case 11:
				d.full = !d.full
			}
			advance(time.Duration(rapid.IntRange(0, 8).Draw(t, "wait")) * 100 * time.Millisecond)
		}
		d.full = false
		for _, p := range w.planners {
			if p != main {
				p.up = false
				for k := range w.edges {
					w.cut(p, k)
				}
			}
		}
		advance(12 * time.Second)
		if main.Phase() != Holding {
			t.Fatalf("the one planner left is %v: %s", main.Phase(), main.Why(w.clock(main)))
		}
		for i, e := range w.edges {
			if e.v.Generation() != main.Generation() || e.v.Digest() != main.Digest() {
				t.Fatalf("edge %d holds generation %d, the planner %d: %v", i, e.v.Generation(), main.Generation(), Difference(main.Items(), e.v.Items(), fmt.Sprint("e", i)))
			}
		}
	})
}

// A hundred edges that return together: at most AtOnce views are on their way, each edge is served, in the order of their coming.
func TestServedInTurn(t *testing.T) {
	d := &disk{items: map[snapshot.Key]*pb.Item{}}
	r := rules
	r.Edges, r.AtOnce = 100, 4
	s, err := New("a", 1, nil, 0, nil, r, d, func(string) {}, 0)
	if err != nil {
		t.Fatal(err)
	}
	now := time.Duration(0)
	come := map[string]time.Duration{}
	for i := range 100 {
		name := fmt.Sprintf("e%02d", i)
		s.Hello(name, "", nil, 0, 0, false, false, now)
		come[name] = now
	}
	var order []string
	sending := map[string]time.Duration{}
	for len(order) < 100 {
		now += time.Millisecond
		if now > 10*time.Second {
			t.Fatalf("only %d served", len(order))
		}
		for name, until := range sending {
			if now >= until {
				s.Sent(name, now)
				delete(sending, name)
			}
		}
		for i := range 100 {
			name := fmt.Sprintf("e%02d", i)
			if at, ok := come[name]; !ok || now < at {
				continue
			}
			if ok, after := s.Admit(name, now); ok {
				order, sending[name] = append(order, name), now+10*time.Millisecond
				delete(come, name)
			} else if after <= 0 {
				t.Fatal("no advice")
			} else {
				come[name] = now + after
			}
		}
		if len(sending) > 4 {
			t.Fatalf("%d at once", len(sending))
		}
	}
	if !slices.IsSorted(order[:8]) || now > time.Second {
		t.Errorf("%v, all served after %v", order[:8], now)
	}
}

// A drain that the list denies stays; a later start lifts it. A full disk: nothing is half done.
func TestDrainsAndFullDisk(t *testing.T) {
	d := &disk{items: map[snapshot.Key]*pb.Item{}}
	r := rules
	r.Edges = 1
	s, _ := New("a", 1, nil, 0, nil, r, d, func(string) {}, 0)
	now := time.Duration(0)
	hold := func() {
		s.Hello("e", "", s.Tenure(), s.Generation(), s.Digest(), false, false, now)
		s.Report("e", nil, true, now)
		for range 40 {
			now += 100 * time.Millisecond
			s.Ack("e", s.Tenure(), s.Generation(), s.Beat(now), now)
		}
		if s.Tick(now) != Holding {
			t.Fatal(s.Phase(), s.Why(now))
		}
	}
	hold()
	brick := func(serving bool, started, drained int64) *pb.Item {
		return &pb.Item{Kind: pb.Item_BRICK, Name: "b", Brick: &pb.PlanBrick{Serving: serving, Started: started, Drained: drained}}
	}
	s.Want(brick(true, 10, 0))
	if c, err := s.Write(now); len(c) != 1 || err != nil {
		t.Fatal(c, err)
	}
	s.Report("e", []*pb.Item{brick(false, 10, 10)}, true, now)
	s.Write(now)
	s.Want(brick(true, 10, 0)) // the list knows nothing of it
	s.Write(now)
	k := snapshot.Key{Kind: pb.Item_BRICK, Name: "b"}
	if b := s.Item(k).Brick; b.Serving || b.Drained != 10 {
		t.Errorf("%v", b)
	}
	s.Want(brick(true, 20, 0))
	s.Write(now)
	if b := s.Item(k).Brick; !b.Serving || b.Drained != 10 {
		t.Errorf("%v", b)
	}
	s.Want(&pb.Item{Kind: pb.Item_VOLUME, Name: "v", Volume: &pb.PlanVolume{}})
	s.Write(now)
	g := s.Generation()
	d.full = true
	if _, err := s.Place("e", "v", "o", "", now); err == nil || !strings.Contains(err.Error(), "write down") || s.Generation() != g || len(s.Items()) != 2 {
		t.Error(err, s.Generation(), g)
	}
	s.Want(brick(false, 20, 20))
	if c, err := s.Write(now); err == nil || len(c) > 0 || s.Generation() != g {
		t.Error(c, err)
	}
	d.full = false
	// The brick, and that nothing was placed: the place that could not be written down may have reached the disk.
	if c, err := s.Write(now); len(c) != 2 || c[0].Name != "b" || !c[1].Gone || c[1].Kind != pb.Item_PLACE || err != nil || d.generation != g+1 {
		t.Error(c, err)
	}
	if _, err := s.Place("e", "v", "o", "", now); err == nil || !strings.Contains(err.Error(), "no brick") {
		t.Error(err)
	}
	now += 2 * time.Second // nobody renews the lease
	s.Want(brick(true, 30, 0))
	if c, _ := s.Write(now); len(c) > 0 || s.Phase() != Waiting {
		t.Error(c, s.Phase())
	}
}

// A write that is told as failed may have reached the disk. What it wrote and was then taken back does not come back with the
// next start.
func TestFailedWriteIsUnknown(t *testing.T) {
	d := &disk{items: map[snapshot.Key]*pb.Item{}}
	r := rules
	r.Edges = 1
	s, _ := New("a", 1, nil, 0, nil, r, d, func(string) {}, 0)
	now := time.Duration(0)
	s.Hello("e", "", s.Tenure(), s.Generation(), s.Digest(), false, false, now)
	s.Report("e", nil, true, now)
	for range 40 {
		now += 100 * time.Millisecond
		s.Ack("e", s.Tenure(), s.Generation(), s.Beat(now), now)
	}
	volume := func(name string, gone bool) *pb.Item {
		return &pb.Item{Kind: pb.Item_VOLUME, Name: name, Gone: gone, Volume: &pb.PlanVolume{}}
	}
	s.Want(volume("kept", false))
	if c, err := s.Write(now); len(c) != 1 || err != nil {
		t.Fatal(c, err)
	}
	d.landed = true
	s.Want(volume("kept", true))
	s.Want(volume("new", false))
	if _, err := s.Write(now); err == nil {
		t.Fatal("wanted a failed write")
	}
	d.landed = false
	s.Want(volume("kept", false))
	s.Want(volume("new", true))
	if _, err := s.Write(now); err != nil {
		t.Fatal(err)
	}
	for name, gone := range map[string]bool{"kept": false, "new": true} {
		if x := d.items[snapshot.Key{Kind: pb.Item_VOLUME, Name: name}]; x == nil || x.Gone != gone {
			t.Errorf("%s on disk: %v", name, x)
		}
	}
	if len(s.unsure) > 0 {
		t.Errorf("%v unsure after a write that succeeded", s.unsure)
	}
}
