// Package align finds by how much the clocks of gateways differ, from what each says about the same events: when an endpoint was started. A
// gateway notes that on its own clock, late by what the notification took. The package has no I/O and no clock.
package align

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"
)

// Marks are the events that one gateway knows: a name, and when it happened on that gateway's clock.
type Marks map[string]time.Duration

// Offset is what to add to a gateway's times, so that they are on the clock of the first gateway.
type Offset struct {
	Gateway string
	Add     time.Duration
	Spread  time.Duration // how far off Add may be: half the range of what single marks say, without the outer quarters
	Marks   int           // shared, of the link with the fewest on the way to the first gateway; 0: it is the first, or not aligned
}

// Offsets aligns gateways to the first of them by name, and returns their offsets by name. They are joined one by one to a spanning tree: the
// next link is that between a joined and another gateway with most marks in common, and of several such that with the least spread. A
// link is a median, so that a single wrong mark moves nothing. Gateways that can't be reached by shared marks have Add 0 and are named
// in the error.
func Offsets(gateways map[string]Marks) ([]Offset, error) {
	names := make([]string, 0, len(gateways))
	for name := range gateways {
		names = append(names, name)
	}
	slices.Sort(names)
	if len(names) == 0 {
		return nil, nil
	}
	t := &tree{names: names, gateways: gateways, best: map[string]link{},
		joined: map[string]Offset{names[0]: {Gateway: names[0], Marks: math.MaxInt32}}}
	for next, ok := names[0], true; ok; {
		t.findLinks(next)
		next, ok = t.joinNext()
	}
	return t.offsets()
}

// link aligns the gateway to with the gateway from.
type link struct {
	from, to string
	median   time.Duration // to be added to the times of to
	spread   time.Duration
	shared   int // marks
}

// newLink returns the link between two gateways; ok is false if they share no mark.
func newLink(gateways map[string]Marks, from, to string) (l link, ok bool) {
	var differences []time.Duration
	for name, onTo := range gateways[to] {
		if onFrom, shared := gateways[from][name]; shared {
			differences = append(differences, onFrom-onTo)
		}
	}
	n := len(differences)
	if n == 0 {
		return link{}, false
	}
	slices.Sort(differences)
	low, high := differences[n/4], differences[n-1-n/4]
	median := (differences[(n-1)/2] + differences[n/2]) / 2
	return link{from, to, median, (high - low + 1) / 2, n}, true
}

func (l link) betterThan(other link) bool {
	if c := cmp.Compare(l.shared, other.shared); c != 0 {
		return c > 0
	}
	return l.spread < other.spread
}

// tree is the spanning tree while it grows.
type tree struct {
	names    []string // of all gateways, sorted
	gateways map[string]Marks
	joined   map[string]Offset
	best     map[string]link // the best link from the tree to each gateway that is not joined
}

// findLinks considers the links from a gateway that has just been joined.
func (t *tree) findLinks(from string) {
	for _, name := range t.names {
		if _, joined := t.joined[name]; joined {
			continue
		}
		found, ok := newLink(t.gateways, from, name)
		if !ok {
			continue
		}
		if best, known := t.best[name]; !known || found.betterThan(best) {
			t.best[name] = found
		}
	}
}

// joinNext joins the gateway with the best link, the first by name of equals; ok is false if there is none.
func (t *tree) joinNext() (gateway string, ok bool) {
	for _, name := range t.names {
		if l, linked := t.best[name]; linked && (!ok || l.betterThan(t.best[gateway])) {
			gateway, ok = name, true
		}
	}
	if !ok {
		return "", false
	}
	l := t.best[gateway]
	delete(t.best, gateway)
	from := t.joined[l.from]
	t.joined[gateway] = Offset{Gateway: gateway, Add: from.Add + l.median, Spread: from.Spread + l.spread, Marks: min(from.Marks, l.shared)}
	return gateway, true
}

func (t *tree) offsets() ([]Offset, error) {
	offsets := make([]Offset, 0, len(t.names))
	var unaligned []string
	for _, name := range t.names {
		offset, ok := t.joined[name]
		if !ok {
			offset = Offset{Gateway: name}
			unaligned = append(unaligned, name)
		}
		if offset.Marks == math.MaxInt32 {
			offset.Marks = 0
		}
		offsets = append(offsets, offset)
	}
	if len(unaligned) > 0 {
		return offsets, fmt.Errorf("gateways %v know no endpoint's start that the others know too: their clocks can't be aligned", unaligned)
	}
	return offsets, nil
}
