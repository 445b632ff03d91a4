// Package idle learns how long a connection may be idle before an attempt that is sent on it is lost. Machines on the way to
// an endpoint drop idle connections silently, and sooner than documented; the next attempt then breaks, though the endpoint is
// healthy.
//
// It compares how often connections broke at a reuse, by how long they had been idle, with how often new ones broke at their
// first use: what breaks at any age says nothing about being idle. It has no clock and no I/O.
package idle

import (
	"math"
	"math/bits"
	"time"
)

const (
	firstBucket = time.Millisecond // the first bucket holds idle times below that; each next one reaches twice as far
	bucketCount = 20
	// reconnectCost is the share of broken reuses that is accepted: a new connection costs the endpoint a handshake, some
	// twentieth of the work of an attempt that breaks.
	reconnectCost = 0.05
	// significance is the number of standard deviations beyond the base rate that still counts as chance.
	significance = 2.5
	// A bucket that was ruled out stays so without significance until at most minSamples uses of it are known.
	minSamples = 3
	// halfLife is the time after which samples count half, so that a bucket which was ruled out is tried again.
	halfLife = 20 * time.Second
	// decaySteps is the number of steps in which a half-life is applied, and decayPerStep the factor of each.
	decaySteps   = 4
	decayPerStep = 0.8409
	// maxCatchUp is the longest time without samples for which decay is still applied step by step.
	maxCatchUp = 8 * halfLife
)

// samples are uses of connections by how they ended, decayed.
type samples struct{ survived, broken float64 }

func (s *samples) decay() { s.survived, s.broken = s.survived*decayPerStep, s.broken*decayPerStep }

func (s *samples) add(broken bool) {
	if broken {
		s.broken++
	} else {
		s.survived++
	}
}

// exceeds reports whether more broke than the base rate, reconnectCost and chance explain. ruledOut: it did so far.
func (s samples) exceeds(base samples, ruledOut bool) bool {
	n := s.survived + s.broken
	p := min((base.broken+1)/(base.survived+base.broken+10)+reconnectCost, 1)
	if ruledOut {
		return n > minSamples && s.broken > p*n
	}
	return s.broken > p*n+significance*math.Sqrt(n*p*(1-p))+1
}

// Limit is the learned bound on how long a connection may be idle. It is not safe for concurrent use.
type Limit struct {
	firstUses samples
	reuses    [bucketCount]samples // by how long the connection had been idle
	decayedAt time.Duration
	limit     time.Duration
	maximum   time.Duration
}

// New returns a Limit that begins at maximum and never exceeds it.
func New(maximum time.Duration) *Limit { return &Limit{limit: maximum, maximum: maximum} }

// Duration is how long a connection may be idle and still be used.
func (l *Limit) Duration() time.Duration { return l.limit }

// RecordFirstUse records how the first use of a new connection ended. now is any monotonic clock, the same at each call.
func (l *Limit) RecordFirstUse(broken bool, now time.Duration) {
	l.decay(now)
	l.firstUses.add(broken)
}

// RecordReuse records how a use ended before which the connection had been idle for so long. It reports whether Duration has
// changed.
func (l *Limit) RecordReuse(idle time.Duration, broken bool, now time.Duration) bool {
	l.decay(now)
	l.reuses[bucket(idle)].add(broken)
	before := l.limit
	l.limit = l.maximum
	base := l.firstUses
	for i, s := range l.reuses {
		if start := firstBucket << i / 2; s.exceeds(base, start >= before) {
			l.limit = min(start, l.maximum)
			break
		}
		base.survived, base.broken = base.survived+s.survived, base.broken+s.broken
	}
	return l.limit != before
}

// decay lets what was recorded so far fade.
func (l *Limit) decay(now time.Duration) {
	const step = halfLife / decaySteps
	for ; now-l.decayedAt >= step; l.decayedAt += step {
		if l.decayedAt == 0 || now-l.decayedAt > maxCatchUp {
			l.decayedAt = now
			return
		}
		l.firstUses.decay()
		for i := range l.reuses {
			l.reuses[i].decay()
		}
	}
}

// bucket is the i for which idle is below firstBucket<<i and not below half of that.
func bucket(idle time.Duration) int {
	return min(bits.Len64(uint64(max(idle, 0)/firstBucket)), bucketCount-1)
}
