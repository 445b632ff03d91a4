// Package upstream is the way to the platform's servers: for each server some connections, one attempt at a time on each.
// Every attempt that is not given up by the loop is reported once, with the one way it ended. Nothing is ever sent
// again here: an attempt changes its connection only before its first byte is written.
package upstream

import (
	"context"
	"log/slog"
	"net"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/semaphore"

	"weirhaven/internal/engine"
	"weirhaven/internal/httpgateway/metrics"
	"weirhaven/internal/httpgateway/upstream/idle"
	"weirhaven/internal/httpgateway/upstream/quarantine"
	"weirhaven/policy"
)

// Loop takes events; it may wait for room.
type Loop interface {
	Now() time.Duration
	Post(f func(*engine.Core)) bool
}

// Options are what a pool is made with.
type Options struct {
	Loop           Loop
	MaxConnections int                                                         // connections at a time, to all servers
	ResponseMemory int64                                                       // bytes of answers held at a time, until their clients have them; at least MaxBody
	ConnectTimeout time.Duration                                               // that an attempt waits for its connection
	IdleTimeout    time.Duration                                               // until one without an attempt is closed here
	Dial           func(ctx context.Context, address string) (net.Conn, error) // nil: TCP
	Log            *slog.Logger
	Recorder       *metrics.Recorder // nil: one of its own
}

// MaxBody is the longest body of an answer. The platform's page says 64 KiB, its servers answer with several times that.
const MaxResponseBody = 1 << 20

// Counts are running totals.
type Counts struct {
	Opened, Attempts, Stale, Malformed, Unsolicited, Evicted, Exhausted int64
	Open                                                                int
}

// Pool is all connections to servers.
type Pool struct {
	options        Options
	ctx            context.Context
	stop           context.CancelFunc
	wg             sync.WaitGroup
	responseMemory *semaphore.Weighted

	mu                sync.Mutex // guards all below and in lines and conns
	endpoints         map[*endpoint]bool
	counts            Counts
	idleLimit         *idle.Limit
	reuseDelay        *quarantine.Delay
	malformedLoggedAt time.Time // when answers that can't be read were logged
}

// A connection that is slow to come up may be one whose packets were lost: another is opened beside it after a quarter
// of the time that an attempt waits. The slow one is kept for what comes later.
const (
	extraDials  = 4
	dialTimeout = 2 * time.Second
	settleWait  = 10 * time.Millisecond // until a connection has settled, rather than open one: servers hold few
)

// New makes a pool without connections.
func New(o Options) *Pool {
	if o.Dial == nil {
		dialer := net.Dialer{Timeout: max(o.ConnectTimeout, dialTimeout), KeepAlive: -1}
		o.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", address)
		}
	}
	if o.Recorder == nil {
		o.Recorder = metrics.New(o.Log)
	}
	p := &Pool{options: o, endpoints: map[*endpoint]bool{}, idleLimit: idle.New(o.IdleTimeout), reuseDelay: quarantine.New(), responseMemory: semaphore.NewWeighted(max(o.ResponseMemory, MaxResponseBody))}
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
	for l := range p.endpoints {
		l.shut()
		for _, j := range l.inFlight {
			l.abandon(j)
		}
	}
	p.mu.Unlock()
	p.wg.Wait()
}

// Line is the way to one server.
func (p *Pool) Connect(brick, address string) engine.EndpointConn {
	l := &endpoint{pool: p, name: brick, address: address, inFlight: map[uint64]*attempt{}}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.endpoints[l] = true
	return l
}

type endpoint struct {
	pool              *Pool
	name, address     string
	inFlight          map[uint64]*attempt
	waiting           []*attempt // for a connection, oldest first
	dialing           []*conn    // not up yet
	idle              []*conn    // the one used last is the last
	closed            bool
	localFailureSince time.Time // dials fail on this machine since then; zero: they don't
}

// Dispatch puts a command on the settled connection used last, or on the first that is there for it.
func (l *endpoint) Send(id uint64, t *engine.Request, n int, left, by time.Duration) {
	deadline := l.pool.options.Loop.Now() + left
	if t.Deadline > 0 { // the loop may have been held up since it computed what is left
		deadline = min(deadline, t.Deadline)
	}
	j := &attempt{id: id, request: t, header: t.Header, body: t.Body, deadline: deadline, sendBefore: by}
	j.ctx, j.cancel = context.WithCancel(l.pool.ctx)
	p := l.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counts.Attempts++
	l.inFlight[id] = j
	l.place(j)
}

// place finds a connection for an attempt of which nothing was sent. Under mu.
func (l *endpoint) place(j *attempt) {
	j.conn = nil
	if l.closed || l.pool.ctx.Err() != nil {
		l.fail(j)
		return
	}
	l.waiting = append(l.waiting, j)
	if l.match(); j.conn != nil {
		return
	}
	wait := l.pool.options.ConnectTimeout
	coming := 0
	for _, c := range l.dialing {
		if time.Since(c.dialStartedAt) < wait/extraDials {
			coming++
		}
	}
	rest := l.pool.reuseDelay.Duration(l.pool.options.Loop.Now())
	for _, c := range l.idle {
		if rest-time.Since(c.idleSince) <= settleWait {
			coming++
		}
	}
	if coming < len(l.waiting) && len(l.dialing) < len(l.waiting)+extraDials-1 && !l.dial() && len(l.dialing)+len(l.idle) == 0 {
		l.fail(j)
		return
	}
	tries := 0
	j.connectTimer = time.AfterFunc(wait/extraDials, func() { // one more beside it, and then its time is over
		l.pool.mu.Lock()
		defer l.pool.mu.Unlock()
		if !slices.Contains(l.waiting, j) {
			return
		}
		if tries++; tries < extraDials {
			if p := l.pool; len(l.dialing) < len(l.waiting)+extraDials-1 && p.counts.Open < p.options.MaxConnections/2 {
				l.dial() // while there is room: no other connection ends for it
			}
			j.connectTimer.Reset(wait / extraDials)
			return
		}
		l.fail(j)
	})
}

// fail ends an attempt that never had a connection. Under mu.
func (l *endpoint) fail(j *attempt) {
	l.unwait(j)
	how := l.unconnected()
	l.pool.spawn(func() { l.report(j, l.pool.options.Loop.Now(), how, nil, 0) })
}

func (l *endpoint) unwait(j *attempt) {
	if i := slices.Index(l.waiting, j); i >= 0 {
		l.waiting = slices.Delete(l.waiting, i, i+1)
	}
	if j.connectTimer != nil {
		j.connectTimer.Stop()
		j.connectTimer = nil
	}
}

// match gives waiting attempts to connections that have settled: a second copy of the answer before would be there by now.
// Under mu.
func (l *endpoint) match() {
	p := l.pool
	if n := len(l.idle); n > 0 && time.Since(l.idle[n-1].idleSince) > p.idleLimit.Duration() {
		l.shut() // the others have lain there for longer
	}
	calm := p.reuseDelay.Duration(p.options.Loop.Now())
	for i := len(l.idle) - 1; i >= 0 && len(l.waiting) > 0; i-- {
		c := l.idle[i]
		if c.served && time.Since(c.idleSince) < calm {
			continue
		}
		l.idle = slices.Delete(l.idle, i, i+1)
		j := l.waiting[0]
		l.unwait(j)
		c.idleBefore, c.next, j.conn = time.Since(c.idleSince), j, c
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
func (l *endpoint) dial() bool {
	p := l.pool
	if p.counts.Open >= p.options.MaxConnections && !p.evict() {
		p.counts.Exhausted++
		return false
	}
	p.counts.Open++
	p.counts.Opened++
	ctx, stop := context.WithCancel(p.ctx)
	c := &conn{endpoint: l, cancelDial: stop, dialStartedAt: time.Now()}
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

// evict closes the connection that has been idle for longest, to whichever server. Under mu.
func (p *Pool) evict() bool {
	var from *endpoint
	for l := range p.endpoints {
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

// Cancel and Forget give an attempt up: its connection is closed, unless it waits for one still.
func (l *endpoint) Cancel(id uint64) {
	l.pool.mu.Lock()
	defer l.pool.mu.Unlock()
	if j := l.inFlight[id]; j != nil {
		delete(l.inFlight, id)
		l.abandon(j)
		l.forget()
	}
}

func (l *endpoint) Abandon(id uint64) { l.Cancel(id) }

// Withdraw takes back an attempt of which no byte was written; true: none ever will be.
func (l *endpoint) Withdraw(id uint64) bool {
	l.pool.mu.Lock()
	defer l.pool.mu.Unlock()
	j := l.inFlight[id]
	if j == nil || j.started {
		return false
	}
	delete(l.inFlight, id)
	l.abandon(j)
	l.forget()
	return true
}

// abandon lets go of an attempt. Under mu.
func (l *endpoint) abandon(j *attempt) {
	j.cancel()
	l.unwait(j)
	if j.conn != nil {
		j.conn.kill()
	}
}

// kill closes a connection from outside. Under mu. One that is not up yet counts until its socket is gone.
func (c *conn) kill() {
	if !c.closed {
		c.closed = true
		c.cancelDial()
		if c.nc != nil {
			c.endpoint.pool.counts.Open--
			c.nc.Close()
		}
	}
}

// Probe is not part of what the platform allows.
func (l *endpoint) CheckHealth(id uint64) {
	l.pool.spawn(func() {
		l.pool.options.Loop.Post(func(c *engine.Core) { c.HealthChecked(l.name, id, policy.ConnectFailed) })
	})
}

func (l *endpoint) RequestGreeting() {}

func (l *endpoint) shut() {
	for _, c := range l.idle {
		c.kill()
	}
	l.idle = nil
}

// Close lets what is out end; nothing new is sent.
func (l *endpoint) Close() {
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
func (l *endpoint) forget() {
	if l.closed && len(l.inFlight) == 0 {
		delete(l.pool.endpoints, l)
	}
}

// report tells the loop how an attempt ended, unless it was given up.
func (l *endpoint) report(j *attempt, at time.Duration, how policy.Outcome, body []byte, elsewhere float64) {
	p := l.pool
	p.mu.Lock()
	mine := l.inFlight[j.id] == j
	if mine {
		delete(l.inFlight, j.id)
	}
	twice := mine && j.reported
	j.reported = j.reported || mine
	l.forget()
	p.mu.Unlock()
	j.cancel()
	if twice {
		p.options.Recorder.RecordViolation(metrics.OneOutcome, j.request.Trace, "an attempt was reported twice")
	}
	if mine {
		p.options.Recorder.Count(metrics.Attempt, outcomeNames[how])
		p.options.Log.Debug("attempt", "request", j.request.Trace, "server", l.name, "outcome", string(outcomeNames[how]), "begun", j.started)
	}
	release := func() { p.responseMemory.Release(j.reservedBytes) }
	if !mine || !p.options.Loop.Post(func(c *engine.Core) {
		j.request.Release = release
		c.AttemptEnded(engine.AttemptReport{Endpoint: l.name, ID: j.id, Outcome: how, SeenAt: at, Body: body,
			Load: policy.LoadReport{ServedElsewhere: elsewhere}})
		if j.request.Release != nil { // nobody takes the body
			j.request.Release = nil
			release()
		}
	}) {
		release()
	}
}
