// Package clock is the clock of a process: a wall-clock reading at its start plus what the monotonic clock has counted since.
// Leases, ages, waits and graces are spans of real time; on this clock a step of the wall clock does not move them. It never
// runs backwards and is never near zero, so that times before the process's own start have a place on it.
package clock

import "time"

// Clock is one; it is safe for concurrent use.
type Clock struct{ start time.Time }

// New begins now.
func New() Clock { return Clock{time.Now()} }

// Now is the time on the clock, as Unix time would be had the wall clock not been stepped since the start.
func (c Clock) Now() time.Duration {
	return time.Duration(c.start.UnixNano()) + time.Since(c.start)
}
