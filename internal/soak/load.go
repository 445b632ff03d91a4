package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"weirhaven/internal/fake/storagenode"
	"weirhaven/internal/http1"
	"weirhaven/internal/lineproto"
	"weirhaven/internal/pb"
)

// usualRate is the mean number of requests a second that each process sees.
const usualRate = 12

// habits are how clients misbehave now; the zero value is a usual moment.
type habits struct {
	leave    atomic.Int32 // percent that close before their answer
	pieces   atomic.Int32 // percent that send their request in pieces, slowly
	fresh    atomic.Int32 // percent that ask on a new connection
	burst    atomic.Int32 // times as many requests
	quiet    atomic.Bool  // nobody asks
	crowding atomic.Bool  // idle clients fill the descriptors: new connections may be closed unread
}

// load is all clients.
type load struct {
	r      *run
	habits habits
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
	number atomic.Uint64
	pools  []connections // by process
	seed   int64

	mu   sync.Mutex
	left map[uint64]time.Duration // when a client closed before its answer
}

// connections are idle ones to a process.
type connections struct {
	mu   sync.Mutex
	idle []*connection
}

type connection struct {
	nc     net.Conn
	reader *http1.Reader
	used   bool // an answer came on it

	incarnation uint32 // of the process that it leads to
}

func newLoad(r *run, rng *rand.Rand) *load {
	l := &load{r: r, pools: make([]connections, len(r.processes)), left: map[uint64]time.Duration{}, seed: rng.Int63()}
	l.habits.burst.Store(1)
	l.ctx, l.cancel = context.WithCancel(context.Background())
	return l
}

func (l *load) spawn(f func()) {
	l.wg.Add(1)
	go func() {
		defer l.wg.Done()
		f()
	}()
}

func (l *load) start() {
	for i := range l.r.processes {
		l.spawn(func() { l.arrivals(i, rand.New(rand.NewSource(l.seed+int64(i)))) })
	}
}

// stop ends the load once every request is over.
func (l *load) stop() {
	l.cancel()
	l.wg.Wait()
	for i := range l.pools {
		for _, c := range l.pools[i].idle {
			_ = c.nc.Close()
		}
	}
}

// arrivals lets requests come to one process.
func (l *load) arrivals(process int, rng *rand.Rand) {
	for l.ctx.Err() == nil {
		rate := l.r.options.Rate * float64(max(l.habits.burst.Load(), 1))
		select {
		case <-time.After(time.Duration(rng.ExpFloat64() / rate * float64(time.Second))):
		case <-l.ctx.Done():
			return
		}
		if l.habits.quiet.Load() {
			continue
		}
		q := l.draw(process, rng)
		l.spawn(func() { l.ask(q) })
	}
}

// request is one request of a client.
type request struct {
	number  uint64
	process int
	class   int
	plan    int
	volume  string
	object  string
	cell    int
	units   int
	pieces  bool
	leave   time.Duration // it closes so long after it has asked; 0: it stays
	fresh   bool
	once    bool // its connection is closed after the answer
}

func (l *load) draw(process int, rng *rand.Rand) request {
	q := request{number: l.number.Add(1), process: process, cell: rng.Intn(cells), units: 1}
	n := len(l.r.processes)
	volume := (process + n - rng.Intn(min(volumeHosts, n))) % n // each comes through volumeHosts processes
	q.volume, q.object = fmt.Sprintf("%016x", volume+1), fmt.Sprintf("%016x", rng.Intn(1000))
	if volume%4 == limitedPlan {
		q.plan = limitedPlan
	}
	if rng.Float64() < usualUnits-1 {
		q.units = 2
	}
	x := rng.Float64()
	for i, c := range classes {
		q.class = i
		if x -= c.share; x < 0 {
			break
		}
	}
	percent := func(p *atomic.Int32) bool { return rng.Intn(100) < int(p.Load()) }
	q.pieces, q.fresh = percent(&l.habits.pieces), percent(&l.habits.fresh)
	if percent(&l.habits.leave) {
		q.leave = 1 + time.Duration(rng.Int63n(int64(300*time.Millisecond)))
	}
	return q
}

// text is the request as it goes over the wire.
func (q *request) text() string {
	c := classes[q.class]
	var b strings.Builder
	fmt.Fprintf(&b, "%s /%s/%s/%s HTTP/1.1\r\nHost: x\r\nX-Txn: %d\r\nX-Lane: %s\r\nTier: %s\r\nX-Remaining-Ms: %d\r\nIO-Info: units=%d,shard=%d,hosts=%d\r\n",
		c.method, c.name, q.volume, q.object, q.number, c.name, plans[q.plan].Name, requestTime.Milliseconds(), q.units, q.cell, volumeHosts)
	if c.tagged {
		fmt.Fprintf(&b, "Idempotency-Key: k%d\r\n", q.number)
	}
	if c.method == "PUT" {
		body := strings.Repeat("x", 64*q.units)
		fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(body), body)
	} else {
		b.WriteString("\r\n")
	}
	return b.String()
}

// take returns a connection to a process, an idle one if there is one and none is asked to be new.
func (l *load) take(process int, fresh bool) (*connection, error) {
	pool := &l.pools[process]
	pool.mu.Lock()
	defer pool.mu.Unlock()
	if n := len(pool.idle); n > 0 && !fresh {
		c := pool.idle[n-1]
		pool.idle = pool.idle[:n-1]
		return c, nil
	}
	incarnation := l.r.processes[process].incarnation.Load()
	nc, err := net.DialTimeout("tcp", l.r.processes[process].address, 250*time.Millisecond)
	if err != nil {
		return nil, err
	}
	return &connection{nc: nc, reader: http1.NewReader(nc), incarnation: incarnation}, nil
}

func (l *load) put(process int, c *connection) {
	pool := &l.pools[process]
	pool.mu.Lock()
	defer pool.mu.Unlock()
	pool.idle = append(pool.idle, c)
}

// ask sends a request and waits for its answer.
func (l *load) ask(q request) {
	c, err := l.take(q.process, q.fresh)
	if err != nil {
		return
	}
	text := q.text()
	last := 0
	if q.pieces {
		last = len(text) / 2
		_, _ = io.WriteString(c.nc, text[:last])
		time.Sleep(30 * time.Millisecond)
	}
	seen := &pb.Seen{What: pb.Seen_ASKED, Host: uint32(q.process), Incarnation: c.incarnation, Command: q.number, First: q.number,
		Volume: q.volume, Plan: uint32(q.plan), QueueType: uint32(q.class), Units: float64(q.units), Cell: int32(q.cell), Timeout: int64(requestTime)}
	l.r.rec.See(seen)
	if _, err := io.WriteString(c.nc, text[last:]); err != nil {
		_ = c.nc.Close()
		l.ended(q, c, false)
		return
	}
	if q.leave > 0 {
		time.AfterFunc(q.leave, func() { l.leave(q, c) })
	}
	l.hear(q, c)
}

func (l *load) leave(q request, c *connection) {
	l.mu.Lock()
	l.left[q.number] = l.r.rec.Now()
	l.mu.Unlock()
	_ = c.nc.Close()
}

func (l *load) hasLeft(number uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, left := l.left[number]
	return left
}

// hear waits for the answer, and half a second beyond the request's time.
func (l *load) hear(q request, c *connection) {
	late := time.AfterFunc(requestTime, func() {
		l.r.rec.See(&pb.Seen{What: pb.Seen_GIVEN_UP, Host: uint32(q.process), Command: q.number})
	})
	defer late.Stop()
	_ = c.nc.SetReadDeadline(time.Now().Add(requestTime + answerSlack + 2*blur))
	if err := c.reader.Await(); err != nil {
		_ = c.nc.Close()
		l.ended(q, c, isTimeout(err))
		return
	}
	h, err := c.reader.Response()
	var body []byte
	if err == nil {
		body, err = c.reader.Body(h, 1<<20)
	}
	if err != nil {
		_ = c.nc.Close()
		l.ended(q, c, isTimeout(err))
		return
	}
	l.answered(q, h, body)
	c.used = true
	if h.Close || q.leave > 0 || q.once {
		_ = c.nc.Close()
		return
	}
	_ = c.nc.SetReadDeadline(time.Time{})
	l.put(q.process, c)
}

func isTimeout(err error) bool {
	var failure net.Error
	return errors.As(err, &failure) && failure.Timeout()
}

// answered notes a whole answer. A body that is not the server's answer to this very request is a lost request.
func (l *load) answered(q request, h *http1.Head, body []byte) {
	how := map[int]string{200: lineproto.VerbServed, 429: lineproto.VerbRejected, 503: lineproto.VerbRejected}[h.Status]
	if how == "" {
		how = lineproto.VerbFailed
	}
	l.r.rec.See(&pb.Seen{What: pb.Seen_ANSWERED, Host: uint32(q.process), Command: q.number, How: how})
	if h.Status == 200 && string(body) != storagenode.AnswerTo(q.number) {
		l.r.violated(Violation{Rule: "another request's answer", Request: q.number, Process: l.r.processes[q.process].name(), At: l.r.rec.Now(),
			Detail: fmt.Sprintf("got %.40q", body), Log: l.r.processes[q.process].file(".log")})
	}
}

// ended notes that a connection ended, or a client stopped waiting, before the answer.
func (l *load) ended(q request, c *connection, waitedInVain bool) {
	how := "host"
	switch {
	case l.hasLeft(q.number):
		how = "client"
	case waitedInVain:
	case c.used, l.habits.crowding.Load():
		how = "client" // it crossed the end between two requests, or met a full process: to be sent once more
	}
	l.r.rec.See(&pb.Seen{What: pb.Seen_UNANSWERED, Host: uint32(q.process), Command: q.number, How: how})
}

// idle holds connections to a process that say nothing, or half of a request, until ctx ends.
func (l *load) idle(ctx context.Context, process, count int, half bool) {
	var held []net.Conn
	for range count {
		nc, err := net.DialTimeout("tcp", l.r.processes[process].address, 250*time.Millisecond)
		if err != nil {
			continue
		}
		if half {
			_, _ = io.WriteString(nc, "GET /read/0000")
		}
		held = append(held, nc)
	}
	<-ctx.Done()
	for _, nc := range held {
		_ = nc.Close()
	}
}
