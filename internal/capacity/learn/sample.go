package learn

import (
	"cmp"
	"slices"
	"time"

	"weirhaven/internal/pb"
	"weirhaven/policy"
)

// sample is a served attempt whose begin is known.
type sample struct {
	arrival   time.Duration
	duration  float64 // service time; with the network's round trip where idle; seconds
	queueType int
	units     float64
	write     bool
	idle      bool    // the core was idle before
	object    uint64  // 0: nothing a cache remembers
	cached    bool    // it would be in a cache of the size looked at
	outlier   bool    // far longer than what is like it: something else ran before
	expected  float64 // service time at speed 1 by the estimate so far, seconds; 0: none yet
}

// Attempts whose core became free within these times of their arrival are left out: it isn't sure whether they waited.
const (
	queuedMargin = 300 * time.Microsecond
	idleMargin   = time.Millisecond
)

// separator follows the cores of an endpoint through its attempts.
type separator struct {
	freeAt  []time.Duration // by core
	unknown []bool          // by core: what ran there last has no known end
	samples []sample
	errors  int // error responses
	served  int // with errors
}

// separate finds the service times of an endpoint's attempts, which it sorts by start.
func separate(attempts []attempt, cores int, types []*pb.QueueType) *separator {
	slices.SortStableFunc(attempts, func(a, b attempt) int { return cmp.Compare(a.start, b.start) })
	s := &separator{freeAt: make([]time.Duration, cores), unknown: make([]bool, cores)}
	for _, a := range attempts {
		switch a.outcome {
		case policy.Served:
			s.served++
			s.addServed(a, types[a.queueType].Writes)
		case policy.ErrorResponse:
			s.errors++
			s.served++ // it counts as failed at once: it keeps no core
		case policy.TimedOut, policy.Canceled, policy.ConnectionReset:
			for core := range s.unknown {
				s.unknown[core] = true
			}
		default: // it never reached the endpoint
		}
	}
	return s
}

// addServed takes the attempt to the core that is free first.
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
		added := sample{arrival: a.start, duration: duration.Seconds(), queueType: a.queueType, units: a.units, write: write, idle: idle}
		if a.first {
			added.object = a.object
		}
		s.samples = append(s.samples, added)
	}
	s.freeAt[core] = max(freeAt, a.end)
	s.unknown[core] = false
}
