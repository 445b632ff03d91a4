package upstream

import (
	"errors"
	"os"
	"slices"
	"time"

	"weirhaven/internal/httpgateway/socket"
)

// rest puts a connection among the idle ones, before the outcome of its attempt is told: what the module sends next
// finds it there. It tells whether the connection is kept.
func (c *conn) rest() bool {
	p := c.endpoint.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	c.nc.SetDeadline(time.Now().Add(p.idleLimit.Duration()))
	if c.closed || c.endpoint.closed || p.ctx.Err() != nil {
		return false
	}
	c.idleSince, c.served = time.Now(), true
	c.endpoint.idle = append(c.endpoint.idle, c)
	c.endpoint.match()
	return true
}

func (c *conn) rested() time.Time { return c.idleSince }

// park waits until the connection gets an attempt or ends. A server that closes it or sends what nobody asked for is noticed
// here, before anything is written.
func (c *conn) park() *attempt {
	err := c.reader.Await()
	if err == nil {
		c.stray(time.Since(c.idleSince))
	}
	p := c.endpoint.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	if i := slices.Index(c.endpoint.idle, c); i >= 0 {
		c.endpoint.idle = slices.Delete(c.endpoint.idle, i, i+1)
	}
	j := c.next
	c.next = nil
	if j == nil {
		return nil
	}
	c.nc.SetReadDeadline(time.Time{})
	if !c.closed && errors.Is(err, os.ErrDeadlineExceeded) && socket.Peek(c.nc) == socket.Empty {
		return j
	}
	if c.endpoint.inFlight[j.id] != j {
		return nil
	}
	p.counts.Stale++
	c.kill()
	c.endpoint.place(j)
	return nil
}
