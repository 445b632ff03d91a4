package gateway

import (
	"time"

	"weirhaven/internal/controlplane/client"
	"weirhaven/internal/controlplane/snapshot"
	"weirhaven/internal/engine"
	"weirhaven/internal/fleet/endpointstate"
	"weirhaven/internal/pb"
	"weirhaven/internal/settings"
)

// controlPlane applies the control plane's snapshot: endpoints go to the loop as reports, volumes to the volume table, and the
// planned number of gateways to the membership. Requests never wait for the control plane.
type controlPlane struct {
	gateway  *Gateway
	plans    map[string]bool  // service plans that the scheduler knows
	follower *client.Follower // nil: no control plane
	saved    []*pb.Item       // items of the saved snapshot, kept until the loop runs
}

// openControlPlane loads the saved snapshot. It adds service plans that only the snapshot contains to the settings, since the
// scheduler accepts plans only at its start.
func (g *Gateway) openControlPlane() error {
	p := &controlPlane{gateway: g, plans: map[string]bool{}}
	g.controlPlane = p
	for _, plan := range g.conf.Plan {
		p.plans[plan.Name] = true
	}
	if g.conf.Planner == nil {
		return nil
	}
	var err error
	p.follower, err = client.Open(client.Config{Controllers: g.conf.Planner, Gateway: g.conf.Name,
		ClientAddress: g.listener.Addr().String(),
		SnapshotFile:  g.conf.Store + ".view", Log: g.log, Sink: p, Seed: time.Now().UnixNano()})
	if err != nil {
		return err
	}
	for _, item := range p.saved {
		if item.Kind == pb.Item_PLAN && !item.Gone && !p.plans[item.Name] {
			p.plans[item.Name] = true
			g.conf.Plan = append(g.conf.Plan, item.Plan)
		}
	}
	return nil
}

// applySaved applies the saved snapshot once the loop runs. It gives the reports an age past their validity, so that each endpoint
// is doubted until a fresh report arrives.
func (p *controlPlane) applySaved() {
	items := p.saved
	p.saved = nil
	if len(items) > 0 {
		p.apply(items, settings.Duration(p.gateway.conf.ListFresh, settings.DefaultReportFresh)+time.Second)
	}
}

// Changed receives changes of the snapshot. The follower's goroutine calls it; client.Open calls it with the saved snapshot, and
// fresh is false then.
func (p *controlPlane) Changed(items []*pb.Item, fresh bool) {
	if !fresh {
		p.saved = items
		return
	}
	p.apply(items, 0)
}

// apply applies changes that were observed age ago.
func (p *controlPlane) apply(items []*pb.Item, age time.Duration) {
	for _, name := range p.gateway.volumes.apply(items, p.plans) {
		p.gateway.log.Warn("volume on an unknown service plan; restart the gateway to take the plan over", "volume", name)
	}
	var endpoints []*pb.Item
	gateways := 0
	for _, item := range items {
		switch item.Kind {
		case pb.Item_BRICK:
			endpoints = append(endpoints, item)
		case pb.Item_HOSTS:
			gateways = int(item.Hosts)
		}
	}
	if len(endpoints) == 0 && gateways == 0 {
		return
	}
	p.gateway.loop.Post(func(c *engine.Core) {
		if group := c.Membership(); group != nil && gateways > 0 {
			group.SetPlanned(gateways)
		}
		c.EndpointsFromPeer(snapshotReports(endpoints, c.Now()-age))
	})
}

// snapshotReports returns the endpoints among a snapshot's items as reports observed at observedAt.
func snapshotReports(items []*pb.Item, observedAt time.Duration) (all []endpointstate.Report) {
	for _, item := range items {
		e := item.GetBrick()
		if e == nil || e.Address == "" {
			continue
		}
		r := endpointstate.Report{Name: item.Name, Address: e.Address, Zone: e.Zone, Shard: int(e.Cell), Serving: e.Serving && !item.Gone,
			Removed: item.Gone, Started: time.Duration(e.Started), ObservedAt: observedAt}
		if snapshot.Drained(e) {
			r.Serving, r.Removed = false, false
			if e.Drained > 0 {
				r.Started = time.Duration(max(e.Started, e.Drained)) // the drain applies to the process that was running when it was reported
			}
		}
		all = append(all, r)
	}
	return all
}

// reportDrains reports the drains known to this gateway to the control plane.
func (p *controlPlane) reportDrains(beliefs []endpointstate.Belief) {
	if p.follower == nil {
		return
	}
	for _, b := range beliefs {
		if b.DrainedUpTo > 0 {
			p.follower.LearnDrain(b.Name, int64(b.DrainedUpTo))
		}
	}
}
