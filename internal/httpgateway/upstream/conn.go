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
	endpoint      *endpoint
	nc            net.Conn // nil: not up yet
	reader        *http1.Reader
	dialStartedAt time.Time          // the dial
	cancelDial    context.CancelFunc // of the dial
	next          *attempt           // handed over while it was idle
	closed        bool               // closed, or about to be
	served        bool               // an answer came on it
	idleSince     time.Time          // idle; zero: never yet
	idleBefore    time.Duration      // idle before the attempt that is out
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
	p.options.Log.Error("panic on a connection to a server", "server", c.endpoint.name, "cause", cause, "stack", string(debug.Stack()))
	p.options.Recorder.Count(metrics.Attempt, metrics.Panicked)
	p.mu.Lock()
	if c.nc == nil { // it never came up; whoever waits is given another
		c.endpoint.dialing = slices.DeleteFunc(c.endpoint.dialing, func(x *conn) bool { return x == c })
		p.counts.Open--
		c.closed = true
	}
	var lost *attempt
	for _, j := range c.endpoint.inFlight {
		if j.conn == c {
			lost = j
		}
	}
	p.mu.Unlock()
	switch {
	case lost == nil:
	case lost.started:
		c.endpoint.report(lost, p.options.Loop.Now(), policy.ConnectionReset, nil, 0)
	default:
		c.endpoint.report(lost, p.options.Loop.Now(), policy.NotSent, nil, 0)
	}
}

// up takes a connection into use, or tells one that waited that there is none.
func (c *conn) up(nc net.Conn, err error) *attempt {
	l, p := c.endpoint, c.endpoint.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	l.dialing = slices.DeleteFunc(l.dialing, func(x *conn) bool { return x == c })
	if err == nil && c.closed {
		nc.Close()
		err = net.ErrClosed
	}
	if err != nil {
		p.counts.Open--
		c.closed = true
		if len(l.waiting) > len(l.dialing)+len(l.idle) {
			l.fail(l.waiting[0])
		}
		return nil
	}
	c.nc, c.reader = nc, http1.NewReader(nc)
	if len(l.waiting) > 0 {
		j := l.waiting[0]
		l.unwait(j)
		j.conn = c
		return j
	}
	c.nc.SetDeadline(time.Now().Add(p.idleLimit.Duration()))
	c.idleSince = time.Now()
	l.idle = append(l.idle, c)
	return nil
}

// exchange sends an attempt and reads its answer; it tells whether the connection can be used on.
func (c *conn) exchange(j *attempt) bool {
	now := c.endpoint.pool.options.Loop.Now
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
	good := !h.Close && c.reader.Buffered() == 0 // what stands after an answer belongs to no attempt
	if c.reader.Buffered() > 0 {
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
	p.counts.Unsolicited++
	p.reuseDelay.RecordUnsolicited(after, p.options.Loop.Now())
}

func (c *conn) read(j *attempt) (*http1.Head, []byte, error) {
	if err := c.reader.Await(); err != nil {
		return nil, nil, err
	}
	h, err := c.reader.Answer()
	if err != nil {
		return nil, nil, err
	}
	n := h.Length
	if n < 0 { // none is told
		n = MaxResponseBody
	}
	if n > 0 && n <= MaxResponseBody { // else no body is read
		if err := c.endpoint.pool.responseMemory.Acquire(j.ctx, n); err != nil {
			return nil, nil, err
		}
		j.reservedBytes = n
	}
	body, err := c.reader.Body(h, MaxResponseBody)
	return h, body, err
}

// learn tells what the connection's use shows of how long one may lie idle.
func (c *conn) learn(j *attempt, broke bool) {
	p := c.endpoint.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.endpoint.inFlight[j.id] != j { // given up here
		return
	}
	if c.idleSince.IsZero() {
		p.idleLimit.RecordFirstUse(broke, p.options.Loop.Now())
	} else if p.idleLimit.RecordReuse(c.idleBefore, broke, p.options.Loop.Now()) {
		p.options.Log.Info("connections to bricks may lie idle for another time now", "most", p.idleLimit.Duration())
	}
}

// spoilt counts an answer that can't be read, and now and then says why.
func (c *conn) spoilt(why error) {
	p := c.endpoint.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counts.Malformed++
	if now := time.Now(); now.Sub(p.malformedLoggedAt) >= time.Second {
		p.malformedLoggedAt = now
		p.options.Log.Info("an answer that can't be read", "brick", c.endpoint.name, "why", why, "so far", p.counts.Malformed)
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
