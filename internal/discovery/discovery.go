// Package discovery is a connection to the list service: it keeps connected, asks, and hands on what it hears.
package discovery

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"weirhaven/internal/engine"
	"weirhaven/internal/fleet/endpointstate"
	"weirhaven/internal/lineproto"
	"weirhaven/internal/settings"
)

// Sink hears of lists. No call may block for long.
type Sink interface {
	List(g endpointstate.Generation, whole bool, lines []engine.EndpointEntry)
	ListFailed()
	ListHolds() // the connection stands: what was told last still holds
}

// Config is a connection's.
type Config struct {
	Address string // none: every ask fails
	Name    string // of this side, in greetings
	Asked   bool   // the list comes only when asked for
	Limits  settings.Limits
	Seed    int64
	Log     *slog.Logger
	Sink    Sink
}

// Conn is a connection to the list service.
type Conn struct {
	c    Config
	asks chan string // verbs to send; bounded
}

// New is not connected before Run.
func New(c Config) *Conn { return &Conn{c: c, asks: make(chan string, 4)} }

// Watch asks for changes from now on.
func (l *Conn) Watch() {
	select {
	case l.asks <- lineproto.Watch:
	default: // as many asks wait already
	}
}

// Run keeps connected until ctx ends. Where the list is pushed the connection is made again and again, at times of this host's own;
// where it is asked for, a failure goes to the module, which asks again.
func (l *Conn) Run(ctx context.Context) {
	address := l.c.Address
	if address == "" {
		l.refuse(ctx)
		return
	}
	pushed := !l.c.Asked
	rng := rand.New(rand.NewSource(l.c.Seed))
	wait, verb := 50*time.Millisecond, ""
	for ctx.Err() == nil {
		if !pushed && verb == "" {
			select {
			case verb = <-l.asks:
			case <-ctx.Done():
				return
			}
		}
		heard, err := l.serve(ctx, address, verb)
		verb = ""
		if ctx.Err() != nil {
			return
		}
		if heard {
			wait = 50 * time.Millisecond
		}
		l.c.Log.Debug("list service", "err", err)
		if !pushed {
			l.c.Sink.ListFailed()
			continue
		}
		select {
		case <-time.After(wait/2 + time.Duration(rng.Int63n(int64(wait)))):
			wait = min(2*wait, 2*time.Second)
		case <-ctx.Done():
		}
	}
}

// refuse answers every ask where there is no list service.
func (l *Conn) refuse(ctx context.Context) {
	for {
		select {
		case <-l.asks:
			l.c.Sink.ListFailed()
		case <-ctx.Done():
			return
		}
	}
}

func (l *Conn) serve(ctx context.Context, address, verb string) (heard bool, err error) {
	limits := l.c.Limits
	d := net.Dialer{Timeout: limits.Connect}
	nc, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return false, fmt.Errorf("connect to the list service: %w", err)
	}
	defer nc.Close()
	unhook := context.AfterFunc(ctx, func() { nc.Close() })
	defer unhook()
	r := lineproto.NewConnReader(nc, max(limits.Body, 16<<20), 0, limits.Stall)
	if _, err := lineproto.Greet(nc, r, "host", l.c.Name, limits.Stall, nil); err != nil {
		return false, fmt.Errorf("list service: %w", err)
	}
	write := func(verb string) error {
		var o lineproto.Out
		nc.SetWriteDeadline(time.Now().Add(limits.Stall))
		_, err := nc.Write(o.Start(verb, 0).End(nil).B)
		return err
	}
	if verb != "" {
		if err := write(verb); err != nil {
			return false, err
		}
	}
	// One goroutine sends asks, this one reads; the connection's end ends both.
	inner, stop := context.WithCancel(ctx)
	var wg sync.WaitGroup
	defer func() { stop(); nc.Close(); wg.Wait() }()
	wg.Add(2)
	go func() {
		defer wg.Done()
		for {
			select {
			case verb := <-l.asks:
				if write(verb) != nil {
					nc.Close()
					return
				}
			case <-inner.Done():
				return
			}
		}
	}()
	go func() { // while the connection stands, what was told last holds
		defer wg.Done()
		tick := time.NewTicker(time.Second)
		defer tick.Stop()
		for {
			select {
			case <-tick.C:
				l.c.Sink.ListHolds()
			case <-inner.Done():
				return
			}
		}
	}()
	for {
		m, err := r.Read()
		if err != nil {
			return heard, err
		}
		switch m.Verb {
		case lineproto.List:
			g, whole, lines, err := Parse(m)
			if err != nil {
				l.c.Log.Warn("a list was refused; the one before holds", "err", err)
				continue
			}
			heard = true
			l.c.Sink.List(g, whole, lines)
		case lineproto.Busy, lineproto.Abort, lineproto.Bad:
			l.c.Sink.ListFailed()
		}
	}
}

// Parse reads a LIST. Each line of its body is: name address zone cell state started, where started is on
// the clock that the field Clock reads, in microseconds, 0 where it is not known.
func Parse(m *lineproto.Message) (g endpointstate.Generation, whole bool, lines []engine.EndpointEntry, err error) {
	clock, err1 := m.Whole("Clock", 0)
	number, err2 := m.Whole("Number", 0)
	if err := errors.Join(err1, err2); err != nil {
		return g, false, nil, err
	}
	g = endpointstate.Generation{Epoch: m.Get("Epoch"), Number: number}
	seen := map[string]bool{}
	in := bufio.NewScanner(bytes.NewReader(m.Body))
	for no := 1; in.Scan(); no++ {
		f := strings.Fields(in.Text())
		if len(f) != 6 {
			return g, false, nil, fmt.Errorf("list line %d: %d words, wanted 6", no, len(f))
		}
		cell, err1 := strconv.Atoi(f[3])
		started, err2 := strconv.ParseInt(f[5], 10, 64)
		if err := errors.Join(err1, err2); err != nil {
			return g, false, nil, fmt.Errorf("list line %d: %w", no, err)
		}
		if _, _, err := net.SplitHostPort(f[1]); err != nil {
			return g, false, nil, fmt.Errorf("list line %d: %w", no, err)
		}
		b := engine.EndpointEntry{Name: f[0], Address: f[1], Zone: f[2], Shard: cell}
		switch f[4] {
		case "serving":
			b.Serving = true
		case "draining":
		case "gone":
			b.Gone = true
		default:
			return g, false, nil, fmt.Errorf("list line %d: state %q; allowed: serving, draining, gone", no, f[4])
		}
		if seen[b.Name] {
			return g, false, nil, fmt.Errorf("list line %d: brick %s stands twice", no, b.Name)
		}
		seen[b.Name] = true
		if started != 0 {
			b.HasStart = true
			b.Age = time.Duration(clock-started) * time.Microsecond
		}
		lines = append(lines, b)
	}
	return g, m.Get("Whole") == "yes", lines, in.Err()
}
