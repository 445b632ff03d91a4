package engine

import "weirhaven/policy"

// Counts are a Core's running totals since its start, and gauges where said so.
type Counts struct {
	Received           int64 // requests handed to the scheduler
	Served             int64 // requests by their result
	Rejected           int64
	Failed             int64
	ClientDisconnected int64

	Attempts           int64 // sent to a connection
	Retries            int64 // of Attempts, those after a request's first
	LateOutcomes       int64 // reports on attempts and health checks that were over; dropped
	MismatchedOutcomes int64 // reports that name another endpoint than the attempt's; dropped
	Overlapping        int64 // attempts begun beside another one that settings forbid; must stay 0

	Open     int                       // gauge: requests without a result
	InFlight int                       // gauge: attempts without an outcome
	Timers   int                       // gauge: timers set
	Outcomes [policy.NotSent + 1]int64 // attempts by outcome
}

// Counts returns the totals so far.
func (c *Core) Counts() Counts {
	counts := c.counts
	counts.Timers = len(c.timers)
	return counts
}

// countResult counts a request that is over.
func (c *Core) countResult(result Result) {
	c.counts.Open--
	switch result {
	case Served:
		c.counts.Served++
	case Rejected:
		c.counts.Rejected++
	case ClientDisconnected:
		c.counts.ClientDisconnected++
	case Failed:
		c.counts.Failed++
	}
}
