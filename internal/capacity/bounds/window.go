package bounds

import (
	"time"

	"weirhaven/internal/pb"
	"weirhaven/internal/settings"
)

// Window returns the length of the window that bounds are evaluated over: the longest request timeout, at least 1 s.
func Window(f *pb.CapacityFleet) time.Duration {
	window := time.Second
	for _, class := range f.QueueType {
		window = max(window, settings.Duration(class.CommandTimeout, 0))
	}
	return window
}

// windowPeak tracks the greatest sum of a series within any window, and the start of that window. Values must be added in order of time.
type windowPeak struct {
	window time.Duration
	times  []time.Duration
	values []float64
	oldest int // index of the first value still in the window
	sum    float64
	max    float64       // greatest sum so far
	start  time.Duration // of the window with that sum
}

func (p *windowPeak) add(now time.Duration, value float64) {
	p.times, p.values = append(p.times, now), append(p.values, value)
	p.sum += value
	for now-p.times[p.oldest] >= p.window {
		p.sum -= p.values[p.oldest]
		p.oldest++
	}
	if p.sum > p.max {
		p.max, p.start = p.sum, p.times[p.oldest]
	}
}

// peakRate is the mean rate per second within the worst window, and the start of that window.
type peakRate struct {
	rate  float64
	start time.Duration
}

// rate returns the peak of the series; zero if it has no values.
func (p *windowPeak) rate() peakRate {
	if p == nil {
		return peakRate{}
	}
	return peakRate{rate: p.max / p.window.Seconds(), start: p.start}
}
