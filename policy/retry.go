package policy

import (
	"slices"
	"time"
)

// Retries: a request is retried only while none of its attempts is in flight, within the maximum number of attempts, at an endpoint
// without a recent failure, and within the retry budget. idempotency.go decides whether a retry could take effect twice.

// retryAllowed reports whether the retry limits allow the next attempt of r at e; they always allow a first attempt.
func (s *Scheduler) retryAllowed(r *Request, e *Endpoint, now time.Duration) bool {
	if len(r.attempts) == 0 {
		return true
	}
	return r.inFlight == 0 && len(r.attempts) < s.settings.MaxAttempts && e.consecutiveFailures == 0 && s.retryBudget.allows(now)
}

// retryImpossible reports that r can't be retried: no time or no attempt is left, or no endpoint may run it.
func (s *Scheduler) retryImpossible(r *Request, now time.Duration) bool {
	if now >= r.deadline-s.timerMargin || len(r.attempts) >= s.settings.MaxAttempts {
		return true
	}
	allowed := func(e *Endpoint) bool { return s.attemptAllowed(r, e, now) }
	return !slices.ContainsFunc(s.endpointsOf(r.shard), allowed)
}

// retryBudget bounds retries relative to the requests received, so that retries don't multiply the load when endpoints fail. Within
// a sliding window, the number of retries is at most free + ratio x the number of requests received.
type retryBudget struct {
	enabled  bool
	free     float64
	ratio    float64
	window   time.Duration
	requests []time.Duration // times of receipt, oldest first
	retries  []time.Duration // times of sending, oldest first
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

// allows reports whether one more retry is within the budget. A retry exactly one window old still counts, a request of that age
// does not.
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
