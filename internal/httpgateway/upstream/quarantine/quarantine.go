// Package outcome learns how long a connection must rest after an answer before the next dispatch goes on it. A brick may
// send an answer twice, the second copy a little later; answers carry no name, so the copy would be taken for the answer
// to what was written meanwhile. It has no clock and no I/O.
package quarantine

import "time"

const (
	least    = 10 * time.Millisecond  // before any copy was seen: one that comes with its answer is seen at once
	longest  = 250 * time.Millisecond // a later one says more of the brick than of its answer
	shown    = 50 * time.Millisecond  // once a later one was seen
	margin   = 4                      // copies later than the latest seen come too
	halfLife = 20 * time.Second
)

// Time is what was learnt. It is not safe for concurrent use.
type Delay struct {
	needs time.Duration
	at    time.Duration // when it was last learnt or halved
}

// New knows of no copies.
func New() *Delay { return &Delay{needs: least} }

// Stray tells that something came so long after an answer that nobody had asked for.
func (t *Delay) RecordUnsolicited(after, now time.Duration) {
	if needs := min(max(margin*after, shown), longest); after >= least/margin && needs >= t.Duration(now) {
		t.needs, t.at = needs, now
	}
}

// Needs is how long a connection must rest now.
func (t *Delay) Duration(now time.Duration) time.Duration {
	for ; t.needs > least && now-t.at >= halfLife; t.at += halfLife {
		t.needs = max(t.needs/2, least)
	}
	return t.needs
}
