// Package gateway is a host: listeners, commands in, answers out, the list, the peers, round one host loop.
package gateway

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"go4.org/netipx"

	"weirhaven/internal/capture"
	"weirhaven/internal/discovery"
	"weirhaven/internal/endpointconn"
	"weirhaven/internal/engine"
	"weirhaven/internal/fleet/endpointstate"
	"weirhaven/internal/fleet/membership"
	"weirhaven/internal/pb"
	"weirhaven/internal/settings"
	"weirhaven/policy"
)

// Options are what a host may be given besides its settings.
type Options struct {
	Log *slog.Logger
	// Start makes the module; nil: policy.New. Tests and baselines put something else here.
	Start func(policy.Runtime, policy.Settings) engine.Scheduler
	// Objects is called with the address of the object API, if there is one.
	Objects func(address string)
	// Ready is called with the address clients reach and the one peers reach.
	Ready func(clients, peers string)
}

// Start makes the module itself.
func Start(h policy.Runtime, s policy.Settings) engine.Scheduler { return policy.New(h, s) }

// Edge is one host while it runs.
type Edge struct {
	conf   *pb.Edge
	limits settings.Limits
	log    *slog.Logger
	loop   *engine.Loop
	lines  *endpointconn.Connector
	lister *discovery.Conn
	peers  *peers

	volumeTable  *volumeTable
	planner      *planner
	taping       *capture.Writer // nil: the load is not recorded
	peerNetworks *netipx.IPSet   // nil: anywhere

	stopping atomic.Bool
	mu       sync.Mutex
	sessions map[*session]bool
	wg       sync.WaitGroup
}

// Run serves until ctx ends, then takes nothing new, ends what it holds within the command timeouts, and returns.
// It fails where it can't listen.
func Run(ctx context.Context, conf *pb.Edge, o Options) error {
	if o.Log == nil {
		o.Log = slog.Default()
	}
	if o.Start == nil {
		o.Start = Start
	}
	e := &Edge{conf: conf, limits: settings.Bounds(conf.Bounds), log: o.Log.With("host", conf.Name),
		sessions: map[*session]bool{}}
	var config net.ListenConfig
	l, err := config.Listen(ctx, "tcp", conf.Listen)
	if err != nil {
		return fmt.Errorf("listen for clients; is another host on this address? %w", err)
	}
	defer l.Close()
	e.peers = &peers{edge: e}
	if err := e.peers.open(ctx); err != nil {
		return err
	}
	e.loop = engine.NewLoop(e.limits.LoopQueue)
	e.lines = endpointconn.New(conf.Name, e.loop, e.limits, e.log)
	e.lister = discovery.New(discovery.Config{Address: conf.ListService, Name: conf.Name, Asked: conf.Fleet.ListAsked, Limits: e.limits,
		Seed: time.Now().UnixNano() + int64(conf.Ordinal), Log: e.log, Sink: listSink{e.loop}})

	rules, err := settings.Beliefs(conf)
	if err != nil {
		return err
	}
	e.volumeTable = newVolumeTable(conf)
	if e.planner, err = e.openPlanner(l.Addr().String()); err != nil {
		return err
	}
	core := engine.New(settings.Policy(conf, time.Now().UnixNano()), rules, o.Start, e, e.volumeTable.of, e.limits.Probe,
		e.loop.Now())
	if err := e.openCapture(core); err != nil {
		return err
	}
	if e.taping != nil {
		defer e.taping.Close()
	}
	if len(conf.Brick) > 0 {
		core.KnownEndpoints(known(conf.Brick))
	}
	e.peerNetworks = rules.Networks
	if e.peers.conn != nil {
		var seeds []string
		for _, p := range conf.Peer {
			seeds = append(seeds, p.Address)
		}
		core.Join(membership.Member{Name: conf.Name, Ordinal: int(conf.Ordinal), Address: e.peers.address(), Planned: int(conf.Hosts),
			Incarnation: uint64(time.Now().UnixMilli())}, membership.DefaultRules(), seeds)
	}
	keep := &keeper{edge: e}
	if err := keep.open(core); err != nil {
		return err
	}
	objects, err := e.openObjects(ctx)
	if err != nil {
		return err
	}
	inner, stopLoop := context.WithCancel(context.Background())
	defer stopLoop()
	go e.loop.Run(inner, core)
	e.planner.begin()
	if objects != nil {
		e.spawn(func() { objects.run(inner) })
	}
	if f := e.planner.follower; f != nil {
		e.spawn(func() { f.Run(inner) })
	}
	keeping, stopKeeping := context.WithCancel(inner)
	defer stopKeeping()
	kept := make(chan bool)
	e.spawn(func() {
		defer close(kept)
		keep.run(keeping)
	})
	e.spawn(func() { e.lister.Run(inner) })
	e.spawn(func() { e.peers.run(inner) })
	e.spawn(func() { e.accept(inner, l) })
	if every := settings.Duration(conf.GetLog().GetState(), 0); every > 0 {
		e.spawn(func() { e.tellState(inner, every) })
	}
	e.log.Info("serving", "clients", l.Addr().String(), "peers", e.peers.address(), "bricks", len(conf.Brick))
	if o.Ready != nil {
		o.Ready(l.Addr().String(), e.peers.address())
	}
	if o.Objects != nil && objects != nil {
		o.Objects(objects.listen.Addr().String())
	}

	select {
	case <-ctx.Done():
	case <-e.loop.Done():
	}
	objects.drain(e.longest())
	e.stop(l)
	counts := e.Counts()
	stopKeeping()
	<-kept
	stopLoop()
	<-e.loop.Done()
	e.closeSessions()
	e.lines.Close()
	e.wg.Wait()
	e.log.Info("stopped", "taken", counts.Received, "completed", counts.Served, "busy-replied", counts.Rejected,
		"aborted", counts.Failed, "held", counts.Open, "late answers", counts.LateOutcomes)
	return nil
}

// stop takes nothing new and waits until all that is held has its answer.
func (e *Edge) stop(l net.Listener) {
	e.stopping.Store(true)
	l.Close()
	e.log.Info("stopping: nothing new is taken", "held", e.Counts().Open)
	until := time.After(e.longest() + time.Second)
	tick := time.NewTicker(5 * time.Millisecond)
	defer tick.Stop()
	for e.Counts().Open > 0 || !e.quiet() {
		select {
		case <-tick.C:
		case <-until:
			e.log.Warn("stopping with something left", "held", e.Counts().Open)
			return
		}
	}
}

// longest is the longest command timeout.
func (e *Edge) longest() (d time.Duration) {
	for _, q := range e.conf.QueueType {
		d = max(d, settings.Duration(q.CommandTimeout, 0))
	}
	return d
}

// tellState logs what the host holds, now and then.
func (e *Edge) tellState(ctx context.Context, every time.Duration) {
	tick := time.NewTicker(every)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		n := e.Counts()
		e.log.Info("state", "heap", m.HeapInuse, "goroutines", runtime.NumGoroutine(), "held", n.Open, "out", n.InFlight,
			"timers", n.Timers, "taken", n.Received)
	}
}

// Counts asks the loop for its totals.
func (e *Edge) Counts() engine.Counts {
	got := make(chan engine.Counts, 1)
	if e.loop.Post(func(c *engine.Core) { got <- c.Counts() }) {
		select {
		case n := <-got:
			return n
		case <-e.loop.Done():
		}
	}
	return engine.Counts{}
}

func (e *Edge) spawn(f func()) {
	e.wg.Add(1)
	go func() {
		defer e.wg.Done()
		f()
	}()
}

func known(bricks []*pb.BrickLine) []engine.EndpointEntry {
	lines := make([]engine.EndpointEntry, len(bricks))
	for i, b := range bricks {
		lines[i] = engine.EndpointEntry{Name: b.Name, Address: b.Address, Zone: b.Zone, Shard: int(b.Cell), Serving: true}
	}
	return lines
}

// Line, Watch, ListAll, Tell and Log are the loop's ways out.

func (e *Edge) Connect(brick, address string) engine.EndpointConn {
	return e.lines.Connect(brick, address)
}
func (e *Edge) RequestEndpointList() { e.lister.Watch() }
func (e *Edge) SendNote(note []byte) { e.peers.broadcast(note) }
func (e *Edge) Log(line string)      { e.log.Info(line, "from", "module") }

// listSink hands what the list service says to the loop.
type listSink struct{ loop *engine.Loop }

func (l listSink) List(g endpointstate.Generation, whole bool, lines []engine.EndpointEntry) {
	l.loop.Post(func(c *engine.Core) { c.EndpointList(g, whole, lines) })
}
func (l listSink) ListFailed() { l.loop.Post(func(c *engine.Core) { c.EndpointListFailed() }) }
func (l listSink) ListHolds()  { l.loop.TryPost(func(c *engine.Core) { c.EndpointListUnchanged() }) }

func (e *Edge) accept(ctx context.Context, l net.Listener) {
	full := false
	for {
		c, err := l.Accept()
		if err != nil {
			if !errors.Is(err, net.ErrClosed) && ctx.Err() == nil { // out of file descriptors, say
				e.log.Warn("accept failed; trying again", "err", err)
				select {
				case <-time.After(100 * time.Millisecond):
					continue
				case <-ctx.Done():
				}
			}
			return
		}
		e.mu.Lock()
		ok := len(e.sessions) < e.limits.Connections && !e.stopping.Load()
		var s *session
		if ok {
			s = newSession(e, c)
			e.sessions[s] = true
		}
		e.mu.Unlock()
		if !ok {
			if !full {
				e.log.Warn("connection refused: as many are open as bounds.connections allows", "most", e.limits.Connections)
			}
			full = true
			c.Close()
			continue
		}
		full = false
		e.spawn(func() {
			s.run(ctx)
			e.mu.Lock()
			delete(e.sessions, s)
			e.mu.Unlock()
		})
	}
}

// quiet tells whether every answer has left.
func (e *Edge) quiet() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for s := range e.sessions {
		if !s.sender.Idle() {
			return false
		}
	}
	return true
}

func (e *Edge) closeSessions() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for s := range e.sessions {
		s.conn.Close()
	}
}
