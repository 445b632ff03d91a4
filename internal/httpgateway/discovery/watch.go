// Package discovery watches the platform's list of endpoints at the agent on this machine. Each list is handed on as the
// agent sent it; while the agent is silent or down, the last list holds.
//
// Its invariants: lists are handed on in the agent's order, from one stream at a time; a silent agent is asked again beside
// the open stream, so that a change is known in time whatever happened to a connection; lists and streams are bounded. It
// doesn't know what a list means.
package discovery

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"weirhaven/internal/httpgateway/config"
)

// Options are what a watch is made with.
type Options struct {
	Address  string // of the agent, with its port
	Revision int64  // of the list held so far; the agent sends what came after it

	// OnList gets each list. sinceConfirmed is how long ago the list before it was last known to hold; below 0: never.
	OnList func(list config.List, sinceConfirmed time.Duration)
	// OnCurrent is called once, when the agent has sent what it has; may be nil.
	OnCurrent func()

	Log *slog.Logger
}

// A change of the list must be known 6 s after the agent fell silent, whatever happened meanwhile: nothing new may be sent
// to an endpoint that drains. The agent sends something every 2 s, so silence of silenceTimeout means that the stream may be
// dead though its connection is up. Then another stream is opened beside it, and one more after each retryInterval; the
// older ones stay open, since one of them may deliver first. Each has at least maxStreams times retryInterval, so that a
// slow agent is heard too. All of this counts from the last event received, so it does not depend on how a stream hangs.
const (
	silenceTimeout = 2500 * time.Millisecond
	retryInterval  = 1500 * time.Millisecond
	maxStreams     = 4 // at a time; the oldest ends for one more
	minBackoff     = 10 * time.Millisecond
	maxBackoff     = 250 * time.Millisecond // between two streams that failed
)

// Watch is one watch of the list. Its methods are safe for concurrent use; Run is called once.
type Watch struct {
	options        Options
	addressChanged chan struct{} // holds one

	mu      sync.Mutex // guards address
	address string

	// Owned by Run.
	streams   []*stream // oldest first; once one delivers, the others end
	events    chan event
	tasks     sync.WaitGroup // one for each stream
	retry     *time.Timer    // when another stream is opened
	backoff   time.Duration
	healthy   bool      // for the log: no stream has failed or fallen silent since the last event
	heardAt   time.Time // of the last event
	revision  int64
	confirmed time.Time // the list handed on last was known to hold then; zero: none was handed on
	onCurrent func()    // OnCurrent until it was called
}

// New makes a watch.
func New(options Options) *Watch {
	return &Watch{options: options, address: options.Address, addressChanged: make(chan struct{}, 1), events: make(chan event),
		revision: options.Revision, onCurrent: options.OnCurrent}
}

// SetAddress lets the watch go on at another agent at once. The same address as before changes nothing.
func (w *Watch) SetAddress(address string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.address == address {
		return
	}
	w.address = address
	select {
	case w.addressChanged <- struct{}{}:
	default:
	}
}

func (w *Watch) currentAddress() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.address
}

// Run watches until ctx ends and joins its goroutines. It alone decides which stream counts: the first that delivers. What
// the others still send is dropped, so the lists come in the agent's order.
func (w *Watch) Run(ctx context.Context) {
	ctx, stop := context.WithCancel(ctx)
	defer w.tasks.Wait()
	defer stop()
	w.backoff, w.healthy, w.heardAt = minBackoff, true, time.Now()
	w.retry = time.NewTimer(0)
	defer w.retry.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.addressChanged:
			w.restart(ctx)
		case <-w.retry.C:
			w.openAnother(ctx)
		case e := <-w.events:
			w.handle(e)
		}
	}
}

// restart ends all streams and opens one to the new address.
func (w *Watch) restart(ctx context.Context) {
	for _, s := range w.streams {
		s.cancel()
	}
	w.streams, w.backoff, w.healthy = nil, minBackoff, true
	w.open(ctx)
	w.retry.Reset(retryInterval)
}

// openAnother opens a stream beside those that are silent, or after one that failed.
func (w *Watch) openAnother(ctx context.Context) {
	if w.healthy && len(w.streams) > 0 {
		w.options.Log.Info("watch silent; opening another stream", "agent", w.currentAddress(), "silent_for", time.Since(w.heardAt))
		w.healthy = false
	}
	w.open(ctx)
	w.retry.Reset(retryInterval)
}

func (w *Watch) open(ctx context.Context) {
	if len(w.streams) == maxStreams {
		w.streams[0].cancel()
		w.streams = w.streams[1:]
	}
	streamCtx, cancel := context.WithCancel(ctx)
	s := &stream{address: w.currentAddress(), cancel: cancel}
	w.streams = append(w.streams, s)
	revision := w.revision
	w.tasks.Go(func() {
		defer cancel()
		err := s.read(streamCtx, revision, w.events)
		send(ctx, w.events, event{stream: s, kind: streamEnded, err: err})
	})
}

// handle takes an event. One of a stream that was ended here does not count.
func (w *Watch) handle(e event) {
	switch i := slices.Index(w.streams, e.stream); {
	case i < 0:
	case e.kind == streamEnded:
		w.streams = slices.Delete(w.streams, i, i+1)
		w.streamFailed(e)
	default:
		w.delivered(e)
	}
}

func (w *Watch) streamFailed(e event) {
	if w.healthy {
		w.options.Log.Info("watch ended; opening another stream", "agent", e.stream.address, "err", e.err)
		w.healthy = false
	}
	if len(w.streams) == 0 {
		w.retry.Reset(w.backoff)
		w.backoff = min(2*w.backoff, maxBackoff)
	}
}

// delivered takes a sign of life: its stream is the one that counts from now on.
func (w *Watch) delivered(e event) {
	for _, s := range w.streams {
		if s != e.stream {
			s.cancel()
		}
	}
	if !w.healthy {
		w.options.Log.Info("watch recovered", "agent", e.stream.address, "silent_for", time.Since(w.heardAt))
	}
	w.streams, w.backoff, w.healthy, w.heardAt = []*stream{e.stream}, minBackoff, true, time.Now()
	w.retry.Reset(silenceTimeout)
	if e.kind == listReceived {
		w.revision = e.list.Revision
		w.options.OnList(e.list, w.sinceConfirmed())
	}
	if e.kind == listReceived || e.kind == keepAlive {
		w.confirmed = w.heardAt
		if w.onCurrent != nil {
			w.onCurrent()
			w.onCurrent = nil
		}
	}
}

// sinceConfirmed is how long ago the last list was known to hold, -1 if there was none.
func (w *Watch) sinceConfirmed() time.Duration {
	if w.confirmed.IsZero() {
		return -1
	}
	return time.Since(w.confirmed)
}
