package upstream

import (
	"errors"
	"os"
	"slices"
	"time"

	"weirhaven/internal/httpgateway/socket"
)

// becomeIdle adds the connection to the idle ones, and returns false if it must be closed instead. The caller reports the
// attempt's outcome afterwards, so that the next attempt of the scheduler can use this connection.
func (c *conn) becomeIdle() bool {
	p := c.endpoint.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = c.nc.SetDeadline(time.Now().Add(p.idleLimit.Duration())) // a broken connection fails the next read
	if c.closed || c.endpoint.closed || p.ctx.Err() != nil {
		return false
	}
	c.idleSince, c.served = time.Now(), true
	c.endpoint.idle = append(c.endpoint.idle, c)
	c.endpoint.assignIdle()
	return true
}

// awaitAttempt waits until the idle connection is assigned an attempt; nil: the connection has ended. If the endpoint has closed
// the connection or has sent unsolicited bytes, this is detected before anything is written, and the attempt is assigned another
// connection.
func (c *conn) awaitAttempt() *attempt {
	err := c.reader.Await()
	if err == nil {
		c.recordUnsolicited(time.Since(c.idleSince))
	}
	e, p := c.endpoint, c.endpoint.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	if i := slices.Index(e.idle, c); i >= 0 {
		e.idle = slices.Delete(e.idle, i, i+1)
	}
	a := c.next
	c.next = nil
	if a == nil {
		return nil
	}
	_ = c.nc.SetReadDeadline(time.Time{}) // a broken connection fails the next read
	if !c.closed && errors.Is(err, os.ErrDeadlineExceeded) && socket.Peek(c.nc) == socket.Empty {
		return a
	}
	if e.inFlight[a.id] != a { // canceled
		return nil
	}
	p.counts.Stale++
	c.close()
	e.assignConnection(a)
	return nil
}

// recordUse records how a use of the connection ended, from which the pool learns the idle limit; broken: the connection broke
// during the attempt. A canceled attempt is not counted, since this process closed its connection.
func (c *conn) recordUse(a *attempt, broken bool) {
	p := c.endpoint.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.endpoint.inFlight[a.id] != a {
		return
	}
	now := p.options.Loop.Now()
	if c.idleSince.IsZero() {
		p.idleLimit.RecordFirstUse(broken, now)
	} else if p.idleLimit.RecordReuse(c.idleBefore, broken, now) {
		p.options.Log.Info("idle limit of upstream connections changed", "limit", p.idleLimit.Duration())
	}
}

// recordUnsolicited records that bytes which belong to no attempt arrived so long after the previous response. From this the pool
// learns the reuse delay, as the bytes may be a duplicate of that response.
func (c *conn) recordUnsolicited(after time.Duration) {
	p := c.endpoint.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counts.Unsolicited++
	p.reuseDelay.RecordUnsolicited(after, p.options.Loop.Now())
}
