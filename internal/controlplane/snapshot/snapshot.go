// Package snapshot is what an edge holds of what the planner decided, and which words of which planner it takes. It has no I/O, clock or
// goroutine.
//
// Rules. (1) The highest tenure seen is followed; a lower one is refused, whatever it says. A higher one is written down before it is
// answered. (2) The view's generation never falls. (3) An item is replaced by a later generation of it only. (4) A drain learnt of a
// brick's life stays learnt, whatever an item says; a later start lifts it. (5) Nothing of a part is taken before its last part is
// there; half a stream changes nothing. (6) Changes that begin beyond what is held are not taken: the edge asks again from where
// it was.
package snapshot

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"weirhaven/internal/pb"
)

// Key names an item.
type Key struct {
	Kind pb.Item_Kind
	Name string
}

// KeyOf is an item's.
func KeyOf(x *pb.Item) Key { return Key{x.Kind, x.Name} }

// Compare orders tenures: by term, then by planner.
func Compare(a, b *pb.Tenure) int {
	return cmp.Or(cmp.Compare(a.GetTerm(), b.GetTerm()), cmp.Compare(a.GetPlanner(), b.GetPlanner()))
}

// Later tells whether item a outweighs b: by generation, then by term.
func Later(a, b *pb.Item) bool {
	return a.Generation > b.Generation || a.Generation == b.Generation && a.Term > b.Term
}

// Drain is the union of two drains of a brick.
func Drain(a, b int64) int64 {
	if a == -1 || b == -1 {
		return -1
	}
	return max(a, b)
}

// Digest of items; places are left out, since each edge holds its own only.
func Digest(items map[Key]*pb.Item) (sum uint64) {
	for k, x := range items {
		if k.Kind != pb.Item_PLACE && !x.Gone {
			sum ^= xxhash.Sum64String(fmt.Sprint(int(k.Kind), " ", k.Name, " ", x.Generation, " ", x.Term))
		}
	}
	return sum
}

// Sorted are items in an order of their own.
func Sorted(items map[Key]*pb.Item) []*pb.Item {
	all := make([]*pb.Item, 0, len(items))
	for _, x := range items {
		all = append(all, x)
	}
	slices.SortFunc(all, func(a, b *pb.Item) int { return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name)) })
	return all
}

// View is an edge's.
type View struct {
	tenure     *pb.Tenure
	generation uint64
	items      map[Key]*pb.Item
	most       int // items
	parts      []*pb.Item
	from, to   uint64
	whole      bool
	open       bool // parts came, the last did not
}

// New is empty, or what was saved. most bounds its items.
func New(tenure *pb.Tenure, generation uint64, items []*pb.Item, most int) *View {
	v := &View{tenure: &pb.Tenure{}, generation: generation, items: map[Key]*pb.Item{}, most: most}
	if tenure != nil {
		v.tenure = tenure
	}
	for _, x := range items {
		v.items[KeyOf(x)] = x
	}
	return v
}

// Tenure, Generation, Digest and Items are what it holds.
func (v *View) Tenure() *pb.Tenure    { return v.tenure }
func (v *View) Generation() uint64    { return v.generation }
func (v *View) Digest() uint64        { return Digest(v.items) }
func (v *View) Items() []*pb.Item     { return Sorted(v.items) }
func (v *View) Get(k Key) *pb.Item    { return v.items[k] }
func (v *View) Map() map[Key]*pb.Item { return v.items }

// Offered takes a planner's tenure. raised: it is higher than any seen, and must be written down before anything is answered.
func (v *View) Offered(t *pb.Tenure) (raised bool, err error) {
	if t.GetTerm() == 0 {
		return false, fmt.Errorf("a planner without a tenure")
	}
	switch c := Compare(t, v.tenure); {
	case c < 0:
		return false, fmt.Errorf("planner %q of term %d is refused: %q of term %d was followed", t.Planner, t.Term, v.tenure.Planner, v.tenure.Term)
	case c > 0:
		v.tenure = proto.Clone(t).(*pb.Tenure)
		v.drop()
		return true, nil
	}
	return false, nil
}

// drop forgets parts whose last did not come.
func (v *View) drop() { v.parts, v.open = nil, false }

// Cut tells that the stream ended.
func (v *View) Cut() { v.drop() }

// Taken is what a part came to.
type Taken struct {
	Changed []*pb.Item // what is new, with what is gone
	Last    bool       // the part was the last; the view stands at its generation
	Whole   bool       // the edge must ask for the whole: what it holds and what it is told don't fit together
}

// Part takes a part of a view or of changes, of the tenure followed.
func (v *View) Part(t *pb.Tenure, p *pb.ViewPart) (Taken, error) {
	if Compare(t, v.tenure) != 0 {
		return Taken{}, fmt.Errorf("a view of planner %q, term %d is refused: %q of term %d is followed", t.GetPlanner(), t.GetTerm(), v.tenure.Planner, v.tenure.Term)
	}
	if !v.open {
		v.from, v.to, v.whole, v.open, v.parts = p.From, p.To, p.Whole, true, nil
	}
	switch {
	case p.From != v.from || p.To != v.to || p.Whole != v.whole:
		v.drop()
		return Taken{}, fmt.Errorf("parts of two views are mixed: to generation %d and to %d", v.to, p.To)
	case p.To < v.generation:
		v.drop()
		return Taken{}, fmt.Errorf("a view of generation %d is refused: %d is held", p.To, v.generation)
	case !p.Whole && p.From > v.generation:
		v.drop()
		return Taken{Whole: true}, nil
	case len(v.parts)+len(p.Item) > 2*v.most:
		v.drop()
		return Taken{}, fmt.Errorf("a view of more than %d items", v.most)
	}
	v.parts = append(v.parts, p.Item...)
	if !p.Last {
		return Taken{}, nil
	}
	all := v.parts
	v.drop()
	next := map[Key]*pb.Item{}
	if !p.Whole {
		for k, x := range v.items {
			next[k] = x
		}
	}
	for _, x := range all {
		k := KeyOf(x)
		if old := v.items[k]; old != nil && Later(old, x) {
			x = old
		}
		next[k] = v.keepDrain(k, x)
	}
	var changed []*pb.Item
	for k, old := range v.items { // what a whole view does not name is gone, but not what was drained
		if next[k] != nil || k.Kind == pb.Item_PLACE && !p.Whole {
			continue
		}
		x := &pb.Item{Kind: k.Kind, Name: k.Name, Generation: p.To, Term: t.Term, Gone: true}
		if k.Kind == pb.Item_BRICK && old.GetBrick().GetDrained() != 0 {
			x.Brick = old.Brick
		}
		if !old.Gone {
			changed = append(changed, x)
		}
		if x.Brick != nil {
			next[k] = x
		}
	}
	if p.Digest != 0 && Digest(next) != p.Digest {
		if p.Whole {
			return Taken{}, fmt.Errorf("the whole view of generation %d does not add up", p.To)
		}
		return Taken{Whole: true}, nil
	}
	if len(next) > v.most {
		return Taken{}, fmt.Errorf("a view of %d items; %d are allowed", len(next), v.most)
	}
	for k, x := range next {
		if old := v.items[k]; old == nil || old != x && !proto.Equal(old, x) {
			changed = append(changed, x)
		}
	}
	slices.SortFunc(changed, func(a, b *pb.Item) int { return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name)) })
	v.items, v.generation = next, p.To
	return Taken{Changed: changed, Last: true}, nil
}

// keepDrain lets no item lift a drain that is learnt.
func (v *View) keepDrain(k Key, x *pb.Item) *pb.Item {
	old := v.items[k]
	if k.Kind != pb.Item_BRICK || old.GetBrick().GetDrained() == 0 {
		return x
	}
	d := Drain(old.Brick.Drained, x.GetBrick().GetDrained())
	if x.GetBrick().GetDrained() == d {
		return x
	}
	y := proto.Clone(x).(*pb.Item)
	if y.Brick == nil {
		y.Brick = proto.Clone(old.Brick).(*pb.PlanBrick)
	}
	y.Brick.Drained = d
	y.Brick.Serving = y.Brick.Serving && !Drained(y.Brick)
	return y
}

// Drained tells whether a brick's present life was told to drain.
func Drained(b *pb.PlanBrick) bool {
	return b.GetDrained() == -1 || b.GetDrained() != 0 && b.GetStarted() <= b.GetDrained()
}

// Drains learnt by the edge itself, from a brick or another edge: they stay. changed tells whether it was new.
func (v *View) Learn(name string, drained int64) (changed bool) {
	k := Key{pb.Item_BRICK, name}
	old := v.items[k]
	if old == nil {
		old = &pb.Item{Kind: k.Kind, Name: name, Brick: &pb.PlanBrick{}}
	}
	d := Drain(old.GetBrick().GetDrained(), drained)
	if d == old.GetBrick().GetDrained() {
		return false
	}
	x := proto.Clone(old).(*pb.Item)
	if x.Brick == nil {
		x.Brick = &pb.PlanBrick{}
	}
	x.Brick.Drained = d
	x.Brick.Serving = x.Brick.Serving && !Drained(x.Brick)
	v.items[k] = x
	return true
}

// Given keeps a place that the planner gave to this edge, ahead of the view in which it comes: a planner that lost its disk right
// after must learn of it.
func (v *View) Given(x *pb.Item) {
	if old := v.items[KeyOf(x)]; old == nil || Later(x, old) {
		v.items[KeyOf(x)] = x
	}
}

// Evidence is a planner's word on a brick that is no part of the view, with what is known of its drains.
func (v *View) Evidence(x *pb.Item) *pb.Item { return v.keepDrain(KeyOf(x), x) }
