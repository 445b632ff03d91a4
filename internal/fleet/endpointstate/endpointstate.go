// Package endpointstate holds what a host believes of the fleet's bricks, and decides what of it the module is told. It has
// no I/O, clock or goroutine: evidence comes in by calls that say when, changes go out through Module.
//
// The rules, in the order in which they win:
//
//  1. A drain wins. Whoever tells that a brick drains or is gone (a list, a peer, the brick itself, the saved state), the
//     brick is barred, until there is evidence of a start later than that. No age lifts it.
//  2. A brick's own word (its greeting) outweighs any line about it, except a drain.
//  3. A later line outweighs an earlier one. Of one list service a higher number is later; a number that does not rise is an old list,
//     whatever its clock reads, and changes nothing that is known. Of different sources the moment at which it was true decides.
//     What a whole list does not name is gone, until a later list names it again: no drain of a life, so no later start is wanted.
//  4. A whole list that drops more than half of the bricks that served is not believed to have taken them away, until a
//     second one of a higher number says the same. Until then they are doubted.
//  5. Trust falls with age: a line is trusted for Fresh, then doubted, and forgotten after Dead. What is doubted goes to the module as
//     just started, so that all hosts together can't push it over, until its own word is heard.
//  6. An address outside the networks named is refused, line by line.
package endpointstate

import (
	"cmp"
	"fmt"
	"net/netip"
	"slices"
	"time"

	"go4.org/netipx"
)

// Source is who told something.
type Source int

const (
	Settings Source = iota
	Saved
	Peer
	List
	SelfReported // the brick itself
)

func (s Source) String() string { return [...]string{"settings", "saved", "peer", "list", "itself"}[s] }

// Trust is what a belief is worth.
type Trust int

const (
	Doubted Trust = iota
	Trusted
	Barred
)

func (t Trust) String() string { return [...]string{"doubted", "trusted", "barred"}[t] }

// Line is what a source tells of one brick. Times are on the host's clock.
type Report struct {
	Name, Address, Zone string
	Shard               int
	Serving             bool // false: draining or gone
	Gone                bool
	Started             time.Duration // 0: not known, long ago
	ObservedAt          time.Duration // when it was true
}

// Belief is what is held of one brick.
type Belief struct {
	Report
	Source         Source
	Trust          Trust
	Reason         string
	DrainedUpTo    time.Duration // starts up to this were drained; 0: none. It stays when a later start serves
	DrainKnownAt   time.Duration // when the drain was told
	GreetedAt      time.Duration // when its own word was last heard
	OmittedByLists int           // whole lists in a row that did not name it
	absent         bool          // a whole list did not name it; a later one that does brings it back
	told           Report
	toldAt         bool
	boot           time.Duration // as the module was told
}

// Module is told of beliefs as they change.
type Sink interface {
	EndpointChanged(name, address, zone string, cell int, serving, gone bool, boot time.Duration)
}

// Rules are the figures of the rules above.
type Rules struct {
	Fresh, Expire time.Duration
	// Blur is how far apart two tellings of one start may lie.
	StartTolerance time.Duration
	// Recent is how old a brick's own word may be to spare it the ramp of one just started when others contradict it.
	GreetingValid time.Duration
	// Networks where bricks may be; nil: anywhere.
	Networks *netipx.IPSet
}

// Generation names one list: a service's life and the list's number in it.
type Generation struct {
	Epoch  string
	Number int64
}

// Fleet is what one host believes. It is not safe for concurrent use.
type Fleet struct {
	rules   Rules
	module  Sink
	log     func(string)
	bricks  map[string]*Belief
	last    Generation
	heard   bool // a list came since the start
	refused map[string]bool
}

// New believes nothing yet.
func New(r Rules, m Sink, log func(line string)) *Fleet {
	return &Fleet{rules: r, module: m, log: log, bricks: map[string]*Belief{}, refused: map[string]bool{}}
}

// Last is the latest list believed.
func (f *Fleet) LastGeneration() Generation { return f.last }

// Beliefs are all that is held, by name.
func (f *Fleet) Beliefs() []Belief {
	all := make([]Belief, 0, len(f.bricks))
	for _, b := range f.bricks {
		all = append(all, *b)
	}
	slices.SortFunc(all, func(a, b Belief) int { return cmp.Compare(a.Name, b.Name) })
	return all
}

// Belief is that of one brick; false: nothing is known of it.
func (f *Fleet) Belief(name string) (Belief, bool) {
	if b := f.bricks[name]; b != nil {
		return *b, true
	}
	return Belief{}, false
}

// Restore takes back what was saved. Everything in it is as old as it says; what it says of drains holds.
func (f *Fleet) Restore(saved []Belief, last Generation, now time.Duration) {
	f.last = last
	for _, s := range saved {
		if !f.allowed(s.Report, "saved") {
			continue
		}
		s.Source = Saved
		if s.ObservedAt > now { // the clock was set back since: nothing tells how old this is
			s.ObservedAt = 0
		}
		s.told, s.toldAt, s.boot, s.OmittedByLists, s.GreetedAt = Report{}, false, 0, 0, 0
		s.absent = !s.Serving && s.DrainedUpTo == 0
		b := &s
		f.bricks[s.Name] = b
		f.settle(b, now)
	}
}

// Known takes lines that need no proof of their age, such as settings.
func (f *Fleet) Configured(lines []Report, now time.Duration) {
	for _, l := range lines {
		l.ObservedAt = now
		f.line(l, Settings, now)
	}
}

// ListIs takes a list of the list service, or the changes of one. It returns whether it was believed.
func (f *Fleet) ListReceived(g Generation, whole bool, lines []Report, now time.Duration) bool {
	old := g.Epoch == f.last.Epoch && g.Number <= f.last.Number && g != (Generation{}) && f.last != (Generation{})
	if old && !(g == f.last && !f.heard) { // the list of before the restart, told again, is as good as new
		f.log(fmt.Sprintf("list %d is older than %d, which is known; only drains are taken from it", g.Number, f.last.Number))
		for _, l := range lines {
			if !l.Serving {
				f.line(l, List, now)
			} else if f.bricks[l.Name] == nil {
				l.ObservedAt = 0
				f.line(l, List, now)
			}
		}
		return false
	}
	f.last, f.heard = g, true
	named := map[string]bool{}
	for _, l := range lines {
		named[l.Name] = true
		l.ObservedAt = now
		f.line(l, List, now)
	}
	if whole {
		f.missing(named, now)
	}
	return true
}

// ListHolds tells that the list service is there and has nothing new: what it told last is as true as then.
func (f *Fleet) ListUnchanged(now time.Duration) {
	for _, b := range f.bricks {
		if b.Source == List && !f.barred(b) && b.OmittedByLists == 0 && b.ObservedAt != 0 && f.heard {
			b.ObservedAt = now
		}
	}
}

// missing judges what a whole list did not name.
func (f *Fleet) missing(named map[string]bool, now time.Duration) {
	serving, dropped := 0, 0
	for name, b := range f.bricks {
		if b.Trust != Barred {
			serving++
			if !named[name] {
				dropped++
			}
		}
	}
	implausible := dropped > 1 && 2*dropped > serving
	for _, b := range f.sorted() {
		switch {
		case named[b.Name]:
			b.OmittedByLists = 0
		case f.barred(b): // as it is
		default:
			b.OmittedByLists++
			if implausible && b.OmittedByLists < 2 {
				if b.Source != SelfReported { // its own word stands
					b.ObservedAt = 0
				}
				f.settle(b, now)
				continue
			}
			b.absent, b.Serving, b.Gone, b.DrainKnownAt, b.Reason = true, false, true, now, "not in the list any more"
			f.settle(b, now)
		}
	}
	if implausible {
		f.log(fmt.Sprintf("the list names %d of %d bricks that served; the others are doubted until it says so again", serving-dropped, serving))
	}
}

// PeerSays takes another host's lines: each as old as it says.
func (f *Fleet) PeerReported(lines []Report, now time.Duration) {
	for _, l := range lines {
		l.ObservedAt = min(l.ObservedAt, now)
		f.line(l, Peer, now)
	}
}

// Tellings are the lines that are worth telling another host: what is trusted, and each drain, by the latest start that it bars.
func (f *Fleet) ReportsForPeers() (all []Report) {
	for _, b := range f.sorted() {
		l := b.Report
		switch {
		case b.absent: // no drain of a life: others hear of it from the list
			continue
		case b.Trust == Barred:
			l.Serving, l.Gone, l.Started = false, b.Gone, b.DrainedUpTo
		case b.Trust == Doubted || b.Source == Settings:
			continue
		}
		all = append(all, l)
	}
	return all
}

// OwnWord takes a brick's greeting: it is there, at this address, started then, and drains or not.
func (f *Fleet) Greeted(name, address string, started time.Duration, draining bool, now time.Duration) {
	b := f.bricks[name]
	if b == nil {
		return // no list names it: what it holds is not known
	}
	l := b.Report
	if address != l.Address && address != "" {
		return // an old connection's word
	}
	l.ObservedAt, l.Serving, l.Gone = now, !draining, false
	if started != 0 {
		l.Started = started
	}
	f.line(l, SelfReported, now)
}

// Wrong tells that at a brick's address is another one now: the line about it is worth nothing.
func (f *Fleet) WrongEndpoint(name, address string, now time.Duration) {
	if b := f.bricks[name]; b != nil && b.Address == address && b.Source != SelfReported {
		if b.ObservedAt != 0 {
			f.log(fmt.Sprintf("doubt %s: at its address %s is another brick", name, address))
		}
		b.ObservedAt = 0
		f.settle(b, now)
	}
}

// Forget drops all that is held of a brick, its drain too; an operator's word.
func (f *Fleet) Forget(name string, now time.Duration) bool {
	b := f.bricks[name]
	if b == nil {
		return false
	}
	f.tell(b, false, true, b.boot)
	delete(f.bricks, name)
	return true
}

// Age lets time pass: what was trusted may be doubted now, what was doubted for long is dropped.
func (f *Fleet) Tick(now time.Duration) {
	for _, b := range f.sorted() {
		f.settle(b, now)
		if now-b.ObservedAt > f.rules.Expire && b.Source != Settings && now-b.DrainKnownAt > f.rules.Expire && b.ObservedAt != 0 {
			f.tell(b, false, true, b.boot)
			delete(f.bricks, b.Name)
		}
	}
}

// Doubts are the bricks whose own word would settle something: name and address.
func (f *Fleet) Doubtful() (all [][2]string) {
	for _, b := range f.sorted() {
		if b.Trust == Doubted {
			all = append(all, [2]string{b.Name, b.Address})
		}
	}
	return all
}

func (f *Fleet) sorted() []*Belief {
	all := make([]*Belief, 0, len(f.bricks))
	for _, b := range f.bricks {
		all = append(all, b)
	}
	slices.SortFunc(all, func(a, b *Belief) int { return cmp.Compare(a.Name, b.Name) })
	return all
}

func (f *Fleet) allowed(l Report, from string) bool {
	if f.rules.Networks == nil {
		return true
	}
	a, err := netip.ParseAddrPort(l.Address)
	if err == nil && f.rules.Networks.Contains(a.Addr().Unmap()) {
		return true
	}
	if key := l.Name + " " + l.Address; !f.refused[key] && len(f.refused) < 1024 {
		f.refused[key] = true
		f.log(fmt.Sprintf("refused %s at %s (%s): outside the networks where bricks may be", l.Name, l.Address, from))
	}
	return false
}

// line weighs one line against what is held.
func (f *Fleet) line(l Report, from Source, now time.Duration) {
	b := f.bricks[l.Name]
	if b == nil {
		if !l.Serving && l.Gone && l.Address == "" || !f.allowed(l, from.String()) {
			return
		}
		b = &Belief{Report: l, Source: from}
		f.bricks[l.Name] = b
		if !l.Serving {
			b.ObservedAt = 0 // it was never known to serve
			f.drain(b, from, "draining", l.Started, now)
		}
		f.settle(b, now)
		return
	}
	if !l.Serving {
		// Does it tell of the start that is held, or of one before? A drain of an earlier life is past.
		if l.Started != 0 && b.Started != 0 && l.Started < b.Started-f.rules.StartTolerance {
			return
		}
		b.Gone = b.Gone || l.Gone
		f.drain(b, from, map[bool]string{true: "gone", false: "draining"}[l.Gone], l.Started, now)
		f.settle(b, now)
		return
	}
	anew := l.Started > b.Started+f.rules.StartTolerance && l.Started != 0
	if b.absent && from != List && !anew {
		return // a list took it away; a list gives it back
	}
	if b.DrainedUpTo > 0 {
		if l.Started != 0 && l.Started <= b.DrainedUpTo+f.rules.StartTolerance || l.Started == 0 && b.Started <= b.DrainedUpTo+f.rules.StartTolerance {
			return // rule 1
		}
	}
	if b.Source == SelfReported && from != SelfReported && !anew && l.ObservedAt <= b.ObservedAt {
		return // rule 2
	}
	if l.ObservedAt < b.ObservedAt && !anew || !f.allowed(l, from.String()) {
		return // rule 3
	}
	started := b.Started
	if anew || started == 0 {
		started = l.Started
	}
	if from == SelfReported && l.Started != 0 {
		started = l.Started
	}
	b.Report, b.Source, b.OmittedByLists, b.absent = l, from, 0, false // l is of a serving brick, so it is gone no more
	b.Started = started
	if from == SelfReported {
		b.GreetedAt = now
	}
	f.settle(b, now)
}

// barred tells whether the life that is held of a brick was drained.
func (f *Fleet) barred(b *Belief) bool {
	return b.absent || b.DrainedUpTo > 0 && b.Started <= b.DrainedUpTo+f.rules.StartTolerance
}

// drain bars the life of a brick that a line speaks of. A life whose start nobody told goes back to before it was last known to
// serve: a start after that is another one, however late the drain was told.
func (f *Fleet) drain(b *Belief, from Source, why string, started, now time.Duration) {
	life := max(started, b.Started)
	if life == 0 {
		life = b.ObservedAt
	}
	if life == 0 {
		life = now
	}
	if !f.barred(b) {
		b.DrainKnownAt = now
	}
	b.DrainedUpTo = max(b.DrainedUpTo, life, 1)
	b.Serving = false
	b.Reason = fmt.Sprintf("%s, told by %s", why, from)
}

// Alive takes an answer of a brick on a connection that it greeted: it is there. A drain stands.
func (f *Fleet) Answered(name string, now time.Duration) {
	b := f.bricks[name]
	if b == nil || f.barred(b) {
		return
	}
	b.ObservedAt, b.Source, b.GreetedAt = now, SelfReported, now
	if b.Trust == Doubted {
		f.settle(b, now)
	}
}

// settle sets a belief's trust and tells the module what has changed.
func (f *Fleet) settle(b *Belief, now time.Duration) {
	was, toldBefore := b.Trust, b.toldAt
	switch {
	case f.barred(b):
		b.Trust = Barred
		f.tell(b, false, b.Gone, b.Started)
	case b.Source == Settings || b.ObservedAt != 0 && now-b.ObservedAt <= f.rules.Fresh:
		b.Trust, b.Reason = Trusted, "told by "+b.Source.String()
		f.tell(b, true, false, b.Started)
	default:
		b.Trust, b.Reason = Doubted, "old or contradicted; its own word is wanted"
		boot := b.boot
		if was != Doubted || !toldBefore {
			boot = now                                                                                       // as just started
			if toldBefore && was == Trusted && b.GreetedAt > 0 && now-b.GreetedAt <= f.rules.GreetingValid { // it was at work a moment ago
				boot = b.Started
			}
		}
		f.tell(b, true, false, boot)
	}
	if toldBefore && was != b.Trust {
		f.log(fmt.Sprintf("%s %s: %s", b.Trust, b.Name, b.Reason))
	}
}

// tell passes a line on to the module if it is not what the module knows.
func (f *Fleet) tell(b *Belief, serving, gone bool, boot time.Duration) {
	l := Report{Name: b.Name, Address: b.Address, Zone: b.Zone, Shard: b.Shard, Serving: serving, Gone: gone}
	if b.toldAt && l == b.told && boot == b.boot {
		return
	}
	b.told, b.toldAt, b.boot = l, true, boot
	f.module.EndpointChanged(b.Name, b.Address, b.Zone, b.Shard, serving, gone, boot)
}
