package learn

import (
	"math"
	"time"

	"gonum.org/v1/gonum/stat"
)

const (
	outlierSigmas = 6 // standard deviations beyond which a service time is an outlier
	// minCorrelation of excess and writes above which outliers are deferred work; below they are pauses.
	minCorrelation = 0.35
	maxDeferred    = 0.9 // part of a write's work
)

// markOutliers marks samples that took far longer than what is like them: at least twice as long.
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

// relative is a sample's service time as a part of the expected.
func (l *learner) relative(e *endpoint, s *sample) float64 {
	expected := s.expected
	if expected == 0 {
		expected = l.costs.work(s)
	}
	return (s.duration - l.costs.network(s)) * e.speed / math.Max(expected, minSeconds)
}

// interruption is what ran before an outlier.
type interruption struct {
	excess  float64 // core seconds at speed 1
	written float64 // work of the writes since the interruption before, core seconds
	follows bool    // there is one before it
	gap     float64 // since the one before, seconds; 0 where there is none
}

// learnInterruptions finds out what ran before the outliers: deferred work of writes, if how much it was goes with the writes since
// the last time, else pauses.
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

// interruptions returns those of an endpoint, and the work of all its writes in core seconds.
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

// learnDeferred states the part of writes that is deferred. Some interruptions were not seen, behind a large attempt: only what came
// about one usual gap after the one before counts.
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
