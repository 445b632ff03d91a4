// Package clock is the clock of a process: a wall-clock reading at its start plus what the monotonic clock has counted
// since. Leases, ages, waits and graces are spans of real time; on this clock a step of the wall clock does not move them.
// It never runs backwards and is never near zero, so that times before the process's own start have a place on it.
package clock

import "time"

// Clock is a process's clock. It is safe for concurrent use. The zero Clock is not useful; see New.
type Clock struct{ start time.Time }

// New returns a clock that starts at the wall clock's present time.
func New() Clock { return Clock{time.Now()} }

// Now returns the time since the Unix epoch, as it would be had the wall clock not been stepped since New.
func (c Clock) Now() time.Duration {
	return time.Duration(c.start.UnixNano()) + time.Since(c.start)
}
