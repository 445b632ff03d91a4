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

	keepaliveInterval    = 10 * time.Second // time without traffic after which a gateway is pinged
	minKeepaliveInterval = time.Second      // a gateway that pings more often is disconnected
)

// Options are the options of a controller that are not part of its settings. The zero value is ready to use.
type Options struct {
	// Log is the program's log; nil: slog.Default.
	Log *slog.Logger
	// Ready is called once with the listening address, when the controller accepts connections; may be nil.
	Ready func(address string)
	// WrapPersister wraps the store, so that tests can make writes fail or interrupt them; nil: the store is not wrapped.
	WrapPersister func(statemachine.Persister) statemachine.Persister
	// StallTimeout is how long a gateway may accept no message before it is disconnected; 0: 5 s.
	StallTimeout time.Duration
}

// Controller is a running controller. Its methods are called by gRPC and by the client of the discovery service, and are safe for
// concurrent use.
type Controller struct {
	pb.UnimplementedPlanningServer
	conf         *pb.PlannerConf
	log          *slog.Logger
	lease        time.Duration
	stallTimeout time.Duration
	streamsDone  sync.WaitGroup // senders and receivers of streams, which end after the stream's handler has returned

	mu          sync.Mutex // guards the fields below; the store is written only while it is held
	state       *statemachine.State
	endpoints   *endpointstate.Fleet
	streams     map[string]*gatewayStream // streams by gateway name
	reports     map[string][]*pb.Item     // latest complete report of each gateway, for Status
	reportCount map[string]int            // number of complete reports of each gateway
	listVersion int                       // number of endpoint lists received
}

var processClock = clock.New()

// now returns the time since 1970 on a monotonic clock, which differs between hosts only by the error of their clocks. Leases are
// measured on this clock, so that a step of the wall clock neither ends nor prolongs a lease.
func now() time.Duration { return processClock.Now() }

// Run runs a controller until ctx ends, and then returns nil. It returns an error if the keys, the store or the address cannot be
// used. All goroutines have ended when Run returns.
func Run(ctx context.Context, conf *pb.PlannerConf, options Options) error {
	return run(ctx, conf, options, func(*Controller) {})
}

// run implements Run. It calls created with the controller before it starts serving.
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
	defer func() { _ = opened.Close() }() // every persisted change is already on disk
	if setAside != "" {
		log.Warn("store unreadable and set aside, its records are learned from the gateways", "aside", setAside)
	}
	c, err := newController(conf, options, opened, saved, log)
	if err != nil {
		return err
	}
	return c.serve(ctx, options, security, created)
}

// serverCredentials returns the gRPC option for mutual TLS with the configured keys. Without keys the settings must contain plain:
// true, and only loopback addresses are allowed, since any client that can reach the port could impersonate a gateway.
func serverCredentials(conf *pb.PlannerConf, log *slog.Logger) ([]grpc.ServerOption, error) {
	if conf.Keys != nil {
		keys, err := tlskeys.Load(conf.Keys, log)
		if err != nil {
			return nil, err
		}
		return []grpc.ServerOption{grpc.Creds(credentials.NewTLS(keys.Server()))}, nil
	}
	if !conf.Plain || !tlskeys.Loopback(conf.Listen) {
		return nil, fmt.Errorf("settings contain no keys; listening without keys needs plain: true and a loopback address (listen: %s)", conf.Listen)
	}
	return nil, nil
}

// newController creates a controller from the content of the store and from the settings.
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

// setDesiredSettings sets the plans, the volumes and the number of gateways in the settings as desired records.
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

// serve listens for gateways and serves them until ctx ends.
func (c *Controller) serve(ctx context.Context, options Options, security []grpc.ServerOption, created func(*Controller)) error {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", c.conf.Listen)
	if err != nil {
		return fmt.Errorf("cannot listen for gateways, another controller may be using the address: %w", err)
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

// heartbeats starts a heartbeat, which lets the gateways renew the lease, and advances the time of the endpoints' state five times
// per lease duration until ctx ends.
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

// writeDesired writes the desired records if the lease is held, and wakes all streams if any record changed. After an error the
// records remain desired and are written with the next heartbeat. The caller holds c.mu.
func (c *Controller) writeDesired() {
	changed, err := c.state.WriteDesired(now())
	if err != nil {
		c.log.Warn("changes not persisted and not sent to gateways, will retry", "err", err)
	}
	if len(changed) > 0 {
		c.wakeStreams()
	}
}

// wakeStreams makes every stream determine the next messages for its gateway. The caller holds c.mu.
func (c *Controller) wakeStreams() {
	for _, stream := range c.streams {
		stream.wakeUp()
	}
}
