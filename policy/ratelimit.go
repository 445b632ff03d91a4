package policy

import (
	"math"
	"time"
)

// Rate limits: a volume's limit holds over all gateways together, at any time, restarts and membership changes included. Each
// gateway has a token bucket with its part of the limit and fills it at its part of the rate; it can't know what others send.

// tokenBucket holds units that may be sent at once and fills at a rate.
type tokenBucket struct {
	tokens     float64 // units; below 0 after a request larger than what was there
	rate       float64 // units a second
	capacity   float64 // units
	refilledAt time.Duration
}

// newTokenBucket is a volume's bucket at its first request. A gateway that restarts can't know what it spent before, so the bucket
// holds only its part of the plan's initial burst: gateways that are killed in a surge would otherwise spend the burst twice.
func newTokenBucket(plan *ServicePlan, gateways float64, now time.Duration) tokenBucket {
	return tokenBucket{
		tokens:     plan.InitialBurst / gateways,
		rate:       plan.Limit / gateways,
		capacity:   plan.Burst / gateways,
		refilledAt: now,
	}
}

// fill brings the bucket up to date and returns its level.
func (b *tokenBucket) refill(now time.Duration) float64 {
	b.tokens = min(b.tokens+b.rate*(now-b.refilledAt).Seconds(), b.capacity)
	b.refilledAt = now
	return b.tokens
}

// resplit changes over how many gateways the limit is split. A part that shrinks loses what it holds in proportion; one that
// grows fills at its rate, since another gateway may have spent what it gained.
func (b *tokenBucket) rescale(plan *ServicePlan, before, after float64, now time.Duration) {
	b.refill(now)
	b.tokens *= math.Min(1, before/after)
	b.rate = plan.Limit / after
	b.capacity = plan.Burst / after
}

// allowance is the units that a volume may send now.
func (v *Volume) allowance(now time.Duration) float64 {
	if v.plan.Limit > 0 {
		return v.limit.refill(now)
	}
	return math.Inf(1)
}

// charge takes a request's units from its volume's limit, once: a retry is not charged again.
func (r *Request) charge() {
	if !r.charged && r.Volume.plan.Limit > 0 {
		r.Volume.limit.tokens -= r.units
	}
	r.charged = true
}
