// Package align estimates the differences between the clocks of gateways from events that several of them recorded: the starts of endpoints. Each
// gateway records a start on its own clock, later by the delay of the notification. The package has no I/O and no clock.
package align

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"
)

// Marks holds the events that one gateway recorded: the time of each on that gateway's clock, by name.
type Marks map[string]time.Duration

// Offset is the difference between the clock of a gateway and that of the first gateway.
type Offset struct {
	Gateway string
	Add     time.Duration // to a time of the gateway, gives the time on the first gateway's clock
	Spread  time.Duration // uncertainty of Add: half the interquartile range of the differences at single marks
	Marks   int           // fewest shared marks of a link on the path to the first gateway; 0: it is the first, or not aligned
}

// Offsets aligns gateways to the first of them by name, and returns their offsets sorted by name. It joins the gateways one by one to a spanning
// tree. The next link is the one between a joined gateway and another that has the most shared marks and, among equals, the least spread.
// The offset of a link is the median over its marks, which a single wrong mark hardly changes. Gateways that share no marks with the tree
// have Add 0, and the error names them.
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

// link is the clock difference between two gateways that share marks.
type link struct {
	from, to string
	median   time.Duration // to add to the times of gateway to, for the clock of gateway from
	spread   time.Duration
	shared   int // number of shared marks
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

// tree is the spanning tree under construction.
type tree struct {
	names    []string // of all gateways, sorted
	gateways map[string]Marks
	joined   map[string]Offset
	best     map[string]link // best link from the tree to each gateway that is not joined
}

// findLinks updates the best links with those from a gateway that was just joined.
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

// joinNext joins the gateway with the best link, among equals the first by name; ok is false if no link is left.
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
		return offsets, fmt.Errorf("clocks of gateways %v can't be aligned: they recorded no endpoint start that other gateways recorded too", unaligned)
	}
	return offsets, nil
}
