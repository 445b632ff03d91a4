package engine

import (
	"math/rand"
	"time"

	"weirhaven/internal/fleet/endpointstate"
	"weirhaven/internal/fleet/membership"
	"weirhaven/policy"
)

// Outbound is how a Core reaches everything but endpoints. Calls come from the Core's owner and must not block.
type Outbound interface {
	// Connect returns the connection to the endpoint of that name at that address; it need not be up yet.
	Connect(name, address string) EndpointConn
	// RequestEndpointList asks the discovery service for the endpoint list or its changes.
	RequestEndpointList()
	// SendGossip sends a gossip message of the scheduler to every other gateway; it may be lost.
	SendGossip(note []byte)
	// SendMembership sends a membership message to one gateway; it may be lost.
	SendMembership(address string, m membership.Message)
	// SendEndpoints reports endpoint states to one gateway; it may be lost. now is the Core's clock, to which the reports' times refer.
	SendEndpoints(address string, now time.Duration, reports []endpointstate.Report)
	// MembersChanged passes on all gateways of the fleet whenever one of them changes.
	MembersChanged(all []membership.Member)
	// Log writes one line to the gateway's log.
	Log(line string)
}

// VolumeLookup returns the service plan of a volume and the number of gateways through which it is used; ok is false for
// a volume that is not configured.
type VolumeLookup func(name string) (plan string, gateways int, ok bool)

// Core is the state of one gateway beside its scheduler. It is not safe for concurrent use: every method is called by
// its owner, a Loop or a simulation.
type Core struct {
	// OnOverlap, if not nil, is called with the trace of each request of which a second attempt began beside another one
	// although the settings forbid hedging. Set it before the first event.
	OnOverlap func(trace string)

	scheduler          Scheduler
	outbound           Outbound
	lookupVolume       VolumeLookup             // nil: each request carries its plan
	timeoutByClass     map[string]time.Duration // of a request, by class
	maxAttempts        int                      // of a request
	hedgingDisabled    bool                     // settings allow no second attempt of a request while one is in flight
	healthCheckTimeout time.Duration
	stopping           bool // nothing is sent any more

	now      time.Duration
	timerSeq uint64
	timers   timerHeap
	deferred []func() // what the scheduler's own calls caused; runs once it has returned
	rng      *rand.Rand

	lastID   uint64 // of requests, attempts and health checks alike
	requests map[int64]*openRequest
	attempts map[uint64]*attempt
	volumes  map[string]*volumeEntry

	endpoints          map[string]*endpoint
	fleet              *endpointstate.Fleet
	endpointsChanged   bool          // the scheduler got an update since its last EndEndpointList
	nextPeerReportAt   time.Duration // when endpoint states are reported to other gateways next
	peerReportPosition int           // where the next report goes on among all endpoints

	group *membership.Group // nil: this gateway is alone, the settings say how many there are

	counts   Counts
	observer Observer // nil: nobody observes
}

// New returns a Core with the scheduler that start makes; start gets the runtime through which the scheduler acts.
// The clock stands at now. A health check without answer times out after healthCheckTimeout. lookupVolume may be nil.
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
		// Another seed than the scheduler's: two generators of one seed would draw the same numbers.
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

// Now returns the Core's clock, as the last Advance left it.
func (c *Core) Now() time.Duration { return c.now }

// GossipReceived passes a scheduler's message from the gateway with that ordinal to the scheduler.
func (c *Core) GossipReceived(sender int, data []byte) {
	c.scheduler.GossipReceived(sender, data)
	c.runDeferred()
}

// Stop closes all connections; nothing is sent from then on.
func (c *Core) Stop() {
	c.stopping = true
	for _, endpoint := range c.endpoints {
		if endpoint.conn != nil {
			endpoint.conn.Close()
		}
	}
}

// deferCall runs call once the scheduler has returned.
func (c *Core) deferCall(call func()) { c.deferred = append(c.deferred, call) }

// runDeferred runs what came up while the scheduler acted, in order, and what that causes in turn.
func (c *Core) runDeferred() {
	for len(c.deferred) > 0 {
		call := c.deferred[0]
		c.deferred[0] = nil
		if c.deferred = c.deferred[1:]; len(c.deferred) == 0 {
			c.deferred = nil // a long queue's memory is not kept
		}
		call()
	}
}
