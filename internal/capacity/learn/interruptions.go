package learn

import (
	"math"
	"time"

	"gonum.org/v1/gonum/stat"
)

const (
	outlierSigmas = 6 // deviation from which on a service time is an outlier, in standard deviations
	// minCorrelation is the correlation of excess time and preceding writes above which interruptions count as deferred work, else as pauses.
	minCorrelation = 0.35
	maxDeferred    = 0.9 // share of the work of a write
)

// markOutliers marks samples that took far longer than expected: at least twice as long.
func (l *learner) markOutliers() {
	var deviations []float64
	for _, e := range l.endpoints {
		for i := range e.samples {
			deviations = append(deviations, math.Abs(l.relative(e, &e.samples[i])-1))
		}
	}
	bound := math.Max(outlierSigmas*madToSigma*median(deviations), 1)
	for _, e := range l.endpoints {
		for i := range e.samples {
			e.samples[i].outlier = l.relative(e, &e.samples[i])-1 > bound
		}
	}
}

// relative returns a sample's service time divided by the expected one.
func (l *learner) relative(e *endpoint, s *sample) float64 {
	expected := s.expected
	if expected == 0 {
		expected = l.costs.work(s)
	}
	return (s.duration - l.costs.network(s)) * e.speed / math.Max(expected, minSeconds)
}

// interruption is the other work, or the pause, that delayed an outlier.
type interruption struct {
	excess  float64 // duration beyond the expected one, core seconds at speed 1
	written float64 // work of the writes since the previous interruption, core seconds
	follows bool    // whether there is a previous interruption
	gap     float64 // time since the previous interruption, seconds; 0 if there is none
}

// learnInterruptions finds out what delayed the outliers: deferred work of writes if the excess correlates with the writes since the
// previous interruption, else pauses.
func (l *learner) learnInterruptions() {
	var all []interruption
	span, written := 0.0, 0.0
	for _, e := range l.endpoints {
		found, writes := l.interruptions(e)
		all = append(all, found...)
		written += writes
		if n := len(e.attempts); n > 0 {
			span += (e.attempts[n-1].start - e.attempts[0].start).Seconds()
		}
	}
	var gaps, excess, since []float64
	for _, i := range all {
		excess, since = append(excess, i.excess), append(since, i.written)
		if i.follows {
			gaps = append(gaps, i.gap)
		}
	}
	if len(all) < minOutliers || len(gaps) < minOutliers {
		return
	}
	if stat.Correlation(since, excess, nil) > minCorrelation && written > 0 {
		l.learnDeferred(all, median(gaps))
		return
	}
	l.kind.Pause, l.kind.PauseEvery = median(excess), span/float64(len(excess))
}

// interruptions returns the interruptions of an endpoint, and the work of all its writes in core seconds.
func (l *learner) interruptions(e *endpoint) (found []interruption, written float64) {
	since, last := 0.0, time.Duration(0)
	for i := range e.samples {
		s := &e.samples[i]
		if s.write {
			since += s.expected
			written += s.expected
		}
		if !s.outlier {
			continue
		}
		next := interruption{excess: (s.duration-l.costs.network(s))*e.speed - s.expected, written: since}
		if last > 0 {
			next.follows, next.gap = true, (s.arrival - last).Seconds()
		}
		found = append(found, next)
		since, last = 0, s.arrival
	}
	return found, written
}

// learnDeferred sets the share of the work of writes that is deferred, and the flush interval. An interruption during a large attempt is not
// noticed, so that two gaps look like one: only interruptions about one usual gap after the previous one count.
func (l *learner) learnDeferred(all []interruption, usualGap float64) {
	excess, written := 0.0, 0.0
	for _, i := range all {
		if i.gap > 0.6*usualGap && i.gap < 1.4*usualGap {
			excess, written = excess+i.excess, written+i.written
		}
	}
	if written == 0 {
		return
	}
	ratio := excess / written
	l.kind.Deferred, l.kind.Flush = math.Min(ratio/(1+ratio), maxDeferred), usualGap
}
