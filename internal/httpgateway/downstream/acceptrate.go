package downstream

import "time"

// acceptRate measures the rate of accepts and the length of the accept queue while connections wait. Its zero value has seen none.
// Serve's goroutine owns it.
type acceptRate struct {
	windowStart  time.Time     // start of the present window
	inWindow     int           // accepts in the present window
	longest      int           // longest queue in the present window
	lastInterval time.Duration // mean time between two accepts of the last window
	lastLongest  int           // longest queue of the last window
}

// reset forgets what was measured.
func (r *acceptRate) reset() { *r = acceptRate{} }

// count counts an accept, after which the queue has a length.
func (r *acceptRate) count(now time.Time, queueLength int) {
	if r.windowStart.IsZero() {
		r.windowStart = now
	}
	r.inWindow++
	r.longest = max(r.longest, queueLength)
	if elapsed := now.Sub(r.windowStart); elapsed >= acceptWindow {
		*r = acceptRate{windowStart: now, lastInterval: elapsed / time.Duration(r.inWindow), lastLongest: r.longest}
	}
}

// wait estimates for how long the connection that was just accepted has waited: those before it were accepted first. It is at most most,
// the time since the queue began, which is all that is known before the first window has passed.
func (r *acceptRate) wait(now time.Time, most time.Duration) time.Duration {
	if r.lastInterval == 0 {
		return most
	}
	interval := max(r.lastInterval, now.Sub(r.windowStart)/time.Duration(r.inWindow+1))
	return min(time.Duration(max(r.longest, r.lastLongest)+1)*interval, most)
}
