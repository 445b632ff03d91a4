// Package idle learns how long a connection may lie idle before what is written to it comes to nothing. Machines on the way
// close such connections without a word, sooner than they say. It has no clock and no I/O.
//
// It compares how often the next use of a connection broke, by how long it had lain, with how often the first use of a new one
// did: what breaks at any age says nothing of lying idle.
package idle

import (
	"math"
	"math/bits"
	"time"
)

const (
	shortest = time.Millisecond // of the first step; each is twice as long as the one before
	steps    = 20
	// A dispatch that breaks costs its work and more; a new connection costs the brick a handshake, some twentieth of that.
	worth = 0.05
	// So many deviations from what breaks at any age are taken for chance; a step once given up stays so without them,
	// until no more than so many uses are known of it.
	chance, known = 2.5, 3
	// What is known counts half after so long, so that a step given up is tried again.
	halfLife = 20 * time.Second
)

type tally struct{ held, broke float64 }

// beyond tells whether more broke than base and what is worth it can explain.
func (t tally) beyond(base tally, given bool) bool {
	n := t.held + t.broke
	p := min((base.broke+1)/(base.held+base.broke+10)+worth, 1)
	if given {
		return n > known && t.broke > p*n
	}
	return t.broke > p*n+chance*math.Sqrt(n*p*(1-p))+1
}

// Life is what was learnt. It is not safe for concurrent use.
type Limit struct {
	first tally
	next  [steps]tally
	at    time.Duration
	most  time.Duration
	bound time.Duration
}

// New begins with the time after which connections are to be closed in any case.
func New(bound time.Duration) *Limit { return &Limit{most: bound, bound: bound} }

// Most is how long a connection may lie idle and still be used.
func (l *Limit) Duration() time.Duration { return l.most }

// First tells how the first use of a connection ended.
func (l *Limit) RecordFirstUse(broke bool, now time.Duration) { l.count(&l.first, broke, now) }

// Next tells how a later use ended, after the connection had lain idle for so long. It tells whether Most has moved.
func (l *Limit) RecordReuse(idle time.Duration, broke bool, now time.Duration) bool {
	l.count(&l.next[step(idle)], broke, now)
	was := l.most
	l.most = l.bound
	base := l.first
	for i, t := range l.next {
		if t.beyond(base, shortest<<i/2 >= was) {
			l.most = min(shortest<<i/2, l.bound)
			break
		}
		base.held, base.broke = base.held+t.held, base.broke+t.broke
	}
	return l.most != was
}

func (l *Limit) count(t *tally, broke bool, now time.Duration) {
	for ; now-l.at >= halfLife/4; l.at += halfLife / 4 {
		if l.at == 0 || now-l.at > 8*halfLife {
			l.at = now
			break
		}
		const keeps = 0.8409 // four times make a half
		l.first.held, l.first.broke = l.first.held*keeps, l.first.broke*keeps
		for i := range l.next {
			l.next[i].held, l.next[i].broke = l.next[i].held*keeps, l.next[i].broke*keeps
		}
	}
	if broke {
		t.broke++
	} else {
		t.held++
	}
}

// step is the i for which idle is below shortest<<i and not below half of that.
func step(idle time.Duration) int { return min(bits.Len64(uint64(max(idle, 0)/shortest)), steps-1) }
