package soak

import (
	"context"
	"fmt"
	"math/rand"
	"sync"
	"sync/atomic"
	"time"

	"weirhaven/internal/fake/storagenode"
	"weirhaven/internal/http1"
	"weirhaven/internal/lineproto"
	"weirhaven/internal/pb"
)

// defaultRate is the mean number of requests a second at each process.
const defaultRate = 12

// clientBehavior holds the current client faults.
type clientBehavior struct {
	abandonPercent       atomic.Int32 // percentage of the requests whose client disconnects before the response
	piecewisePercent     atomic.Int32 // percentage of the requests that are sent in two pieces with a delay between them
	newConnectionPercent atomic.Int32 // percentage of the requests that are sent on a new connection
	rateMultiple         atomic.Int32 // multiple of the usual request rate; 1 without a fault
	paused               atomic.Bool  // clients send no requests
	socketsExhausted     atomic.Bool  // idle clients use up the descriptors: processes may close new connections unread
}

// load is the clients of a run.
type load struct {
	run         *run
	behavior    clientBehavior
	ctx         context.Context
	cancel      context.CancelFunc
	group       sync.WaitGroup
	lastRequest atomic.Uint64 // number of the last request
	pools       []connections // idle connections, by process
	seed        int64

	mu        sync.Mutex
	abandoned map[uint64]time.Duration // time at which a client disconnected before the response, by request
	returned  map[uint64]time.Duration // time at which its client sent the request again, by request
}

func newLoad(r *run, rng *rand.Rand) *load {
	l := &load{run: r, pools: make([]connections, len(r.processes)), abandoned: map[uint64]time.Duration{}, returned: map[uint64]time.Duration{}, seed: rng.Int63()}
	l.behavior.rateMultiple.Store(1)
	l.ctx, l.cancel = context.WithCancel(context.Background())
	return l
}

// spawn runs work in a goroutine that stop waits for.
func (l *load) spawn(work func()) {
	l.group.Add(1)
	go func() {
		defer l.group.Done()
		work()
	}()
}

// start begins the load.
func (l *load) start() {
	for i := range l.run.processes {
		l.spawn(func() { l.arrivals(i, rand.New(rand.NewSource(l.seed+int64(i)))) })
	}
}

// stop stops the load, waits until every request has its outcome and closes the idle connections.
func (l *load) stop() {
	l.cancel()
	l.group.Wait()
	for i := range l.pools {
		for _, c := range l.pools[i].idle {
			_ = c.conn.Close()
		}
	}
}

// arrivals sends the requests of one process, at exponential intervals.
func (l *load) arrivals(process int, rng *rand.Rand) {
	for l.ctx.Err() == nil {
		rate := l.run.options.Rate * float64(max(l.behavior.rateMultiple.Load(), 1))
		select {
		case <-time.After(time.Duration(rng.ExpFloat64() / rate * float64(time.Second))):
		case <-l.ctx.Done():
			return
		}
		if l.behavior.paused.Load() {
			continue
		}
		q := l.drawRequest(process, rng)
		l.spawn(func() { l.send(q) })
	}
}

// recordResponse records a complete response. It reports a violation if a body belongs to another request.
func (l *load) recordResponse(q request, head *http1.Head, body []byte) {
	outcome := map[int]string{200: lineproto.VerbServed, 429: lineproto.VerbRejected, 503: lineproto.VerbRejected}[head.Status]
	if outcome == "" {
		outcome = lineproto.VerbFailed
	}
	l.run.recorder.See(&pb.Seen{What: pb.Seen_ANSWERED, Host: uint32(q.process), Command: q.number, How: outcome})
	if head.Status == 200 && string(body) != storagenode.ResponseBody(q.number) {
		l.run.report(Violation{Rule: "another request's answer", Request: q.number, Process: l.run.processes[q.process].name(), At: l.run.recorder.Now(),
			Detail: fmt.Sprintf("got %.40q", body), Log: l.run.processes[q.process].path(".log")})
	}
}

// recordNoResponse records that the connection ended or the client stopped waiting before the response, and which side
// caused it.
func (l *load) recordNoResponse(q request, c *connection, timedOut bool) {
	cause := "host"
	switch {
	case l.wasAbandoned(q.number):
		cause = "client"
	case timedOut:
	case c.reused, l.behavior.socketsExhausted.Load():
		cause = "client" // the process may close an idle connection, or any connection when its descriptors are used up: the client has to retry
	}
	l.run.recorder.See(&pb.Seen{What: pb.Seen_UNANSWERED, Host: uint32(q.process), Command: q.number, How: cause})
}

// finishWithoutResponse closes the connection of a request that gets no response.
func (l *load) finishWithoutResponse(q request, c *connection, timedOut bool) {
	_ = c.conn.Close()
	l.recordNoResponse(q, c, timedOut)
}

// wasAbandoned reports whether the client disconnected before the response.
func (l *load) wasAbandoned(number uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, abandoned := l.abandoned[number]
	return abandoned
}
