// Package pool is the way to the platform's bricks: for each brick some connections, one dispatch at a time on each.
// Every dispatch that is not given up by the loop is reported once, with the one way it ended. Nothing is ever sent
// again here: a dispatch changes its connection only before its first byte is written.
package pool

import (
	"context"
	"log/slog"
	"net"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/semaphore"

	"weirhaven/internal/hostloop"
	"weirhaven/internal/platform/observe"
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
	Observe *observe.Recorder // nil: one of its own
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
	if o.Observe == nil {
		o.Observe = observe.New(o.Log)
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
	localSince     time.Time // dials fail on this machine since then; zero: they don't
}

// Dispatch puts a command on the settled connection used last, or on the first that is there for it.
func (l *line) Dispatch(id uint64, t *hostloop.Task, n int, left, by time.Duration) {
	deadline := l.pool.o.Loop.Now() + left
	if t.Deadline > 0 { // the loop may have been held up since it computed what is left
		deadline = min(deadline, t.Deadline)
	}
	j := &job{id: id, task: t, lead: t.Lead, body: t.Body, deadline: deadline, notAfter: by}
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
	how := l.unconnected()
	l.pool.spawn(func() { l.report(j, l.pool.o.Loop.Now(), how, nil, 0) })
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
	twice := mine && j.reported
	j.reported = j.reported || mine
	l.forget()
	p.mu.Unlock()
	j.stop()
	if twice {
		p.o.Observe.Violated(observe.OneOutcome, j.task.Trace, "an attempt was reported twice")
	}
	if mine {
		p.o.Observe.Count(observe.Attempt, observe.Reason(how.String()))
		p.o.Log.Debug("attempt", "request", j.task.Trace, "server", l.brick, "outcome", how.String(), "begun", j.begun)
	}
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
