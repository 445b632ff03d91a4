package gateway

import (
	"sync/atomic"
	"time"

	"weirhaven/internal/controlplane/client"
	"weirhaven/internal/controlplane/snapshot"
	"weirhaven/internal/engine"
	"weirhaven/internal/fleet/endpointstate"
	"weirhaven/internal/pb"
	"weirhaven/internal/settings"
)

// volumeTable is what is known of volumes: settings, and over them what the planner says. It is read by the loop for each command and
// replaced whole.
type volumeTable struct {
	at atomic.Pointer[map[string]volumeEntry]
}

type volumeEntry struct {
	plan  string
	hosts int
}

func newVolumeTable(conf *pb.Edge) *volumeTable {
	t := &volumeTable{}
	m := make(map[string]volumeEntry, len(conf.Volume))
	for _, v := range conf.Volume {
		m[v.Name] = volumeEntry{v.Plan, int(v.Hosts)}
	}
	t.at.Store(&m)
	return t
}

func (t *volumeTable) of(name string) (plan string, hosts int, ok bool) {
	v, ok := (*t.at.Load())[name]
	return v.plan, v.hosts, ok
}

// change replaces entries. A volume that the planner took away stays known while settings name it.
func (t *volumeTable) change(items []*pb.Item, plans map[string]bool) (unknown []string) {
	var next map[string]volumeEntry
	for _, x := range items {
		if x.Kind != pb.Item_VOLUME {
			continue
		}
		if next == nil {
			old := *t.at.Load()
			next = make(map[string]volumeEntry, len(old)+1)
			for k, v := range old {
				next[k] = v
			}
		}
		switch {
		case x.Gone:
			delete(next, x.Name)
		case !plans[x.GetVolume().GetPlan()]:
			unknown = append(unknown, x.Name)
		default:
			next[x.Name] = volumeEntry{x.Volume.Plan, max(int(x.Volume.Hosts), 1)}
		}
	}
	if next != nil {
		t.at.Store(&next)
	}
	return unknown
}

// planner is this host's side of the planner: what its view says goes to the loop as lines, to the volumes' table and to the
// count of hosts. Commands never wait for it.
type planner struct {
	edge     *Edge
	plans    map[string]bool
	follower *client.Follower // nil: none
	early    []*pb.Item       // the view kept, until the loop runs
}

// openPlanner reads the view kept. Plans that only it names are added to the settings, since the module is told of plans at its start.
func (e *Edge) openPlanner(address string) (*planner, error) {
	p := &planner{edge: e, plans: map[string]bool{}}
	for _, x := range e.conf.Plan {
		p.plans[x.Name] = true
	}
	if e.conf.Planner == nil {
		return p, nil
	}
	var err error
	p.follower, err = client.Open(client.Config{Controllers: e.conf.Planner, Gateway: e.conf.Name, ClientAddress: address, SnapshotFile: e.conf.Store + ".view", Log: e.log, Sink: p,
		Seed: time.Now().UnixNano()})
	if err != nil {
		return nil, err
	}
	for _, x := range p.early {
		if x.Kind == pb.Item_PLAN && !x.Gone && !p.plans[x.Name] {
			p.plans[x.Name] = true
			e.conf.Plan = append(e.conf.Plan, x.Plan)
		}
	}
	return p, nil
}

// begin tells the loop, which runs now, of the view kept: as old, so that each brick is doubted until something fresh tells of it.
func (p *planner) begin() {
	items := p.early
	p.early = nil
	if len(items) > 0 {
		p.tell(items, settings.Duration(p.edge.conf.ListFresh, 5*time.Minute)+time.Second)
	}
}

// Changed is what the view says.
func (p *planner) Changed(items []*pb.Item, fresh bool) {
	if !fresh {
		p.early = items
		return
	}
	p.tell(items, 0)
}

func (p *planner) tell(items []*pb.Item, age time.Duration) {
	for _, name := range p.edge.volumeTable.change(items, p.plans) {
		p.edge.log.Warn("the planner names a volume on a plan that this host does not know; restart it to take the plan over", "volume", name)
	}
	var lines []*pb.Item
	hosts := 0
	for _, x := range items {
		switch x.Kind {
		case pb.Item_BRICK:
			lines = append(lines, x)
		case pb.Item_HOSTS:
			hosts = int(x.Hosts)
		}
	}
	if len(lines) == 0 && hosts == 0 {
		return
	}
	p.edge.loop.Post(func(c *engine.Core) {
		if g := c.Membership(); g != nil && hosts > 0 {
			g.SetPlanned(hosts)
		}
		c.EndpointsFromPeer(brickLines(lines, c.Now()-age))
	})
}

// brickLines are a view's bricks as lines, true at a time. A drain is told as one of the life that it speaks of.
func brickLines(items []*pb.Item, at time.Duration) (all []endpointstate.Report) {
	for _, x := range items {
		b := x.GetBrick()
		if b == nil {
			continue
		}
		l := endpointstate.Report{Name: x.Name, Address: b.Address, Zone: b.Zone, Shard: int(b.Cell), Serving: b.Serving && !x.Gone, Gone: x.Gone, Started: time.Duration(b.Started), ObservedAt: at}
		if snapshot.Drained(b) {
			l.Serving, l.Gone = false, false
			if b.Drained > 0 {
				l.Started = time.Duration(max(b.Started, b.Drained))
			}
		}
		if l.Address != "" {
			all = append(all, l)
		}
	}
	return all
}

// learnt tells the planner of drains that this host knows.
func (p *planner) learnt(all []endpointstate.Belief) {
	if p.follower == nil {
		return
	}
	for _, b := range all {
		if b.DrainedUpTo > 0 {
			p.follower.LearnDrain(b.Name, int64(b.DrainedUpTo))
		}
	}
}
