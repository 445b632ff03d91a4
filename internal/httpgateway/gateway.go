package httpgateway

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"time"

	"weirhaven/internal/engine"
	"weirhaven/internal/fleet/endpointstate"
	"weirhaven/internal/httpgateway/config"
	"weirhaven/internal/httpgateway/discovery"
	"weirhaven/internal/httpgateway/downstream"
	"weirhaven/internal/httpgateway/metrics"
	"weirhaven/internal/httpgateway/starttimes"
	"weirhaven/internal/httpgateway/upstream"
	"weirhaven/policy"
)

// Gateway is one gateway process. Its exported fields are set before Run and not changed afterwards.
type Gateway struct {
	Config        *config.Config
	Log           *slog.Logger
	NewScheduler  func(policy.Runtime, policy.Settings) engine.Scheduler
	StateInterval time.Duration  // between log lines with totals; 0: none are logged
	OnListening   func(net.Addr) // called once with the client address, when it is listened on; nil: not called

	Dial   func(ctx context.Context, address string) (net.Conn, error)     // to endpoints; nil: TCP
	Listen func(ctx context.Context, address string) (net.Listener, error) // for clients; nil: TCP

	// BeforeAttemptWrite, for tests, is called right before each write of an attempt; nil: not called.
	BeforeAttemptWrite func()

	loop     *engine.Loop
	pool     *upstream.Pool
	recorder *metrics.Recorder
}

const (
	eventQueueLength   = 4096              // events that wait for the engine's loop
	readyTimeout       = time.Second       // a new gateway waits so long for its agent before it reports ready
	healthCheckTimeout = time.Second       // between the engine's periodic steps
	unknownSince       = -time.Duration(1) // the endpoint list was never confirmed by the agent
)

// Run serves until ctx ends, shuts down gracefully and joins all goroutines. Each configuration from reloads takes effect
// while it runs and while it shuts down; of it only the agent's address may change.
func (g *Gateway) Run(ctx context.Context, reloads <-chan *config.Config) error {
	listener, err := g.listen(ctx)
	if err != nil {
		return fmt.Errorf("listen for clients: %w", err)
	}
	defer func() { _ = listener.Close() }() // the shutdown closed it already
	shares := divide(g.Config.Limits)
	g.loop = engine.NewLoop(eventQueueLength)
	g.recorder = metrics.New(g.Log)
	g.pool = g.newPool(shares)
	core, startTimes := g.newCore()

	running, stopAll := context.WithCancel(context.Background())
	defer stopAll()
	var tasks sync.WaitGroup
	tasks.Go(func() { g.loop.Run(running, core) })
	listCurrent := make(chan struct{})
	watch := g.newWatch(startTimes, func() { close(listCurrent) })
	tasks.Go(func() { watch.Run(running) })
	server := g.newServer(shares)
	tasks.Go(func() { server.Serve(listener) })
	tasks.Go(func() { markReady(running, server, listCurrent) })
	g.logServing(listener.Addr(), shares)
	if g.OnListening != nil {
		g.OnListening(listener.Addr())
	}
	tasks.Go(func() { g.logStatePeriodically(running, server) })
	tasks.Go(func() { g.applyReloads(running, reloads, watch) })

	<-ctx.Done()
	g.shutDownServer(running, server, listener)
	g.logState(server)
	stopAll()
	<-g.loop.Done()
	g.pool.Close()
	tasks.Wait()
	g.Log.Info("stopped")
	return nil
}

func (g *Gateway) listen(ctx context.Context) (net.Listener, error) {
	if g.Listen != nil {
		return g.Listen(ctx, g.Config.Listen)
	}
	var config net.ListenConfig
	return config.Listen(ctx, "tcp", g.Config.Listen)
}

func (g *Gateway) newPool(shares shares) *upstream.Pool {
	connectTimeout := g.Config.ConnectTimeout
	if grace := g.Config.Settings.DrainGrace; grace > 0 {
		// The endpoint may start to drain while an attempt waits for its connection: it must not begin past the grace.
		connectTimeout = min(connectTimeout, grace)
	}
	return upstream.New(upstream.Options{Loop: g.loop, MaxConnections: shares.upstreamConnections, ConnectTimeout: connectTimeout,
		IdleTimeout: g.Config.EndpointIdleTimeout / 2, Log: g.Log, Recorder: g.recorder, Dial: g.Dial,
		BeforeWrite: g.BeforeAttemptWrite, ResponseMemory: shares.responseMemory})
}

// newCore makes the engine, which knows the endpoints that stand in the configuration. The start times are used in the
// engine's loop only, once that runs.
func (g *Gateway) newCore() (*engine.Core, *starttimes.StartTimes) {
	core := engine.New(g.Config.Settings, endpointstate.Rules{}, g.NewScheduler, outbound{g}, nil, healthCheckTimeout, g.loop.Now())
	core.OnOverlap = func(request string) {
		g.recorder.RecordViolation(metrics.OneAttemptInFlight, request, "an attempt began beside another one")
	}
	startTimes := starttimes.New()
	core.AuthoritativeList(true, startTimes.Translate(true, g.Config.KnownEndpoints.Entries, g.clockReadings(unknownSince)))
	return core, startTimes
}

// newWatch makes the watch of the agent's endpoint list; onCurrent is called once the agent has sent what it has.
func (g *Gateway) newWatch(startTimes *starttimes.StartTimes, onCurrent func()) *discovery.Watch {
	return discovery.New(discovery.Options{Address: g.Config.Discovery, Revision: g.Config.KnownEndpoints.Revision, Log: g.Log,
		OnCurrent: onCurrent,
		OnList: func(list config.List, sinceConfirmed time.Duration) {
			readings := g.clockReadings(sinceConfirmed)
			g.loop.PostUrgent(func(core *engine.Core) {
				core.AuthoritativeList(list.Complete, startTimes.Translate(list.Complete, list.Entries, readings))
			})
		}})
}

func (g *Gateway) newServer(shares shares) *downstream.Server {
	return downstream.New(downstream.Options{Loop: g.loop, Settings: g.Config.Settings, MaxConnections: shares.clientConnections,
		Log: g.Log, Recorder: g.recorder, ReadAheadBytes: shares.readAheadMemory})
}

// markReady lets the server report ready once the agent has sent its list: a drain that began before this process counts
// from its first moment on. While the agent is silent the list of the configuration has to do.
func markReady(ctx context.Context, server *downstream.Server, listCurrent <-chan struct{}) {
	select {
	case <-listCurrent:
	case <-time.After(readyTimeout):
	case <-ctx.Done():
	}
	server.Ready()
}

// applyReloads moves the watch to each new agent's address until ctx ends, also during the shutdown: a gateway that shuts
// down goes on sending attempts and has to hear of drains.
func (g *Gateway) applyReloads(ctx context.Context, reloads <-chan *config.Config, watch *discovery.Watch) {
	for {
		select {
		case next := <-reloads:
			g.Log.Info("configuration reloaded", "discovery", next.Discovery)
			watch.SetAddress(next.Discovery)
		case <-ctx.Done():
			return
		}
	}
}

// clockReadings reads the clocks for a list that was received now; sinceConfirmed is how long ago the list before it was
// last confirmed, unknownSince if none was.
func (g *Gateway) clockReadings(sinceConfirmed time.Duration) starttimes.ClockReadings {
	readings := starttimes.ClockReadings{Now: g.loop.Now(), Wall: time.Duration(time.Now().UnixNano())}
	if sinceConfirmed >= 0 {
		readings.Confirmed = readings.Now - sinceConfirmed
	}
	return readings
}
