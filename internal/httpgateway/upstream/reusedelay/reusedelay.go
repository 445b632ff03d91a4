// Package reusedelay learns the reuse delay: how long a connection must stay idle after a response before the next attempt may be
// sent on it. An endpoint may send a response twice, the duplicate a little later. Responses carry no id, so a duplicate that
// arrives after the next attempt was sent would be taken for the response to that attempt, and a client would get the data of
// another request. A connection on which a duplicate arrives during the delay is closed. The package has no clock and no I/O.
package reusedelay

import "time"

const (
	minDelay = 10 * time.Millisecond  // covers no late duplicates; one that arrives with its response is detected at once
	maxDelay = 250 * time.Millisecond // later duplicates are not covered: they indicate a fault of the endpoint
	// minDelayAfterDuplicate is the minimum delay set when a late duplicate is recorded.
	minDelayAfterDuplicate = 50 * time.Millisecond
	margin                 = 4 // factor on the lateness of a duplicate, since the next one may be later
	halfLife               = 20 * time.Second
)

// Delay is the learned reuse delay. It is not safe for concurrent use.
type Delay struct {
	delay     time.Duration
	updatedAt time.Duration // time of the latest increase or halving
}

// New returns a Delay at its minimum.
func New() *Delay { return &Delay{delay: minDelay} }

// RecordUnsolicited records the arrival of bytes that belong to no attempt; after is the time since the previous response. now is
// the time on a monotonic clock, the same clock in all calls.
func (d *Delay) RecordUnsolicited(after, now time.Duration) {
	delay := min(max(margin*after, minDelayAfterDuplicate), maxDelay)
	if after >= minDelay/margin && delay >= d.Duration(now) {
		d.delay, d.updatedAt = delay, now
	}
}

// Duration returns the current reuse delay. It halves with each half-life without a recorded duplicate.
func (d *Delay) Duration(now time.Duration) time.Duration {
	for ; d.delay > minDelay && now-d.updatedAt >= halfLife; d.updatedAt += halfLife {
		d.delay = max(d.delay/2, minDelay)
	}
	return d.delay
}
