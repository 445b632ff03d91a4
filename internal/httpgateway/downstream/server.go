// Package downstream accepts the connections of clients, reads their HTTP/1.1 requests and writes the responses. What can't
// be a request of the platform gets an error and its connection ends; what can is submitted to the engine, whose scheduler
// alone routes, retries and orders it.
//
// Its invariants:
//
//   - A request that was read whole gets exactly one final response, or its client has gone: conn.finish is the one place
//     where a connection is closed, and checks it.
//   - A client that disconnects while its request is in progress is noticed at once, also behind pipelined requests.
//   - Connections, bytes read ahead and remembered ids are bounded; a connection makes room for a new one only where it owes
//     no response.
//
// Each connection is owned by one goroutine, which Shutdown joins. The package knows nothing of endpoints.
package downstream

import (
	"container/list"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"weirhaven/internal/engine"
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

// Options are what a server is made with.
type Options struct {
	Loop           Loop
	Settings       policy.Settings
	MaxConnections int   // with a request in progress, or waiting for one; overflow more may be open
	ReadAheadBytes int64 // of pipelined requests that are kept before their turn, on all connections together
	Log            *slog.Logger
	Recorder       *metrics.Recorder
}

// Time limits of a connection. Each counts from an event that the client can't repeat at will.
const (
	requestTimeout = 2 * time.Second        // from the accept, or a request's first byte, until the request is whole
	idleTimeout    = 10 * time.Second       // between two requests
	writeTimeout   = 2 * time.Second        // for a response to be received, beyond its request's deadline
	lingerTimeout  = 500 * time.Millisecond // what is still sent is read and dropped, so that a reset doesn't destroy the response
	logInterval    = time.Second            // between log lines of one kind
)

// Server is the clients' side of a gateway process. Its methods are safe for concurrent use, but for Serve and Shutdown,
// which are called once.
type Server struct {
	options Options
	classes map[string]policy.RequestClass
	plans   map[string]bool
	ids     *requestIDs

	ready            atomic.Bool
	draining         atomic.Bool  // every response is the last one on its connection
	shutdownDeadline atomic.Int64 // on the loop's clock: every request has its response by then; 0: no shutdown
	readAheadFree    atomic.Int64 // bytes left of Options.ReadAheadBytes
	tasks            sync.WaitGroup

	connClosed   chan struct{} // holds one: a connection was closed
	backlogSince time.Time     // owned by Serve: connections may wait in the accept queue since then; zero: none does

	mu                 sync.Mutex // guards all below, and the fields of connections marked so
	conns              map[*conn]bool
	byState            [connStates]list.List // of *conn without a request in progress, in their state for longest first
	retiredLingering   list.List             // of *conn that were retired and linger, oldest first
	retiring           int                   // connections that were asked to end and are still open
	inProgress         int                   // connections with a request in progress
	counts             Counts
	badRequestLoggedAt time.Time
	unloggedRequests   int // bad requests since then
	acceptLoggedAt     time.Time
}

// Counts are totals since the start.
type Counts struct {
	Accepted    int64 // connections
	Evicted     int64 // connections that made room for others
	Requests    int64 // submitted to the engine
	BadRequests int64 // requests that can't be served, whatever the load
	Shed        int64 // requests answered 503 before the scheduler saw them
	Open        int   // connections now
}

// New makes a server that serves nothing before Serve.
func New(options Options) *Server {
	s := &Server{options: options, classes: map[string]policy.RequestClass{}, plans: map[string]bool{}, conns: map[*conn]bool{},
		ids: newRequestIDs(), connClosed: make(chan struct{}, 1)}
	s.readAheadFree.Store(options.ReadAheadBytes)
	for _, class := range options.Settings.Classes {
		s.classes[class.Name] = class
	}
	for _, plan := range options.Settings.Plans {
		s.plans[plan.Name] = true
	}
	return s
}

// Ready lets the readiness probe succeed.
func (s *Server) Ready() { s.ready.Store(true) }

// Counts returns the totals so far.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := s.counts
	counts.Open = len(s.conns)
	return counts
}

// countBadRequest counts a request that can't be served and logs the last of them at a bounded rate.
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

// countShed counts a request that is answered 503 before the scheduler saw it.
func (s *Server) countShed(reason metrics.Reason) {
	s.options.Recorder.Count(metrics.Shed, reason)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Shed++
}

// closeAll ends every connection at once, whatever it owes.
func (s *Server) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.nc.Close()
	}
}
