package upstream

import (
	"context"
	"errors"
	"math"
	"net"
	"runtime/debug"
	"slices"
	"strconv"
	"time"

	"weirhaven/internal/http1"
	"weirhaven/internal/httpgateway/metrics"
	"weirhaven/policy"
)

// conn is one connection, owned by one goroutine.
type conn struct {
	endpoint *endpoint
	nc       net.Conn // nil: not up yet
	in       *http1.Reader
	began    time.Time          // the dial
	stop     context.CancelFunc // of the dial
	next     *attempt           // handed over while it was idle
	dead     bool               // closed, or about to be
	used     bool               // an answer came on it
	since    time.Time          // idle; zero: never yet
	idled    time.Duration      // idle before the attempt that is out
}

var longAgo = time.Unix(1, 0)

// run brings a connection up and serves whoever waits for one.
func (c *conn) run(ctx context.Context) {
	p := c.endpoint.pool
	defer func() {
		if cause := recover(); cause != nil {
			c.panicked(cause)
		}
		p.mu.Lock()
		c.kill()
		p.mu.Unlock()
	}()
	nc, err := c.connect(ctx)
	j := c.up(nc, err)
	for c.nc != nil {
		if j == nil {
			if j = c.park(); j == nil {
				return
			}
		}
		if !c.exchange(j) {
			return
		}
		j = nil
	}
}

// panicked reports the attempt on a connection whose goroutine met a fault of this program: it may have run.
func (c *conn) panicked(cause any) {
	p := c.endpoint.pool
	p.o.Log.Error("panic on a connection to a server", "server", c.endpoint.brick, "cause", cause, "stack", string(debug.Stack()))
	p.o.Observe.Count(metrics.Attempt, metrics.Panicked)
	p.mu.Lock()
	if c.nc == nil { // it never came up; whoever waits is given another
		c.endpoint.dialing = slices.DeleteFunc(c.endpoint.dialing, func(x *conn) bool { return x == c })
		p.counts.Open--
		c.dead = true
	}
	var lost *attempt
	for _, j := range c.endpoint.out {
		if j.conn == c {
			lost = j
		}
	}
	p.mu.Unlock()
	switch {
	case lost == nil:
	case lost.begun:
		c.endpoint.report(lost, p.o.Loop.Now(), policy.ConnectionReset, nil, 0)
	default:
		c.endpoint.report(lost, p.o.Loop.Now(), policy.NotSent, nil, 0)
	}
}

// up takes a connection into use, or tells one that waited that there is none.
func (c *conn) up(nc net.Conn, err error) *attempt {
	l, p := c.endpoint, c.endpoint.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	l.dialing = slices.DeleteFunc(l.dialing, func(x *conn) bool { return x == c })
	if err == nil && c.dead {
		nc.Close()
		err = net.ErrClosed
	}
	if err != nil {
		p.counts.Open--
		c.dead = true
		if len(l.waiting) > len(l.dialing)+len(l.idle) {
			l.fail(l.waiting[0])
		}
		return nil
	}
	c.nc, c.in = nc, http1.NewReader(nc)
	if len(l.waiting) > 0 {
		j := l.waiting[0]
		l.unwait(j)
		j.conn = c
		return j
	}
	c.nc.SetDeadline(time.Now().Add(p.idleLimit.Most()))
	c.since = time.Now()
	l.idle = append(l.idle, c)
	return nil
}

// exchange sends an attempt and reads its answer; it tells whether the connection can be used on.
func (c *conn) exchange(j *attempt) bool {
	now := c.endpoint.pool.o.Loop.Now
	begun, whole, err := c.send(j)
	switch {
	case !begun:
		c.endpoint.report(j, now(), policy.NotSent, nil, 0)
		return false
	case err != nil && !whole:
		c.learn(j, true)
		c.endpoint.report(j, now(), policy.ConnectFailed, nil, 0)
		return false
	case err != nil:
		c.learn(j, true)
		c.endpoint.report(j, now(), policy.ConnectionReset, nil, 0)
		return false
	}
	h, body, err := c.read(j)
	at := now()
	if err != nil {
		var spoilt *http1.Error
		how := policy.ConnectionReset
		if errors.As(err, &spoilt) {
			c.spoilt(spoilt)
			how = policy.ErrorResponse
		}
		c.learn(j, how == policy.ConnectionReset)
		c.endpoint.report(j, at, how, nil, 0)
		return false
	}
	c.learn(j, false)
	good := !h.Close && c.in.Buffered() == 0 // what stands after an answer belongs to no attempt
	if c.in.Buffered() > 0 {
		c.stray(0)
	}
	how := policy.ErrorResponse
	switch {
	case h.Status == 200:
		how = policy.Served
	case (h.Status == 503 || h.Status == 504) && h.Get("X-Turned-Away") == "1":
		how = policy.Rejected
	}
	good = good && c.rest()
	c.endpoint.report(j, at, how, body, number(h.Get("Other-Hosts")))
	return good
}

// stray notes that something came so long after an answer that nobody had asked for.
func (c *conn) stray(after time.Duration) {
	p := c.endpoint.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counts.Extra++
	p.quarantine.Stray(after, p.o.Loop.Now())
}

func (c *conn) read(j *attempt) (*http1.Head, []byte, error) {
	if err := c.in.Await(); err != nil {
		return nil, nil, err
	}
	h, err := c.in.Answer()
	if err != nil {
		return nil, nil, err
	}
	n := h.Length
	if n < 0 { // none is told
		n = MaxBody
	}
	if n > 0 && n <= MaxBody { // else no body is read
		if err := c.endpoint.pool.bodies.Acquire(j.ctx, n); err != nil {
			return nil, nil, err
		}
		j.held = n
	}
	body, err := c.in.Body(h, MaxBody)
	return h, body, err
}

// learn tells what the connection's use shows of how long one may lie idle.
func (c *conn) learn(j *attempt, broke bool) {
	p := c.endpoint.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.endpoint.out[j.id] != j { // given up here
		return
	}
	if c.since.IsZero() {
		p.idleLimit.First(broke, p.o.Loop.Now())
	} else if p.idleLimit.Next(c.idled, broke, p.o.Loop.Now()) {
		p.o.Log.Info("connections to bricks may lie idle for another time now", "most", p.idleLimit.Most())
	}
}

// spoilt counts an answer that can't be read, and now and then says why.
func (c *conn) spoilt(why error) {
	p := c.endpoint.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counts.Spoilt++
	if now := time.Now(); now.Sub(p.told) >= time.Second {
		p.told = now
		p.o.Log.Info("an answer that can't be read", "brick", c.endpoint.brick, "why", why, "so far", p.counts.Spoilt)
	}
}

// number reads a figure that an answer may carry; one that can't be read is as if absent.
func number(s string) float64 {
	x, err := strconv.ParseFloat(s, 64)
	if err != nil || !(x >= 0) || math.IsInf(x, 0) {
		return 0
	}
	return x
}
