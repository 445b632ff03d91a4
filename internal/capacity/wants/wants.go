// Package wants tells what clients wanted from what hosts captured. On an overloaded day the two differ: what was busy-replied was
// asked again, and each asking stands in the capture as a command of its own. It has no I/O, clock or goroutine.
package wants

import (
	"cmp"
	"math/rand"
	"slices"
	"time"

	"weirhaven/internal/pb"
)

// Want is what a client wanted, once, however often it asked.
type Want struct {
	At                       time.Duration // since the capture's first
	Host, Volume, Plan, Type string
	Units                    float64
	Cell                     int // -1: a new object
	Object                   uint64
	Timeout                  time.Duration
	Leaves                   time.Duration // its client goes away then; 0: it waits
	Body                     int
	Asked                    int // how often, as captured
}

type same struct {
	volume, queue string
	object        uint64
	units         float64
	cell          int64
}

type open struct {
	want  int
	until time.Duration // its client's patience
	over  time.Duration // when it was told that it got nothing
}

// Unfold finds the wants. A command repeats an earlier one if it is marked so and an earlier one like it (volume, queue type,
// object, units, cell) exists, or, unmarked, if that one ended without success and neither its patience nor that of any client
// like it is over. What is marked but has no first (the capture began later, or lost it) counts as a want.
func Unfold(lines []*pb.Captured) (all []Want, c *pb.CapacityModel_ClientModel) {
	c = &pb.CapacityModel_ClientModel{}
	var begin time.Duration
	unfinished := map[same]open{}
	failed, again, left := 0, 0, 0
	var waits []time.Duration
	for _, l := range lines {
		m := l.GetCommand()
		if m == nil {
			continue
		}
		at := time.Duration(l.At)
		if len(all) == 0 {
			begin = at
		}
		k := same{m.Volume, m.QueueType, m.Object, m.Units, m.Cell}
		o, known := unfinished[k]
		ended := at + time.Duration(m.Took)
		got := m.Final == pb.CapturedCommand_COMPLETED
		repeats := known && (m.Repeat || m.Object != 0) && at >= o.over && at < o.until
		if repeats {
			w := &all[o.want]
			w.Asked++
			again++
			waits = append(waits, at-o.over)
			c.Folded++
			if o.over = ended; got {
				delete(unfinished, k)
			} else {
				unfinished[k] = o
				failed++
			}
			continue
		}
		w := Want{At: at - begin, Host: m.Host, Volume: m.Volume, Plan: m.Plan, Type: m.QueueType, Units: m.Units, Cell: int(m.Cell), Object: m.Object,
			Timeout: time.Duration(m.Timeout), Body: int(m.Body), Asked: 1}
		if m.Final == pb.CapturedCommand_LEFT {
			w.Leaves = time.Duration(m.Took)
			left++
		}
		all = append(all, w)
		switch m.Final {
		case pb.CapturedCommand_BUSY_REPLIED, pb.CapturedCommand_ABORTED:
			failed++
			unfinished[k] = open{len(all) - 1, at + w.Timeout, ended}
		case pb.CapturedCommand_LEFT: // it may ask elsewhere, after a lost connection; that is counted, not taken for patience
			unfinished[k] = open{len(all) - 1, at + w.Timeout, ended}
		default:
			delete(unfinished, k)
		}
	}
	c.Firsts = uint32(len(all))
	if failed > 0 {
		c.Repeats = min(1, float64(again)/float64(failed))
	}
	if len(waits) > 0 {
		slices.Sort(waits)
		c.Wait = waits[len(waits)/2].Seconds()
	}
	if len(all) > 0 {
		c.Leaves = float64(left) / float64(len(all))
	}
	return all, c
}

// Scale makes the load times as large: each want stands so many times, the last one by chance. A copy comes within half a second
// of its original and asks for what another want of the same volume and queue type asked for, so that copies neither come in one
// breath nor pile up on one piece. Volumes stay the same ones, each asking for more.
func Scale(all []Want, times float64, rng *rand.Rand) []Want {
	if times == 1 {
		return all
	}
	type alike struct{ volume, queue string }
	like := map[alike][]int{}
	last := time.Duration(0)
	for i, w := range all {
		k := alike{w.Volume, w.Type}
		like[k] = append(like[k], i)
		last = max(last, w.At)
	}
	var out []Want
	for _, w := range all {
		for left := times; left > 0; left-- {
			if left < 1 && rng.Float64() >= left {
				break
			}
			x := w
			if left != times {
				of := like[alike{w.Volume, w.Type}]
				x = all[of[rng.Intn(len(of))]]
				x.At = min(max(w.At+time.Duration(rng.Int63n(int64(time.Second)))-time.Second/2, 0), last)
			}
			out = append(out, x)
		}
	}
	slices.SortStableFunc(out, func(a, b Want) int { return cmp.Compare(a.At, b.At) })
	return out
}

// Cut keeps a stretch, its times from the stretch's begin.
func Cut(all []Want, from, to time.Duration) []Want {
	var out []Want
	for _, w := range all {
		if w.At >= from && w.At < to {
			w.At -= from
			out = append(out, w)
		}
	}
	return out
}
