package engine

import (
	"container/heap"
	"time"

	"weirhaven/policy"
)

// timer is a call of fire at a point in time or, without fire, the timeout of an attempt.
type timer struct {
	dueAt   time.Duration
	seq     uint64 // timers due at the same time fire in the order in which they were set
	fire    func()
	attempt *attempt // set instead of fire, which saves a closure for each attempt
}

// Advance moves the clock to now, never backwards, and fires the due timers in order. The owner calls it before each
// event and at the time that NextTimer returns.
func (c *Core) Advance(now time.Duration) {
	c.now = max(c.now, now)
	for len(c.timers) > 0 && c.timers[0].dueAt <= c.now {
		due := heap.Pop(&c.timers).(timer)
		switch {
		case due.fire != nil:
			due.fire()
		case !due.attempt.ended:
			c.finishAttempt(due.attempt, AttemptReport{Outcome: policy.TimedOut, SeenAt: c.now})
		}
		c.runDeferred()
	}
}

// NextTimer returns the due time of the next timer; ok is false if no timer is set.
func (c *Core) NextTimer() (dueAt time.Duration, ok bool) {
	if len(c.timers) == 0 {
		return 0, false
	}
	return c.timers[0].dueAt, true
}

// schedule sets a timer. With a wait of 0 or less, it fires at the next Advance, not immediately.
func (c *Core) schedule(wait time.Duration, t timer) {
	c.timerSeq++
	t.dueAt, t.seq = c.now+max(wait, 0), c.timerSeq
	heap.Push(&c.timers, t)
}

// timerHeap is a container/heap of timers, earliest first.
type timerHeap []timer

// Len implements heap.Interface.
func (h timerHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h timerHeap) Less(i, j int) bool {
	return h[i].dueAt < h[j].dueAt || h[i].dueAt == h[j].dueAt && h[i].seq < h[j].seq
}

// Swap implements heap.Interface.
func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *timerHeap) Push(t any) { *h = append(*h, t.(timer)) }

// Pop implements heap.Interface.
func (h *timerHeap) Pop() any {
	timers := *h
	last := timers[len(timers)-1]
	timers[len(timers)-1] = timer{} // lets the garbage collector free what the timer refers to
	*h = timers[:len(timers)-1]
	return last
}
