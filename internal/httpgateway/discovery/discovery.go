// Package discovery follows the platform's list of bricks at the agent on this host's machine. What the agent tells is handed
// on as it is; while it is silent or gone, the last list holds.
package discovery

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/valyala/fastjson"

	"weirhaven/internal/http1"
	"weirhaven/internal/httpgateway/config"
)

// Options are what a watch is made with.
type Options struct {
	Address   string
	Revision  int64                                    // the version held so far
	OnList    func(l config.List, quiet time.Duration) // quiet: since the list before was last confirmed; -1: never
	OnCurrent func()                                   // once: the agent has told what it has; may be nil
	Log       *slog.Logger
}

// What discovery changed must be known 6 s after the agent fell silent, whatever happened meanwhile. One clock counts from
// the last word heard, through all tries: the agent speaks every 2 s, so another try begins soon after that, and then one
// more every again; the older ones stay open, since one of them may speak first, each for most x again at least: an agent
// that is slow to answer is heard too. Nothing else depends on how a try hangs.
const (
	doubt   = 2500 * time.Millisecond // of silence until a second try begins
	again   = 1500 * time.Millisecond // until one more begins
	most    = 4                       // tries at a time; the oldest ends for one more
	connect = 2 * time.Second
	soonest = 10 * time.Millisecond // between two tries that failed
	latest  = 250 * time.Millisecond
	maxList = 4 << 20 // of one list
	atOnce  = 16 << 10
)

// Watch is one watch, renewed until its context ends.
type Watch struct {
	o     Options
	moved chan struct{} // holds one

	mu      sync.Mutex
	address string
}

// New makes a watch.
func New(o Options) *Watch {
	return &Watch{o: o, address: o.Address, moved: make(chan struct{}, 1)}
}

// Move lets the watch go on at another address, at once.
func (w *Watch) SetAddress(address string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.address == address {
		return
	}
	w.address = address
	select {
	case w.moved <- struct{}{}:
	default:
	}
}

func (w *Watch) to() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.address
}

// try is one connection to the agent. What it has to say comes as words.
type try struct {
	stop context.CancelFunc
	from string
}

// word is what a try heard: a list, some other sign of life, or its end.
type word struct {
	from  *try
	list  *config.List
	blank bool // an empty line between lists
	err   error
	over  bool
}

// Run watches until ctx ends. It alone decides which try is listened to: the first that speaks; the others end, so what
// comes is in the agent's order.
func (w *Watch) Run(ctx context.Context) {
	ctx, stop := context.WithCancel(ctx)
	var wg sync.WaitGroup
	defer wg.Wait()
	defer stop()
	words := make(chan word)
	var tries []*try
	last, wait, up, heard := w.o.Revision, soonest, true, time.Now()
	var confirmed time.Time // what was told last was known to hold then; zero: nothing was told
	begin := func() {
		if len(tries) == most {
			tries[0].stop()
			tries = tries[1:]
		}
		one, end := context.WithCancel(ctx)
		t := &try{stop: end, from: w.to()}
		tries = append(tries, t)
		wg.Add(1)
		go func(after int64) {
			defer wg.Done()
			defer end()
			err := t.watch(one, after, words)
			tell(ctx, words, word{from: t, err: err, over: true})
		}(last)
	}
	next := time.NewTimer(0) // when another try begins
	defer next.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.moved:
			for _, t := range tries {
				t.stop()
			}
			tries, wait, up = nil, soonest, true
			begin()
			next.Reset(again)
		case <-next.C:
			if up && len(tries) > 0 {
				w.o.Log.Info("watch silent; asking again beside it", "agent", w.to(), "silent", time.Since(heard))
				up = false
			}
			begin()
			next.Reset(again)
		case x := <-words:
			at := slices.Index(tries, x.from)
			switch {
			case at < 0: // ended here; what it still says does not count
			case x.over:
				if tries = slices.Delete(tries, at, at+1); up {
					w.o.Log.Info("watch ended; asking again", "agent", x.from.from, "err", x.err)
					up = false
				}
				if len(tries) == 0 {
					next.Reset(wait)
					wait = min(2*wait, latest)
				}
			default:
				for _, t := range tries {
					if t != x.from {
						t.stop()
					}
				}
				if !up {
					w.o.Log.Info("watch heard again", "agent", x.from.from, "silent", time.Since(heard))
				}
				tries, wait, up, heard = []*try{x.from}, soonest, true, time.Now()
				next.Reset(doubt)
				if x.list != nil {
					last = x.list.Revision
					w.o.OnList(*x.list, since(confirmed))
				}
				if x.list != nil || x.blank {
					confirmed = heard
					if w.o.OnCurrent != nil {
						w.o.OnCurrent()
						w.o.OnCurrent = nil
					}
				}
			}
		}
	}
}

// since is how long ago a time was, -1 for none.
func since(t time.Time) time.Duration {
	if t.IsZero() {
		return -1
	}
	return time.Since(t)
}

func tell(ctx context.Context, words chan<- word, x word) bool {
	select {
	case words <- x:
		return true
	case <-ctx.Done():
		return false
	}
}

// watch asks for what came after a version and hands on what it hears.
func (t *try) watch(ctx context.Context, after int64, words chan<- word) error {
	dialer := net.Dialer{Timeout: connect, KeepAlive: -1}
	nc, err := dialer.DialContext(ctx, "tcp", t.from)
	if err != nil {
		return err
	}
	defer nc.Close()
	defer context.AfterFunc(ctx, func() { nc.Close() })()
	nc.SetWriteDeadline(time.Now().Add(connect))
	if _, err := fmt.Fprintf(nc, "GET /api/targets?watch=1&after=%d HTTP/1.1\r\nHost: %s\r\n\r\n", after, t.from); err != nil {
		return err
	}
	in := http1.NewReader(nc)
	h, err := in.Answer()
	if err != nil {
		return err
	}
	if h.Status != 200 {
		return fmt.Errorf("status %d", h.Status)
	}
	body, err := in.Stream(h, atOnce)
	if err != nil {
		return err
	}
	s := &said{Reader: body, each: func(blank bool) bool { return tell(ctx, words, word{from: t, blank: blank}) }}
	values := json.NewDecoder(s)
	var parser fastjson.Parser
	for { // a list may be spread over several lines, with empty ones in it; one that the end cut is dropped
		s.left = maxList
		var value json.RawMessage
		if err := values.Decode(&value); err != nil {
			return err
		}
		l, err := config.ParseList(&parser, value)
		if err != nil {
			return fmt.Errorf("what is no list: %w", err)
		}
		if !tell(ctx, words, word{from: t, list: &l}) {
			return ctx.Err()
		}
	}
}

// said bounds what one value may hold and tells of each sign of life.
type said struct {
	io.Reader
	left int
	each func(blank bool) bool
}

func (s *said) Read(p []byte) (int, error) {
	if s.left <= 0 {
		return 0, fmt.Errorf("a list of more than %d bytes", maxList)
	}
	n, err := s.Reader.Read(p)
	between := s.left == maxList
	if s.left -= n; n > 0 && !s.each(between && len(bytes.TrimSpace(p[:n])) == 0) {
		return 0, context.Canceled
	}
	return n, err
}
