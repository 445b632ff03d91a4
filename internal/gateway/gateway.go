package gateway

import (
	"log/slog"
	"net"
	"sync"
	"sync/atomic"

	"weirhaven/internal/capture"
	"weirhaven/internal/discovery"
	"weirhaven/internal/endpointconn"
	"weirhaven/internal/engine"
	"weirhaven/internal/pb"
	"weirhaven/internal/settings"
	"weirhaven/policy"
)

// Options configure a gateway in addition to its settings. The zero value is ready to use.
type Options struct {
	// Log is the logger; nil: slog.Default.
	Log *slog.Logger
	// NewScheduler returns the scheduler to use; nil: the package function NewScheduler. Tests and baselines set another one.
	NewScheduler func(policy.Runtime, policy.Settings) engine.Scheduler
	// Objects is called with the address (host:port) of the object API, if the settings enable it. May be nil.
	Objects func(address string)
	// Ready is called once requests are served, with the listen addresses for clients and for peers (empty: none). May be nil.
	Ready func(clients, peers string)
}

// NewScheduler returns a new scheduler of package policy.
func NewScheduler(runtime policy.Runtime, s policy.Settings) engine.Scheduler {
	return policy.New(runtime, s)
}

// Gateway is a running gateway. Its fields are set before its goroutines start, except for those marked as guarded.
type Gateway struct {
	conf     *pb.Edge
	limits   settings.Limits
	log      *slog.Logger
	listener net.Listener // for clients

	loop         *engine.Loop
	endpoints    *endpointconn.Connector
	discovery    *discovery.Conn
	peers        *peers
	volumes      *volumeTable
	controlPlane *controlPlane
	persister    *persister
	capture      *capture.Writer // nil: no capture
	objects      *objectServer   // nil: no object API

	shuttingDown atomic.Bool    // set when new requests are no longer accepted
	wg           sync.WaitGroup // all goroutines except the loop's

	mu          sync.Mutex
	connections map[*clientConn]bool // guarded by mu
}

func newGateway(conf *pb.Edge, log *slog.Logger) *Gateway {
	g := &Gateway{conf: conf, limits: settings.LimitsOf(conf.Bounds), log: log.With("gateway", conf.Name),
		connections: map[*clientConn]bool{}}
	g.peers = &peers{gateway: g}
	g.persister = &persister{gateway: g}
	return g
}

// Counts returns the loop's totals, or zeros if the loop has ended.
func (g *Gateway) Counts() engine.Counts {
	answer := make(chan engine.Counts, 1)
	if g.loop.Post(func(c *engine.Core) { answer <- c.Counts() }) {
		select {
		case counts := <-answer:
			return counts
		case <-g.loop.Done():
		}
	}
	return engine.Counts{}
}
