// Package align decides by how much the clocks of hosts differ, from what each says about the same events: when a brick
// started. Each host reads that off its own clock, late by what the word took on its way. It has no I/O and no clock.
package align

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"
)

// Marks are the events that one host knows: a name, and when it was on that host's clock.
type Marks map[string]time.Duration

// Offset is what to add to a host's times, so that they stand on the clock of the first host.
type Offset struct {
	Host   string
	Add    time.Duration
	Spread time.Duration // half the range of what single marks say: how far off it may be
	Marks  int           // shared, on the way to the first host's clock: the fewest on one step
}

// Offsets aligns hosts to the first of them by name. Hosts are joined step by step, over the pair with most marks in common,
// and of those the pair that agrees best: a spanning tree. A single wrong mark moves nothing, since a step is a median. Hosts
// that share no mark with any other can't be aligned; they are named in the error, with Add 0.
func Offsets(hosts map[string]Marks) ([]Offset, error) {
	names := make([]string, 0, len(hosts))
	for n := range hosts {
		names = append(names, n)
	}
	slices.Sort(names)
	if len(names) == 0 {
		return nil, nil
	}
	type step struct {
		from, to string
		median   time.Duration
		spread   time.Duration
		shared   int
	}
	between := func(a, b string) (s step, ok bool) {
		var differ []time.Duration
		for m, at := range hosts[b] {
			if x, both := hosts[a][m]; both {
				differ = append(differ, x-at)
			}
		}
		if len(differ) == 0 {
			return s, false
		}
		slices.Sort(differ)
		low, high := differ[len(differ)/4], differ[len(differ)-1-len(differ)/4]
		mid := (differ[(len(differ)-1)/2] + differ[len(differ)/2]) / 2
		return step{a, b, mid, (high - low + 1) / 2, len(differ)}, true
	}
	found := map[string]Offset{names[0]: {Host: names[0], Marks: math.MaxInt32}}
	ways := map[string]step{} // the best so far to each host not yet joined
	better := func(a, b step) bool {
		if c := cmp.Compare(a.shared, b.shared); c != 0 {
			return c > 0
		}
		return a.spread < b.spread
	}
	for last := names[0]; last != ""; {
		for _, n := range names {
			if _, in := found[n]; in {
				continue
			}
			if s, ok := between(last, n); ok {
				if old, had := ways[n]; !had || better(s, old) {
					ways[n] = s
				}
			}
		}
		last = ""
		for _, n := range names {
			if s, ok := ways[n]; ok && (last == "" || better(s, ways[last])) {
				last = n
			}
		}
		if last != "" {
			s := ways[last]
			delete(ways, last)
			o := found[s.from]
			found[last] = Offset{Host: last, Add: o.Add + s.median, Spread: o.Spread + s.spread, Marks: min(o.Marks, s.shared)}
		}
	}
	all := make([]Offset, 0, len(names))
	var lone []string
	for _, n := range names {
		o, ok := found[n]
		if !ok {
			o = Offset{Host: n}
			lone = append(lone, n)
		}
		if o.Marks == math.MaxInt32 {
			o.Marks = 0
		}
		all = append(all, o)
	}
	if len(lone) > 0 {
		return all, fmt.Errorf("hosts %v know no brick's start that the others know too: their clocks can't be aligned", lone)
	}
	return all, nil
}
