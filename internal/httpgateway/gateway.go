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
	"weirhaven/internal/httpgateway/slowstart"
	"weirhaven/internal/httpgateway/upstream"
	"weirhaven/policy"
)

// Host is one gateway process. Its exported fields are set before Run and not changed afterwards.
type Host struct {
	Config        *config.Config
	Log           *slog.Logger
	NewScheduler  func(policy.Runtime, policy.Settings) engine.Scheduler
	StateInterval time.Duration  // between log lines with totals; 0: none are logged
	OnListening   func(net.Addr) // called once with the client address, when it is listened on; nil: not called

	Dial   func(ctx context.Context, address string) (net.Conn, error)     // to endpoints; nil: TCP
	Listen func(ctx context.Context, address string) (net.Listener, error) // for clients; nil: TCP

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
func (h *Host) Run(ctx context.Context, reloads <-chan *config.Config) error {
	listener, err := h.listen(ctx)
	if err != nil {
		return fmt.Errorf("listen for clients: %w", err)
	}
	defer func() { _ = listener.Close() }() // the shutdown closed it already
	shares := divide(h.Config.Limits)
	h.loop = engine.NewLoop(eventQueueLength)
	h.recorder = metrics.New(h.Log)
	h.pool = h.newPool(shares)
	core, startTimes := h.newCore()

	running, stopAll := context.WithCancel(context.Background())
	defer stopAll()
	var tasks sync.WaitGroup
	tasks.Go(func() { h.loop.Run(running, core) })
	listCurrent := make(chan struct{})
	watch := h.newWatch(startTimes, func() { close(listCurrent) })
	tasks.Go(func() { watch.Run(running) })
	server := h.newServer(shares)
	tasks.Go(func() { server.Serve(listener) })
	tasks.Go(func() { markReady(running, server, listCurrent) })
	h.logServing(listener.Addr(), shares)
	if h.OnListening != nil {
		h.OnListening(listener.Addr())
	}
	tasks.Go(func() { h.logStatePeriodically(running, server) })
	tasks.Go(func() { h.applyReloads(running, reloads, watch) })

	<-ctx.Done()
	h.shutDownServer(running, server, listener)
	h.logState(server)
	stopAll()
	<-h.loop.Done()
	h.pool.Close()
	tasks.Wait()
	h.Log.Info("stopped")
	return nil
}

func (h *Host) listen(ctx context.Context) (net.Listener, error) {
	if h.Listen != nil {
		return h.Listen(ctx, h.Config.Listen)
	}
	var config net.ListenConfig
	return config.Listen(ctx, "tcp", h.Config.Listen)
}

func (h *Host) newPool(shares shares) *upstream.Pool {
	connectTimeout := h.Config.ConnectTimeout
	if grace := h.Config.Settings.DrainGrace; grace > 0 {
		// The endpoint may start to drain while an attempt waits for its connection: it must not begin past the grace.
		connectTimeout = min(connectTimeout, grace)
	}
	return upstream.New(upstream.Options{Loop: h.loop, MaxConnections: shares.upstreamConnections, ConnectTimeout: connectTimeout,
		IdleTimeout: h.Config.EndpointIdleTimeout / 2, Log: h.Log, Recorder: h.recorder, Dial: h.Dial,
		ResponseMemory: shares.responseMemory})
}

// newCore makes the engine, which knows the endpoints that stand in the configuration. The start times are used in the
// engine's loop only, once that runs.
func (h *Host) newCore() (*engine.Core, *slowstart.StartTimes) {
	core := engine.New(h.Config.Settings, endpointstate.Rules{}, h.NewScheduler, outbound{h}, nil, healthCheckTimeout, h.loop.Now())
	core.OnOverlap = func(request string) {
		h.recorder.RecordViolation(metrics.OneAttemptInFlight, request, "an attempt began beside another one")
	}
	startTimes := slowstart.New()
	core.AuthoritativeList(true, startTimes.Translate(true, h.Config.KnownEndpoints.Entries, h.clockReadings(unknownSince)))
	return core, startTimes
}

// newWatch makes the watch of the agent's endpoint list; onCurrent is called once the agent has sent what it has.
func (h *Host) newWatch(startTimes *slowstart.StartTimes, onCurrent func()) *discovery.Watch {
	return discovery.New(discovery.Options{Address: h.Config.Discovery, Revision: h.Config.KnownEndpoints.Revision, Log: h.Log,
		OnCurrent: onCurrent,
		OnList: func(list config.List, sinceConfirmed time.Duration) {
			readings := h.clockReadings(sinceConfirmed)
			h.loop.PostUrgent(func(core *engine.Core) {
				core.AuthoritativeList(list.Complete, startTimes.Translate(list.Complete, list.Entries, readings))
			})
		}})
}

func (h *Host) newServer(shares shares) *downstream.Server {
	return downstream.New(downstream.Options{Loop: h.loop, Settings: h.Config.Settings, MaxConnections: shares.clientConnections,
		Log: h.Log, Recorder: h.recorder, ReadAheadBytes: shares.readAheadMemory})
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
func (h *Host) applyReloads(ctx context.Context, reloads <-chan *config.Config, watch *discovery.Watch) {
	for {
		select {
		case next := <-reloads:
			h.Log.Info("configuration reloaded", "discovery", next.Discovery)
			watch.SetAddress(next.Discovery)
		case <-ctx.Done():
			return
		}
	}
}

// clockReadings reads the clocks for a list that was received now; sinceConfirmed is how long ago the list before it was
// last confirmed, unknownSince if none was.
func (h *Host) clockReadings(sinceConfirmed time.Duration) slowstart.ClockReadings {
	readings := slowstart.ClockReadings{Now: h.loop.Now(), Wall: time.Duration(time.Now().UnixNano())}
	if sinceConfirmed >= 0 {
		readings.Confirmed = readings.Now - sinceConfirmed
	}
	return readings
}
