// Package discovery watches the platform's endpoint list through the agent on this machine. It passes each list to its caller
// as the agent sent it. While the agent is silent or down, the last list stays in use.
//
// Its invariants: lists are delivered in the agent's order, from one stream at a time. While the agent is silent, the watch
// opens further streams beside the open one, so that a change is received in time even if a connection hangs. The size of
// lists and the number of streams are bounded. The package does not interpret the lists.
package discovery

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"weirhaven/internal/httpgateway/config"
)

// Options configures a Watch.
type Options struct {
	Address  string // address of the agent, with its port
	Revision int64  // revision of the initial list; the agent sends the changes after it

	// OnList is called with each list. sinceConfirmed is the time since the agent last confirmed the previous list; negative:
	// never.
	OnList func(list config.List, sinceConfirmed time.Duration)
	// OnCurrent is called once, when the agent has sent its current list; may be nil.
	OnCurrent func()

	Log *slog.Logger
}

// Time limits of the watch. A gateway must receive a change of the list within 6 s after its agent fell silent, since it may
// send no new attempt to a draining endpoint. The agent sends data every 2 s, so after silenceTimeout without data the stream
// may be dead although its connection is open. Then the watch opens another stream beside it, and one more after each
// retryInterval. The older streams stay open, since any of them may deliver first. Each stream has at least maxStreams times
// retryInterval to deliver, which is enough for a slow agent. All intervals start at the last event received, so they don't
// depend on the way in which a stream hangs.
const (
	silenceTimeout = 2500 * time.Millisecond
	retryInterval  = 1500 * time.Millisecond
	maxStreams     = 4 // limit on open streams; the oldest one is closed for a new one
	minBackoff     = 10 * time.Millisecond
	maxBackoff     = 250 * time.Millisecond // maximum delay after a failed stream
)

// Watch is a watch of the endpoint list. Its methods are safe for concurrent use; Run is called once.
type Watch struct {
	options        Options
	addressChanged chan struct{} // signal, with a buffer of one

	mu      sync.Mutex // guards address
	address string

	// Owned by Run.
	streams     []*stream // open streams, oldest first; once one delivers, the others are closed
	events      chan event
	tasks       sync.WaitGroup // one task for each stream
	retry       *time.Timer    // fires when another stream is to be opened
	backoff     time.Duration
	healthy     bool      // true: no stream has failed or fallen silent since the last event; used for logging
	lastEventAt time.Time // time of the last event
	revision    int64
	confirmed   time.Time // time at which the agent last confirmed the delivered list; zero: none was delivered
	onCurrent   func()    // Options.OnCurrent; nil once it was called
}

// New returns a watch that does nothing before Run.
func New(options Options) *Watch {
	return &Watch{options: options, address: options.Address, addressChanged: make(chan struct{}, 1), events: make(chan event),
		revision: options.Revision, onCurrent: options.OnCurrent}
}

// SetAddress makes the watch switch to another agent at once. Setting the current address has no effect.
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

// Run watches until ctx ends and joins its goroutines. Only Run selects the stream in use: the first that delivers. It drops
// events of the other streams, so that lists are delivered in the agent's order.
func (w *Watch) Run(ctx context.Context) {
	ctx, stop := context.WithCancel(ctx)
	defer w.tasks.Wait()
	defer stop()
	w.backoff, w.healthy, w.lastEventAt = minBackoff, true, time.Now()
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

// restart closes all streams and opens one to the new address.
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
		w.options.Log.Info("watch silent; opening another stream", "agent", w.currentAddress(), "silent_for", time.Since(w.lastEventAt))
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

// handle handles an event. It ignores events of streams that Run has closed.
func (w *Watch) handle(e event) {
	switch i := slices.Index(w.streams, e.stream); {
	case i < 0:
	case e.kind == streamEnded:
		w.streams = slices.Delete(w.streams, i, i+1)
		w.handleStreamEnd(e)
	default:
		w.handleData(e)
	}
}

func (w *Watch) handleStreamEnd(e event) {
	if w.healthy {
		w.options.Log.Info("watch ended; opening another stream", "agent", e.stream.address, "err", e.err)
		w.healthy = false
	}
	if len(w.streams) == 0 {
		w.retry.Reset(w.backoff)
		w.backoff = min(2*w.backoff, maxBackoff)
	}
}

// handleData handles received data: it closes all streams but the one that delivered.
func (w *Watch) handleData(e event) {
	for _, s := range w.streams {
		if s != e.stream {
			s.cancel()
		}
	}
	if !w.healthy {
		w.options.Log.Info("watch recovered", "agent", e.stream.address, "silent_for", time.Since(w.lastEventAt))
	}
	w.streams, w.backoff, w.healthy, w.lastEventAt = []*stream{e.stream}, minBackoff, true, time.Now()
	w.retry.Reset(silenceTimeout)
	if e.kind == listReceived {
		w.revision = e.list.Revision
		w.options.OnList(e.list, w.sinceConfirmed())
	}
	if e.kind == listReceived || e.kind == keepAlive {
		w.confirmed = w.lastEventAt
		if w.onCurrent != nil {
			w.onCurrent()
			w.onCurrent = nil
		}
	}
}

// sinceConfirmed returns the time since the agent last confirmed the list, or -1 if there was none.
func (w *Watch) sinceConfirmed() time.Duration {
	if w.confirmed.IsZero() {
		return -1
	}
	return time.Since(w.confirmed)
}
