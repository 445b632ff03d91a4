package client

import (
	"time"
)

// SetRate multiplies the rate of the volumes of a plan, or of all if plan is negative.
func (l *Load) SetRate(plan int, multiple float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if plan < 0 {
		l.rateMultiple = multiple
	} else {
		l.planMultiples[uint32(plan)] = multiple
	}
}

// SetHotShare sends a share of all requests, 0 to 1, to one object of their volume.
func (l *Load) SetHotShare(share float64) { l.set(func() { l.hotShare = share }) }

// SetImmediateRetries lets clients retry without backoff, up to so many times; 0: they back off.
func (l *Load) SetImmediateRetries(retries int) { l.set(func() { l.immediateRetries = retries }) }

// set changes what is guarded by mu.
func (l *Load) set(change func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change()
}

// Reconnect closes the connections to a share of the gateways, together.
func (l *Load) Reconnect(share float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, k := range l.links {
		if k.conn != nil && l.random.Float64() < share {
			k.closedHere = true
			_ = k.conn.Close()
		}
	}
}

// Stall lets the clients of a share of the gateways read nothing for a while.
func (l *Load) Stall(share float64, duration time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, k := range l.links {
		if l.random.Float64() < share {
			k.stalledUntil = time.Now().Add(duration)
		}
	}
}
