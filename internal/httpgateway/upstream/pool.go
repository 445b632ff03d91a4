// Package upstream sends attempts to storage endpoints over pooled HTTP/1.1 connections, one attempt at a time on each.
//
// Its invariants:
//
//   - Every attempt that the engine did not cancel is reported exactly once, with its outcome.
//   - No attempt is sent twice: it moves to another connection only before its first byte is written.
//   - Only conn.send writes attempts. It checks the state and the clock immediately before each write.
//   - Options bounds the number of connections and the bytes of response bodies not yet delivered to clients.
//
// The package neither selects endpoints nor retries: the scheduler does both.
package upstream

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"time"

	"weirhaven/internal/engine"
	"weirhaven/internal/httpgateway/membudget"
	"weirhaven/internal/httpgateway/metrics"
	"weirhaven/internal/httpgateway/upstream/idle"
	"weirhaven/internal/httpgateway/upstream/reusedelay"
)

// Loop is the engine's loop. Its methods may be called from any goroutine.
type Loop interface {
	// Now reads the loop's clock.
	Now() time.Duration
	// Post queues an event. It may block until the queue has space, and returns false if the loop has ended and dropped the event.
	Post(f func(*engine.Core)) bool
}

// Options configure a pool.
type Options struct {
	Loop Loop
	// MaxConnections is the maximum number of open connections, to all endpoints together.
	MaxConnections int
	// ResponseMemory bounds the responses that are being read or not yet delivered to their clients; nil: MinResponseMemory.
	ResponseMemory *membudget.Budget
	// ConnectTimeout is the maximum time that an attempt waits for a connection.
	ConnectTimeout time.Duration
	// IdleTimeout is the idle time after which a connection is closed. The pool may learn a shorter one.
	IdleTimeout time.Duration
	// Dial opens a connection; nil: TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// BeforeWrite is a test hook, called between the last clock reading and the write of an attempt. May be nil.
	BeforeWrite func()
	Log         *slog.Logger
	// Recorder counts the pool's events; nil: the pool creates one.
	Recorder *metrics.Recorder
}

// MaxResponseBody is the maximum size of a response body, in bytes. The platform documents 64 KiB, but its endpoints send
// several times as much.
const MaxResponseBody = 1 << 20

// MinResponseMemory is the least size of Options.ResponseMemory in bytes, with which a body of the maximum size can be read.
const MinResponseMemory = 3 * MaxResponseBody

// Counts are totals since the start, except for Open.
type Counts struct {
	Opened      int64 // connections dialed
	Attempts    int64 // attempts accepted from the engine
	Stale       int64 // idle connections found closed or unusable when an attempt was about to be sent
	Malformed   int64 // malformed responses
	Unsolicited int64 // times that bytes which belong to no attempt arrived on a connection
	Evicted     int64 // idle connections closed to stay within MaxConnections
	Exhausted   int64 // dials not made because all connections were in use
	Open        int   // current number of connections that count towards MaxConnections
}

// Pool holds the connections to all endpoints. Its methods are safe for concurrent use.
type Pool struct {
	options Options
	ctx     context.Context
	cancel  context.CancelFunc
	tasks   sync.WaitGroup // the connections' goroutines, and reports sent from goroutines of their own

	mu                sync.Mutex // guards the fields below and the mutable state of endpoints, connections and attempts
	endpoints         map[*endpoint]bool
	counts            Counts
	idleLimit         *idle.Limit
	reuseDelay        *reusedelay.Delay
	malformedLoggedAt time.Time
}

// minDialTimeout is the minimum timeout of a dial, even if ConnectTimeout is shorter: a connection that is established late
// serves later attempts.
const minDialTimeout = 2 * time.Second

// New returns a pool without connections. The caller must call Close.
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
	if options.ResponseMemory == nil {
		options.ResponseMemory = membudget.New(MinResponseMemory)
	}
	p := &Pool{options: options, endpoints: map[*endpoint]bool{}, idleLimit: idle.New(options.IdleTimeout),
		reuseDelay: reusedelay.New()}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	return p
}

// Counts returns the current totals.
func (p *Pool) Counts() Counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counts
}

// Close closes all connections and waits for their goroutines. The loop must have ended.
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

// Connect returns the engine's interface to one endpoint. It opens no connection.
func (p *Pool) Connect(name, address string) engine.EndpointConn {
	e := &endpoint{pool: p, name: name, address: address, inFlight: map[uint64]*attempt{}}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.endpoints[e] = true
	return e
}

// evict closes the longest idle connection to any endpoint, and reports whether there was an idle one.
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
