package downstream

import (
	"sync"
	"time"
)

// rateLimit is a token bucket. It is safe for concurrent use.
type rateLimit struct {
	perSecond, burst float64

	mu       sync.Mutex
	tokens   float64
	filledAt time.Time
}

// newRateLimit returns a full bucket.
func newRateLimit(perSecond, burst float64) *rateLimit {
	return &rateLimit{perSecond: perSecond, burst: burst, tokens: burst, filledAt: time.Now()}
}

// take takes a token. If there is none it returns the time until there is one, else 0.
func (r *rateLimit) take(now time.Time) (wait time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tokens = min(r.tokens+r.perSecond*now.Sub(r.filledAt).Seconds(), r.burst)
	r.filledAt = now
	if r.tokens < 1 {
		return max(time.Duration((1-r.tokens)/r.perSecond*float64(time.Second)), time.Microsecond)
	}
	r.tokens--
	return 0
}
