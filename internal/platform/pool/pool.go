// Package pool is the way to the platform's bricks: for each brick some connections, one dispatch at a time on each.
// Every dispatch that is not given up by the loop is reported once, with the one way it ended. Nothing is ever sent
// again here: a dispatch changes its connection only before its first byte is written.
package pool

import (
	"context"
	"errors"
	"log/slog"

	"math"
	"net"

	"strconv"
	"sync"

	"time"

	"golang.org/x/sync/semaphore"

	"weirhaven/internal/hostloop"
	"weirhaven/internal/http1"
	"weirhaven/internal/platform/pool/idle"
	"weirhaven/policy"
)

// Loop takes events; it may wait for room.
type Loop interface {
	Now() time.Duration
	Post(f func(*hostloop.Core)) bool
}

// Options are what a pool is made with.
type Options struct {
	Loop    Loop
	Most    int           // connections at a time, to all bricks
	Bodies  int64         // bytes of answers held at a time, until their clients have them; at least MaxBody
	Connect time.Duration // until a connection is up
	Idle    time.Duration // until one without a dispatch is closed here
	Log     *slog.Logger
}

// MaxBody is the longest body of an answer. The platform's page says 64 KiB, its bricks answer with several times that.
const MaxBody = 1 << 20

// Counts are running totals.
type Counts struct {
	Opened, Dispatched, Stale, Spoilt, Extra, Evicted, Exhausted int64
	Open                                                         int
}

// Pool is all connections to bricks.
type Pool struct {
	o      Options
	dialer net.Dialer
	ctx    context.Context
	stop   context.CancelFunc
	wg     sync.WaitGroup
	bodies *semaphore.Weighted

	mu     sync.Mutex // guards all below and in lines and conns
	lines  map[*line]bool
	counts Counts
	life   *idle.Life
	told   time.Time // when answers that can't be read were logged
}

// New makes a pool without connections.
func New(o Options) *Pool {
	p := &Pool{o: o, dialer: net.Dialer{Timeout: o.Connect, KeepAlive: -1}, lines: map[*line]bool{},
		life: idle.New(o.Idle), bodies: semaphore.NewWeighted(max(o.Bodies, MaxBody))}
	p.ctx, p.stop = context.WithCancel(context.Background())
	return p
}

// Counts tells the totals so far.
func (p *Pool) Counts() Counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counts
}

// Close ends all connections and waits for their goroutines. The loop must have ended.
func (p *Pool) Close() {
	p.stop()
	p.mu.Lock()
	for l := range p.lines {
		l.shut()
		for _, j := range l.out {
			j.abandon()
		}
	}
	p.mu.Unlock()
	p.wg.Wait()
}

// Line is the way to one brick.
func (p *Pool) Line(brick, address string) hostloop.Line {
	l := &line{pool: p, brick: brick, address: address, out: map[uint64]*job{}}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lines[l] = true
	return l
}

type line struct {
	pool           *Pool
	brick, address string
	out            map[uint64]*job
	idle           []*conn // the one used last is the last
	closed         bool
}

// job is a dispatch until it is reported or given up.
type job struct {
	id    uint64
	task  *hostloop.Task
	bytes []byte
	held  int64 // of the budget for bodies
	until time.Time
	ctx   context.Context // ends when it is given up
	stop  context.CancelFunc
	conn  *conn
}

// conn is one connection, owned by one goroutine.
type conn struct {
	line  *line
	nc    net.Conn // nil: not up yet
	in    *http1.Reader
	next  *job          // handed over while it was idle
	dead  bool          // closed, or about to be
	since time.Time     // idle; zero: not used yet
	lay   time.Duration // idle before the dispatch that is out
}

// Dispatch puts a command on the connection used last, or on a new one.
func (l *line) Dispatch(id uint64, t *hostloop.Task, n int, left time.Duration) {
	b := make([]byte, 0, len(t.Lead)+96+len(t.Body))
	b = append(b, t.Lead...)
	b = http1.AppendField(b, "X-Remaining-Ms", strconv.FormatInt(max(left.Milliseconds(), 1), 10))
	if len(t.Body) > 0 || len(b) > 0 && b[0] == 'P' {
		b = http1.AppendEnd(b, t.Body)
	} else {
		b = append(b, "\r\n"...)
	}
	j := &job{id: id, task: t, bytes: b, until: time.Now().Add(left)}
	j.ctx, j.stop = context.WithCancel(l.pool.ctx)
	p := l.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counts.Dispatched++
	l.out[id] = j
	l.place(j)
}

// place finds a connection for a job of which nothing was sent. Under mu.
func (l *line) place(j *job) {
	if n := len(l.idle); n > 0 && time.Since(l.idle[n-1].since) > l.pool.life.Most() {
		l.shut() // the others have lain there for longer
	}
	if n := len(l.idle); n > 0 {
		c := l.idle[n-1]
		c.lay = time.Since(c.since)
		l.idle = l.idle[:n-1]
		c.next, j.conn = j, c
		c.nc.SetReadDeadline(longAgo) // wakes its goroutine
		return
	}
	p := l.pool
	c := &conn{line: l}
	j.conn = c
	if l.closed || p.ctx.Err() != nil || p.counts.Open >= p.o.Most && !p.evict() {
		p.counts.Exhausted++
		c.dead = true
		p.spawn(func() { l.report(j, p.o.Loop.Now(), policy.Unconnected, nil, 0) })
		return
	}
	p.counts.Open++
	p.counts.Opened++
	p.spawn(func() { c.run(j) })
}

func (p *Pool) spawn(f func()) {
	p.wg.Add(1)
	go func() {
		defer p.wg.Done()
		f()
	}()
}

// evict closes the connection that has been idle for longest, to whichever brick. Under mu.
func (p *Pool) evict() bool {
	var from *line
	for l := range p.lines {
		if len(l.idle) > 0 && (from == nil || l.idle[0].rested().Before(from.idle[0].rested())) {
			from = l
		}
	}
	if from == nil {
		return false
	}
	c := from.idle[0]
	from.idle = from.idle[1:]
	p.counts.Evicted++
	c.kill()
	return true
}

// Cancel and Forget give a dispatch up: its connection is closed.
func (l *line) Cancel(id uint64) {
	l.pool.mu.Lock()
	defer l.pool.mu.Unlock()
	if j := l.out[id]; j != nil {
		delete(l.out, id)
		j.abandon()
	}
}

func (l *line) Forget(id uint64) { l.Cancel(id) }

func (j *job) abandon() {
	j.stop()
	j.conn.kill()
}

// kill closes a connection from outside. Under mu.
func (c *conn) kill() {
	if !c.dead {
		c.dead = true
		c.line.pool.counts.Open--
		if c.nc != nil {
			c.nc.Close()
		}
	}
}

// Probe is not part of what the platform allows.
func (l *line) Probe(id uint64) {
	l.pool.spawn(func() {
		l.pool.o.Loop.Post(func(c *hostloop.Core) { c.ProbeOutcome(l.brick, id, policy.Unconnected) })
	})
}

func (l *line) Greet() {}

func (l *line) CloseIdle() {
	l.pool.mu.Lock()
	defer l.pool.mu.Unlock()
	l.shut()
}

func (l *line) shut() {
	for _, c := range l.idle {
		c.kill()
	}
	l.idle = nil
}

// Close lets what is out end; nothing new is sent.
func (l *line) Close() {
	l.pool.mu.Lock()
	defer l.pool.mu.Unlock()
	l.closed = true
	l.shut()
	l.forget()
}

// forget drops a closed line that has nothing out. Under mu.
func (l *line) forget() {
	if l.closed && len(l.out) == 0 {
		delete(l.pool.lines, l)
	}
}

// report tells the loop how a job ended, unless it was given up.
func (l *line) report(j *job, at time.Duration, how policy.Ending, body []byte, elsewhere float64) {
	p := l.pool
	p.mu.Lock()
	mine := l.out[j.id] == j
	if mine {
		delete(l.out, j.id)
	}
	l.forget()
	p.mu.Unlock()
	j.stop()
	release := func() { p.bodies.Release(j.held) }
	if !mine || !p.o.Loop.Post(func(c *hostloop.Core) {
		j.task.Release = release
		c.OutcomeAt(at, l.brick, j.id, how, body, elsewhere, 0)
		if j.task.Release != nil { // nobody takes the body
			j.task.Release = nil
			release()
		}
	}) {
		release()
	}
}

var longAgo = time.Unix(1, 0)

func (c *conn) run(j *job) {
	p := c.line.pool
	defer func() {
		p.mu.Lock()
		c.kill()
		p.mu.Unlock()
	}()
	nc, err := p.dialer.DialContext(j.ctx, "tcp", c.line.address)
	p.mu.Lock()
	if err == nil && c.dead {
		nc.Close()
		err = net.ErrClosed
	} else if err == nil {
		c.nc, c.in = nc, http1.NewReader(nc)
	}
	p.mu.Unlock()
	if err != nil {
		c.line.report(j, p.o.Loop.Now(), policy.Unconnected, nil, 0)
		return
	}
	for j != nil && c.exchange(j) {
		j = c.park()
	}
}

// exchange sends a job and reads its answer; it tells whether the connection can be used on.
func (c *conn) exchange(j *job) bool {
	now := c.line.pool.o.Loop.Now
	c.nc.SetDeadline(j.until.Add(time.Second)) // the loop gives it up before
	if n, err := c.nc.Write(j.bytes); err != nil {
		how := policy.Unconnected
		if n >= len(j.bytes) {
			how = policy.Broken
		}
		c.learn(j, true)
		c.line.report(j, now(), how, nil, 0)
		return false
	}
	h, body, err := c.read(j)
	at := now()
	if err != nil {
		var spoilt *http1.Error
		how := policy.Broken
		if errors.As(err, &spoilt) {
			c.spoilt(spoilt)
			how = policy.Errored
		}
		c.learn(j, how == policy.Broken)
		c.line.report(j, at, how, nil, 0)
		return false
	}
	c.learn(j, false)
	good := !h.Close && c.in.Buffered() == 0 // what stands after an answer belongs to no dispatch
	if c.in.Buffered() > 0 {
		c.count(&c.line.pool.counts.Extra)
	}
	how := policy.Errored
	switch {
	case h.Status == 200:
		how = policy.Completed
	case (h.Status == 503 || h.Status == 504) && h.Get("X-Turned-Away") == "1":
		how = policy.Turned
	}
	good = good && c.rest()
	c.line.report(j, at, how, body, number(h.Get("Other-Hosts")))
	return good
}

func (c *conn) read(j *job) (*http1.Head, []byte, error) {
	if err := c.in.Await(); err != nil {
		return nil, nil, err
	}
	h, err := c.in.Answer()
	if err != nil {
		return nil, nil, err
	}
	n := h.Length
	if n == http1.Chunked {
		n = MaxBody
	}
	if n > 0 && n <= MaxBody { // else no body is read
		if err := c.line.pool.bodies.Acquire(j.ctx, n); err != nil {
			return nil, nil, err
		}
		j.held = n
	}
	body, err := c.in.Body(h, MaxBody)
	return h, body, err
}

// learn tells what the connection's use shows of how long one may lie idle.
func (c *conn) learn(j *job, broke bool) {
	p := c.line.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.line.out[j.id] != j { // given up here
		return
	}
	if c.since.IsZero() {
		p.life.First(broke, p.o.Loop.Now())
	} else if p.life.Next(c.lay, broke, p.o.Loop.Now()) {
		p.o.Log.Info("connections to bricks may lie idle for another time now", "most", p.life.Most())
	}
}

// spoilt counts an answer that can't be read, and now and then says why.
func (c *conn) spoilt(why error) {
	p := c.line.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counts.Spoilt++
	if now := time.Now(); now.Sub(p.told) >= time.Second {
		p.told = now
		p.o.Log.Info("an answer that can't be read", "brick", c.line.brick, "why", why, "so far", p.counts.Spoilt)
	}
}

func (c *conn) count(n *int64) {
	c.line.pool.mu.Lock()
	defer c.line.pool.mu.Unlock()
	*n++
}

// number reads a figure that an answer may carry; one that can't be read is as if absent.
func number(s string) float64 {
	x, err := strconv.ParseFloat(s, 64)
	if err != nil || !(x >= 0) || math.IsInf(x, 0) {
		return 0
	}
	return x
}
