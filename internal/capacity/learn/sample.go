package learn

import (
	"cmp"
	"slices"
	"time"

	"weirhaven/internal/pb"
	"weirhaven/policy"
)

// sample is a served attempt whose start of service is known.
type sample struct {
	arrival  time.Duration
	duration float64 // service time, plus the network's round trip if idle, in seconds
	class    int     // index
	units    float64
	write    bool    // whether its class writes
	idle     bool    // whether the core was idle on its arrival
	object   uint64  // 0: none, or not the first attempt
	cached   bool    // whether its object would be in a cache of the size under test
	outlier  bool    // whether it took far longer than expected: other work or a pause came before it
	expected float64 // service time at speed 1 by the present estimate, in seconds; 0: none yet
}

// An attempt counts as queued if its core became free later than queuedMargin after its arrival, and as idle if the core became free earlier
// than idleMargin before it. Attempts between the two are left out, since they may or may not have waited.
const (
	queuedMargin = 300 * time.Microsecond
	idleMargin   = time.Millisecond
)

// separator separates service time from queueing time by following the cores of an endpoint through its attempts.
type separator struct {
	freeAt  []time.Duration // by core
	unknown []bool          // by core: whether the end of its last attempt is unknown
	samples []sample
	errors  int // attempts answered with an error
	served  int // attempts answered, including errors
}

// separate returns the samples of an endpoint's attempts. It sorts attempts by start.
func separate(attempts []attempt, cores int, types []*pb.QueueType) *separator {
	slices.SortStableFunc(attempts, func(a, b attempt) int { return cmp.Compare(a.start, b.start) })
	s := &separator{freeAt: make([]time.Duration, cores), unknown: make([]bool, cores)}
	for _, a := range attempts {
		switch a.outcome {
		case policy.Served:
			s.served++
			s.addServed(a, types[a.class].Writes)
		case policy.ErrorResponse:
			s.errors++
			s.served++ // an error takes no time on a core
		case policy.TimedOut, policy.Canceled, policy.ConnectionReset:
			for core := range s.unknown {
				s.unknown[core] = true
			}
		default: // it never reached the endpoint
		}
	}
	return s
}

// addServed assigns an attempt to the core that becomes free first.
func (s *separator) addServed(a attempt, write bool) {
	core := 0
	for i := range s.freeAt {
		if s.freeAt[i] < s.freeAt[core] {
			core = i
		}
	}
	freeAt := s.freeAt[core]
	idle := freeAt < a.start-idleMargin
	queued := freeAt > a.start+queuedMargin && !s.unknown[core]
	if duration := a.end - max(freeAt, a.start); duration > 0 && (idle || queued) {
		added := sample{arrival: a.start, duration: duration.Seconds(), class: a.class, units: a.units, write: write, idle: idle}
		if a.first {
			added.object = a.object
		}
		s.samples = append(s.samples, added)
	}
	s.freeAt[core] = max(freeAt, a.end)
	s.unknown[core] = false
}
