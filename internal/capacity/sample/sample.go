// Package sample chooses which stretches of a long load are played, so that an hour is answered for in a minute: the heaviest always,
// since a surge decides what breaks first, and others that stand for the rest. It has no I/O, clock or goroutine.
package sample

import (
	"cmp"
	"slices"
	"time"
)

// Interval is one that is played, and how many like it there are in the load, itself included.
type Interval struct {
	From, To time.Duration
	Weight   float64
	Heaviest bool
}

// Choose cuts a load into stretches of a length and takes at most n of them: the heaviest, and the middle ones of even shares of
// the others in the order of their work. work is by second. What is shorter than a stretch is one.
func Choose(work []float64, length time.Duration, n int) []Interval {
	per := max(int(length/time.Second), 1)
	type piece struct {
		from int
		work float64
	}
	var all []piece
	for from := 0; from < len(work); from += per {
		to := min(from+per, len(work))
		if to-from < per && len(all) > 0 && to-from < per/2+1 { // a short rest goes with the one before
			for _, x := range work[from:to] {
				all[len(all)-1].work += x * float64(per) / float64(per+to-from)
			}
			break
		}
		p := piece{from: from}
		for _, x := range work[from:to] {
			p.work += x
		}
		all = append(all, p)
	}
	if len(all) == 0 || n <= 0 {
		return nil
	}
	end := func(i int) time.Duration {
		if i+per >= len(work) || i+2*per > len(work) && len(work)-i-per < per/2+1 {
			return time.Duration(len(work)) * time.Second
		}
		return time.Duration(i+per) * time.Second
	}
	slices.SortStableFunc(all, func(a, b piece) int { return cmp.Compare(b.work, a.work) })
	out := []Interval{{From: time.Duration(all[0].from) * time.Second, To: end(all[0].from), Weight: 1, Heaviest: true}}
	rest := all[1:]
	shares := min(n-1, len(rest))
	for i := range shares {
		lo, hi := i*len(rest)/shares, (i+1)*len(rest)/shares
		p := rest[(lo+hi)/2]
		out = append(out, Interval{From: time.Duration(p.from) * time.Second, To: end(p.from), Weight: float64(hi - lo)})
	}
	if shares == 0 && len(rest) > 0 {
		out[0].Weight += float64(len(rest))
	}
	slices.SortFunc(out, func(a, b Interval) int { return cmp.Compare(a.From, b.From) })
	return out
}
