// Package statemachine is the planner's decisions: what it may write and when, what it must learn back before it does, who is served a
// view next, where new objects go. It has no I/O, clock or goroutine: time comes in by calls, what must be written down goes out
// through Keeper and counts only once that came back.
//
// Tenure. Each start takes a term above all terms known, and writes it down. An edge follows the highest tenure it has seen, and
// acknowledges beats of that one only. The planner holds the lease while more than half of the edges have acknowledged a beat
// sent within the lease's time; it writes only then, and after its first majority it waits a lease and a quarter before, so that
// whoever held the lease before has lost it, be one clock a fifth faster.
//
// Recovery. What the disk gives may be old, or nothing. Before anything new is written, edges say what they hold: until more than
// half of the edges have, or, once Recover has passed, all that are there. Of each thing the later generation wins, drains
// add up, and generations go on above all that were heard of.
package statemachine

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"weirhaven/internal/controlplane/snapshot"
	"weirhaven/internal/pb"
)

// Keeper writes down. What it fails to write did not happen.
type Keeper interface {
	Keep(tenure *pb.Tenure, generation uint64, changed []*pb.Item) error
}

// Rules are the figures.
type Rules struct {
	Edges      int           // that there are at least; more count once they came
	Lease      time.Duration // since a beat was sent
	Recover    time.Duration
	AtOnce     int // views sent at once
	Tombstones int // gone items that are remembered, so that changes can be told
	Items      int
}

// Phase of the planner.
type Phase int

const (
	Recovering Phase = iota
	Waiting          // it has, or had, no majority, or an older lease may still be held
	Holding
	Outranked // another planner of a higher tenure is followed
)

func (p Phase) String() string {
	return [...]string{"recovering", "without the lease", "holding the lease", "outranked"}[p]
}

type edge struct {
	name, address string
	connected     bool
	reported      bool
	tenure        *pb.Tenure
	generation    uint64        // acknowledged
	beat          time.Duration // when the latest beat that it acknowledged was sent; 0: none
	heard         time.Duration
	sending       bool // a view is on its way
	since         time.Duration
	queued        int // its turn among those that wait; 0: none
}

// State is a planner's.
type State struct {
	rules      Rules
	keep       Keeper
	log        func(string)
	tenure     *pb.Tenure
	generation uint64
	floor      uint64 // changes since before it can't be told any more
	items      map[snapshot.Key]*pb.Item
	wanted     map[snapshot.Key]*pb.Item // as it should be; written when the lease is held
	unsure     map[snapshot.Key]bool     // of a write that failed: the disk may hold these as they were before it or after
	gone       []snapshot.Key
	edges      map[string]*edge
	started    time.Duration
	recovered  bool
	majority   time.Duration // since when there has been one without a break; 0: none
	outranked  time.Duration // when an edge last said that it follows a higher one; 0: never
	beats      map[uint64]time.Duration
	beat       uint64
	turn       int
	took       time.Duration // a view's sending, in the mean
	phase      Phase
	placed     map[uint32]int // by cell
	digest     uint64
	summed     bool
}

// New takes what the disk gave; tenure nil: nothing. life is drawn anew at each start: two starts without a disk, or two planners
// given one name, would else share a tenure.
func New(name string, life uint64, tenure *pb.Tenure, generation uint64, saved []*pb.Item, r Rules, k Keeper, log func(string), now time.Duration) (*State, error) {
	s := &State{rules: r, keep: k, log: log, generation: generation, floor: generation, items: map[snapshot.Key]*pb.Item{}, wanted: map[snapshot.Key]*pb.Item{}, unsure: map[snapshot.Key]bool{},
		edges: map[string]*edge{}, started: now, beats: map[uint64]time.Duration{}, placed: map[uint32]int{}, took: 20 * time.Millisecond}
	for _, x := range saved {
		s.hold(x)
	}
	s.tenure = &pb.Tenure{Term: tenure.GetTerm() + 1, Planner: fmt.Sprintf("%s#%016x", name, life)}
	if err := k.Keep(s.tenure, s.generation, nil); err != nil {
		return nil, fmt.Errorf("write down term %d: %w", s.tenure.Term, err)
	}
	return s, nil
}

func (s *State) hold(x *pb.Item) {
	k := snapshot.KeyOf(x)
	if old := s.items[k]; k.Kind == pb.Item_PLACE {
		if old != nil && !old.Gone {
			s.placed[old.Place.GetCell()]--
		}
		if !x.Gone {
			s.placed[x.Place.GetCell()]++
		}
	}
	if x.Gone && (s.items[k] == nil || !s.items[k].Gone) {
		s.gone = append(s.gone, k)
	}
	s.items[k], s.summed = x, false
	s.generation = max(s.generation, x.Generation)
}

// Tenure, Generation, Phase, Items tell what it is.
func (s *State) Tenure() *pb.Tenure           { return s.tenure }
func (s *State) Generation() uint64           { return s.generation }
func (s *State) Phase() Phase                 { return s.phase }
func (s *State) Items() []*pb.Item            { return snapshot.Sorted(s.items) }
func (s *State) Item(k snapshot.Key) *pb.Item { return s.items[k] }

// Hello is an edge that came. ask: it must say what it holds first. The error is for the operator's eyes; the edge is told to
// come back.
func (s *State) Hello(name, address string, tenure *pb.Tenure, generation, digest uint64, following, whole bool, now time.Duration) (ask bool, err error) {
	e := s.edges[name]
	if e == nil {
		if len(s.edges) >= 1<<16 {
			return false, fmt.Errorf("more than %d edges", 1<<16)
		}
		e = &edge{name: name, tenure: &pb.Tenure{}}
		s.edges[name] = e
	}
	e.address, e.connected, e.heard, e.sending, e.queued = address, true, now, false, 0
	if snapshot.Compare(tenure, s.tenure) > 0 {
		if following {
			s.outranked = now
			s.settle(now)
			return false, fmt.Errorf("edge %s follows planner %q of term %d: this one, of term %d, stands back", name, tenure.GetPlanner(), tenure.GetTerm(), s.tenure.Term)
		}
		// An older copy of the disk, or a planner that is gone: its terms are not used again.
		if err := s.raise(tenure.GetTerm()+1, now); err != nil {
			return false, err
		}
	}
	// What it holds may be news: of another planner's, or of a disk since lost.
	if generation > s.generation {
		s.generation, s.floor = generation, generation
		s.log(fmt.Sprintf("edge %s holds generation %d, later than any known here", name, generation))
		e.reported = false
	}
	if whole || generation == s.generation && digest != s.Digest() || tenure.GetTerm() > 0 && !s.kin(tenure) {
		e.reported = false
	}
	ask = !e.reported
	s.settle(now)
	return ask, nil
}

func (s *State) raise(term uint64, now time.Duration) error {
	t := &pb.Tenure{Term: term, Planner: s.tenure.Planner}
	if err := s.keep.Keep(t, s.generation, nil); err != nil {
		return fmt.Errorf("write down term %d: %w", term, err)
	}
	s.log(fmt.Sprintf("term raised from %d to %d: an edge knew of a higher one", s.tenure.Term, term))
	s.tenure, s.majority = t, 0
	for _, e := range s.edges {
		e.beat = 0
	}
	s.beats = map[uint64]time.Duration{}
	return nil
}

// Gone tells that an edge's stream ended.
func (s *State) Gone(name string, now time.Duration) {
	if e := s.edges[name]; e != nil {
		e.connected, e.sending, e.queued = false, false, 0
		s.settle(now)
	}
}

// Report takes what an edge holds. What is later than what is known here is learnt; drains add up.
func (s *State) Report(name string, items []*pb.Item, last bool, now time.Duration) error {
	e := s.edges[name]
	if e == nil {
		return fmt.Errorf("a report of %q, which never came", name)
	}
	var learnt []*pb.Item
	for _, x := range items {
		k := snapshot.KeyOf(x)
		own := s.items[k]
		if len(s.items) >= s.rules.Items && own == nil {
			return fmt.Errorf("edge %s reports more than %d things", name, s.rules.Items)
		}
		y := x
		if own != nil && !snapshot.Later(x, own) {
			y = own
		}
		if k.Kind == pb.Item_BRICK {
			if d := snapshot.Drain(own.GetBrick().GetDrained(), x.GetBrick().GetDrained()); d != y.GetBrick().GetDrained() {
				y = proto.Clone(y).(*pb.Item)
				if y.Brick == nil {
					y.Brick = &pb.PlanBrick{}
				}
				y.Brick.Drained = d
				y.Brick.Serving = y.Brick.Serving && !snapshot.Drained(y.Brick)
				if s.recovered { // all the others must hear of it: it is news
					if w := s.wanted[k]; w != nil {
						if w.Brick == nil {
							w.Brick = &pb.PlanBrick{}
						}
						w.Brick.Drained = snapshot.Drain(w.Brick.Drained, d)
						w.Brick.Serving = w.Brick.Serving && !snapshot.Drained(w.Brick)
					} else {
						s.wanted[k] = y
					}
					continue
				}
			}
		}
		if y != own {
			learnt = append(learnt, y)
		}
	}
	if len(learnt) > 0 {
		if err := s.keepItems(s.generation, learnt); err != nil {
			return fmt.Errorf("write down what edge %s told: %w", name, err)
		}
		for _, x := range learnt {
			s.hold(x)
		}
		s.floor = s.generation // others may lack what was learnt out of turn: they get the whole
		s.log(fmt.Sprintf("learnt %d things from edge %s", len(learnt), name))
	}
	if last {
		e.reported = true
	}
	s.settle(now)
	return nil
}

// Beat is a new one to be sent to all edges.
func (s *State) Beat(now time.Duration) uint64 {
	s.beat++
	s.beats[s.beat] = now
	for b, at := range s.beats {
		if now-at > 4*s.rules.Lease {
			delete(s.beats, b)
		}
	}
	s.settle(now)
	return s.beat
}

// Ack is an edge's: it follows this tenure, holds all up to a generation, and heard a beat.
func (s *State) Ack(name string, tenure *pb.Tenure, generation, beat uint64, now time.Duration) {
	e := s.edges[name]
	if e == nil {
		return
	}
	e.heard = now
	if snapshot.Compare(tenure, s.tenure) != 0 {
		if snapshot.Compare(tenure, s.tenure) > 0 {
			s.outranked = now
		}
		s.settle(now)
		return
	}
	e.tenure = proto.Clone(tenure).(*pb.Tenure)
	if at, ok := s.beats[beat]; ok {
		e.beat = max(e.beat, at)
	}
	if generation >= e.generation {
		e.generation = generation
	}
	s.settle(now)
}

// Majority is how many edges must agree.
func (s *State) Majority() int { return max(s.rules.Edges, len(s.edges))/2 + 1 }

// settle moves the phase, by what is known now.
func (s *State) settle(now time.Duration) {
	if !s.recovered {
		reported, open := 0, 0
		for _, e := range s.edges {
			if e.reported {
				reported++
			} else if e.connected {
				open++
			}
		}
		if reported >= s.Majority() || reported > 0 && open == 0 && now-s.started >= s.rules.Recover {
			s.recovered = true
			s.log(fmt.Sprintf("recovered: %d edges told what they hold, generation %d, %d things", reported, s.generation, len(s.items)))
		}
	}
	fresh := 0
	for _, e := range s.edges {
		if e.beat > 0 && now-e.beat < s.rules.Lease {
			fresh++
		}
	}
	switch {
	case fresh < s.Majority():
		s.majority = 0
	case s.majority == 0:
		s.majority = now
	}
	was := s.phase
	switch {
	case s.outranked > 0 && now-s.outranked < 3*s.rules.Lease:
		s.phase, s.majority = Outranked, 0
	case !s.recovered:
		s.phase = Recovering
	case s.majority == 0 || was != Holding && now-s.majority < s.rules.Lease*5/4:
		s.phase = Waiting
	default:
		s.phase = Holding
	}
	if s.phase != was {
		s.log(fmt.Sprintf("%s, was %s: term %d, generation %d, %d of %d edges renewed the lease", s.phase, was, s.tenure.Term, s.generation, fresh,
			max(s.rules.Edges, len(s.edges))))
	}
}

// Tick lets time pass; it tells the phase.
func (s *State) Tick(now time.Duration) Phase {
	s.settle(now)
	return s.phase
}

// Want says how a thing should be; it is written once it may be. A brick's drain is never unwanted.
func (s *State) Want(x *pb.Item) {
	k := snapshot.KeyOf(x)
	x = proto.Clone(x).(*pb.Item)
	if own := s.items[k]; k.Kind == pb.Item_BRICK {
		d := own.GetBrick().GetDrained()
		if w := s.wanted[k]; w != nil {
			d = snapshot.Drain(d, w.GetBrick().GetDrained())
		}
		if d != 0 {
			if x.Brick == nil {
				x.Brick = &pb.PlanBrick{}
			}
			x.Brick.Drained = snapshot.Drain(d, x.Brick.Drained)
			x.Brick.Serving = x.Brick.Serving && !snapshot.Drained(x.Brick)
		}
	}
	s.wanted[k] = x
}

// Write writes what is wanted and differs, as one generation; it tells whether anything changed. It writes only while the lease is held.
func (s *State) Write(now time.Duration) (changed []*pb.Item, err error) {
	if s.Tick(now); s.phase != Holding {
		return nil, nil
	}
	s.wantUnsure()
	for k, w := range s.wanted {
		own := s.items[k]
		if own == nil && w.Gone && !s.unsure[k] {
			delete(s.wanted, k)
			continue
		}
		y := proto.Clone(w).(*pb.Item)
		if k.Kind == pb.Item_BRICK && own != nil { // drains that were learnt since it was wanted
			if d := snapshot.Drain(own.GetBrick().GetDrained(), y.GetBrick().GetDrained()); d != y.GetBrick().GetDrained() {
				if y.Brick == nil {
					y.Brick = &pb.PlanBrick{}
				}
				y.Brick.Drained = d
				y.Brick.Serving = y.Brick.Serving && !snapshot.Drained(y.Brick)
			}
		}
		if own != nil {
			y.Generation, y.Term = own.Generation, own.Term
			if proto.Equal(own, y) && !s.unsure[k] {
				delete(s.wanted, k)
				continue
			}
		}
		changed = append(changed, y)
	}
	if len(changed) == 0 {
		return nil, nil
	}
	slices.SortFunc(changed, func(a, b *pb.Item) int { return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name)) })
	for _, y := range changed {
		y.Generation, y.Term = s.generation+1, s.tenure.Term
	}
	if err := s.keepItems(s.generation+1, changed); err != nil {
		return nil, fmt.Errorf("write generation %d: %w", s.generation+1, err)
	}
	s.generation++
	for _, y := range changed {
		s.hold(y)
		delete(s.wanted, snapshot.KeyOf(y))
	}
	s.Forget(s.rules.Tombstones)
	return changed, nil
}

// keepItems writes items down. After a failure the disk may hold them as they were before or after it, so they stay unsure until
// they are written again.
func (s *State) keepItems(generation uint64, items []*pb.Item) error {
	err := s.keep.Keep(s.tenure, generation, items)
	for _, x := range items {
		if err != nil {
			s.unsure[snapshot.KeyOf(x)] = true
		} else {
			delete(s.unsure, snapshot.KeyOf(x))
		}
	}
	return err
}

// wantUnsure lets the next write settle what a failed one left unsure: as it is held here, or gone.
func (s *State) wantUnsure() {
	for k := range s.unsure {
		if s.wanted[k] != nil {
			continue
		}
		if own := s.items[k]; own != nil {
			s.wanted[k] = proto.Clone(own).(*pb.Item)
		} else {
			s.wanted[k] = &pb.Item{Kind: k.Kind, Name: k.Name, Gone: true}
		}
	}
}

// Forget drops the oldest tombstones beyond so many; edges older than these get the whole. Of a brick that was drained the
// drain stays.
func (s *State) Forget(most int) {
	for i := 0; len(s.gone) > most && i < len(s.gone); {
		k := s.gone[i]
		x := s.items[k]
		if x == nil || !x.Gone {
			s.gone = slices.Delete(s.gone, i, i+1)
			continue
		}
		if x.GetBrick().GetDrained() != 0 {
			i++
			continue
		}
		s.floor = max(s.floor, x.Generation)
		delete(s.items, k)
		s.summed = false
		s.gone = slices.Delete(s.gone, i, i+1)
	}
}

// Place chooses the cell of a new object or extent: of those where its volume may lie, on bricks that serve, the one with the
// fewest for its bricks; in another zone than butZone if there is one. Asked again for the same name, the same cell is given,
// unless none of its bricks serves any more and it was never used (the caller then asks with another name).
func (s *State) Place(edgeName, volume, name, butZone string, now time.Duration) (*pb.Item, error) {
	k := snapshot.Key{Kind: pb.Item_PLACE, Name: volume + "/" + name}
	if own := s.items[k]; own != nil && !own.Gone {
		return own, nil
	}
	if s.Tick(now); s.phase != Holding {
		return nil, fmt.Errorf("no place is given: the planner is %s", s.phase)
	}
	v := s.items[snapshot.Key{Kind: pb.Item_VOLUME, Name: volume}]
	if v == nil || v.Gone {
		return nil, fmt.Errorf("no volume %q", volume)
	}
	if len(s.items) >= s.rules.Items {
		return nil, fmt.Errorf("no place is given: %d things are held, as many as allowed", s.rules.Items)
	}
	bricks := map[uint32]int{}
	other := map[uint32]bool{}
	for key, x := range s.items {
		b := x.GetBrick()
		if key.Kind != pb.Item_BRICK || x.Gone || !b.GetServing() || snapshot.Drained(b) || b.GetCell() < 0 {
			continue
		}
		if cells := v.GetVolume().GetCell(); len(cells) > 0 && !slices.Contains(cells, uint32(b.Cell)) {
			continue
		}
		bricks[uint32(b.Cell)]++
		other[uint32(b.Cell)] = other[uint32(b.Cell)] || butZone == "" || b.Zone != butZone
	}
	best, found := uint32(0), false
	better := func(a, b uint32) bool {
		if other[a] != other[b] {
			return other[a]
		}
		x, y := s.placed[a]*bricks[b], s.placed[b]*bricks[a]
		return x < y || x == y && a < b
	}
	for c := range bricks {
		if !found || better(c, best) {
			best, found = c, true
		}
	}
	if !found {
		return nil, fmt.Errorf("volume %q: no brick that serves where it may lie", volume)
	}
	x := &pb.Item{Kind: k.Kind, Name: k.Name, Generation: s.generation + 1, Term: s.tenure.Term, Place: &pb.PlanPlace{Volume: volume, Cell: best, Edge: edgeName}}
	if err := s.keepItems(s.generation+1, []*pb.Item{x}); err != nil {
		return nil, fmt.Errorf("write down the place: %w", err)
	}
	s.generation++
	s.hold(x)
	return x, nil
}

// Admit tells whether a view may be sent to an edge now; else when it should come back. Those that wait are served in turn.
func (s *State) Admit(name string, now time.Duration) (ok bool, after time.Duration) {
	e := s.edges[name]
	if e == nil {
		return false, s.rules.Lease
	}
	sending, ahead := 0, 0
	for _, x := range s.edges {
		if x.sending {
			sending++
		}
		if x != e && x.queued > 0 && (e.queued == 0 || x.queued < e.queued) && x.connected {
			ahead++
		}
	}
	if e.sending || sending+ahead < s.rules.AtOnce {
		if !e.sending {
			e.sending, e.since, e.queued = true, now, 0
		}
		return true, 0
	}
	if e.queued == 0 {
		s.turn++
		e.queued = s.turn
	}
	// As long as those ahead will take, by what views took so far.
	rounds := (ahead + s.rules.AtOnce) / s.rules.AtOnce
	return false, max(time.Duration(rounds)*s.took, 5*time.Millisecond)
}

// Sent tells that an edge has its view.
func (s *State) Sent(name string, now time.Duration) {
	if e := s.edges[name]; e != nil && e.sending {
		e.sending = false
		s.took += (now - e.since - s.took) / 8
	}
}

// View is what an edge that stands at a generation of this planner's lineage is to be sent: nothing, changes, or the whole.
// whole: it asked for the whole; that waits until it has said what it holds, since what doesn't fit may be news.
func (s *State) View(name string, tenure *pb.Tenure, generation, digest uint64, whole bool) (p *pb.ViewPart, send bool) {
	if e := s.edges[name]; whole && e != nil && !e.reported {
		return nil, false
	}
	same := s.kin(tenure) // if its history was another one all the same, the digest tells
	if same && !whole && generation == s.generation && digest == s.Digest() {
		return nil, false
	}
	p = &pb.ViewPart{From: generation, To: s.generation, Digest: s.Digest(), Last: true}
	p.Whole = whole || !same || generation < s.floor || generation > s.generation || generation == s.generation
	if p.Whole {
		p.From = 0
	}
	for k, x := range s.items {
		if !p.Whole && x.Generation <= generation || k.Kind == pb.Item_PLACE && x.GetPlace().GetEdge() != name {
			continue
		}
		if p.Whole && x.Gone && x.GetBrick().GetDrained() == 0 {
			continue
		}
		p.Item = append(p.Item, x)
	}
	slices.SortFunc(p.Item, func(a, b *pb.Item) int { return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name)) })
	return p, true
}

// kin tells whether a tenure was of a planner of this name.
func (s *State) kin(t *pb.Tenure) bool {
	a, _, _ := strings.Cut(t.GetPlanner(), "#")
	b, _, _ := strings.Cut(s.tenure.Planner, "#")
	return a == b && t.GetTerm() <= s.tenure.Term
}

// Digest is that of the view an edge should hold.
func (s *State) Digest() uint64 {
	if !s.summed {
		s.digest, s.summed = snapshot.Digest(s.items), true
	}
	return s.digest
}

// Edges tells of all edges, by name.
func (s *State) Edges(now time.Duration) (all []*pb.EdgeStatus) {
	for _, e := range s.edges {
		all = append(all, &pb.EdgeStatus{Name: e.name, Address: e.address, Connected: e.connected, Generation: e.generation, Heard: int64(now - e.heard),
			Term: e.tenure.GetTerm()})
	}
	slices.SortFunc(all, func(a, b *pb.EdgeStatus) int { return cmp.Compare(a.Name, b.Name) })
	return all
}

// BeatNow is the latest beat.
func (s *State) BeatNow() uint64 { return s.beat }

// Why tells what keeps it from writing; empty: nothing does.
func (s *State) Why(now time.Duration) string {
	fresh, reported := 0, 0
	for _, e := range s.edges {
		if e.beat > 0 && now-e.beat < s.rules.Lease {
			fresh++
		}
		if e.reported {
			reported++
		}
	}
	switch s.phase {
	case Recovering:
		return fmt.Sprintf("%d of %d edges told what they hold", reported, s.Majority())
	case Outranked:
		return fmt.Sprintf("an edge followed a higher term %v ago", (now - s.outranked).Round(time.Millisecond))
	case Waiting:
		if fresh < s.Majority() {
			return fmt.Sprintf("%d edges renewed the lease, %d are needed", fresh, s.Majority())
		}
		return fmt.Sprintf("an older lease may be held for %v yet", (s.rules.Lease*5/4 - (now - s.majority)).Round(time.Millisecond))
	}
	return ""
}

// Difference spells how what an edge holds differs from the view.
func Difference(items, held []*pb.Item, edgeName string) (all []string) {
	own, theirs := map[snapshot.Key]*pb.Item{}, map[snapshot.Key]*pb.Item{}
	for _, x := range items {
		if x.Kind != pb.Item_PLACE || x.GetPlace().GetEdge() == edgeName {
			own[snapshot.KeyOf(x)] = x
		}
	}
	for _, x := range held {
		theirs[snapshot.KeyOf(x)] = x
	}
	keys := map[snapshot.Key]bool{}
	for k := range own {
		keys[k] = true
	}
	for k := range theirs {
		keys[k] = true
	}
	for k := range keys {
		a, b := own[k], theirs[k]
		name := fmt.Sprintf("%s %s", k.Kind, k.Name)
		switch {
		case b == nil && !a.Gone:
			all = append(all, name+": the edge does not hold it")
		case a == nil && !b.Gone:
			all = append(all, name+": the planner does not know it")
		case a == nil || b == nil:
		case a.Gone != b.Gone:
			all = append(all, fmt.Sprintf("%s: gone is %v at the planner, %v at the edge", name, a.Gone, b.Gone))
		case a.Generation != b.Generation || a.Term != b.Term:
			all = append(all, fmt.Sprintf("%s: generation %d of term %d at the planner, %d of term %d at the edge", name, a.Generation, a.Term, b.Generation, b.Term))
		case a.GetBrick().GetDrained() != b.GetBrick().GetDrained():
			all = append(all, fmt.Sprintf("%s: drained %d at the planner, %d at the edge", name, a.GetBrick().GetDrained(), b.GetBrick().GetDrained()))
		}
	}
	slices.Sort(all)
	return all
}
