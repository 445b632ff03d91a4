package server

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	randv2 "math/rand/v2"
	"net"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/keepalive"

	"weirhaven/internal/clock"
	"weirhaven/internal/controlplane/protocol"
	"weirhaven/internal/controlplane/statemachine"
	"weirhaven/internal/controlplane/store"
	"weirhaven/internal/discovery"
	"weirhaven/internal/fleet/endpointstate"
	"weirhaven/internal/pb"
	"weirhaven/internal/settings"
	"weirhaven/internal/tlskeys"
)

const (
	defaultLease                = 3 * time.Second
	defaultRecoveryTimeout      = 5 * time.Second
	defaultMaxSnapshotsInFlight = 16
	defaultStallTimeout         = 5 * time.Second
	maxTombstones               = 4096

	keepaliveInterval    = 10 * time.Second // without traffic, a gateway is pinged
	minKeepaliveInterval = time.Second      // a gateway that pings more often is cut off
)

// Options are what a controller may be given beside its settings. The zero value is ready to use.
type Options struct {
	// Log is the program's log; nil: slog.Default.
	Log *slog.Logger
	// Ready is called once with the address that gateways reach, when it is served; nil: nobody.
	Ready func(address string)
	// WrapPersister wraps the store, so that tests can fail it or stop in the middle; nil: it is used as it is.
	WrapPersister func(statemachine.Persister) statemachine.Persister
	// StallTimeout is how long a gateway may take nothing before it is cut off; 0: 5 s.
	StallTimeout time.Duration
}

// Controller is one while it runs. Its methods are called by gRPC and by the connection to the discovery service, from any goroutine.
type Controller struct {
	pb.UnimplementedPlanningServer
	conf         *pb.PlannerConf
	log          *slog.Logger
	lease        time.Duration
	stallTimeout time.Duration
	streamsDone  sync.WaitGroup // goroutines of streams: they end once their handler has returned

	mu          sync.Mutex // guards all below; the store is written only while it is held
	state       *statemachine.State
	endpoints   *endpointstate.Fleet
	streams     map[string]*gatewayStream // by gateway
	reports     map[string][]*pb.Item     // the latest complete report of each gateway, for Status
	reportCount map[string]int            // complete reports of each gateway
	listVersion int                       // how many endpoint lists were received
}

var processClock = clock.New()

// now is the time since 1970 on a monotonic clock that hosts would agree on but for the error of their clocks. Leases are spans on
// it: a step of the wall clock neither ends nor prolongs one.
func now() time.Duration { return processClock.Now() }

// Run serves until ctx ends, and returns nil then. It returns an error where keys, store or address can't be used. No goroutine is left
// when it returns.
func Run(ctx context.Context, conf *pb.PlannerConf, options Options) error {
	return run(ctx, conf, options, func(*Controller) {})
}

// run is Run; created is called with the controller before it serves.
func run(ctx context.Context, conf *pb.PlannerConf, options Options, created func(*Controller)) error {
	if options.Log == nil {
		options.Log = slog.Default()
	}
	if options.StallTimeout == 0 {
		options.StallTimeout = defaultStallTimeout
	}
	log := options.Log.With("controller", conf.Name)
	security, err := serverCredentials(conf, log)
	if err != nil {
		return err
	}
	opened, saved, setAside, err := store.Open(conf.Store)
	if err != nil {
		return err
	}
	defer func() { _ = opened.Close() }() // each change is on disk when it was persisted
	if setAside != "" {
		log.Warn("store unreadable and set aside, its records are learned from the gateways", "aside", setAside)
	}
	c, err := newController(conf, options, opened, saved, log)
	if err != nil {
		return err
	}
	return c.serve(ctx, options, security, created)
}

// serverCredentials are mutual TLS by the keys of the settings. Without keys the settings must say so, and only loopback is allowed:
// whoever reaches the port could speak for any gateway.
func serverCredentials(conf *pb.PlannerConf, log *slog.Logger) ([]grpc.ServerOption, error) {
	if conf.Keys != nil {
		keys, err := tlskeys.Load(conf.Keys, log)
		if err != nil {
			return nil, err
		}
		return []grpc.ServerOption{grpc.Creds(credentials.NewTLS(keys.Server()))}, nil
	}
	if !conf.Plain || !tlskeys.Loopback(conf.Listen) {
		return nil, fmt.Errorf("settings give no keys; without them say plain: true and listen on loopback (listen: %s)", conf.Listen)
	}
	return nil, nil
}

// newController starts a life of the controller from what the store holds, and takes over what the settings name.
func newController(conf *pb.PlannerConf, options Options, persister statemachine.Persister, saved store.Saved, log *slog.Logger) (*Controller, error) {
	c := &Controller{
		conf:         conf,
		log:          log,
		lease:        settings.Duration(conf.Lease, defaultLease),
		stallTimeout: options.StallTimeout,
		streams:      map[string]*gatewayStream{},
		reports:      map[string][]*pb.Item{},
		reportCount:  map[string]int{},
	}
	if options.WrapPersister != nil {
		persister = options.WrapPersister(persister)
	}
	config := statemachine.Config{
		MinGateways:          int(conf.Edges),
		Lease:                c.lease,
		RecoveryTimeout:      settings.Duration(conf.Recover, defaultRecoveryTimeout),
		MaxSnapshotsInFlight: int(conf.AtOnce),
		MaxTombstones:        maxTombstones,
		MaxRecords:           protocol.MaxRecords,
	}
	if config.MaxSnapshotsInFlight == 0 {
		config.MaxSnapshotsInFlight = defaultMaxSnapshotsInFlight
	}
	var err error
	c.state, err = statemachine.New(conf.Name, randv2.Uint64(), statemachine.Persisted(saved), config, persister, log, now())
	if err != nil {
		return nil, err
	}
	rules, err := settings.EndpointRules(&pb.Edge{})
	if err != nil {
		return nil, err
	}
	c.endpoints = endpointstate.New(rules, (*endpointSink)(c), func(message string) { log.Info(message) })
	c.restoreEndpoints(saved.Records)
	c.setDesiredSettings()
	return c, nil
}

// setDesiredSettings makes what the settings name desired: plans, volumes, the number of gateways.
func (c *Controller) setDesiredSettings() {
	for _, plan := range c.conf.Plan {
		c.state.SetDesired(&pb.Item{Kind: pb.Item_PLAN, Name: plan.Name, Plan: plan})
	}
	for _, volume := range c.conf.Volume {
		c.state.SetDesired(&pb.Item{Kind: pb.Item_VOLUME, Name: volume.Name,
			Volume: &pb.PlanVolume{Plan: volume.Plan, Hosts: volume.Hosts, Cell: volume.Cell}})
	}
	c.state.SetDesired(&pb.Item{Kind: pb.Item_HOSTS, Hosts: c.conf.Edges})
}

// serve listens and serves until ctx ends.
func (c *Controller) serve(ctx context.Context, options Options, security []grpc.ServerOption, created func(*Controller)) error {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", c.conf.Listen)
	if err != nil {
		return fmt.Errorf("listen for gateways; is another controller on this address? %w", err)
	}
	server := grpc.NewServer(append(security,
		grpc.WaitForHandlers(true),
		grpc.MaxRecvMsgSize(protocol.MaxMessageBytes),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: keepaliveInterval, Timeout: c.stallTimeout}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: minKeepaliveInterval, PermitWithoutStream: true}))...)
	pb.RegisterPlanningServer(server, c)
	list := discovery.New(discovery.Config{Address: c.conf.ListService, Name: c.conf.Name, Polled: c.conf.Fleet.ListAsked, Limits: settings.LimitsOf(nil),
		Seed: time.Now().UnixNano(), Log: c.log, Sink: c})
	list.RequestList()
	c.log.Info("serving", "address", listener.Addr().String(), "term", c.state.Term().Term, "generation", c.state.Generation(), "records", len(c.state.Records()))

	inner, stop := context.WithCancel(ctx)
	var background sync.WaitGroup
	defer c.streamsDone.Wait()
	defer background.Wait()
	defer stop()
	background.Go(func() { c.heartbeats(inner) })
	background.Go(func() { list.Run(inner) })
	background.Go(func() {
		<-inner.Done()
		server.Stop()
	})
	created(c)
	if options.Ready != nil {
		options.Ready(listener.Addr().String())
	}
	err = server.Serve(listener)
	if ctx.Err() != nil || errors.Is(err, grpc.ErrServerStopped) {
		return nil
	}
	return err
}

// heartbeats lets the gateways renew the lease and time pass for the endpoints' state, five times a lease, until ctx ends.
func (c *Controller) heartbeats(ctx context.Context) {
	const perLease = 5
	tick := time.NewTicker(c.lease / perLease)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		c.mu.Lock()
		c.state.NextHeartbeat(now())
		c.endpoints.Tick(now())
		c.writeDesired()
		c.wakeStreams()
		c.mu.Unlock()
	}
}

// writeDesired writes what is desired, if the lease is held, and wakes all streams if that changed anything. What fails stays desired
// and is written with the next heartbeat. c.mu is held.
func (c *Controller) writeDesired() {
	changed, err := c.state.WriteDesired(now())
	if err != nil {
		c.log.Warn("changes not persisted and not sent to gateways, will retry", "err", err)
	}
	if len(changed) > 0 {
		c.wakeStreams()
	}
}

// wakeStreams lets every stream look for what its gateway is to be sent. c.mu is held.
func (c *Controller) wakeStreams() {
	for _, stream := range c.streams {
		stream.wakeUp()
	}
}
