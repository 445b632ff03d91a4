package engine

import (
	"time"

	"weirhaven/internal/fleet/endpointstate"
	"weirhaven/policy"
)

const (
	// endpointTickInterval is the interval at which endpoint states are checked for expiry.
	endpointTickInterval = time.Second
	// greetingJitter spreads the greeting requests of one tick, of this gateway and others, over time.
	greetingJitter = 200 * time.Millisecond
	// responseReportInterval is the minimum interval between two reports to the endpoint states that an endpoint responds.
	responseReportInterval = time.Second
)

// endpoint is an endpoint known to the scheduler. It is kept until it is removed and has no attempt in flight.
type endpoint struct {
	policy.Endpoint    // the scheduler's view of it
	conn               EndpointConn
	address            string
	zone               string
	shard              int
	inFlight           int  // number of attempts in flight
	removed            bool // no longer part of the fleet
	serving            bool // state last reported to the scheduler
	responseReportedAt time.Duration
	healthCheckID      uint64 // ID of the health check in flight; 0: none
	healthCheckSentAt  time.Duration
}

// EndpointEntry is one entry of an endpoint list.
type EndpointEntry struct {
	Name, Address, Zone string
	Shard               int
	Serving             bool          // false: draining or removed
	Removed             bool          // no longer part of the fleet
	HasAge              bool          // Age is known
	Age                 time.Duration // time since the endpoint's start, by the clock of the list's author
	StartedAt           time.Duration // start time on the engine's clock; only for AuthoritativeList; 0: unknown, long ago
	Unreadable          bool          // only Name and StartedAt could be read; only for AuthoritativeList
}

// Greeting is an endpoint's greeting on a new connection.
type Greeting struct {
	Endpoint, Address string
	HasAge            bool          // Age is known
	Age               time.Duration // time since the endpoint's start, by its own clock
	Draining          bool          // the endpoint accepts no new requests
}

// EndpointList takes an endpoint list of the discovery service, or only its changes if complete is false. The endpoint
// states combine it with other information and decide what the scheduler is notified of.
func (c *Core) EndpointList(generation endpointstate.Generation, complete bool, entries []EndpointEntry) {
	c.scheduler.BeginEndpointList(false) // the endpoint states report each endpoint that a complete list omits
	c.fleet.ListReceived(generation, complete, c.reports(entries), c.now)
	c.endpointsChanged = true
	c.applyEndpointChanges()
}

// EndpointListUnchanged reports that the discovery service answered that its list has not changed.
func (c *Core) EndpointListUnchanged() { c.fleet.ListUnchanged(c.now) }

// EndpointListFailed reports that a poll of the discovery service failed or that its watch broke.
func (c *Core) EndpointListFailed() {
	c.scheduler.EndpointListFailed()
	c.runDeferred()
}

// AuthoritativeList takes an endpoint list, or only its changes if complete is false, from a source that is trusted
// without checks: each entry goes to the scheduler as it is, bypassing the endpoint states.
func (c *Core) AuthoritativeList(complete bool, entries []EndpointEntry) {
	c.scheduler.BeginEndpointList(complete)
	if complete {
		for _, endpoint := range c.endpoints {
			endpoint.removed = true
		}
	}
	for _, entry := range entries {
		if entry.Unreadable {
			c.suspendEndpoint(entry)
			continue
		}
		c.EndpointChanged(entry.Name, entry.Address, entry.Zone, entry.Shard, entry.Serving, entry.Removed, entry.StartedAt)
	}
	c.endpointsChanged = true
	c.applyEndpointChanges()
}

// suspendEndpoint treats an endpoint whose entry can't be read as draining: the entry may say that it drains, and a
// draining endpoint must get no new requests. An unknown endpoint is ignored.
func (c *Core) suspendEndpoint(entry EndpointEntry) {
	if known := c.endpoints[entry.Name]; known != nil {
		c.outbound.Log("unreadable endpoint list entry, endpoint suspended: " + entry.Name)
		c.EndpointChanged(entry.Name, known.address, known.zone, known.shard, false, false, entry.StartedAt)
	}
}

// ConfiguredEndpoints takes the endpoints named in the settings. They are used until newer information is received.
func (c *Core) ConfiguredEndpoints(entries []EndpointEntry) {
	c.fleet.Configured(c.reports(entries), c.now)
	c.applyEndpointChanges()
}

// Restore loads the endpoint states that an earlier run saved; last is the generation of the last list among them.
func (c *Core) Restore(saved []endpointstate.Belief, last endpointstate.Generation) {
	c.fleet.Restore(saved, last, c.now)
	c.requestGreetings()
	c.applyEndpointChanges()
}

// Fleet returns the endpoint states. Only the Core's owner may use them, and only for reading.
func (c *Core) Fleet() *endpointstate.Fleet { return c.fleet }

// ForgetEndpoint removes an endpoint's state at an operator's request; it reports whether the endpoint was known.
func (c *Core) ForgetEndpoint(name string) bool {
	known := c.fleet.Forget(name)
	c.applyEndpointChanges()
	return known
}

// Greeted reports an endpoint's greeting on a new connection.
func (c *Core) Greeted(greeting Greeting) {
	startedAt := time.Duration(0)
	if greeting.HasAge {
		startedAt = c.now - max(greeting.Age, 0)
		if known := c.endpoints[greeting.Endpoint]; known != nil {
			c.observeEndpoint(EndpointChange{
				Endpoint:  greeting.Endpoint,
				Zone:      known.zone,
				Shard:     known.shard,
				Serving:   known.serving && !greeting.Draining,
				Removed:   known.removed,
				StartedAt: startedAt,
				ChangedAt: c.now,
			})
		}
	}
	c.fleet.Greeted(greeting.Endpoint, greeting.Address, startedAt, greeting.Draining, c.now)
	c.applyEndpointChanges()
}

// WrongEndpoint reports that the greeting received at address came from another endpoint than the one named.
func (c *Core) WrongEndpoint(name, address string) {
	c.fleet.WrongEndpoint(name, address, c.now)
	c.applyEndpointChanges()
}

// EndpointDraining reports that an endpoint announced its drain on a connection after its greeting.
func (c *Core) EndpointDraining(name string) {
	if known := c.endpoints[name]; known != nil {
		c.fleet.Greeted(name, known.address, 0, true, c.now)
		c.applyEndpointChanges()
	}
}

// EndpointChanged implements endpointstate.Sink. The endpoint states call it from within the Core's calls of them.
func (c *Core) EndpointChanged(name, address, zone string, shard int, serving, removed bool, startedAt time.Duration) {
	changed := c.endpoints[name]
	if changed == nil {
		if removed {
			return
		}
		changed = &endpoint{Endpoint: policy.Endpoint{Name: name}}
		c.endpoints[name] = changed
	}
	if address != changed.address && !removed {
		c.reconnect(changed, address)
	}
	if changed.serving && !serving {
		c.nextPeerReportAt = c.now // report a drain to other gateways immediately
	}
	changed.removed, changed.serving, changed.zone, changed.shard = removed, serving, zone, shard
	c.endpointsChanged = true
	c.observeEndpoint(EndpointChange{Endpoint: name, Zone: zone, Shard: shard, Serving: serving, Removed: removed, StartedAt: startedAt, ChangedAt: c.now})
	c.scheduler.UpdateEndpoint(&changed.Endpoint, policy.EndpointUpdate{Zone: zone, Shard: shard, Serving: serving, Removed: removed, StartedAt: startedAt})
	if !serving {
		c.withdrawFrom(changed)
	}
}

func (c *Core) reconnect(changed *endpoint, address string) {
	if changed.conn != nil {
		changed.conn.Close()
	}
	changed.address, changed.conn = address, c.outbound.Connect(changed.Name, address)
}

// withdrawFrom withdraws the attempts that still wait for a connection to a draining endpoint, since they would begin
// after the drain.
func (c *Core) withdrawFrom(draining *endpoint) {
	for _, a := range c.attempts {
		if a.target == draining {
			c.withdraw(a)
		}
	}
}

// applyEndpointChanges is called after each group of calls that may have changed endpoints. It lets the scheduler act on
// the changes, drops removed endpoints and reports to other gateways.
func (c *Core) applyEndpointChanges() {
	if c.endpointsChanged {
		c.endpointsChanged = false
		c.scheduler.EndEndpointList()
		for _, endpoint := range c.endpoints {
			c.dropIfRemoved(endpoint)
		}
	}
	c.runDeferred()
	c.reportToPeers()
}

// endpointAttemptEnded counts an ended attempt at its endpoint and, if it was served, reports to the endpoint states that
// the endpoint responds. target is nil if the endpoint was removed before the attempt.
func (c *Core) endpointAttemptEnded(target *endpoint, outcome policy.Outcome) {
	if target == nil {
		return
	}
	target.inFlight--
	if outcome == policy.Served && c.now-target.responseReportedAt >= responseReportInterval {
		target.responseReportedAt = c.now
		c.fleet.Answered(target.Name, c.now)
		c.applyEndpointChanges()
	}
	c.dropIfRemoved(target)
}

// dropIfRemoved drops an endpoint that was removed and has no attempt in flight.
func (c *Core) dropIfRemoved(target *endpoint) {
	if !target.removed || target.inFlight > 0 {
		return
	}
	if target.conn != nil {
		target.conn.Close()
	}
	if c.endpoints[target.Name] == target {
		delete(c.endpoints, target.Name)
	}
}

// tickEndpoints expires endpoint states and requests greetings from endpoints whose state is in doubt, once per
// endpointTickInterval.
func (c *Core) tickEndpoints() {
	c.fleet.Tick(c.now)
	c.requestGreetings()
	c.applyEndpointChanges()
	c.forgetIdleVolumes()
	c.schedule(endpointTickInterval, timer{fire: c.tickEndpoints})
}

// requestGreetings requests a greeting from each endpoint whose state is in doubt, each after its own random delay.
func (c *Core) requestGreetings() {
	for _, name := range c.fleet.Doubtful() {
		jitter := time.Duration(c.rng.Int63n(int64(greetingJitter)))
		c.schedule(jitter, timer{fire: func() {
			if known := c.endpoints[name]; known != nil && known.conn != nil && !known.removed {
				known.conn.RequestGreeting()
			}
		}})
	}
}

// reports converts entries into reports for the endpoint states. It computes start times on the engine's clock from the
// entries' ages, since the clock of the list's author may be wrong.
func (c *Core) reports(entries []EndpointEntry) []endpointstate.Report {
	reports := make([]endpointstate.Report, len(entries))
	for i, entry := range entries {
		reports[i] = endpointstate.Report{
			Name:       entry.Name,
			Address:    entry.Address,
			Zone:       entry.Zone,
			Shard:      entry.Shard,
			Serving:    entry.Serving && !entry.Removed,
			Removed:    entry.Removed,
			ObservedAt: c.now,
		}
		if entry.HasAge {
			reports[i].Started = c.now - max(entry.Age, 0)
		}
	}
	return reports
}
