// Package downstream accepts client connections, reads their HTTP/1.1 requests and writes the responses. It answers an
// invalid request with an error status and closes the connection. It submits a valid one to the engine, whose scheduler
// alone routes, retries and orders requests.
//
// Its invariants:
//
//   - A request that was read completely gets exactly one final response, unless its client has disconnected. conn.finish,
//     the only place where a connection is closed, checks this.
//   - The server detects at once that a client disconnects while its request is in progress, even if the client has sent
//     pipelined requests after it.
//   - The numbers of connections, of bytes held for requests and pipelined input, and of remembered request ids are bounded. A
//     connection with a pending response is never evicted.
//
// Each connection is owned by one goroutine, which Shutdown joins. The package has no notion of endpoints.
package downstream

import (
	"container/list"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"weirhaven/internal/engine"
	"weirhaven/internal/httpgateway/membudget"
	"weirhaven/internal/httpgateway/metrics"
	"weirhaven/policy"
)

// Loop is the engine's loop. Its methods may be called from any goroutine.
type Loop interface {
	// Now reads the loop's clock.
	Now() time.Duration
	// TryPost queues an event without blocking; false: there is no space for it, or the loop has ended.
	TryPost(f func(*engine.Core)) bool
	// PostUrgent queues an event before the others and may block; false: the loop has ended.
	PostUrgent(f func(*engine.Core)) bool
	// Done is closed when the loop has ended.
	Done() <-chan struct{}
}

// Options configures a Server.
type Options struct {
	Loop           Loop
	Settings       policy.Settings
	MaxConnections int // limit on connections that have or await a request; extraConnections more may be open
	// RequestMemory bounds the heads and bodies of requests, from their first byte to their response, and ReadAheadMemory the
	// pipelined requests behind them, over all connections.
	RequestMemory, ReadAheadMemory *membudget.Budget
	IDMemory                       int64 // bytes for the ids of requests that have ended

	Cores    float64 // share of the CPU, in cores; above 0
	Log      *slog.Logger
	Recorder *metrics.Recorder
}

// Time limits of a connection. Each starts at an event that the client can't repeat to extend it.
const (
	requestTimeout = 2 * time.Second        // from the accept or a request's first byte until the request is complete
	idleTimeout    = 10 * time.Second       // between two requests
	writeTimeout   = 2 * time.Second        // for writing a response, after the request's deadline
	lingerTimeout  = 500 * time.Millisecond // for discarding further input, so that a reset doesn't destroy the response
	logInterval    = time.Second            // minimum time between log lines of one kind
)

// Server is the client-facing side of a gateway process. Its methods are safe for concurrent use, except Serve and Shutdown,
// which are called once each.
type Server struct {
	options Options
	classes map[string]policy.RequestClass
	plans   map[string]bool
	ids     *requestIDs

	newcomers, followers *turns
	acceptLimit, errors  *rateLimit
	penaltyAge           time.Duration // age from which a penalized connection may be evicted

	ready            atomic.Bool
	draining         atomic.Bool  // true: every response is the last one on its connection
	shutdownDeadline atomic.Int64 // time, on the loop's clock, by which every request has its response; 0: no shutdown
	tasks            sync.WaitGroup

	connClosed   chan struct{} // signal, with a buffer of one, that a connection was closed
	backlogSince time.Time     // time since which connections may be waiting in the accept queue; zero: none; owned by Serve

	accepts acceptRate // owned by Serve

	mu                 sync.Mutex // guards the fields below, and the fields of conn that are marked so
	conns              map[*conn]bool
	byState            [connStateCount]list.List // lists of *conn without a request in progress, longest in the state first
	retiredLingering   list.List                 // retired *conn that linger, oldest first
	retiring           int                       // number of retired connections that are still open
	inProgress         int                       // number of connections with a request in progress
	counts             Counts
	badRequestLoggedAt time.Time
	unloggedRequests   int // number of bad requests since badRequestLoggedAt
	acceptLoggedAt     time.Time
}

// Counts are totals since the start.
type Counts struct {
	Accepted    int64 // connections accepted
	Evicted     int64 // connections evicted in favor of new ones
	Requests    int64 // requests submitted to the engine
	BadRequests int64 // requests that are invalid, whatever the load
	Shed        int64 // requests answered 503 without reaching the scheduler
	HeldBack    int64 // errors that were held back
	Open        int   // connections open now
}

// New returns a server that accepts no connections before Serve is called.
func New(options Options) *Server {
	s := &Server{options: options, classes: map[string]policy.RequestClass{}, plans: map[string]bool{}, conns: map[*conn]bool{},
		ids: newRequestIDs(options.IDMemory), newcomers: newTurns(newcomerTurns), followers: newTurns(followerTurns), acceptLimit: newRateLimit(max(acceptsPerCore*options.Cores, minAccepts), acceptBurst), errors: newRateLimit(max(maxErrorsPerCore*options.Cores, minErrors), errorBurst), penaltyAge: penaltyEvictionAge(options.MaxConnections, options.Cores), connClosed: make(chan struct{}, 1)}
	for _, class := range options.Settings.Classes {
		s.classes[class.Name] = class
	}
	for _, plan := range options.Settings.Plans {
		s.plans[plan.Name] = true
	}
	return s
}

// Ready makes the readiness probe succeed.
func (s *Server) Ready() { s.ready.Store(true) }

// Counts returns the totals so far.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := s.counts
	counts.Open = len(s.conns)
	return counts
}

// countBadRequest counts an invalid request. At most once per logInterval it logs the number of such requests with the
// latest status and reason.
func (s *Server) countBadRequest(status int, reason string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.BadRequests++
	s.unloggedRequests++
	if now := time.Now(); now.Sub(s.badRequestLoggedAt) >= logInterval {
		s.options.Log.Info("bad requests", "count", s.unloggedRequests, "last_status", status, "last_reason", reason)
		s.badRequestLoggedAt, s.unloggedRequests = now, 0
	}
}

// countShed counts a request that is answered 503 without reaching the scheduler.
func (s *Server) countShed(reason metrics.Reason) {
	s.options.Recorder.Count(metrics.Shed, reason)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Shed++
}

// closeAll closes every connection at once, even with a response pending.
func (s *Server) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.nc.Close()
	}
}
