package policy

import (
	"math"
	"time"
)

// Pacing can reduce the send rate to an endpoint below that of one attempt at a time. The latency of responses sets the minimum
// interval between two attempts: slow responses lengthen it, starting from this gateway's own send rate, and quick ones shorten it.
// This prevents overload by many gateways with one slot each at an endpoint, however few requests each of them has. It also limits
// the rate to a full or dead endpoint that looks idle because its failures are fast. A due reservation waits for only a part of the
// interval.

const (
	// minPaceFactor and maxPaceFactor bound the factor by which one outcome changes the interval.
	minPaceFactor = 0.125
	maxPaceFactor = 3
	// maxIntervalThresholds is the longest interval, in congestion thresholds per gateway. Its inverse, in the same unit, is the
	// longest initial interval that is derived from this gateway's own send rate.
	maxIntervalThresholds = 16
	// minIntervalDivisor divides the congestion threshold into the interval at or below which pacing is off.
	minIntervalDivisor = 4
	// dueIntervalDivisor divides the interval into the part for which a due reservation waits.
	dueIntervalDivisor = 4
	// meanIntervalDivisor is the inverse of a new sample's weight in the mean interval.
	meanIntervalDivisor = 4
	// meanSampleCap bounds one sample of the mean interval, in demand periods.
	meanSampleCap = 4
	// unboundedDuration is the assumed duration of a failed attempt: it lengthens the interval by the largest factor.
	unboundedDuration = maxDuration / 4
)

// pace is the rate at which this gateway sends to one endpoint.
type pace struct {
	minSendInterval   time.Duration // minimum interval between two attempts; 0: none
	intervalChangedAt time.Duration
	lastSentAt        time.Duration
	meanSendInterval  time.Duration
}

// updatePace changes the interval by the ratio of an attempt's duration to the congestion threshold. The outcome of an attempt that
// was sent before the last change may lengthen the interval, but not shorten it.
func (s *Scheduler) updatePace(attempt *Attempt, took, now time.Duration) {
	e := attempt.Endpoint
	factor := math.Min(math.Max(took.Seconds()/s.congestionThreshold.Seconds(), minPaceFactor), maxPaceFactor)
	longest := maxIntervalThresholds * s.congestionThreshold * time.Duration(s.gateways)
	interval := min(time.Duration(factor*float64(attempt.minSendInterval)), longest)
	if interval <= s.congestionThreshold/minIntervalDivisor {
		interval = 0
	}
	lengthens := factor > 1 && interval > e.minSendInterval
	shortens := factor <= 1 && attempt.sentAt >= e.intervalChangedAt
	if lengthens || shortens {
		e.intervalChangedAt, e.minSendInterval = now, interval
	}
}

// baseInterval returns the interval from which pacing adjusts: the current one, or one derived from this gateway's own send rate.
func (s *Scheduler) baseInterval(e *Endpoint) time.Duration {
	fromOwnRate := min(e.meanSendInterval, s.congestionThreshold*time.Duration(s.gateways)/maxIntervalThresholds)
	return max(e.minSendInterval, fromOwnRate, s.congestionThreshold/minIntervalDivisor)
}

// paceAllows reports whether a candidate may be sent, given the time since the last attempt.
func (e *Endpoint) paceAllows(sinceSent time.Duration, c candidate) bool {
	if c.urgency == objectiveMissed && e.minSendInterval > 0 { // the pace is reserved for requests in time
		return false
	}
	if sinceSent >= e.minSendInterval {
		return true
	}
	return c.due && sinceSent >= e.minSendInterval/dueIntervalDivisor && e.consecutiveFailures == 0
}

// recordSent updates the mean interval with an attempt sent now.
func (p *pace) recordSent(now time.Duration) {
	p.meanSendInterval += (min(now-p.lastSentAt, meanSampleCap*demandPeriod) - p.meanSendInterval) / meanIntervalDivisor
	p.lastSentAt = now
}
