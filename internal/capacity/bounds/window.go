package bounds

import (
	"time"

	"weirhaven/internal/pb"
	"weirhaven/internal/settings"
)

// Window returns the length of the window that the bounds look at: the longest request timeout, at least a second.
func Window(f *pb.CapacityFleet) time.Duration {
	window := time.Second
	for _, class := range f.QueueType {
		window = max(window, settings.Duration(class.CommandTimeout, 0))
	}
	return window
}

// windowPeak finds the greatest sum of a series within any window, and where that window begins. Values come in order of time.
type windowPeak struct {
	window time.Duration
	times  []time.Duration
	values []float64
	oldest int // index of the first value still in the window
	sum    float64
	most   float64
	start  time.Duration
}

func (p *windowPeak) add(now time.Duration, value float64) {
	p.times, p.values = append(p.times, now), append(p.values, value)
	p.sum += value
	for now-p.times[p.oldest] >= p.window {
		p.sum -= p.values[p.oldest]
		p.oldest++
	}
	if p.sum > p.most {
		p.most, p.start = p.sum, p.times[p.oldest]
	}
}

// peakRate is the mean rate a second within the worst window, and that window's begin.
type peakRate struct {
	rate  float64
	start time.Duration
}

// rate is zero for a series that had no value.
func (p *windowPeak) rate() peakRate {
	if p == nil {
		return peakRate{}
	}
	return peakRate{rate: p.most / p.window.Seconds(), start: p.start}
}
