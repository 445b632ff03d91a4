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
	host   policy.Host
	rng    *rand.Rand
	bricks []*entry
	out    map[*policy.Command]*policy.Dispatch
	early  time.Duration
	plans  map[string]policy.Plan
	stores map[*policy.Volume]*store
}

type store struct {
	level float64
	at    time.Duration
}

type entry struct {
	brick *policy.Brick
	cell  int
	up    bool
}

// Start makes one in place of the module.
func Start(h policy.Host, s policy.Settings) engine.Decider {
	plans := map[string]policy.Plan{}
	for _, p := range s.Plans {
		plans[p.Name] = p
	}
	if s.Asks {
		h.After(0, func() { h.Watch(true) })
	}
	return &decider{host: h, rng: rand.New(rand.NewSource(s.Seed)), out: map[*policy.Command]*policy.Dispatch{},
		early: 2 * s.Resolution, plans: plans, stores: map[*policy.Volume]*store{}}
}

// passes takes a command's units from this host's even part of its volume's limit.
func (d *decider) passes(v *policy.Volume, p policy.Plan, hosts, units float64) bool {
	if p.Limit == 0 {
		return true
	}
	now := d.host.Now()
	s := d.stores[v]
	if s == nil {
		s = &store{p.Slack / hosts, now}
		d.stores[v] = s
	}
	s.level, s.at = min(s.level+p.Limit/hosts*(now-s.at).Seconds(), p.Depth/hosts), now
	if s.level < units {
		return false
	}
	s.level -= units
	return true
}

func (d *decider) ListBegins(whole bool) {
	if whole {
		d.bricks = nil
	}
}

func (d *decider) Listed(b *policy.Brick, _ string, cell int, serving, gone bool, _ time.Duration) {
	for _, e := range d.bricks {
		if e.brick == b {
			e.up = serving && !gone
			return
		}
	}
	d.bricks = append(d.bricks, &entry{b, cell, serving && !gone})
}

func (d *decider) ListEnds() {}
func (d *decider) ListFailed() {
	d.host.After(time.Second, func() { d.host.Watch(true) })
}

func (d *decider) Taken(c *policy.Command, _, plan, _ string, cell, hosts int, units float64, giveUp time.Duration, _ bool) error {
	var at []*policy.Brick
	for _, e := range d.bricks {
		if e.up && (cell < 0 || e.cell == cell) {
			at = append(at, e.brick)
		}
	}
	if len(at) == 0 || !d.passes(c.Volume, d.plans[plan], float64(hosts), units) {
		d.host.BusyReply(c, 0)
		return nil
	}
	x := &policy.Dispatch{Cmd: c, Brick: at[d.rng.Intn(len(at))]}
	d.out[c] = x
	d.host.After(giveUp-d.early-d.host.Now(), func() {
		if d.out[c] == x {
			delete(d.out, c)
			d.host.Abort(c)
		}
	})
	d.host.Dispatch(x, 0)
	return nil
}

func (d *decider) Begun(*policy.Dispatch) {}

func (d *decider) Ended(x *policy.Dispatch, how policy.Ending, _ time.Duration, last bool, _, _ float64) {
	c := x.Cmd
	if d.out[c] != x {
		return
	}
	delete(d.out, c)
	switch {
	case last:
	case how == policy.Turned || how == policy.Unconnected || how == policy.Unsent:
		d.host.BusyReply(c, 0)
	default:
		d.host.Abort(c)
	}
}

func (d *decider) Left(c *policy.Command)                             { delete(d.out, c) }
func (d *decider) Probed(*policy.Brick, policy.Ending, time.Duration) {}
func (d *decider) Heard(int, []byte)                                  {}
func (d *decider) Hosts(int, int)                                     {}
func (d *decider) VolumeHosts(*policy.Volume, int)                    {}
