package policy

import (
	"fmt"
	"slices"
	"time"
)

// Containers and clocks of the module's state; nothing here decides.

func (in *Scheduler) hold(c *Request) {
	c.held = true
	c.lane.held = append(c.lane.held, c)
}

func (in *Scheduler) unhold(c *Request) {
	if c.held {
		c.held, c.lane.held = false, without(c.lane.held, c)
	}
}

func without[T comparable](list []T, x T) []T {
	if i := slices.Index(list, x); i >= 0 {
		return slices.Delete(list, i, i+1)
	}
	return list
}

func (in *Scheduler) keyOf(object string) *key {
	if in.keys[object] == nil {
		in.keys[object] = &key{}
	}
	return in.keys[object]
}

func (in *Scheduler) cellOf(no int) *cell {
	if in.cells[no] == nil {
		in.cells[no] = &cell{}
	}
	return in.cells[no]
}

// at is the bricks that hold a cell; a new object may go to any.
func (in *Scheduler) at(cellNo int) []*Endpoint {
	if cellNo < 0 {
		return in.bricks
	}
	return in.cellOf(cellNo).bricks
}

func (in *Scheduler) laneOf(v *Volume, cellNo int) *lane {
	for _, l := range v.lanes {
		if l.cell == cellNo {
			return l
		}
	}
	l := &lane{vol: v, cell: cellNo, since: in.host.Now(), told: in.host.Now()}
	v.lanes = append(v.lanes, l)
	c := in.cellOf(cellNo)
	c.lanes = append(c.lanes, l)
	return l
}

// count keeps the units held and out over time, so that time held at the host counts in demand.
func (l *lane) count(now time.Duration, units float64) {
	l.area += l.units * (now - l.since).Seconds()
	l.since = now
	l.units += units
}

func (k *bucket) fill(now time.Duration) float64 {
	k.level, k.at = min(k.level+k.rate*(now-k.at).Seconds(), k.depth), now
	return k.level
}

func (in *Scheduler) log(format string, args ...any) { in.host.Log(fmt.Sprintf(format, args...)) }

func (b *Endpoint) soon() time.Duration { return b.lat * time.Duration(b.out+1) } // answer to one more command
