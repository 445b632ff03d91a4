// Package client is a fake for the clients of a fleet: an open load by volumes, deadlines, retries, and connections that
// close together. All that it sends and reads is in the record.
//
// Invariants: a seed draws the same load for the same sequence of outcomes; a request that a client began is open until it
// has its last outcome. The package speaks the line protocol and knows no policy.
package client

import (
	"context"
	"math/rand"
	"sync"
	"time"

	"weirhaven/internal/pb"
	"weirhaven/internal/record"
	"weirhaven/internal/settings"
)

// Volume is one volume's load.
type Volume struct {
	Name     string
	Plan     uint32  // index of its plan
	Shards   []int   // that hold its objects
	Gateways []int   // that its requests go to, the first one most
	Demand   float64 // units a second
}

// Config configures a load.
type Config struct {
	AddressOf     func(gateway int) string // address of a gateway now
	Gateways      int                      // their number
	QueueTypes    []*pb.QueueType
	Volumes       []Volume
	Load          *pb.Load
	MeanUnits     float64       // of a request
	MaxUnits      float64       // of a request
	MaxRetryAfter time.Duration // longest Retry-After that clients obey; 0: they obey none
	MarkRetries   bool          // a retry says that it is one
	Seed          int64
	Recorder      *record.Recorder
	// Incarnation of a gateway now, for the record.
	Incarnation func(gateway int) uint32
}

// Load is the clients while they run. Its methods may be called from any goroutine.
type Load struct {
	config Config
	ctx    context.Context
	stop   context.CancelFunc
	group  sync.WaitGroup
	links  []*link // by gateway
	body   []byte  // of a write

	mu               sync.Mutex
	random           *rand.Rand
	lastNumber       uint64
	openRequests     int
	rateMultiple     float64            // of all volumes
	planMultiples    map[uint32]float64 // by plan; 0: 1
	hotShare         float64
	immediateRetries int // 0: clients back off
}

// Start connects to all gateways. No request is sent before Run.
func Start(config Config) *Load {
	ctx, stop := context.WithCancel(context.Background())
	l := &Load{config: config, ctx: ctx, stop: stop, random: rand.New(rand.NewSource(config.Seed)), rateMultiple: 1, planMultiples: map[uint32]float64{},
		body: make([]byte, config.Load.Body)}
	for i := range l.body {
		l.body[i] = 'a' + byte(i%26)
	}
	for i := range config.Gateways {
		k := &link{gateway: i, unanswered: map[uint64]*attempt{}}
		l.links = append(l.links, k)
		l.spawn(func() { l.keepConnected(k) })
	}
	return l
}

// spawn runs work in a goroutine that Stop waits for.
func (l *Load) spawn(work func()) {
	l.group.Add(1)
	go func() {
		defer l.group.Done()
		work()
	}()
}

// Run sends requests for length, then waits until none is open any more, at most for the longest command timeout and a
// second. It returns early when ctx ends.
func (l *Load) Run(ctx context.Context, length time.Duration) {
	l.sendUntil(ctx, time.Now().Add(length))
	l.awaitOutcomes(ctx)
}

// sendUntil sends requests at exponential intervals.
func (l *Load) sendUntil(ctx context.Context, end time.Time) {
	start := time.Now()
	leadMoves := settings.Duration(l.config.Load.LeadMoves, 0)
	next := start
	for next.Before(end) && ctx.Err() == nil {
		interval, volume := l.drawArrival()
		next = next.Add(interval)
		if delay := time.Until(next); delay > 0 {
			select {
			case <-time.After(delay):
			case <-ctx.Done():
				return
			}
		}
		lead := 0
		if leadMoves > 0 {
			lead = int(time.Since(start) / leadMoves)
		}
		l.newRequest(volume, lead)
	}
}

// awaitOutcomes waits until no request is open.
func (l *Load) awaitOutcomes(ctx context.Context) {
	longest := time.Duration(0)
	for _, class := range l.config.QueueTypes {
		longest = max(longest, settings.Duration(class.CommandTimeout, 0))
	}
	for until := time.Now().Add(longest + time.Second); time.Now().Before(until) && ctx.Err() == nil; {
		l.mu.Lock()
		open := l.openRequests
		l.mu.Unlock()
		if open == 0 {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// Stop closes all connections and waits until they have ended. A second call does nothing.
func (l *Load) Stop() {
	l.stop()
	l.mu.Lock()
	for _, k := range l.links {
		if k.conn != nil {
			k.closedHere = true
			_ = k.conn.Close()
		}
	}
	l.mu.Unlock()
	l.group.Wait()
}
