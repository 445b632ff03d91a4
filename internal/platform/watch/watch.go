// Package watch follows the platform's list of bricks at the agent on this host's machine. What the agent tells is handed
// on as it is; while it is silent or gone, the last list holds.
package watch

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/valyala/fastjson"

	"weirhaven/internal/http1"
	"weirhaven/internal/platform/conf"
)

// Options are what a watch is made with.
type Options struct {
	Address string
	Last    int64 // the version held so far
	Told    func(conf.List)
	Log     *slog.Logger
}

const (
	silence = 5 * time.Second // the agent says at least an empty line every 2 s
	connect = time.Second
	soonest = 20 * time.Millisecond // between two tries
	latest  = 500 * time.Millisecond
	maxLine = 256 << 10
)

// Watch is one watch, renewed until its context ends.
type Watch struct {
	o Options

	mu      sync.Mutex
	address string
	stop    context.CancelFunc // of the try that goes on
	last    int64
}

// New makes a watch.
func New(o Options) *Watch { return &Watch{o: o, address: o.Address, last: o.Last} }

// Move lets the watch go on at another address, at once.
func (w *Watch) Move(address string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.address != address {
		w.address = address
		if w.stop != nil {
			w.stop()
		}
	}
}

// Run watches until ctx ends.
func (w *Watch) Run(ctx context.Context) {
	wait, up := soonest, true
	for ctx.Err() == nil {
		w.mu.Lock()
		address, last := w.address, w.last
		try, stop := context.WithCancel(ctx)
		w.stop = stop
		w.mu.Unlock()
		heard, err := w.once(try, address, last)
		moved := try.Err() != nil
		stop()
		if ctx.Err() != nil {
			return
		}
		if heard || moved {
			wait = soonest
		} else {
			wait = min(2*wait, latest)
		}
		if heard || up || moved {
			w.o.Log.Info("watch ended; asking again", "agent", address, "heard", heard, "err", err)
		}
		up = heard
		if moved {
			continue
		}
		select {
		case <-time.After(wait):
		case <-ctx.Done():
		}
	}
}

// once is one watch; heard tells whether a list or a change came.
func (w *Watch) once(ctx context.Context, address string, last int64) (heard bool, err error) {
	dialer := net.Dialer{Timeout: connect, KeepAlive: -1}
	nc, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return false, err
	}
	defer nc.Close()
	defer context.AfterFunc(ctx, func() { nc.Close() })()
	nc.SetDeadline(time.Now().Add(silence))
	if _, err := fmt.Fprintf(nc, "GET /api/targets?watch=1&after=%d HTTP/1.1\r\nHost: %s\r\n\r\n", last, address); err != nil {
		return false, err
	}
	in := http1.NewReader(nc)
	h, err := in.Answer()
	if err != nil {
		return false, err
	}
	if h.Status != 200 {
		return false, fmt.Errorf("status %d", h.Status)
	}
	var parser fastjson.Parser
	err = in.Lines(h, maxLine, func(line []byte) error {
		nc.SetReadDeadline(time.Now().Add(silence))
		if line = bytes.TrimSpace(line); len(line) == 0 {
			return nil
		}
		l, err := conf.ParseList(&parser, line)
		if err != nil {
			return fmt.Errorf("a line that is no list: %w", err)
		}
		w.mu.Lock()
		if ctx.Err() == nil { // else it has moved: the old agent's word does not count any more
			w.last = l.Revision
		}
		w.mu.Unlock()
		if ctx.Err() != nil {
			return ctx.Err()
		}
		heard = true
		w.o.Told(l)
		return nil
	})
	if errors.Is(err, io.EOF) {
		err = nil
	}
	return heard, err
}
