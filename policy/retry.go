package policy

import (
	"slices"
	"time"
)

// Retries: a request is attempted again only while none of its attempts is in flight, within the settings' attempts, at an
// endpoint that does not fail just now, and within the retry budget. Whether a retry could have a wrong effect is decided by
// idempotency.go.

// retryAllowed tells whether the next attempt of r may go to e; a first attempt always may.
func (s *Scheduler) retryAllowed(r *Request, e *Endpoint, now time.Duration) bool {
	if len(r.attempts) == 0 {
		return true
	}
	return r.inFlight == 0 && len(r.attempts) < s.settings.MaxAttempts && e.consecutiveFailures == 0 && s.retryBudget.allows(now)
}

// retryImpossible tells that no further attempt of r can be made: no time or no attempt is left, or no endpoint may run it.
func (s *Scheduler) retryImpossible(r *Request, now time.Duration) bool {
	if now >= r.deadline-s.timerMargin || len(r.attempts) >= s.settings.MaxAttempts {
		return true
	}
	allowed := func(e *Endpoint) bool { return s.attemptAllowed(r, e, now) }
	return !slices.ContainsFunc(s.endpointsOf(r.shard), allowed)
}

// retryBudget bounds retries by the requests received, so that retries don't multiply the load when endpoints fail. Within a
// sliding window there are at most free + ratio x requests of them.
type retryBudget struct {
	enabled  bool
	free     float64
	ratio    float64
	window   time.Duration
	requests []time.Duration // when they were received, oldest first
	retries  []time.Duration // when they were sent, oldest first
}

func (b *retryBudget) requestReceived(now time.Duration) {
	if b.enabled {
		b.requests = append(b.requests, now)
	}
}

func (b *retryBudget) retrySent(now time.Duration) {
	if b.enabled {
		b.retries = append(b.retries, now)
	}
}

// allows tells whether one more retry is within the budget. A retry exactly one window old still counts, a request doesn't.
func (b *retryBudget) allows(now time.Duration) bool {
	if !b.enabled {
		return true
	}
	for len(b.retries) > 0 && b.retries[0] < now-b.window {
		b.retries = b.retries[1:]
	}
	for len(b.requests) > 0 && b.requests[0] <= now-b.window {
		b.requests = b.requests[1:]
	}
	return float64(len(b.retries)+1) <= b.free+b.ratio*float64(len(b.requests))
}

func newRetryBudget(settings Settings) retryBudget {
	return retryBudget{
		enabled: settings.RetryBudget,
		free:    settings.RetryBudgetFree,
		ratio:   settings.RetryBudgetRatio,
		window:  settings.RetryBudgetWindow,
	}
}
