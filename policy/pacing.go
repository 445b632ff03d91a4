package policy

import (
	"math"
	"time"
)

// Pacing: a send rate below one request at a time. An endpoint's answers set the minimum interval between two attempts: slow ones
// lengthen it, starting from this gateway's own rate, quick ones shorten it. This guards against overload by many gateways with one
// place each at an endpoint, however few their requests, and against a full or dead endpoint that looks free since it fails fast. A
// reservation that is due waits for a part of the interval only.

const (
	// minPaceFactor and maxPaceFactor bound how far one outcome moves the interval.
	minPaceFactor = 0.125
	maxPaceFactor = 3
	// maxIntervalThresholds is the longest interval, in congestion thresholds for each gateway. One over it is the longest that an
	// interval opens from, by this gateway's own rate, in the same unit.
	maxIntervalThresholds = 16
	// minIntervalDivisor divides the congestion threshold into the shortest interval; a shorter one is none.
	minIntervalDivisor = 4
	// dueIntervalDivisor divides the interval into what a due reservation waits for.
	dueIntervalDivisor = 4
	// meanIntervalDivisor is the inverse of a new sample's weight in the mean interval.
	meanIntervalDivisor = 4
	// meanSampleCap is the most that one sample counts in the mean interval, in demand periods.
	meanSampleCap = 4
	// unboundedDuration stands for the duration of an attempt that never ended: it opens the interval as far as one outcome can.
	unboundedDuration = maxDuration / 4
)

// pace is what is known of the rate at which an endpoint takes attempts from this gateway.
type pace struct {
	minSendInterval   time.Duration // 0: none
	intervalChangedAt time.Duration
	lastSentAt        time.Duration
	meanSendInterval  time.Duration
}

// updatePace moves the interval by how long an attempt took against the congestion threshold. An outcome of an attempt that was
// sent before the last change may open the interval, but not close it.
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

// baseInterval is the interval that an outcome starts from: the one in force, or one from this gateway's own rate.
func (s *Scheduler) baseInterval(e *Endpoint) time.Duration {
	fromOwnRate := min(e.meanSendInterval, s.congestionThreshold*time.Duration(s.gateways)/maxIntervalThresholds)
	return max(e.minSendInterval, fromOwnRate, s.congestionThreshold/minIntervalDivisor)
}

// paceAllows tells whether a candidate may go, so long after the last attempt.
func (e *Endpoint) paceAllows(sinceSent time.Duration, c candidate) bool {
	if c.urgency == objectiveMissed && e.minSendInterval > 0 { // a turn is for what can be in time
		return false
	}
	if sinceSent >= e.minSendInterval {
		return true
	}
	return c.due && sinceSent >= e.minSendInterval/dueIntervalDivisor && e.consecutiveFailures == 0
}

// recordSent takes an attempt that was sent into the mean interval.
func (p *pace) recordSent(now time.Duration) {
	p.meanSendInterval += (min(now-p.lastSentAt, meanSampleCap*demandPeriod) - p.meanSendInterval) / meanIntervalDivisor
	p.lastSentAt = now
}
