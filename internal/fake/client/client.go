// Package client is a fake of the clients of a fleet. It generates an open-loop load by volume, with deadlines, retries and
// connections that close together. The record has everything that it sends and reads.
//
// Invariants: a seed draws the same load for the same sequence of outcomes; a request is open from its first attempt to its
// last outcome. The package speaks the line protocol and depends on no policy.
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

// Volume describes the load of one volume.
type Volume struct {
	Name     string
	Plan     uint32  // index of its plan
	Shards   []int   // shards that hold its objects
	Gateways []int   // gateways that its requests go to; the first one is its main gateway at the start
	Demand   float64 // units a second
}

// Config configures a load.
type Config struct {
	AddressOf     func(gateway int) string // returns the current address of a gateway
	Gateways      int                      // number of gateways
	QueueTypes    []*pb.QueueType
	Volumes       []Volume
	Load          *pb.Load
	MeanUnits     float64       // mean units of a request
	MaxUnits      float64       // most units of a request
	MaxRetryAfter time.Duration // longest Retry-After that clients obey; 0: they obey none
	MarkRetries   bool          // retries are marked as such
	Seed          int64
	Recorder      *record.Recorder
	// Incarnation returns the current incarnation of a gateway, for the record.
	Incarnation func(gateway int) uint32
}

// Load is the running clients. Its methods may be called from any goroutine.
type Load struct {
	config Config
	ctx    context.Context
	stop   context.CancelFunc
	group  sync.WaitGroup
	links  []*link // connections, by gateway
	body   []byte  // body of a write

	mu               sync.Mutex
	random           *rand.Rand
	lastNumber       uint64 // number of the last attempt
	openRequests     int
	rateMultiple     float64            // multiple of the request rate of all volumes
	planMultiples    map[uint32]float64 // further multiple, by plan; a missing one counts as 1
	hotShare         float64            // share of the requests that go to one object of their volume, 0 to 1
	immediateRetries int                // most retries of a request, all without backoff; 0: clients back off
}

// Start starts connecting to all gateways. No request is sent before Run.
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

// Run sends requests for length, then waits until none is open, for at most the longest request timeout plus one
// second. It returns early when ctx ends.
func (l *Load) Run(ctx context.Context, length time.Duration) {
	l.sendUntil(ctx, time.Now().Add(length))
	l.awaitOutcomes(ctx)
}

// sendUntil sends requests at exponential intervals until end, or until ctx ends.
func (l *Load) sendUntil(ctx context.Context, end time.Time) {
	start := time.Now()
	moveInterval := settings.Duration(l.config.Load.LeadMoves, 0)
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
		mainGatewayMoves := 0
		if moveInterval > 0 {
			mainGatewayMoves = int(time.Since(start) / moveInterval)
		}
		l.newRequest(volume, mainGatewayMoves)
	}
}

// awaitOutcomes waits until no request is open, for at most the longest request timeout plus one second.
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
			k.closedByClient = true
			_ = k.conn.Close()
		}
	}
	l.mu.Unlock()
	l.group.Wait()
}
