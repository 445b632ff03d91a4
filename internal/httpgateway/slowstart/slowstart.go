// Package slowstart dates the starts of servers on the clock of this process. Discovery tells a start as a wall-clock time, and
// wall clocks may be stepped by an hour; how long a server has been up is a span of real time that must not move with them.
// It has no clock and no I/O, and is not safe for concurrent use.
package slowstart

import (
	"time"

	"weirhaven/internal/engine"
)

// Times are the readings that belong to one list.
type ClockReadings struct {
	Now       time.Duration // on the process's clock, which began as a wall clock and is monotonic since
	Wall      time.Duration // the wall clock now, as Unix time
	Confirmed time.Duration // on the process's clock: until then the list before this one was known to hold; 0: not known
}

// stepped is by how much the wall clock and the process's clock must differ to be told apart: less is slewing and scheduling.
const stepped = 100 * time.Millisecond

// tellWithin is how long discovery may take to tell of a restart. One that seems to lie further before the list that still
// had the former start can't be: the wall clock is off.
const tellWithin = 6 * time.Second

// Dates remembers what was told of each server, and when it started by the process's clock.
type StartTimes struct {
	endpoints map[string]date
}

type date struct {
	told  time.Duration // as discovery told it; 0: long ago
	start time.Duration // on the process's clock; 0: long ago
}

// New returns a Dates that knows no server.
func New() *StartTimes { return &StartTimes{endpoints: map[string]date{}} }

// Date returns the lines of a list with their starts on the process's clock. A server that has gone is forgotten.
func (d *StartTimes) Translate(whole bool, lines []engine.EndpointEntry, t ClockReadings) []engine.EndpointEntry {
	known := d.endpoints
	if whole {
		d.endpoints = map[string]date{}
	}
	dated := make([]engine.EndpointEntry, len(lines))
	for i, line := range lines {
		before, listed := known[line.Name]
		switch {
		case line.Gone:
			delete(d.endpoints, line.Name)
		case line.Unreadable && !listed:
		case line.Unreadable, listed && before.told == line.Started:
			d.endpoints[line.Name] = before
			line.Started = before.start
		default:
			start := startOf(line.Started, listed, t)
			d.endpoints[line.Name] = date{line.Started, start}
			line.Started = start
		}
		dated[i] = line
	}
	return dated
}

// startOf dates a start that was not told before.
func startOf(told time.Duration, restarted bool, t ClockReadings) time.Duration {
	if told == 0 {
		return 0
	}
	start := told
	if offset := t.Wall - t.Now; offset < -stepped || offset > stepped {
		start = max(told, told-offset) // by whichever clock it is younger: the start was told before or after the step
	}
	if restarted && start < t.Confirmed-tellWithin {
		start = t.Confirmed
	}
	return min(start, t.Now)
}
