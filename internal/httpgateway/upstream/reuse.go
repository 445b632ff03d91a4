package upstream

import (
	"errors"
	"os"
	"slices"
	"time"

	"weirhaven/internal/httpgateway/socket"
)

// becomeIdle puts a connection among the idle ones and reports whether it is kept. It is called before the outcome of its
// attempt is reported, so that the attempt which the scheduler sends next finds it there.
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

// awaitAttempt waits until the idle connection gets an attempt; nil: it ended. An endpoint that has closed it, or has sent
// what nobody asked for, is noticed here before anything is written, so the attempt goes on another connection without
// having been sent.
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
	e.place(a)
	return nil
}

// recordUse lets the pool learn how long a connection may be idle; broken: the connection ended under the attempt. A
// canceled attempt shows nothing, since its connection was closed here.
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

// recordUnsolicited lets the pool learn how late a duplicate of a response may come: bytes came so long after the response
// before, and belong to no attempt.
func (c *conn) recordUnsolicited(after time.Duration) {
	p := c.endpoint.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counts.Unsolicited++
	p.reuseDelay.RecordUnsolicited(after, p.options.Loop.Now())
}
