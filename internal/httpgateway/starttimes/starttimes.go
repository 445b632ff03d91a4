// Package starttimes puts the start times of endpoints on this process's monotonic clock. The agent reports a start as a
// wall-clock time, and a wall clock may be stepped by an hour; then an endpoint that has just started looks an hour old, gets
// its full share at once and is overloaded. How long an endpoint has been up is a span of real time, so a start time is
// translated once, when it is first reported, and doesn't move with the wall clock afterwards.
//
// The package has no clock and no I/O, and is not safe for concurrent use.
package starttimes

import (
	"time"

	"weirhaven/internal/engine"
)

// ClockReadings are the clocks at the moment in which a list was received.
type ClockReadings struct {
	Now       time.Duration // the process's clock, which began as a wall clock and is monotonic since
	Wall      time.Duration // the wall clock, as Unix time
	Confirmed time.Duration // on the process's clock: until then the list before was known to hold; 0: not known
}

const (
	// minClockStep is the difference between the wall clock and the process's clock from which the wall clock was stepped; less
	// is slewing, or the time between the two readings.
	minClockStep = 100 * time.Millisecond
	// maxReportDelay is how long the agent may take to report a restart. A restart that seems to lie further before the list
	// that still had the former start can't be: the wall clock is off.
	maxReportDelay = 6 * time.Second
)

// StartTimes remembers what was reported of each endpoint, and what that is on the process's clock.
type StartTimes struct {
	endpoints map[string]startTime
}

type startTime struct {
	reported time.Duration // as the agent reported it; 0: long ago
	local    time.Duration // on the process's clock; 0: long ago
}

// New returns StartTimes that know no endpoint.
func New() *StartTimes { return &StartTimes{endpoints: map[string]startTime{}} }

// Translate returns the entries of a list with their starts on the process's clock. complete: the list is the whole one, and
// an endpoint that isn't in it is forgotten, as is one that is gone. The entries that are passed in are not changed.
func (s *StartTimes) Translate(complete bool, entries []engine.EndpointEntry, readings ClockReadings) []engine.EndpointEntry {
	known := s.endpoints
	if complete {
		s.endpoints = map[string]startTime{}
	}
	translated := make([]engine.EndpointEntry, len(entries))
	for i, entry := range entries {
		before, listed := known[entry.Name]
		switch {
		case entry.Removed:
			delete(s.endpoints, entry.Name)
		case entry.Unreadable && !listed:
		case entry.Unreadable, listed && before.reported == entry.StartedAt:
			s.endpoints[entry.Name] = before
			entry.StartedAt = before.local
		default:
			local := localStart(entry.StartedAt, listed, readings)
			s.endpoints[entry.Name] = startTime{reported: entry.StartedAt, local: local}
			entry.StartedAt = local
		}
		translated[i] = entry
	}
	return translated
}

// localStart translates a start that was not reported before; restarted: the endpoint had another start before.
func localStart(reported time.Duration, restarted bool, readings ClockReadings) time.Duration {
	if reported == 0 {
		return 0
	}
	start := reported
	if offset := readings.Wall - readings.Now; offset < -minClockStep || offset > minClockStep {
		// The start was read before or after the step: the younger of the two is safe, it only warms up for longer.
		start = max(reported, reported-offset)
	}
	if restarted && start < readings.Confirmed-maxReportDelay {
		start = readings.Confirmed
	}
	return min(start, readings.Now)
}
