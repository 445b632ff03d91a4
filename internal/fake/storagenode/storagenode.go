// Package storagenode is a fake storage node. It has one worker, a first-in first-out queue, work in proportion to units, a
// cache of recent objects, deferred work of writes, a slow start in which overload makes it collapse, and faults on demand.
// It speaks the line protocol, or the platform's HTTP/1.1 if Config.AttemptOf is set.
//
// Invariants: the record has everything that reaches or leaves a node, in the order in which it happened; a seed draws the
// same work and faults for the same sequence of requests. A node doesn't depend on policies or plans.
package storagenode

import (
	"context"
	"fmt"
	"math/rand"
	"net"
	"sync"
	"time"

	"weirhaven/internal/lineproto"
	"weirhaven/internal/pb"
	"weirhaven/internal/settings"
)

// Node is a running fake storage node. Its methods may be called from any goroutine.
type Node struct {
	config  Config
	random  *rand.Rand // under mu
	address string
	started time.Time

	mu              sync.Mutex
	conditions      Conditions
	conditionsSince time.Time // time of the last change of conditions
	queue           []*job
	current         *job      // job that the worker executes
	deferredWork    float64   // seconds of a worker of speed 1
	flushAt         time.Time // time at which the deferred work is due
	recentObjects   []string  // the cache, oldest first
	recentArrivals  []arrival // arrivals within CollapseAfter, during the slow start
	connections     map[*connection]bool
	collapsed       bool
	draining        bool
	wake            chan struct{}

	// Units served and reported, by volume, or by gateway and then volume.
	servedUnits          map[string]float64
	servedUnitsByGateway map[string]map[string]float64
	reportedUnits        map[string]map[string]float64

	ctx   context.Context
	stop  context.CancelFunc
	group sync.WaitGroup
}

// Start starts a node. It returns an error if it can't listen on the address.
func Start(config Config) (*Node, error) {
	if config.Speed <= 0 {
		config.Speed = 1
	}
	if config.Keys == nil {
		config.Keys = NewIdempotencyKeys()
	}
	if config.Data == nil {
		config.Data = NewData()
	}
	listener, err := net.Listen("tcp", config.Address)
	if err != nil {
		return nil, fmt.Errorf("fake storage node %s: %w", config.Name, err)
	}
	ctx, stop := context.WithCancel(context.Background())
	n := &Node{config: config, random: rand.New(rand.NewSource(config.Seed)), address: listener.Addr().String(), started: time.Now(),
		servedUnits: map[string]float64{}, servedUnitsByGateway: map[string]map[string]float64{},
		reportedUnits: map[string]map[string]float64{}, connections: map[*connection]bool{}, wake: make(chan struct{}, 1), ctx: ctx, stop: stop}
	n.flushAt = n.started.Add(settings.Duration(config.Kind.FlushEvery, time.Hour))
	n.recordStart()
	n.spawn(func() { n.accept(listener) })
	n.spawn(n.runWorker)
	return n, nil
}

// Address returns the address on which gateways reach the node.
func (n *Node) Address() string { return n.address }

// Started returns the time at which the node started.
func (n *Node) Started() time.Time { return n.started }

// Name returns the node's name.
func (n *Node) Name() string { return n.config.Name }

// Collapsed reports whether overload ended the node during its slow start.
func (n *Node) Collapsed() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.collapsed
}

// Set changes the node's conditions. Periodic faults start a new period.
func (n *Node) Set(change func(*Conditions)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	change(&n.conditions)
	n.conditionsSince = time.Now()
}

// StoredObject returns how often an object was written and its latest body; 0 and nil if it was never written.
func (n *Node) StoredObject(object string) (times int, body []byte) {
	s, _ := n.config.Data.get(object)
	return s.times, s.body
}

// Stop stops the node at once, resets its connections and waits for its goroutines.
func (n *Node) Stop() {
	n.mu.Lock()
	collapsed := n.collapsed
	n.mu.Unlock()
	if !collapsed {
		n.config.Recorder.See(&pb.Seen{What: pb.Seen_BRICK_DOWN, Brick: n.config.Name})
	}
	n.stop()
	n.group.Wait()
}

// recordStart records that the node is up.
func (n *Node) recordStart() {
	started := &pb.Seen{What: pb.Seen_BRICK_UP, Brick: n.config.Name, Cell: int32(n.config.Shard), Zone: n.config.Zone, Capacity: n.config.Speed}
	if n.config.SlowStart {
		started.ColdFrom, started.ColdFor = n.config.Kind.ColdFrom, int64(settings.Duration(n.config.Kind.ColdFor, 0))
	}
	n.config.Recorder.See(started)
}

// spawn runs work in a goroutine that Stop waits for.
func (n *Node) spawn(work func()) {
	n.group.Add(1)
	go func() {
		defer n.group.Done()
		work()
	}()
}

// accept serves connections until the node stops.
func (n *Node) accept(listener net.Listener) {
	unhook := context.AfterFunc(n.ctx, func() { _ = listener.Close() })
	defer unhook()
	for number := int64(1); ; number++ {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		c, serve := &connection{number: number, conn: conn, unanswered: map[uint64]*job{}}, n.serveHTTP
		if n.config.AttemptOf == nil {
			c.sender, serve = lineproto.NewSender(maxUnsent, writeTimeout), n.serveLine
		}
		n.spawn(func() { serve(c) })
	}
}

// reset closes a connection with a TCP reset.
func reset(nc net.Conn) {
	if t, ok := nc.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = nc.Close()
}

// record records an event of a request. It skips requests without a number, such as those of object clients: their clients
// aren't in the record and check the bytes that they read instead.
func (n *Node) record(j *job, s *pb.Seen) {
	if j.request != 0 {
		n.config.Recorder.See(s)
	}
}
