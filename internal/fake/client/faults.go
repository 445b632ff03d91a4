package client

import (
	"time"
)

// SetRate sets the multiple of the request rate of a plan's volumes, or of all volumes if plan is negative.
func (l *Load) SetRate(plan int, multiple float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if plan < 0 {
		l.rateMultiple = multiple
	} else {
		l.planMultiples[uint32(plan)] = multiple
	}
}

// SetHotShare sets the share of all requests, 0 to 1, that go to one object of their volume.
func (l *Load) SetHotShare(share float64) { l.set(func() { l.hotShare = share }) }

// SetImmediateRetries lets clients retry without backoff, up to retries times; 0 restores the backoff.
func (l *Load) SetImmediateRetries(retries int) { l.set(func() { l.immediateRetries = retries }) }

// set applies a change under mu.
func (l *Load) set(change func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change()
}

// Reconnect closes the connections to a share of the gateways at the same time. They connect again after reconnectDelay.
func (l *Load) Reconnect(share float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, k := range l.links {
		if k.conn != nil && l.random.Float64() < share {
			k.closedByClient = true
			_ = k.conn.Close()
		}
	}
}

// Stall stops the clients of a share of the gateways from reading for duration.
func (l *Load) Stall(share float64, duration time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, k := range l.links {
		if l.random.Float64() < share {
			k.stalledUntil = time.Now().Add(duration)
		}
	}
}
