// Package idle learns how long a connection may be idle and still be reused. Machines on the path to an endpoint silently drop
// idle connections, sooner than documented; the next attempt on such a connection fails although the endpoint is healthy.
//
// The package compares the failure rate of reused connections, by idle time, with the failure rate of new connections at their
// first use: failures that occur at any idle time are not caused by idleness. It has no clock and no I/O.
package idle

import (
	"math"
	"math/bits"
	"time"
)

const (
	firstBucket = time.Millisecond // upper bound of the first bucket; each further bucket has twice the bound of the previous one
	bucketCount = 20
	// reconnectCost is the accepted share of reuses that fail: a new connection costs the endpoint a handshake, about a
	// twentieth of the work of a failed attempt.
	reconnectCost = 0.05
	// significance is the number of standard deviations above the base rate that is still attributed to chance.
	significance = 2.5
	// minSamples bounds the samples with which a ruled-out bucket is tried again. With more samples it stays ruled out even if
	// its excess of failures is not significant.
	minSamples = 3
	// halfLife is the time after which samples count half. Through the decay a bucket that was ruled out is tried again.
	halfLife = 20 * time.Second
	// decaySteps is the number of decay steps per half-life, and decayPerStep the factor applied in each.
	decaySteps   = 4
	decayPerStep = 0.8409
	// maxCatchUp is the longest time without samples after which decay is still applied step by step; after a longer one it is
	// skipped.
	maxCatchUp = 8 * halfLife
)

// samples counts uses of connections by result, with decay.
type samples struct{ survived, broken float64 }

func (s *samples) decay() { s.survived, s.broken = s.survived*decayPerStep, s.broken*decayPerStep }

func (s *samples) add(broken bool) {
	if broken {
		s.broken++
	} else {
		s.survived++
	}
}

// exceeds reports whether more uses failed than the base rate, reconnectCost and chance explain. ruledOut: the bucket is
// currently ruled out.
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
	reuses    [bucketCount]samples // by idle time before the use
	decayedAt time.Duration
	limit     time.Duration
	maximum   time.Duration
}

// New returns a Limit whose Duration starts at maximum and never exceeds it.
func New(maximum time.Duration) *Limit { return &Limit{limit: maximum, maximum: maximum} }

// Duration returns how long a connection may be idle and still be reused.
func (l *Limit) Duration() time.Duration { return l.limit }

// RecordFirstUse records the result of the first use of a new connection. now is the time on a monotonic clock, the same clock in
// all calls.
func (l *Limit) RecordFirstUse(broken bool, now time.Duration) {
	l.decay(now)
	l.firstUses.add(broken)
}

// RecordReuse records the result of a reuse after the given idle time. It returns whether Duration has changed.
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

// decay reduces the weight of the recorded samples according to the time passed.
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

// bucket returns the index i of the bucket for idle: firstBucket<<i/2 <= idle < firstBucket<<i.
func bucket(idle time.Duration) int {
	return min(bits.Len64(uint64(max(idle, 0)/firstBucket)), bucketCount-1)
}
