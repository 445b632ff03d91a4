// Package reusedelay learns how long a connection must rest after a response before the next attempt goes on it. An endpoint
// may send a response twice, the duplicate a little later; responses carry no id, so a duplicate that comes after the next
// attempt was sent would be taken for the response to that attempt, and a client would get the data of another request.
// A connection on which a duplicate comes during its rest is closed instead. The package has no clock and no I/O.
package reusedelay

import "time"

const (
	minDelay = 10 * time.Millisecond  // before any duplicate was seen; one that comes with its response is seen at once
	maxDelay = 250 * time.Millisecond // a duplicate that is later tells more about the endpoint than about its response
	// minDelayAfterDuplicate is the shortest delay once a duplicate was seen that came later than its response.
	minDelayAfterDuplicate = 50 * time.Millisecond
	margin                 = 4 // duplicates that are later than the latest seen come too
	halfLife               = 20 * time.Second
)

// Delay is the learned rest of a connection. It is not safe for concurrent use.
type Delay struct {
	delay     time.Duration
	updatedAt time.Duration // when it was last raised or halved
}

// New returns the shortest Delay: no duplicate was seen.
func New() *Delay { return &Delay{delay: minDelay} }

// RecordUnsolicited records that bytes arrived that belong to no attempt; after is how long after the last response. now is on
// any monotonic clock, the same at each call.
func (d *Delay) RecordUnsolicited(after, now time.Duration) {
	delay := min(max(margin*after, minDelayAfterDuplicate), maxDelay)
	if after >= minDelay/margin && delay >= d.Duration(now) {
		d.delay, d.updatedAt = delay, now
	}
}

// Duration is how long a connection must rest now. It halves with each half-life in which no duplicate is recorded.
func (d *Delay) Duration(now time.Duration) time.Duration {
	for ; d.delay > minDelay && now-d.updatedAt >= halfLife; d.updatedAt += halfLife {
		d.delay = max(d.delay/2, minDelay)
	}
	return d.delay
}
