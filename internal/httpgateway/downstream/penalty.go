package downstream

import (
	"math/rand/v2"
	"time"
)

// A client whose request is refused before it reaches the engine may come back at once, with hundreds of others. So errors are held
// back once they exceed a rate: a connection whose error is held back costs no CPU and little memory, and its client sends nothing
// new meanwhile.
const (
	// maxErrorsPerCore is the rate of errors, per second and core, from which on they are held back.
	maxErrorsPerCore = 1200
	// minErrors is the same rate, per second, however small the share of a core.
	minErrors = 100
	// errorBurst is the number of errors that may exceed the rate for a moment.
	errorBurst = 100
	// maxPenalty is the longest time for which an error is held back.
	maxPenalty = 1500 * time.Millisecond
	// lastErrorAt is the time after the accept, or after the first byte of a later request, by which an error is written at the
	// latest. A client is owed it within 3 s.
	lastErrorAt = requestTimeout + 200*time.Millisecond
	// evictionsPerCore is the rate, per second and core, at which connections whose errors are held back are evicted at most in
	// favor of new ones.
	evictionsPerCore = 2400
)

// holdBack holds an error of the connection back if there have been too many. It returns early if the connection is retired.
func (c *conn) holdBack() {
	now := time.Now()
	if c.server.errors.take(now) == 0 {
		return
	}
	c.endTurn()
	c.heldBack = true
	c.server.countHeldBack()
	until := now.Add(maxPenalty/2 + rand.N(maxPenalty/2)) // not all at the same time
	if begunAt := c.requestDeadline.Add(-requestTimeout); !c.requestDeadline.IsZero() && begunAt.Add(lastErrorAt).Before(until) {
		until = begunAt.Add(lastErrorAt)
	}
	c.server.moveTo(c, penalized, until)
	c.awaitRetirement(until)
	c.takeTurn()
}

// countHeldBack counts an error that is held back.
func (s *Server) countHeldBack() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.HeldBack++
}

// awaitRetirement waits until a time, or until the connection is retired. It is not woken by what the client sends.
func (c *conn) awaitRetirement(until time.Time) {
	if _, retired := c.server.retirement(c); retired {
		return
	}
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case <-c.retirements:
	case <-timer.C:
	}
}

// penaltyEvictionAge returns the time for which an error may be held back before the connection is evicted.
func penaltyEvictionAge(maxConnections int, cores float64) time.Duration {
	age := time.Duration(float64(maxConnections) / (evictionsPerCore * cores) * float64(time.Second))
	return min(age, time.Second)
}
