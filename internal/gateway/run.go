package gateway

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"time"

	"weirhaven/internal/discovery"
	"weirhaven/internal/endpointconn"
	"weirhaven/internal/engine"
	"weirhaven/internal/fleet/membership"
	"weirhaven/internal/pb"
	"weirhaven/internal/settings"
	"weirhaven/policy"
)

// Run serves until ctx ends, then shuts down gracefully: it accepts no new requests and completes the open ones within their
// timeouts. It returns an error only if it can't start: an address is in use, another gateway has the store open
// (store.ErrLocked), or a file named in the settings can't be used. It may add service plans from the control plane's snapshot to
// conf.
func Run(ctx context.Context, conf *pb.Edge, o Options) error {
	if o.Log == nil {
		o.Log = slog.Default()
	}
	if o.NewScheduler == nil {
		o.NewScheduler = NewScheduler
	}
	g := newGateway(conf, o.Log)
	if err := g.listen(ctx); err != nil {
		return err
	}
	defer func() { _ = g.listener.Close() }()
	if err := g.peers.open(ctx); err != nil {
		return err
	}
	core, err := g.assemble(ctx, o.NewScheduler)
	if g.capture != nil {
		defer g.capture.Close()
	}
	if err != nil {
		return err
	}
	background, stopLoop := context.WithCancel(context.Background())
	defer stopLoop()
	stopPersisting := g.start(background, core)
	g.announce(o)
	select {
	case <-ctx.Done():
	case <-g.loop.Done():
	}
	g.shutDown(stopPersisting, stopLoop)
	return nil
}

func (g *Gateway) listen(ctx context.Context) error {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", g.conf.Listen)
	if err != nil {
		return fmt.Errorf("listen for clients; is another gateway on this address? %w", err)
	}
	g.listener = listener
	return nil
}

// assemble creates all parts and the Core, and loads the settings, the control plane's snapshot and the store into them. It starts
// no goroutine.
func (g *Gateway) assemble(ctx context.Context, newScheduler func(policy.Runtime, policy.Settings) engine.Scheduler) (*engine.Core, error) {
	conf := g.conf
	g.loop = engine.NewLoop(g.limits.LoopQueue)
	g.endpoints = endpointconn.New(conf.Name, g.loop, g.limits, g.log)
	g.discovery = discovery.New(discovery.Config{Address: conf.ListService, Name: conf.Name, Polled: conf.Fleet.ListAsked, Limits: g.limits,
		Seed: time.Now().UnixNano() + int64(conf.Ordinal), Log: g.log, Sink: listSink{g.loop}})
	rules, err := settings.EndpointRules(conf)
	if err != nil {
		return nil, err
	}
	g.peers.networks = rules.Networks
	g.volumes = newVolumeTable(conf)
	if err := g.openControlPlane(); err != nil { // before the settings are passed to the scheduler, since it adds service plans
		return nil, err
	}
	core := engine.New(settings.Policy(conf, time.Now().UnixNano()), rules, newScheduler, outbound{g}, g.volumes.lookup, g.limits.HealthCheckTimeout, g.loop.Now())
	if err := g.openCapture(core); err != nil {
		return nil, err
	}
	if len(conf.Brick) > 0 {
		core.ConfiguredEndpoints(configuredEndpoints(conf.Brick))
	}
	g.join(core)
	if err := g.persister.open(core); err != nil {
		return nil, err
	}
	g.objects, err = g.openObjects(ctx)
	return core, err
}

func configuredEndpoints(configured []*pb.BrickLine) []engine.EndpointEntry {
	entries := make([]engine.EndpointEntry, len(configured))
	for i, e := range configured {
		entries[i] = engine.EndpointEntry{Name: e.Name, Address: e.Address, Zone: e.Zone, Shard: int(e.Cell), Serving: true}
	}
	return entries
}

// join makes this gateway a member of the group, if it listens for peers. The current time serves as the incarnation, so that it
// exceeds the one before a restart.
func (g *Gateway) join(core *engine.Core) {
	if g.peers.conn == nil {
		return
	}
	var seeds []string
	for _, p := range g.conf.Peer {
		seeds = append(seeds, p.Address)
	}
	self := membership.Member{Name: g.conf.Name, Ordinal: int(g.conf.Ordinal), Address: g.peers.address(), Planned: int(g.conf.Hosts),
		Incarnation: uint64(time.Now().UnixMilli())}
	core.Join(self, membership.DefaultRules(), seeds)
}

// start starts all goroutines. They end when background ends, except for the persister's: stopPersisting stops it and waits for it,
// because its final save needs the loop.
func (g *Gateway) start(background context.Context, core *engine.Core) (stopPersisting func()) {
	go g.loop.Run(background, core) // shutDown waits for loop.Done
	g.controlPlane.applySaved()
	if g.objects != nil {
		g.wg.Go(func() { g.objects.run(background) })
	}
	if follower := g.controlPlane.follower; follower != nil {
		g.wg.Go(func() { follower.Run(background) })
	}
	persisting, cancel := context.WithCancel(background)
	saved := make(chan struct{})
	g.wg.Go(func() {
		defer close(saved)
		g.persister.run(persisting)
	})
	g.wg.Go(func() { g.discovery.Run(background) })
	g.wg.Go(func() { g.peers.run(background) })
	g.wg.Go(func() { g.accept(background) })
	if interval := settings.Duration(g.conf.GetLog().GetState(), 0); interval > 0 {
		g.wg.Go(func() { g.logState(background, interval) })
	}
	return func() {
		cancel()
		<-saved
	}
}

// announce logs and reports the addresses on which this gateway serves.
func (g *Gateway) announce(o Options) {
	clients, peers := g.listener.Addr().String(), g.peers.address()
	g.log.Info("serving", "clients", clients, "peers", peers, "endpoints", len(g.conf.Brick))
	if o.Ready != nil {
		o.Ready(clients, peers)
	}
	if o.Objects != nil && g.objects != nil {
		o.Objects(g.objects.listener.Addr().String())
	}
}
