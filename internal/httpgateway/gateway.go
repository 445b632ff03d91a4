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
	StateInterval time.Duration  // interval between log lines with totals; 0: none are logged
	OnListening   func(net.Addr) // called once with the client address, after the gateway listens on it; may be nil

	Dial   func(ctx context.Context, address string) (net.Conn, error)     // dials endpoints; nil: TCP
	Listen func(ctx context.Context, address string) (net.Listener, error) // listens for clients; nil: TCP

	// BeforeAttemptWrite is a hook for tests that is called right before each write of an attempt; may be nil.
	BeforeAttemptWrite func()

	shares   shares
	loop     *engine.Loop
	pool     *upstream.Pool
	recorder *metrics.Recorder
}

const (
	eventQueueLength   = 4096              // capacity of the queue of the engine's loop
	readyTimeout       = time.Second       // limit on the wait for the agent's list before the gateway reports ready
	healthCheckTimeout = time.Second       // interval between the engine's periodic steps
	neverConfirmed     = -time.Duration(1) // value of sinceConfirmed if the agent never confirmed the endpoint list
)

// Run serves until ctx ends, shuts down gracefully and joins all goroutines. It applies each configuration from reloads, also
// during the shutdown; only the agent's address may change.
func (g *Gateway) Run(ctx context.Context, reloads <-chan *config.Config) error {
	listener, err := g.listen(ctx)
	if err != nil {
		return fmt.Errorf("listen for clients: %w", err)
	}
	defer func() { _ = listener.Close() }() // an error is ignored: the shutdown has closed it already
	g.shares = divideLimits(g.Config.Limits)
	shares := g.shares
	g.loop = engine.NewLoop(eventQueueLength)
	g.recorder = metrics.New(g.Log)
	g.pool = g.newPool(shares)
	core, startTimes := g.newCore(shares)

	running, stopAll := context.WithCancel(context.Background())
	defer stopAll()
	var tasks sync.WaitGroup
	tasks.Go(func() { g.loop.Run(running, core) })
	listCurrent := make(chan struct{})
	watch := g.newWatch(startTimes, func() { close(listCurrent) })
	tasks.Go(func() { watch.Run(running) })
	server := g.newServer(shares)
	tasks.Go(func() { server.Serve(listener) })
	tasks.Go(func() { markReadyOnList(running, server, listCurrent) })
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
	config := net.ListenConfig{KeepAlive: -1} // the deadlines of requests and idle connections notice a dead client
	return config.Listen(ctx, "tcp", g.Config.Listen)
}

func (g *Gateway) newPool(shares shares) *upstream.Pool {
	connectTimeout := g.Config.ConnectTimeout
	if grace := g.Config.Settings.DrainGrace; grace > 0 {
		// If the endpoint starts to drain while an attempt waits for a connection, the attempt must not begin past the grace.
		connectTimeout = min(connectTimeout, grace)
	}
	return upstream.New(upstream.Options{Loop: g.loop, MaxConnections: shares.upstreamConnections, ConnectTimeout: connectTimeout,
		IdleTimeout: g.Config.EndpointIdleTimeout / 2, Log: g.Log, Recorder: g.recorder, Dial: g.Dial,
		BeforeWrite: g.BeforeAttemptWrite, ResponseMemory: shares.responses})
}

// newCore creates the engine with the endpoints from the configuration. Once the engine's loop runs, only the loop uses the
// returned start times.
func (g *Gateway) newCore(shares shares) (*engine.Core, *starttimes.StartTimes) {
	core := engine.New(g.Config.Settings, endpointstate.Rules{}, g.NewScheduler, outbound{g}, nil, healthCheckTimeout, g.loop.Now())
	core.MaxVolumes = shares.volumes
	core.OnOverlap = func(request string) {
		g.recorder.RecordViolation(metrics.OneAttemptInFlight, request, "an attempt began while another one was in flight")
	}
	startTimes := starttimes.New()
	core.AuthoritativeList(true, startTimes.Translate(true, g.Config.KnownEndpoints.Entries, g.clockReadings(neverConfirmed)))
	return core, startTimes
}

// newWatch creates the watch of the agent's endpoint list. onCurrent is called once the agent has sent its current list.
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
		Cores: g.Config.Limits.Cores, Log: g.Log, Recorder: g.recorder, RequestMemory: shares.requests, IDMemory: shares.idMemory, ReadAheadMemory: shares.readAhead})
}

// markReadyOnList makes the server report ready once the agent has sent its list, so that the gateway knows of drains that
// began before it started. After readyTimeout it uses the list from the configuration.
func markReadyOnList(ctx context.Context, server *downstream.Server, listCurrent <-chan struct{}) {
	select {
	case <-listCurrent:
	case <-time.After(readyTimeout):
	case <-ctx.Done():
	}
	server.Ready()
}

// applyReloads points the watch to the agent's address from each new configuration until ctx ends. It also runs during the
// shutdown, since a gateway that shuts down goes on sending attempts and needs to know of drains.
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

// clockReadings reads the clocks for a list that was received now. sinceConfirmed is the time since the previous list was last
// confirmed, or neverConfirmed.
func (g *Gateway) clockReadings(sinceConfirmed time.Duration) starttimes.ClockReadings {
	readings := starttimes.ClockReadings{Now: g.loop.Now(), Wall: time.Duration(time.Now().UnixNano())}
	if sinceConfirmed >= 0 {
		readings.Confirmed = readings.Now - sinceConfirmed
	}
	return readings
}
