// Package upstream sends attempts to storage endpoints over pooled HTTP/1.1 connections, one attempt at a time on each.
//
// Its invariants:
//
//   - Every attempt that the engine did not cancel is reported exactly once, with the one outcome that it had.
//   - Nothing is sent twice: an attempt changes its connection only before its first byte is written.
//   - All bytes of attempts leave through conn.send, which decides by the state and the clock of that very moment.
//   - Connections, and bytes of responses whose clients don't have them yet, are bounded by Options.
//
// It doesn't know why an attempt is sent to an endpoint and doesn't retry: that is the scheduler's.
package upstream

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"time"

	"golang.org/x/sync/semaphore"

	"weirhaven/internal/engine"
	"weirhaven/internal/httpgateway/metrics"
	"weirhaven/internal/httpgateway/upstream/idle"
	"weirhaven/internal/httpgateway/upstream/reusedelay"
)

// Loop is the engine's loop. Its methods may be called from any goroutine.
type Loop interface {
	// Now reads the loop's clock.
	Now() time.Duration
	// Post queues an event and may block until there is space for it; false: the loop has ended and drops it.
	Post(f func(*engine.Core)) bool
}

// Options are what a pool is made with.
type Options struct {
	Loop           Loop
	MaxConnections int                                                         // open at a time, to all endpoints together
	ResponseMemory int64                                                       // bytes of response bodies held until their clients have them; at least MaxResponseBody
	ConnectTimeout time.Duration                                               // how long an attempt waits for its connection
	IdleTimeout    time.Duration                                               // after which a connection without an attempt is closed; the pool may learn a shorter one
	Dial           func(ctx context.Context, address string) (net.Conn, error) // nil: TCP
	BeforeWrite    func()                                                      // for tests: called between the last look at the clock and the write of an attempt; may be nil
	Log            *slog.Logger
	Recorder       *metrics.Recorder // nil: one of its own
}

// MaxResponseBody is the longest body of a response, in bytes. The platform's page says 64 KiB; its endpoints send several
// times that.
const MaxResponseBody = 1 << 20

// Counts are totals since the start.
type Counts struct {
	Opened      int64 // connections dialed
	Attempts    int64 // attempts accepted from the engine
	Stale       int64 // idle connections that had ended when an attempt was about to be sent
	Malformed   int64 // responses that could not be parsed
	Unsolicited int64 // connections on which bytes came that belong to no attempt
	Evicted     int64 // idle connections closed to make place for a new one
	Exhausted   int64 // dials not made since all connections were in use
	Open        int   // connections that count against MaxConnections now
}

// Pool holds the connections to all endpoints. Its methods are safe for concurrent use.
type Pool struct {
	options        Options
	ctx            context.Context
	cancel         context.CancelFunc
	tasks          sync.WaitGroup // one for each connection's goroutine and each report from none
	responseMemory *semaphore.Weighted

	mu                sync.Mutex // guards all below and all mutable state of endpoints, connections and attempts
	endpoints         map[*endpoint]bool
	counts            Counts
	idleLimit         *idle.Limit
	reuseDelay        *reusedelay.Delay
	malformedLoggedAt time.Time
}

// minDialTimeout bounds a dial where ConnectTimeout is shorter: a connection that comes up late serves later attempts.
const minDialTimeout = 2 * time.Second

// New makes a pool without connections. It is to be closed with Close.
func New(options Options) *Pool {
	if options.Dial == nil {
		dialer := net.Dialer{Timeout: max(options.ConnectTimeout, minDialTimeout), KeepAlive: -1}
		options.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", address)
		}
	}
	if options.Recorder == nil {
		options.Recorder = metrics.New(options.Log)
	}
	p := &Pool{options: options, endpoints: map[*endpoint]bool{}, idleLimit: idle.New(options.IdleTimeout),
		reuseDelay: reusedelay.New(), responseMemory: semaphore.NewWeighted(max(options.ResponseMemory, MaxResponseBody))}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	return p
}

// Counts returns the totals so far.
func (p *Pool) Counts() Counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counts
}

// Close ends all connections and waits for their goroutines. The loop must have ended.
func (p *Pool) Close() {
	p.cancel()
	p.mu.Lock()
	for e := range p.endpoints {
		e.closeIdle()
		for _, a := range e.inFlight {
			e.release(a)
		}
	}
	p.mu.Unlock()
	p.tasks.Wait()
}

// Connect returns the way to one endpoint. It opens no connection.
func (p *Pool) Connect(name, address string) engine.EndpointConn {
	e := &endpoint{pool: p, name: name, address: address, inFlight: map[uint64]*attempt{}}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.endpoints[e] = true
	return e
}

// evict closes the connection that has been idle for longest, to whichever endpoint, and reports whether there was one.
// The caller holds mu.
func (p *Pool) evict() bool {
	var from *endpoint
	for e := range p.endpoints {
		if len(e.idle) > 0 && (from == nil || e.idle[0].idleSince.Before(from.idle[0].idleSince)) {
			from = e
		}
	}
	if from == nil {
		return false
	}
	oldest := from.idle[0]
	from.idle = from.idle[1:]
	p.counts.Evicted++
	oldest.close()
	return true
}
