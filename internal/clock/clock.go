// Package clock provides the clock of a process: the wall-clock time at its start plus the time elapsed since then on the
// monotonic clock. Leases, ages, waits and grace periods are durations of real time, and on this clock a step of the wall
// clock does not affect them. The clock never runs backwards and is never near zero, so that it can represent times before
// the start of the process.
package clock

import "time"

// Clock is the clock of a process. It is safe for concurrent use. Make one with New; the zero value is not usable.
type Clock struct{ start time.Time }

// New returns a clock that starts at the present wall-clock time.
func New() Clock { return Clock{time.Now()} }

// Now returns the time since the Unix epoch, not counting steps of the wall clock since New.
func (c Clock) Now() time.Duration {
	return time.Duration(c.start.UnixNano()) + time.Since(c.start)
}
