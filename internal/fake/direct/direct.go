// Package direct is the baseline that drills compare with: a host that sends every command at once to a brick that
// holds its data, within an even part of each limit, and tells the client whatever came of it.
package direct

import (
	"math/rand"
	"time"

	"weirhaven/internal/engine"
	"weirhaven/policy"
)

type decider struct {
	host   policy.Runtime
	rng    *rand.Rand
	bricks []*entry
	out    map[*policy.Request]*policy.Attempt
	early  time.Duration
	plans  map[string]policy.ServicePlan
	stores map[*policy.Volume]*store
}

type store struct {
	level float64
	at    time.Duration
}

type entry struct {
	brick *policy.Endpoint
	cell  int
	up    bool
}

// Start makes one in place of the module.
func Start(h policy.Runtime, s policy.Settings) engine.Scheduler {
	plans := map[string]policy.ServicePlan{}
	for _, p := range s.Plans {
		plans[p.Name] = p
	}
	if s.PollEndpointList {
		h.After(0, func() { h.RequestEndpointList() })
	}
	return &decider{host: h, rng: rand.New(rand.NewSource(s.Seed)), out: map[*policy.Request]*policy.Attempt{},
		early: 2 * s.TimerResolution, plans: plans, stores: map[*policy.Volume]*store{}}
}

// passes takes a command's units from this host's even part of its volume's limit.
func (d *decider) passes(v *policy.Volume, p policy.ServicePlan, hosts, units float64) bool {
	if p.Limit == 0 {
		return true
	}
	now := d.host.Now()
	s := d.stores[v]
	if s == nil {
		s = &store{p.InitialBurst / hosts, now}
		d.stores[v] = s
	}
	s.level, s.at = min(s.level+p.Limit/hosts*(now-s.at).Seconds(), p.Burst/hosts), now
	if s.level < units {
		return false
	}
	s.level -= units
	return true
}

func (d *decider) BeginEndpointList(whole bool) {
	if whole {
		d.bricks = nil
	}
}

func (d *decider) UpdateEndpoint(b *policy.Endpoint, update policy.EndpointUpdate) {
	up := update.Serving && !update.Removed
	for _, e := range d.bricks {
		if e.brick == b {
			e.up = up
			return
		}
	}
	d.bricks = append(d.bricks, &entry{b, update.Shard, up})
}

func (d *decider) EndEndpointList() {}
func (d *decider) EndpointListFailed() {
	d.host.After(time.Second, func() { d.host.RequestEndpointList() })
}

func (d *decider) RequestReceived(c *policy.Request, arrival policy.RequestArrival) error {
	var at []*policy.Endpoint
	for _, e := range d.bricks {
		if e.up && (arrival.Shard < 0 || e.cell == arrival.Shard) {
			at = append(at, e.brick)
		}
	}
	if len(at) == 0 || !d.passes(c.Volume, d.plans[arrival.Plan], float64(arrival.Gateways), arrival.Units) {
		d.host.Reject(c, 0)
		return nil
	}
	x := &policy.Attempt{Request: c, Endpoint: at[d.rng.Intn(len(at))]}
	d.out[c] = x
	d.host.After(arrival.Deadline-d.early-d.host.Now(), func() {
		if d.out[c] == x {
			delete(d.out, c)
			d.host.Fail(c)
		}
	})
	d.host.Send(x)
	return nil
}

func (d *decider) ResponseStarted(*policy.Attempt) {}

func (d *decider) AttemptEnded(x *policy.Attempt, result policy.AttemptResult) {
	c := x.Request
	if d.out[c] != x {
		return
	}
	delete(d.out, c)
	switch {
	case result.RequestOver:
	case result.Outcome == policy.Rejected || result.Outcome == policy.ConnectFailed || result.Outcome == policy.NotSent:
		d.host.Reject(c, 0)
	default:
		d.host.Fail(c)
	}
}

func (d *decider) ClientDisconnected(c *policy.Request)                          { delete(d.out, c) }
func (d *decider) HealthChecked(*policy.Endpoint, policy.Outcome, time.Duration) {}
func (d *decider) GossipReceived(int, []byte)                                    {}
func (d *decider) SetGateways(int, int)                                          {}
func (d *decider) SetVolumeGateways(*policy.Volume, int)                         {}
