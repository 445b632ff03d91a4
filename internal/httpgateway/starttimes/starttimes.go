// Package starttimes translates the start times of endpoints to this process's monotonic clock. The agent reports a start as a
// wall-clock time, and a wall clock may be stepped by an hour. Then an endpoint that has just started would seem to have been
// up for an hour, would get its full share of the load at once and be overloaded. So a start time is translated once, when it
// is first reported, and later steps of the wall clock don't affect it.
//
// The package has no clock and no I/O, and is not safe for concurrent use.
package starttimes

import (
	"time"

	"weirhaven/internal/engine"
)

// ClockReadings are the clock readings at the time a list was received.
type ClockReadings struct {
	Now       time.Duration // process's clock, which was set from the wall clock once and is monotonic
	Wall      time.Duration // wall clock, as Unix time
	Confirmed time.Duration // time, on the process's clock, at which the previous list was last confirmed; 0: unknown
}

const (
	// minClockStep is the minimum difference between the wall clock and the process's clock that counts as a step of the wall
	// clock. A smaller difference comes from slewing, or from the time between the two readings.
	minClockStep = 100 * time.Millisecond
	// maxReportDelay is the maximum delay with which the agent reports a restart. If a restart seems to be earlier than this
	// before the last list with the former start, the wall clock is wrong.
	maxReportDelay = 6 * time.Second
)

// StartTimes holds the reported and the translated start time of each endpoint.
type StartTimes struct {
	endpoints map[string]startTime
}

type startTime struct {
	reported time.Duration // start as the agent reported it; 0: long ago
	local    time.Duration // start on the process's clock; 0: long ago
}

// New returns an empty StartTimes.
func New() *StartTimes { return &StartTimes{endpoints: map[string]startTime{}} }

// Translate returns the entries of a list with their starts translated to the process's clock. It removes the start times of
// endpoints that the list marks as removed and, if complete is true, of endpoints that are not in the list. It doesn't change
// the entries that are passed in.
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

// localStart translates a start time that is reported for the first time. restarted is true if a different start time of the
// endpoint was reported before.
func localStart(reported time.Duration, restarted bool, readings ClockReadings) time.Duration {
	if reported == 0 {
		return 0
	}
	start := reported
	if offset := readings.Wall - readings.Now; offset < -minClockStep || offset > minClockStep {
		// The agent read its clock before or after the step. The later of the two start times is safe: at worst the endpoint's slow
		// start lasts longer.
		start = max(reported, reported-offset)
	}
	if restarted && start < readings.Confirmed-maxReportDelay {
		start = readings.Confirmed
	}
	return min(start, readings.Now)
}
