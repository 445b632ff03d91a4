package downstream

import "time"

// acceptRate measures the rate of accepts while connections wait. Its zero value has seen none. Serve's goroutine owns it.
type acceptRate struct {
	windowStart  time.Time     // start of the present window
	inWindow     int           // accepts in the present window
	lastInterval time.Duration // mean time between two accepts of the last window
}

// reset forgets what was measured.
func (r *acceptRate) reset() { *r = acceptRate{} }

// count counts an accept.
func (r *acceptRate) count(now time.Time) {
	if r.windowStart.IsZero() {
		r.windowStart = now
	}
	r.inWindow++
	if elapsed := now.Sub(r.windowStart); elapsed >= acceptWindow {
		*r = acceptRate{windowStart: now, lastInterval: elapsed / time.Duration(r.inWindow)}
	}
}

// interval returns the mean time between two accepts, of the last window or of the present one if that is longer.
func (r *acceptRate) interval(now time.Time) time.Duration {
	return max(r.lastInterval, now.Sub(r.windowStart)/time.Duration(r.inWindow+1))
}
