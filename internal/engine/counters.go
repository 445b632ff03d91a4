package engine

import "weirhaven/policy"

// Counts are a Core's totals since its start; fields marked as gauges are present values.
type Counts struct {
	Received           int64 // requests passed to the scheduler
	Served             int64 // requests by result
	Rejected           int64
	Failed             int64
	ClientDisconnected int64

	Attempts           int64 // attempts sent to a connection
	Retries            int64 // attempts other than a request's first
	LateOutcomes       int64 // dropped reports on attempts and health checks that had ended
	MismatchedOutcomes int64 // dropped reports that name another endpoint than the attempt's
	Overlapping        int64 // attempts begun while another of the request was in flight, against the settings; must stay 0

	Open     int                       // gauge: requests without a result
	InFlight int                       // gauge: attempts without an outcome
	Timers   int                       // gauge: timers set
	Volumes  int                       // gauge: volumes whose state is kept
	Outcomes [policy.NotSent + 1]int64 // attempts by outcome
}

// Counts returns the totals so far.
func (c *Core) Counts() Counts {
	counts := c.counts
	counts.Timers = len(c.timers)
	counts.Volumes = len(c.volumes)
	return counts
}

// countResult counts the result of a request that has ended.
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
