// Package httpgateway runs a host of the platform: its configuration, its clients, bricks and list of bricks, its signals
// and its limits, round the same host loop and decision module as every other host. Other fronts, listeners, stores and
// tools are not started here: the limits leave no room for them.
package httpgateway

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"sync"
	"syscall"
	"time"

	"weirhaven/internal/engine"
	"weirhaven/internal/fleet/endpointstate"
	"weirhaven/internal/fleet/membership"
	"weirhaven/internal/httpgateway/config"
	"weirhaven/internal/httpgateway/discovery"
	"weirhaven/internal/httpgateway/downstream"
	"weirhaven/internal/httpgateway/metrics"
	"weirhaven/internal/httpgateway/slowstart"
	"weirhaven/internal/httpgateway/upstream"
	"weirhaven/internal/logging"
	"weirhaven/policy"
)

// Command is the command line.
type Command struct {
	Config string        `env:"EDGE_CONFIG" required:"" help:"The platform's configuration, JSON."`
	State  time.Duration `default:"5s" help:"How often totals are logged; 0: never."`
	Debug  bool          `env:"EDGE_DEBUG" help:"Log each request and each attempt, with its outcome and reason."`

	// Customize, for tests, changes the host before it runs.
	Customize func(*Host) `kong:"-"`
}

// Execute serves until SIGTERM or SIGINT.
func (c *Command) Execute(start func(policy.Runtime, policy.Settings) engine.Scheduler) error {
	// Before all else: a signal that comes early must not end the program.
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	cfg, err := config.Load(c.Config)
	if err != nil {
		return err
	}
	if cfg.Limits.Cores <= 1 {
		runtime.GOMAXPROCS(1)
	}
	// The heap may grow to half of what is allowed before the collector works harder; the rest is the program itself,
	// stacks and the kernel's part.
	debug.SetMemoryLimit(int64(cfg.Limits.MemoryMB) << 20 / 2)
	level := slog.LevelInfo
	if c.Debug {
		level = slog.LevelDebug
	}
	output := logging.Stderr()
	defer output.Close()
	h := &Host{Config: cfg, Log: slog.New(slog.NewTextHandler(output, &slog.HandlerOptions{Level: level})), NewScheduler: start, StateInterval: c.State}
	if c.Customize != nil {
		c.Customize(h)
	}
	reloads := make(chan *config.Config, 1)
	go func() { // ends with the process
		for range hup {
			next, err := loadWithRetry(c.Config)
			if err != nil {
				h.Log.Error("reload: the old configuration stays in force", "err", err)
				continue
			}
			select { // one not taken yet is out of date
			case <-reloads:
			default:
			}
			reloads <- next
		}
	}()
	return h.Run(ctx, reloads)
}

// A file may be read while it is being written.
const loadAttempts, loadRetryInterval = 10, 50 * time.Millisecond

func loadWithRetry(path string) (c *config.Config, err error) {
	for range loadAttempts {
		if c, err = config.Load(path); err == nil {
			return c, nil
		}
		time.Sleep(loadRetryInterval)
	}
	return nil, err
}

// Host is one host of the platform.
type Host struct {
	Config        *config.Config
	Log           *slog.Logger
	NewScheduler  func(policy.Runtime, policy.Settings) engine.Scheduler
	StateInterval time.Duration
	OnListening   func(net.Addr)
	Dial          func(ctx context.Context, address string) (net.Conn, error)     // to bricks; nil: TCP
	Listen        func(ctx context.Context, address string) (net.Listener, error) // for clients; nil: TCP

	loop     *engine.Loop
	pool     *upstream.Pool
	recorder *metrics.Recorder
}

// Of the descriptors some are set reservedDescriptors for the listener, the watch, files and the runtime; clients may use a part of
// the rest, bricks what is left.
const (
	reservedDescriptors    = 24
	clientConnectionShare  = 0.55
	responseMemoryDivisor  = 6  // of the memory, for answers on their way
	readAheadMemoryDivisor = 16 // of the memory, for requests before their turn
	eventQueueLength       = 4096
	readyTimeout           = time.Second // that a new host waits for its agent's first word before it is ready
)

// Once the end is told the platform kills a host no sooner than after the longest command timeout, killWait at most, and
// killGrace. It is out of service until then however soon it ends, so it serves those who are still connected.
const (
	maxKillDelay        = 3 * time.Second
	killGrace           = 700 * time.Millisecond
	responseMargin      = 250 * time.Millisecond // before that all is answered
	connectionDrainTime = 250 * time.Millisecond // before that: connections end with their answers
)

// Run serves until ctx ends, then ends what it holds.
func (h *Host) Run(ctx context.Context, reloads <-chan *config.Config) error {
	c := h.Config
	listen := h.Listen
	if listen == nil {
		listen = listenTCP
	}
	l, err := listen(ctx, c.Listen)
	if err != nil {
		return fmt.Errorf("listen for clients: %w", err)
	}
	defer l.Close()
	usable := c.Limits.Sockets - reservedDescriptors
	clients := int(float64(usable) * clientConnectionShare)
	h.loop = engine.NewLoop(eventQueueLength)
	h.recorder = metrics.New(h.Log)
	connect := c.ConnectTimeout
	if c.Settings.DrainGrace > 0 { // a drain may be told while a dispatch waits for its connection
		connect = min(connect, c.Settings.DrainGrace)
	}
	h.pool = upstream.New(upstream.Options{Loop: h.loop, MaxConnections: usable - clients, ConnectTimeout: connect, IdleTimeout: c.EndpointIdleTimeout / 2, Log: h.Log, Recorder: h.recorder, Dial: h.Dial,
		ResponseMemory: int64(c.Limits.MemoryMB) << 20 / responseMemoryDivisor})
	core := engine.New(c.Settings, endpointstate.Rules{}, h.NewScheduler, outbound{h}, nil, time.Second, h.loop.Now())
	core.OnOverlap = func(request string) {
		h.recorder.RecordViolation(metrics.OneAttemptInFlight, request, "an attempt began beside another one")
	}
	dates := slowstart.New() // used in the loop only, once that runs
	core.AuthoritativeList(true, dates.Translate(true, c.KnownEndpoints.Entries, h.clockReadings(-1)))
	inner, stopLoop := context.WithCancel(context.Background())
	defer stopLoop()
	var wg sync.WaitGroup
	spawn := func(f func()) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			f()
		}()
	}
	spawn(func() { h.loop.Run(inner, core) })
	current := make(chan struct{})
	w := discovery.New(discovery.Options{Address: c.Discovery, Revision: c.KnownEndpoints.Revision, Log: h.Log, OnCurrent: func() { close(current) }, OnList: func(l config.List, quiet time.Duration) {
		at := h.clockReadings(quiet)
		h.loop.PostUrgent(func(core *engine.Core) {
			core.AuthoritativeList(l.Complete, dates.Translate(l.Complete, l.Entries, at))
		})
	}})
	spawn(func() { w.Run(inner) })
	f := downstream.New(downstream.Options{Loop: h.loop, Settings: c.Settings, MaxConnections: clients, Log: h.Log, Recorder: h.recorder,
		ReadAheadBytes: int64(c.Limits.MemoryMB) << 20 / readAheadMemoryDivisor})
	spawn(func() { f.Serve(l) })
	spawn(func() { // what the agent has counts from the first moment on; while it is silent the known list must do
		select {
		case <-current:
		case <-time.After(readyTimeout):
		case <-inner.Done():
		}
		f.Ready()
	})
	h.Log.Info("serving", "name", c.Name, "clients", l.Addr().String(), "discovery", c.Discovery, "bricks", len(c.KnownEndpoints.Entries),
		"revision", c.KnownEndpoints.Revision, "cores", c.Limits.Cores, "idle", c.EndpointIdleTimeout, "connect", c.ConnectTimeout, "memory MB", c.Limits.MemoryMB, "connections of clients", clients,
		"of bricks", usable-clients)
	if h.OnListening != nil {
		h.OnListening(l.Addr())
	}
	spawn(func() { h.logStatePeriodically(inner, f) })
	spawn(func() { // discovery may move until the end: a stopping host serves on
		for {
			select {
			case next := <-reloads:
				h.Log.Info("reload", "discovery", next.Discovery)
				w.SetAddress(next.Discovery)
			case <-inner.Done():
				return
			}
		}
	})
	<-ctx.Done()
	killed := min(longestTimeout(c.Settings), maxKillDelay) + killGrace
	h.Log.Info("stopping: served as ever for a while, then what is held gets its answer", "killed after", killed)
	bound, cancel := context.WithTimeout(inner, longestTimeout(c.Settings)+killGrace+time.Second)
	f.Stop(bound, l, h.loop.Now()+killed-responseMargin, connectionDrainTime)
	cancel()
	h.logState(f)
	stopLoop()
	<-h.loop.Done()
	h.pool.Close()
	wg.Wait()
	h.Log.Info("stopped")
	return nil
}

func listenTCP(ctx context.Context, address string) (net.Listener, error) {
	var config net.ListenConfig
	return config.Listen(ctx, "tcp", address)
}

// times reads the clocks for a list that comes after the agent was quiet for so long; -1: it was not heard before.
func (h *Host) clockReadings(quiet time.Duration) slowstart.ClockReadings {
	t := slowstart.ClockReadings{Now: h.loop.Now(), Wall: time.Duration(time.Now().UnixNano())}
	if quiet >= 0 {
		t.Confirmed = t.Now - quiet
	}
	return t
}

func longestTimeout(s policy.Settings) (d time.Duration) {
	for _, q := range s.Classes {
		d = max(d, q.Timeout)
	}
	return d
}

// states logs totals now and then.
func (h *Host) logStatePeriodically(ctx context.Context, f *downstream.Server) {
	if h.StateInterval <= 0 {
		return
	}
	tick := time.NewTicker(h.StateInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			h.logState(f)
		case <-ctx.Done():
			return
		}
	}
}

func (h *Host) logState(f *downstream.Server) {
	got := make(chan engine.Counts, 1)
	asked := time.Now()
	if !h.loop.Post(func(c *engine.Core) { got <- c.Counts() }) {
		return
	}
	var n engine.Counts
	select {
	case n = <-got:
	case <-h.loop.Done():
		return
	}
	lag := time.Since(asked)
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	var use syscall.Rusage
	syscall.Getrusage(syscall.RUSAGE_SELF, &use)
	cpu := time.Duration(use.Utime.Nano() + use.Stime.Nano())
	b, a := h.pool.Counts(), f.Counts()
	h.Log.Info("state", "taken", n.Received, "completed", n.Served, "busy-replied", n.Rejected, "aborted", n.Failed, "left", n.ClientDisconnected,
		"held", n.Open, "out", n.InFlight, "dispatches", n.Attempts, "further", n.Retries, "late", n.LateOutcomes,
		"completed/errored/turned/timed out/not connected/broken/called off/unsent", fmt.Sprint(n.Outcomes), "lag", lag, "cpu", cpu,
		"heap", m.HeapAlloc, "sys", m.Sys, "goroutines", runtime.NumGoroutine(), "clients", a.Open, "accepted", a.Accepted,
		"evicted", a.Evicted, "refused", a.BadRequests, "shed", a.Shed, "violations", h.recorder.Violations(), "to bricks", b.Open, "opened", b.Opened,
		"stale", b.Stale, "spoilt", b.Malformed, "extra", b.Unsolicited, "exhausted", b.Exhausted)
}

// ways are the loop's ways out. Of these the platform has bricks and a log; its watch is always on, and hosts don't talk.
type outbound struct{ *Host }

func (w outbound) Connect(brick, address string) engine.EndpointConn {
	return w.pool.Connect(brick, address)
}
func (w outbound) Log(line string)                                             { w.Host.Log.Info(line, "from", "module") }
func (w outbound) RequestEndpointList()                                        {}
func (w outbound) SendNote([]byte)                                             {}
func (w outbound) SendMembership(string, membership.Message)                   {}
func (w outbound) SendEndpoints(string, time.Duration, []endpointstate.Report) {}
func (w outbound) MembersChanged([]membership.Member)                          {}
