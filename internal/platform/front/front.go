// Package front takes commands from the platform's clients: HTTP/1.1, a request is a command, its response the one final
// answer. What can't be a command gets an error and its connection ends; what can is handed to the host loop, which
// alone decides about it.
package front

import (
	"container/list"
	"context"
	"errors"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"weirhaven/internal/hostloop"
	"weirhaven/policy"
)

// Loop takes events.
type Loop interface {
	Now() time.Duration
	Offer(f func(*hostloop.Core)) bool
	First(f func(*hostloop.Core)) bool
	Done() <-chan struct{}
}

// Options are what a front is made with.
type Options struct {
	Loop     Loop
	Settings policy.Settings
	Most     int   // connections at a time
	Ahead    int64 // bytes kept at a time, of all that came before their turn
	Log      *slog.Logger
}

// Times of a connection. All are absolute from an event that the client can't repeat at will.
const (
	requestTimeout = 2 * time.Second        // from the accept, or a request's first byte, until it is there whole
	idleTimeout    = 10 * time.Second       // a served connection without a request
	writeTimeout   = 2 * time.Second        // until an answer is taken, beyond its command timeout
	lingerTimeout  = 500 * time.Millisecond // what is still sent is read and dropped, so that the answer is not lost to a reset
	lingerLeast    = 100 * time.Millisecond // of that, also where room is wanted
)

// Places of connections that hold no command.
const (
	placeLingering = iota // their last answer is out
	placeFresh            // without a request so far
	placeResting          // between requests
	placeReading          // a request is not whole yet
	placeNone      = -1
)

// evictionOrder is how they make room, each from an age on: a usual client asks as soon as it has connected, so one that
// just came goes after those that have nothing to say.
var evictionOrder = []struct {
	place int
	age   time.Duration
}{{placeLingering, lingerLeast}, {placeResting, 2 * time.Second}, {placeFresh, 500 * time.Millisecond}, {placeReading, time.Second}, {placeResting, 0},
	{placeFresh, 0}, {placeReading, 0}, {placeLingering, 0}}

// Front is the clients' side of a host.
type Front struct {
	o      Options
	queues map[string]policy.QueueType
	plans  map[string]bool
	ids    ids
	ready  atomic.Bool
	ending atomic.Bool  // every answer is the last on its connection
	until  atomic.Int64 // on the loop's clock: every command must have its answer by then; 0: no such time
	room   atomic.Int64 // left of Ahead
	wg     sync.WaitGroup

	mu        sync.Mutex
	conns     map[*conn]bool
	places    [4]list.List // of *conn that can be done without, by place, oldest first
	lingering int          // evicted and not gone yet
	counts    Counts
	told      time.Time // when refusals were logged
	unsaid    int
}

// Counts are running totals.
type Counts struct {
	Accepted, Evicted, Turned, Requests, Refused, Full int64
	Open                                               int
}

// New makes a front.
func New(o Options) *Front {
	f := &Front{o: o, queues: map[string]policy.QueueType{}, plans: map[string]bool{}, conns: map[*conn]bool{}}
	f.room.Store(o.Ahead)
	for _, q := range o.Settings.QueueTypes {
		f.queues[q.Name] = q
	}
	for _, p := range o.Settings.Plans {
		f.plans[p.Name] = true
	}
	return f
}

// Ready lets /-/ready answer 200.
func (f *Front) Ready() { f.ready.Store(true) }

// Counts tells the totals so far.
func (f *Front) Counts() Counts {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := f.counts
	n.Open = len(f.conns)
	return n
}

// Serve accepts until the listener is closed. It goes on accepting whatever is open already: room is made by closing
// a connection that holds no command.
func (f *Front) Serve(l net.Listener) {
	for {
		nc, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // out of descriptors, say
			f.o.Log.Warn("accept failed; trying again", "err", err)
			f.evict()
			time.Sleep(10 * time.Millisecond)
			continue
		}
		c := newConn(f, nc)
		f.mu.Lock()
		f.counts.Accepted++
		if len(f.conns) >= f.o.Most && !f.evictOne() {
			f.counts.Turned++
			f.mu.Unlock()
			nc.Close()
			continue
		}
		f.conns[c] = true
		c.place, c.since = f.places[placeFresh].PushBack(c), time.Now()
		f.mu.Unlock()
		f.wg.Add(1)
		go func() {
			defer f.wg.Done()
			c.run()
		}()
	}
}

func (f *Front) evict() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.evictOne()
}

// evictOne closes the connection that can best be done without. Under mu.
func (f *Front) evictOne() bool {
	for _, t := range evictionOrder {
		if f.evictFrom(&f.places[t.place], t.age) {
			f.counts.Evicted++
			return true
		}
	}
	return false
}

func (f *Front) evictFrom(l *list.List, age time.Duration) bool {
	e := l.Front()
	if e == nil {
		return false
	}
	c := e.Value.(*conn)
	if age > 0 && time.Since(c.since) < age {
		return false
	}
	delete(f.conns, c)
	if l == &f.places[placeResting] && f.lingering < mostLingering {
		f.lingering++
		c.lingers = true
		f.retire(c)
		return true
	}
	l.Remove(e)
	c.place, c.evicted = nil, true
	c.nc.Close()
	return true
}

// mostLingering connections beyond the clients' part may be on their way out in good order.
const mostLingering = 6

// retire ends a connection between requests in good order: its goroutine half-closes it and reads a bounded rest, so that
// a request which crosses the end does not turn it into a reset. Such a request is not taken. Under mu.
func (f *Front) retire(c *conn) {
	f.unplace(c)
	c.evicted, c.retired = true, true
	c.nc.SetReadDeadline(longAgo) // wakes its goroutine
}

// put marks what a connection does; placeNone: it holds a command. false: it was closed to make room.
func (f *Front) put(c *conn, place int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.unplace(c)
	if c.evicted {
		return false
	}
	if place != placeNone {
		c.place, c.since = f.places[place].PushBack(c), time.Now()
	}
	return true
}

func (f *Front) unplace(c *conn) {
	if c.place != nil {
		for i := range f.places {
			f.places[i].Remove(c.place) // a list ignores another's elements
		}
		c.place = nil
	}
}

func (f *Front) end(c *conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.unplace(c)
	delete(f.conns, c)
	if c.lingers {
		f.lingering--
	}
}

// refused counts what could not be a command and now and then says so.
func (f *Front) refused(status int, why string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.counts.Refused++
	f.unsaid++
	if now := time.Now(); now.Sub(f.told) >= time.Second {
		f.o.Log.Info("requests refused that are no commands", "since the last line", f.unsaid, "last", status, "why", why)
		f.told, f.unsaid = now, 0
	}
}

// Stop lets clients go. All is served as ever for a while, since clients go on using the connections they have, but no
// command may last beyond until. Then, last before until, each answer is the last on its connection, nothing more is
// accepted, idle connections end, and what was taken is answered. It returns when all is, or ctx ends.
func (f *Front) Stop(ctx context.Context, l net.Listener, until time.Duration, last time.Duration) {
	f.until.Store(int64(until))
	select {
	case <-time.After(until - last - f.o.Loop.Now()):
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
		f.clear()
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

// clear closes connections between requests.
func (f *Front) clear() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, l := range []*list.List{&f.places[placeFresh], &f.places[placeResting]} {
		for l.Len() > 0 {
			f.retire(l.Front().Value.(*conn))
		}
	}
}

// Close ends every connection at once.
func (f *Front) Close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.conns {
		c.nc.Close()
	}
}

// ids are the commands' names in use. One that was in use a moment ago counts too: a late copy of a command would
// otherwise be one more effect.
type ids struct {
	mu       sync.Mutex
	open     map[string]bool
	new, old map[string]bool // of late
	turned   time.Time
}

const idsKept, idsFor = 4096, 10 * time.Second

// take claims an id.
func (x *ids) take(id string) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.open == nil {
		x.open, x.new, x.old = map[string]bool{}, map[string]bool{}, map[string]bool{}
	}
	if x.open[id] || x.new[id] || x.old[id] {
		return false
	}
	x.open[id] = true
	return true
}

// free lets go of an id; it is remembered for a while unless nothing came of it.
func (x *ids) free(id string, remember bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	delete(x.open, id)
	if !remember {
		return
	}
	if now := time.Now(); len(x.new) >= idsKept || now.Sub(x.turned) > idsFor {
		x.old, x.new, x.turned = x.new, map[string]bool{}, now
	}
	x.new[id] = true
}
