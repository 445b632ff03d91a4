// Package sample chooses the intervals of a long load that are simulated, so that a study of an hour takes about a minute. The heaviest
// interval is always among them, since a surge determines which limit is reached first; the others represent the rest of the load. It has no
// I/O, clock or goroutine.
package sample

import (
	"cmp"
	"slices"
	"time"
)

// Interval is an interval of the load that is simulated.
type Interval struct {
	From, To time.Duration
	Weight   float64 // number of intervals of the load that it represents, itself included
	Heaviest bool
}

// Choose divides a load into intervals of the given length and returns at most n of them, in order of time: the heaviest, and the medians of
// n-1 equal groups of the others, grouped by their work. work is the work of the load in each second. A load shorter than length is one
// interval.
func Choose(work []float64, length time.Duration, n int) []Interval {
	seconds := max(int(length/time.Second), 1)
	type candidate struct {
		from int
		work float64
	}
	var all []candidate
	for from := 0; from < len(work); from += seconds {
		to := min(from+seconds, len(work))
		if to-from < seconds && len(all) > 0 && to-from < seconds/2+1 { // a short rest is merged into the previous interval
			for _, x := range work[from:to] {
				all[len(all)-1].work += x * float64(seconds) / float64(seconds+to-from)
			}
			break
		}
		p := candidate{from: from}
		for _, x := range work[from:to] {
			p.work += x
		}
		all = append(all, p)
	}
	if len(all) == 0 || n <= 0 {
		return nil
	}
	end := func(i int) time.Duration {
		if i+seconds >= len(work) || i+2*seconds > len(work) && len(work)-i-seconds < seconds/2+1 {
			return time.Duration(len(work)) * time.Second
		}
		return time.Duration(i+seconds) * time.Second
	}
	slices.SortStableFunc(all, func(a, b candidate) int { return cmp.Compare(b.work, a.work) })
	out := []Interval{{From: time.Duration(all[0].from) * time.Second, To: end(all[0].from), Weight: 1, Heaviest: true}}
	rest := all[1:]
	groups := min(n-1, len(rest))
	for i := range groups {
		low, high := i*len(rest)/groups, (i+1)*len(rest)/groups
		p := rest[(low+high)/2]
		out = append(out, Interval{From: time.Duration(p.from) * time.Second, To: end(p.from), Weight: float64(high - low)})
	}
	if groups == 0 && len(rest) > 0 {
		out[0].Weight += float64(len(rest))
	}
	slices.SortFunc(out, func(a, b Interval) int { return cmp.Compare(a.From, b.From) })
	return out
}
