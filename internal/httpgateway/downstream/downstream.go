// Package downstream takes requests from the platform's clients over HTTP/1.1 and gives each its one final answer. What can't
// be a request of the platform gets an error and its connection ends; what can is handed to the host loop, whose decision
// module alone routes, retries and orders it.
package downstream

import (
	"container/list"
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"weirhaven/internal/engine"
	"weirhaven/internal/httpgateway/metrics"
	"weirhaven/policy"
)

// Loop takes events.
type Loop interface {
	Now() time.Duration
	TryPost(f func(*engine.Core)) bool
	PostUrgent(f func(*engine.Core)) bool
	Done() <-chan struct{}
}

// Options are what a front is made with.
type Options struct {
	Loop           Loop
	Settings       policy.Settings
	MaxConnections int   // with a request in progress, or waiting for one; overflow more may be open
	ReadAheadBytes int64 // bytes kept at a time, of all requests that came before their turn
	Log            *slog.Logger
	Recorder       *metrics.Recorder
}

// Times of a connection. All are absolute from an event that the client can't repeat at will.
const (
	requestTimeout = 2 * time.Second        // from the accept, or a request's first byte, until it is there whole
	idleTimeout    = 10 * time.Second       // a served connection without a request
	writeTimeout   = 2 * time.Second        // until an answer is taken, beyond its request's deadline
	lingerTimeout  = 500 * time.Millisecond // what is still sent is read and dropped, so that the answer is not lost to a reset
	acceptRetry    = 2 * time.Millisecond   // after an accept that failed
	logEvery       = time.Second            // bound on log lines of one kind
)

// Front is the clients' side of a gateway process.
type Server struct {
	options Options
	queues  map[string]policy.RequestClass
	plans   map[string]bool
	ids     *requestIDs
	ready   atomic.Bool
	ending  atomic.Bool  // every answer is the last on its connection
	until   atomic.Int64 // on the loop's clock: every request must have its answer by then; 0: no such time
	room    atomic.Int64 // left of Ahead
	wg      sync.WaitGroup

	closedOne    chan struct{} // holds one: a connection was closed
	crowdedSince time.Time     // only for Serve: since then connections may be waiting to be accepted; zero: none is

	mu       sync.Mutex
	conns    map[*conn]bool    // all that are open
	places   [places]list.List // of *conn without a request in progress, oldest first
	leaving  list.List         // of *conn that are being closed and linger, oldest first
	retiring int               // asked to close and still open
	busy     int               // with a request in progress
	counts   Counts
	logged   time.Time // when refusals were logged
	unlogged int
	accepted time.Time // when a failed accept was logged
}

// Counts are running totals.
type Counts struct {
	Accepted, Evicted, Requests int64
	BadRequests                 int64 // that can't be requests
	Shed                        int64 // requests answered 503 before the decision module saw them
	Open                        int
}

// New makes a front.
func New(o Options) *Server {
	f := &Server{options: o, queues: map[string]policy.RequestClass{}, plans: map[string]bool{}, conns: map[*conn]bool{},
		ids: newRequestIDs(), closedOne: make(chan struct{}, 1)}
	f.room.Store(o.ReadAheadBytes)
	for _, q := range o.Settings.Classes {
		f.queues[q.Name] = q
	}
	for _, p := range o.Settings.Plans {
		f.plans[p.Name] = true
	}
	return f
}

// Ready lets /-/ready answer 200.
func (f *Server) Ready() { f.ready.Store(true) }

// Counts tells the totals so far.
func (f *Server) Counts() Counts {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := f.counts
	n.Open = len(f.conns)
	return n
}

// Serve accepts until the listener is closed. It goes on accepting whatever is open already: room is made by retiring a
// connection without a request in progress. When none can go, requests on further connections are answered 503.
func (f *Server) Serve(l net.Listener) {
	for {
		f.awaitDescriptor()
		began := time.Now()
		nc, err := l.Accept()
		if time.Since(began) >= acceptBlocks {
			f.crowdedSince = time.Time{}
		}
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil:
			f.acceptFailed(err)
		default:
			f.open(nc)
		}
	}
}

// acceptFailed waits a moment. Closing a connection helps only where this process has no descriptor left.
func (f *Server) acceptFailed(err error) {
	var number syscall.Errno
	errors.As(err, &number)
	f.options.Recorder.Count(metrics.Accept, metrics.ErrnoReason(number))
	f.mu.Lock()
	if errors.Is(err, syscall.EMFILE) {
		f.evictOne()
	}
	if now := time.Now(); now.Sub(f.accepted) >= logEvery {
		f.accepted = now
		f.options.Log.Warn("accept failed; trying again", "err", err)
	}
	f.mu.Unlock()
	time.Sleep(acceptRetry)
}

func (f *Server) open(nc net.Conn) {
	c := newConn(f, nc)
	if !f.crowdedSince.IsZero() {
		c.queued = min(time.Since(f.crowdedSince), mostQueued)
	}
	f.mu.Lock()
	f.counts.Accepted++
	f.conns[c] = true
	if len(f.conns)-f.retiring > f.options.MaxConnections {
		f.evictOne()
	}
	f.mu.Unlock()
	f.moveTo(c, fresh, c.deadline)
	f.wg.Add(1)
	go func() {
		defer f.wg.Done()
		c.run()
	}()
}

// refused counts what could not be a request and now and then says so.
func (f *Server) refused(status int, why string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.counts.BadRequests++
	f.unlogged++
	if now := time.Now(); now.Sub(f.logged) >= logEvery {
		f.options.Log.Info("requests refused that can't be served", "since the last line", f.unlogged, "last", status, "why", why)
		f.logged, f.unlogged = now, 0
	}
}

func (f *Server) countShed(why metrics.Reason) {
	f.options.Recorder.Count(metrics.Refused, why)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.counts.Shed++
}

// metricsPath serves the counters in the Prometheus text format.
const metricsPath, readyPath = "/-/metrics", "/-/ready"

// probe answers the platform's own requests: whether this process may be used, and its counters.
func (f *Server) probe(target string, body io.Writer) (status int, ok bool) {
	switch target {
	case readyPath:
		if !f.ready.Load() || f.ending.Load() {
			return 503, true
		}
		return 200, true
	case metricsPath:
		f.options.Recorder.Write(body)
		return 200, true
	}
	return 0, false
}

// Shutdown lets clients go. All is served as ever for a while, since clients go on using the connections they have, but no
// request may last beyond until. Then, last before until, each answer is the last on its connection, nothing more is
// accepted, connections without a request end, and what was taken is answered. It returns when all is, or ctx ends.
func (f *Server) Shutdown(ctx context.Context, l net.Listener, until time.Duration, last time.Duration) {
	f.until.Store(int64(until))
	select {
	case <-time.After(until - last - f.options.Loop.Now()):
	case <-ctx.Done():
	}
	f.ending.Store(true)
	l.Close()
	done := make(chan struct{})
	go func() { // ends with the last connection, which has bounds of its own
		defer close(done)
		f.wg.Wait()
	}()
	tick := time.NewTicker(20 * time.Millisecond)
	defer tick.Stop()
	for {
		f.retireIdle(last / 2)
		select {
		case <-done:
			return
		case <-ctx.Done():
			f.Close()
			<-done
			return
		case <-tick.C:
		}
	}
}

// retireIdle retires connections without a request, and those that have been sending one for so long.
func (f *Server) retireIdle(readingFor time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.retireAll(&f.places[fresh], 0, metrics.ShuttingDown)
	f.retireAll(&f.places[resting], 0, metrics.ShuttingDown)
	f.retireAll(&f.places[reading], readingFor, metrics.ShuttingDown)
}

// Close ends every connection at once.
func (f *Server) Close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.conns {
		c.nc.Close()
	}
}
