package pool

import (
	"errors"
	"net"
	"os"
	"slices"
	"syscall"
	"time"
)

// rest puts a connection among the idle ones, before the outcome of its dispatch is told: what the module sends next
// finds it there. It tells whether the connection is kept.
func (c *conn) rest() bool {
	p := c.line.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	c.nc.SetDeadline(time.Now().Add(p.life.Most()))
	if c.dead || c.line.closed || p.ctx.Err() != nil {
		return false
	}
	c.since, c.used = time.Now(), true
	c.line.idle = append(c.line.idle, c)
	c.line.match()
	return true
}

func (c *conn) rested() time.Time { return c.since }

// park waits until the connection gets a job or ends. A brick that closes it or sends what nobody asked for is noticed
// here, before anything is written.
func (c *conn) park() *job {
	err := c.in.Await()
	if err == nil {
		c.stray(time.Since(c.since))
	}
	p := c.line.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	if i := slices.Index(c.line.idle, c); i >= 0 {
		c.line.idle = slices.Delete(c.line.idle, i, i+1)
	}
	j := c.next
	c.next = nil
	if j == nil {
		return nil
	}
	if !c.dead && errors.Is(err, os.ErrDeadlineExceeded) && c.silent() {
		return j
	}
	if c.line.out[j.id] != j {
		return nil
	}
	p.counts.Stale++
	c.kill()
	c.line.place(j)
	return nil
}

// silent looks once more, without waiting, whether the brick closed the connection or sent something.
func (c *conn) silent() bool {
	c.nc.SetReadDeadline(time.Time{})
	t, ok := c.nc.(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := t.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}
