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
	"slices"
	"strconv"
	"sync"
	"time"

	"golang.org/x/sync/semaphore"

	"weirhaven/internal/hostloop"
	"weirhaven/internal/http1"
	"weirhaven/internal/platform/pool/idle"
	"weirhaven/internal/platform/pool/settle"
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
	Most    int                                                         // connections at a time, to all bricks
	Bodies  int64                                                       // bytes of answers held at a time, until their clients have them; at least MaxBody
	Connect time.Duration                                               // that a dispatch waits for its connection
	Idle    time.Duration                                               // until one without a dispatch is closed here
	Dial    func(ctx context.Context, address string) (net.Conn, error) // nil: TCP
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
	ctx    context.Context
	stop   context.CancelFunc
	wg     sync.WaitGroup
	bodies *semaphore.Weighted

	mu     sync.Mutex // guards all below and in lines and conns
	lines  map[*line]bool
	counts Counts
	life   *idle.Life
	calm   *settle.Time
	told   time.Time // when answers that can't be read were logged
}

// A connection that is slow to come up may be one whose packets were lost: another is opened beside it after a quarter
// of the time that a dispatch waits. The slow one is kept for what comes later.
const (
	besides  = 4
	dialMost = 2 * time.Second
	patience = 10 * time.Millisecond // until a connection has settled, rather than open one: bricks hold few
)

// New makes a pool without connections.
func New(o Options) *Pool {
	if o.Dial == nil {
		dialer := net.Dialer{Timeout: max(o.Connect, dialMost), KeepAlive: -1}
		o.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", address)
		}
	}
	p := &Pool{o: o, lines: map[*line]bool{}, life: idle.New(o.Idle), calm: settle.New(), bodies: semaphore.NewWeighted(max(o.Bodies, MaxBody))}
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
			l.abandon(j)
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
	waiting        []*job  // for a connection, oldest first
	dialing        []*conn // not up yet
	idle           []*conn // the one used last is the last
	closed         bool
}

// job is a dispatch until it is reported or given up.
type job struct {
	id    uint64
	task  *hostloop.Task
	lead  []byte // the task's, which drops its body with the final answer
	body  []byte
	held  int64 // of the budget for bodies
	until time.Time
	by    time.Duration   // it must begin by then, on the loop's clock; 0: any time
	ctx   context.Context // ends when it is given up
	stop  context.CancelFunc
	conn  *conn       // that it is on; nil: it waits for one
	begun bool        // its bytes are being written, or were
	wait  *time.Timer // while it waits
}

// conn is one connection, owned by one goroutine.
type conn struct {
	line  *line
	nc    net.Conn // nil: not up yet
	in    *http1.Reader
	began time.Time          // the dial
	stop  context.CancelFunc // of the dial
	next  *job               // handed over while it was idle
	dead  bool               // closed, or about to be
	used  bool               // an answer came on it
	since time.Time          // idle; zero: never yet
	lay   time.Duration      // idle before the dispatch that is out
}

// render is a dispatch's bytes. What it tells of the time left is true when they are written.
func (j *job) render() []byte {
	b := make([]byte, 0, len(j.lead)+96+len(j.body))
	b = append(b, j.lead...)
	b = http1.AppendField(b, "X-Remaining-Ms", strconv.FormatInt(max(time.Until(j.until).Milliseconds(), 1), 10))
	if len(j.body) > 0 || len(b) > 0 && b[0] == 'P' {
		return http1.AppendEnd(b, j.body)
	}
	return append(b, "\r\n"...)
}

// Dispatch puts a command on the settled connection used last, or on the first that is there for it.
func (l *line) Dispatch(id uint64, t *hostloop.Task, n int, left, by time.Duration) {
	j := &job{id: id, task: t, lead: t.Lead, body: t.Body, until: time.Now().Add(left), by: by}
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
	j.conn = nil
	if l.closed || l.pool.ctx.Err() != nil {
		l.fail(j)
		return
	}
	l.waiting = append(l.waiting, j)
	if l.match(); j.conn != nil {
		return
	}
	wait := l.pool.o.Connect
	coming := 0
	for _, c := range l.dialing {
		if time.Since(c.began) < wait/besides {
			coming++
		}
	}
	rest := l.pool.calm.Needs(l.pool.o.Loop.Now())
	for _, c := range l.idle {
		if rest-time.Since(c.since) <= patience {
			coming++
		}
	}
	if coming < len(l.waiting) && len(l.dialing) < len(l.waiting)+besides-1 && !l.dial() && len(l.dialing)+len(l.idle) == 0 {
		l.fail(j)
		return
	}
	tries := 0
	j.wait = time.AfterFunc(wait/besides, func() { // one more beside it, and then its time is over
		l.pool.mu.Lock()
		defer l.pool.mu.Unlock()
		if !slices.Contains(l.waiting, j) {
			return
		}
		if tries++; tries < besides {
			if p := l.pool; len(l.dialing) < len(l.waiting)+besides-1 && p.counts.Open < p.o.Most/2 {
				l.dial() // while there is room: no other connection ends for it
			}
			j.wait.Reset(wait / besides)
			return
		}
		l.fail(j)
	})
}

// fail ends a job that never had a connection. Under mu.
func (l *line) fail(j *job) {
	l.unwait(j)
	l.pool.spawn(func() { l.report(j, l.pool.o.Loop.Now(), policy.Unconnected, nil, 0) })
}

func (l *line) unwait(j *job) {
	if i := slices.Index(l.waiting, j); i >= 0 {
		l.waiting = slices.Delete(l.waiting, i, i+1)
	}
	if j.wait != nil {
		j.wait.Stop()
		j.wait = nil
	}
}

// match gives waiting jobs to connections that have settled: a second copy of the answer before would be there by now.
// Under mu.
func (l *line) match() {
	p := l.pool
	if n := len(l.idle); n > 0 && time.Since(l.idle[n-1].since) > p.life.Most() {
		l.shut() // the others have lain there for longer
	}
	calm := p.calm.Needs(p.o.Loop.Now())
	for i := len(l.idle) - 1; i >= 0 && len(l.waiting) > 0; i-- {
		c := l.idle[i]
		if c.used && time.Since(c.since) < calm {
			continue
		}
		l.idle = slices.Delete(l.idle, i, i+1)
		j := l.waiting[0]
		l.unwait(j)
		c.lay, c.next, j.conn = time.Since(c.since), j, c
		c.nc.SetReadDeadline(longAgo) // wakes its goroutine
	}
	if len(l.waiting) > 0 && len(l.idle) > 0 {
		time.AfterFunc(calm, func() {
			p.mu.Lock()
			defer p.mu.Unlock()
			l.match()
		})
	}
}

// dial opens one more connection, if there is room for it. Under mu.
func (l *line) dial() bool {
	p := l.pool
	if p.counts.Open >= p.o.Most && !p.evict() {
		p.counts.Exhausted++
		return false
	}
	p.counts.Open++
	p.counts.Opened++
	ctx, stop := context.WithCancel(p.ctx)
	c := &conn{line: l, stop: stop, began: time.Now()}
	l.dialing = append(l.dialing, c)
	p.spawn(func() { c.run(ctx) })
	return true
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

// Cancel and Forget give a dispatch up: its connection is closed, unless it waits for one still.
func (l *line) Cancel(id uint64) {
	l.pool.mu.Lock()
	defer l.pool.mu.Unlock()
	if j := l.out[id]; j != nil {
		delete(l.out, id)
		l.abandon(j)
		l.forget()
	}
}

func (l *line) Forget(id uint64) { l.Cancel(id) }

// Withdraw takes back a dispatch of which no byte was written; true: none ever will be.
func (l *line) Withdraw(id uint64) bool {
	l.pool.mu.Lock()
	defer l.pool.mu.Unlock()
	j := l.out[id]
	if j == nil || j.begun {
		return false
	}
	delete(l.out, id)
	l.abandon(j)
	l.forget()
	return true
}

// abandon lets go of a job. Under mu.
func (l *line) abandon(j *job) {
	j.stop()
	l.unwait(j)
	if j.conn != nil {
		j.conn.kill()
	}
}

// kill closes a connection from outside. Under mu. One that is not up yet counts until its socket is gone.
func (c *conn) kill() {
	if !c.dead {
		c.dead = true
		c.stop()
		if c.nc != nil {
			c.line.pool.counts.Open--
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
	for _, c := range l.dialing {
		c.kill()
	}
	for len(l.waiting) > 0 {
		l.fail(l.waiting[0])
	}
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

// run brings a connection up and serves whoever waits for one.
func (c *conn) run(ctx context.Context) {
	p := c.line.pool
	defer func() {
		p.mu.Lock()
		c.kill()
		p.mu.Unlock()
	}()
	nc, err := p.o.Dial(ctx, c.line.address)
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

// up takes a connection into use, or tells one that waited that there is none.
func (c *conn) up(nc net.Conn, err error) *job {
	l, p := c.line, c.line.pool
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
	c.nc.SetDeadline(time.Now().Add(p.life.Most()))
	c.since = time.Now()
	l.idle = append(l.idle, c)
	return nil
}

// begin tells whether a job may be written now: it was not given up, and is not too late.
func (c *conn) begin(j *job) bool {
	p := c.line.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	j.begun = c.line.out[j.id] == j && !c.dead && time.Now().Before(j.until) && (j.by == 0 || p.o.Loop.Now() < j.by)
	return j.begun
}

// exchange sends a job and reads its answer; it tells whether the connection can be used on.
func (c *conn) exchange(j *job) bool {
	now := c.line.pool.o.Loop.Now
	if !c.begin(j) {
		c.line.report(j, now(), policy.Unsent, nil, 0)
		return false
	}
	c.nc.SetDeadline(j.until.Add(time.Second)) // the loop gives it up before
	bytes := j.render()
	if n, err := c.nc.Write(bytes); err != nil {
		how := policy.Unconnected
		if n >= len(bytes) {
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
		c.stray(0)
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

// stray notes that something came so long after an answer that nobody had asked for.
func (c *conn) stray(after time.Duration) {
	p := c.line.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counts.Extra++
	p.calm.Stray(after, p.o.Loop.Now())
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
	if n < 0 { // none is told
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

// number reads a figure that an answer may carry; one that can't be read is as if absent.
func number(s string) float64 {
	x, err := strconv.ParseFloat(s, 64)
	if err != nil || !(x >= 0) || math.IsInf(x, 0) {
		return 0
	}
	return x
}
