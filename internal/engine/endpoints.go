package engine

import (
	"time"

	"weirhaven/internal/fleet/endpointstate"
	"weirhaven/policy"
)

const (
	// endpointTickInterval is how often the age of endpoint states is looked at.
	endpointTickInterval = time.Second
	// greetingJitter spreads greetings requested at the same tick, here and at other gateways.
	greetingJitter = 200 * time.Millisecond
	// answerReportInterval is how often answers of an endpoint are passed on as a sign of life.
	answerReportInterval = time.Second
)

// endpoint is an endpoint that the scheduler was notified of, until it is removed and nothing is in flight there.
type endpoint struct {
	policy.Endpoint   // the scheduler's view of it
	conn              EndpointConn
	address           string
	zone              string
	shard             int
	inFlight          int  // attempts
	removed           bool // from the fleet
	serving           bool // as the scheduler was notified
	answerReportedAt  time.Duration
	healthCheckID     uint64 // 0: none under way
	healthCheckSentAt time.Duration
}

// EndpointEntry is one entry of an endpoint list.
type EndpointEntry struct {
	Name, Address, Zone string
	Shard               int
	Serving             bool          // false: draining or gone
	Removed             bool          // no longer part of the fleet
	HasAge              bool          // Age is known
	Age                 time.Duration // since its start, by the clock of whoever made the list
	StartedAt           time.Duration // on the engine's clock, only for AuthoritativeList; 0: not known, long ago
	Unreadable          bool          // only for AuthoritativeList: only Name and Started could be read
}

// Greeting is how an endpoint introduces itself on a new connection.
type Greeting struct {
	Endpoint, Address string
	HasAge            bool          // Age is known
	Age               time.Duration // since its start, by its own clock
	Draining          bool          // it takes nothing new
}

// EndpointList takes a list of the discovery service, or its changes if whole is false. What reaches the scheduler is up
// to the endpoint states: they weigh it against what else is known.
func (c *Core) EndpointList(generation endpointstate.Generation, whole bool, entries []EndpointEntry) {
	c.scheduler.BeginEndpointList(false) // the endpoint states report one by one what a whole list no longer names
	c.fleet.ListReceived(generation, whole, c.reports(entries), c.now)
	c.endpointsChanged = true
	c.applyEndpointChanges()
}

// EndpointListUnchanged reports that the discovery service is there and has nothing new.
func (c *Core) EndpointListUnchanged() { c.fleet.ListUnchanged(c.now) }

// EndpointListFailed reports that the discovery service could not be asked, or that its watch broke.
func (c *Core) EndpointListFailed() {
	c.scheduler.EndpointListFailed()
	c.runDeferred()
}

// AuthoritativeList takes a list, or its changes if whole is false, of a source that is always right: the scheduler gets
// each entry as it stands, past the endpoint states.
func (c *Core) AuthoritativeList(whole bool, entries []EndpointEntry) {
	c.scheduler.BeginEndpointList(whole)
	if whole {
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

// suspendEndpoint takes an endpoint whose entry can't be read for one that drains: the entry may say so, and an endpoint
// that drains must get nothing new. An endpoint that is not known stays so.
func (c *Core) suspendEndpoint(entry EndpointEntry) {
	if known := c.endpoints[entry.Name]; known != nil {
		c.outbound.Log("unreadable endpoint list entry, endpoint suspended: " + entry.Name)
		c.EndpointChanged(entry.Name, known.address, known.zone, known.shard, false, false, entry.StartedAt)
	}
}

// ConfiguredEndpoints takes endpoints that the settings name. They count as long as nothing newer is known.
func (c *Core) ConfiguredEndpoints(entries []EndpointEntry) {
	c.fleet.Configured(c.reports(entries), c.now)
	c.applyEndpointChanges()
}

// Restore takes back endpoint states that a former run saved, with the generation of the last list in them.
func (c *Core) Restore(saved []endpointstate.Belief, last endpointstate.Generation) {
	c.fleet.Restore(saved, last, c.now)
	c.requestGreetings()
	c.applyEndpointChanges()
}

// Fleet returns the endpoint states, to be read only, and only by the Core's owner.
func (c *Core) Fleet() *endpointstate.Fleet { return c.fleet }

// ForgetEndpoint drops what is known of an endpoint, as an operator asks; it reports whether something was.
func (c *Core) ForgetEndpoint(name string) bool {
	known := c.fleet.Forget(name)
	c.applyEndpointChanges()
	return known
}

// Greeted reports that an endpoint introduced itself on a new connection.
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

// WrongEndpoint reports that another endpoint than the one of that name greeted at its address.
func (c *Core) WrongEndpoint(name, address string) {
	c.fleet.WrongEndpoint(name, address, c.now)
	c.applyEndpointChanges()
}

// EndpointDraining reports that an endpoint itself announced, on a connection that it had greeted, that it takes nothing
// new.
func (c *Core) EndpointDraining(name string) {
	if known := c.endpoints[name]; known != nil {
		c.fleet.Greeted(name, known.address, 0, true, c.now)
		c.applyEndpointChanges()
	}
}

// EndpointChanged implements endpointstate.Sink: the endpoint states call it in the middle of a call of this Core.
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
		c.nextPeerReportAt = c.now // other gateways should learn of a drain at once
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

// withdrawFrom withdraws what still waits for a connection to an endpoint that drains: it would begin after the drain.
func (c *Core) withdrawFrom(draining *endpoint) {
	for _, a := range c.attempts {
		if a.target == draining {
			c.withdraw(a)
		}
	}
}

// applyEndpointChanges ends a round of calls that may have changed endpoints: the scheduler acts on the changes, and other
// gateways learn of them.
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

// endpointAttemptEnded takes an attempt off its endpoint's account; nil: the endpoint was dropped before the attempt. An
// endpoint that served one is there.
func (c *Core) endpointAttemptEnded(target *endpoint, outcome policy.Outcome) {
	if target == nil {
		return
	}
	target.inFlight--
	if outcome == policy.Served && c.now-target.answerReportedAt >= answerReportInterval {
		target.answerReportedAt = c.now
		c.fleet.Answered(target.Name, c.now)
		c.applyEndpointChanges()
	}
	c.dropIfRemoved(target)
}

// dropIfRemoved forgets an endpoint that was removed, once nothing is in flight there.
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

// tickEndpoints lets endpoint states age, and asks endpoints for a greeting whose state is in doubt then.
func (c *Core) tickEndpoints() {
	c.fleet.Tick(c.now)
	c.requestGreetings()
	c.applyEndpointChanges()
	c.schedule(endpointTickInterval, timer{fire: c.tickEndpoints})
}

// requestGreetings asks each endpoint in doubt for a greeting, at a time of its own.
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

// reports puts entries in the form of the endpoint states, with starts on the engine's clock: only ages count, since the
// clock of whoever made the list may be wrong.
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
