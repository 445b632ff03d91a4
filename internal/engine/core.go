package engine

import (
	"container/list"
	"math/rand"
	"time"

	"weirhaven/internal/fleet/endpointstate"
	"weirhaven/internal/fleet/membership"
	"weirhaven/policy"
)

// Outbound connects a Core to its surroundings: it makes connections to endpoints and sends messages to the discovery
// service, other gateways and the log. Calls come from the Core's owner and must not block.
type Outbound interface {
	// Connect returns the connection to the named endpoint at address; it need not be established yet.
	Connect(name, address string) EndpointConn
	// RequestEndpointList asks the discovery service for the endpoint list or its changes.
	RequestEndpointList()
	// SendGossip sends the scheduler's gossip message to every other gateway; it may be lost.
	SendGossip(message []byte)
	// SendMembership sends a membership message to one gateway; it may be lost.
	SendMembership(address string, m membership.Message)
	// SendEndpoints sends reports of endpoint states to one gateway; they may be lost. now is the present time on the
	// Core's clock, on which the reports' times are.
	SendEndpoints(address string, now time.Duration, reports []endpointstate.Report)
	// MembersChanged reports the complete list of the fleet's gateways after a change of one of them.
	MembersChanged(all []membership.Member)
	// Log writes one line to the gateway's log.
	Log(line string)
}

// VolumeLookup returns the service plan of a volume and the number of gateways that use the volume; ok is false if the
// volume is not configured.
type VolumeLookup func(name string) (plan string, gateways int, ok bool)

// Core is the state of one gateway, except the state of its scheduler. It is not safe for concurrent use: only its owner,
// a Loop or a simulation, may call its methods.
type Core struct {
	// OnOverlap, if not nil, is called with the trace of a request when one of its attempts begins while another is in
	// flight although the settings forbid hedging. Set it before the first event.
	OnOverlap func(trace string)
	// MaxVolumes bounds the volumes that are kept where each request names its own plan; 0: defaultMaxVolumes. Set it before the
	// first event.
	MaxVolumes int

	scheduler          Scheduler
	outbound           Outbound
	lookupVolume       VolumeLookup             // nil: each request names its own plan
	timeoutByClass     map[string]time.Duration // request timeout by class
	maxAttempts        int                      // maximum number of attempts of a request
	hedgingDisabled    bool                     // the settings forbid a second attempt of a request while one is in flight
	healthCheckTimeout time.Duration
	stopping           bool // Stop was called; no attempt is sent

	now      time.Duration
	timerSeq uint64
	timers   timerHeap
	deferred []func() // effects of the scheduler's own calls; run after the scheduler has returned
	rng      *rand.Rand

	lastID      uint64 // last ID given out; requests, attempts and health checks share one sequence
	requests    map[int64]*openRequest
	attempts    map[uint64]*attempt
	volumes     map[string]*volumeEntry
	idleVolumes list.List // *volumeEntry without a request, idle for longest first

	endpoints          map[string]*endpoint
	fleet              *endpointstate.Fleet
	endpointsChanged   bool          // the scheduler got an endpoint update since the last EndEndpointList
	nextPeerReportAt   time.Duration // time of the next report of endpoint states to other gateways
	peerReportPosition int           // rotating position of the next report among all endpoints

	group *membership.Group // nil: no membership; the settings give the number of gateways

	counts   Counts
	observer Observer // nil: none
}

// New returns a Core whose clock stands at now, with the scheduler that start makes; start gets the runtime through which
// the scheduler acts. An unanswered health check times out after healthCheckTimeout. lookupVolume may be nil.
func New(s policy.Settings, rules endpointstate.Rules, start func(policy.Runtime, policy.Settings) Scheduler, outbound Outbound,
	lookupVolume VolumeLookup, healthCheckTimeout, now time.Duration) *Core {
	c := &Core{
		outbound:           outbound,
		lookupVolume:       lookupVolume,
		timeoutByClass:     map[string]time.Duration{},
		maxAttempts:        s.MaxAttempts,
		hedgingDisabled:    !s.Hedging,
		healthCheckTimeout: healthCheckTimeout,
		now:                now,
		// Differs from the scheduler's seed: two generators with one seed would draw the same numbers.
		rng:       rand.New(rand.NewSource(s.Seed + 1)),
		requests:  map[int64]*openRequest{},
		attempts:  map[uint64]*attempt{},
		volumes:   map[string]*volumeEntry{},
		endpoints: map[string]*endpoint{},
	}
	for _, class := range s.Classes {
		c.timeoutByClass[class.Name] = class.Timeout
	}
	c.fleet = endpointstate.New(rules, c, outbound.Log)
	c.scheduler = start((*schedulerRuntime)(c), s)
	c.tickEndpoints()
	return c
}

// Now returns the time on the Core's clock, as set by the last Advance.
func (c *Core) Now() time.Duration { return c.now }

// GossipReceived passes a gossip message from the scheduler of the gateway with the ordinal sender to this scheduler.
func (c *Core) GossipReceived(sender int, data []byte) {
	c.scheduler.GossipReceived(sender, data)
	c.runDeferred()
}

// Stop closes all connections. No attempt is sent afterwards.
func (c *Core) Stop() {
	c.stopping = true
	for _, endpoint := range c.endpoints {
		if endpoint.conn != nil {
			endpoint.conn.Close()
		}
	}
}

// deferCall queues call to run after the scheduler has returned.
func (c *Core) deferCall(call func()) { c.deferred = append(c.deferred, call) }

// runDeferred runs the deferred calls in order, including those that they defer in turn.
func (c *Core) runDeferred() {
	for len(c.deferred) > 0 {
		call := c.deferred[0]
		c.deferred[0] = nil
		if c.deferred = c.deferred[1:]; len(c.deferred) == 0 {
			c.deferred = nil // frees the memory of a long queue
		}
		call()
	}
}
