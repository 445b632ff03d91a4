package policy

import (
	"math"
	"time"
)

// Rate limits: a volume's limit holds over all gateways together at all times, including restarts and membership changes. Each
// gateway has a token bucket with its part of the limit, since it does not know what the others send.

// tokenBucket is a token bucket; one token is one unit that may be sent.
type tokenBucket struct {
	tokens     float64 // units; negative after a request larger than the tokens available
	rate       float64 // units per second
	capacity   float64 // maximum of tokens, in units
	refilledAt time.Duration
}

// newTokenBucket returns the bucket of a volume at its first request. It holds only this gateway's part of the plan's initial burst:
// a restarted gateway does not know what it sent before, and gateways killed during a surge would otherwise spend the burst twice.
func newTokenBucket(plan *ServicePlan, gateways float64, now time.Duration) tokenBucket {
	return tokenBucket{
		tokens:     plan.InitialBurst / gateways,
		rate:       plan.Limit / gateways,
		capacity:   plan.Burst / gateways,
		refilledAt: now,
	}
}

// refill adds the tokens due since the last refill and returns the tokens available.
func (b *tokenBucket) refill(now time.Duration) float64 {
	b.tokens = min(b.tokens+b.rate*(now-b.refilledAt).Seconds(), b.capacity)
	b.refilledAt = now
	return b.tokens
}

// rescale changes the number of gateways among which the limit is divided. If this gateway's part shrinks, its tokens shrink in
// proportion; if the part grows, tokens accrue only at the new rate, since another gateway may have spent the difference already.
func (b *tokenBucket) rescale(plan *ServicePlan, before, after float64, now time.Duration) {
	b.refill(now)
	b.tokens *= math.Min(1, before/after)
	b.rate = plan.Limit / after
	b.capacity = plan.Burst / after
}

// allowance returns the units that a volume may send now.
func (v *Volume) allowance(now time.Duration) float64 {
	if v.plan.Limit > 0 {
		return v.limit.refill(now)
	}
	return math.Inf(1)
}

// charge takes a request's units from its volume's limit once; retries are not charged again.
func (r *Request) charge() {
	if !r.charged && r.Volume.plan.Limit > 0 {
		r.Volume.limit.tokens -= r.units
	}
	r.charged = true
}
