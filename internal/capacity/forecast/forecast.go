// Package forecast simulates client requests against a fleet in virtual time. The gateways run the production engine and scheduler;
// the endpoints follow a model learnt from a capture. A run is deterministic for a given seed. The package has no I/O, clock or goroutine.
package forecast

import (
	"cmp"
	"container/heap"
	"fmt"
	"math"
	"math/rand"
	"slices"
	"time"

	"weirhaven/internal/capacity/demand"
	"weirhaven/internal/capacity/model"
	"weirhaven/internal/engine"
	"weirhaven/internal/fleet/endpointstate"
	"weirhaven/internal/fleet/membership"
	"weirhaven/internal/pb"
	"weirhaven/internal/settings"
	"weirhaven/policy"
)

// Event takes an endpoint or a gateway down, or starts it again.
type Event struct {
	At                time.Duration
	Endpoint, Gateway string
	Down              bool // false: the endpoint (cold, in the same shard) or the gateway starts again
	Unannounced       bool // no endpoint list reports a failure, and the same endpoint returns instead of a new one
}

// Scenario is the input of a simulation.
type Scenario struct {
	Fleet    *pb.CapacityFleet
	Model    *pb.CapacityModel
	Requests []demand.Request // sorted by arrival
	Events   []Event
	Seed     int64
	// NoticeDelay is the mean delay until gateways receive a changed endpoint list; each gateway's delay is drawn from half to one and a half
	// times this. 0: 300 ms.
	NoticeDelay time.Duration
	// BlockLength is the length of the intervals that results are reported for. 0: 1 s.
	BlockLength time.Duration
	// NewScheduler creates each gateway's scheduler. nil: the production scheduler.
	NewScheduler func(policy.Runtime, policy.Settings) engine.Scheduler
	// Observe returns the observer of a gateway, which receives what the gateway would have captured. nil: none.
	Observe func(gateway string) engine.Observer
}

// Key is a service plan and a request class.
type Key struct{ Plan, Class string }

// Tally counts client requests by how they ended.
type Tally struct {
	Requests, InTarget, Late, Rejected, Aborted, Cancelled int
	Submitted                                              int             // submissions to gateways, retries included
	Latencies                                              []time.Duration // of completed requests, from the first submission
}

// Add adds the counts and latencies of o to t.
func (t *Tally) Add(o *Tally) {
	t.Requests += o.Requests
	t.InTarget += o.InTarget
	t.Late += o.Late
	t.Rejected += o.Rejected
	t.Aborted += o.Aborted
	t.Cancelled += o.Cancelled
	t.Submitted += o.Submitted
	t.Latencies = append(t.Latencies, o.Latencies...)
}

// InTargetRatio returns the fraction of the requests, cancelled ones left out, that completed within the latency objective; 1 without
// requests.
func (t *Tally) InTargetRatio() float64 {
	if n := t.Requests - t.Cancelled; n > 0 {
		return float64(t.InTarget) / float64(n)
	}
	return 1
}

// Quantile returns the q-quantile of the latencies of completed requests; 0 without any.
func (t *Tally) Quantile(q float64) time.Duration {
	if len(t.Latencies) == 0 {
		return 0
	}
	all := slices.Clone(t.Latencies)
	slices.Sort(all)
	return all[min(int(q*float64(len(all))), len(all)-1)]
}

// Usage is the utilization of an endpoint or a gateway by block.
type Usage struct {
	Name, Zone  string
	Utilization []float64 // fraction of its capacity, by block
	WorkDone    []float64 // endpoints only: completed work by block, as a fraction of a warm endpoint's capacity
}

// Mean returns the mean utilization over the blocks; 0 without blocks.
func (u *Usage) Mean() (m float64) {
	for _, x := range u.Utilization {
		m += x / float64(len(u.Utilization))
	}
	return m
}

// Peak returns the highest utilization of a block; 0 without blocks.
func (u *Usage) Peak() float64 {
	if len(u.Utilization) == 0 {
		return 0
	}
	return slices.Max(u.Utilization)
}

// Result holds the figures of a simulation.
type Result struct {
	Blocks      []map[Key]*Tally
	Endpoints   []Usage // core utilization
	Gateways    []Usage // request rate as a fraction of the gateway's stated maximum; 0 without a stated maximum
	Volumes     map[string][]float64
	Attempts    int64
	Retries     int64         // attempts after the first of a request
	Received    int64         // requests that gateways received, clients' retries included
	Rejected    int           // attempts that found an endpoint's queue full
	Overloaded  int           // endpoints that broke down under load while warming up
	Pressure    float64       // highest load on an endpoint while warming up, as a fraction of the load that breaks it down
	BudgetUsed  float64       // highest use of a gateway's retry budget, as a fraction of the budget
	MaxInFlight int           // most requests open at one gateway
	Span        time.Duration // until the last deadline of a request
}

// ByKey sums all blocks by service plan and request class.
func (r *Result) ByKey() map[Key]*Tally {
	all := map[Key]*Tally{}
	for _, block := range r.Blocks {
		for k, t := range block {
			if all[k] == nil {
				all[k] = &Tally{}
			}
			all[k].Add(t)
		}
	}
	return all
}

// Total sums all blocks, service plans and request classes.
func (r *Result) Total() *Tally {
	all := &Tally{}
	for _, block := range r.Blocks {
		keys := make([]Key, 0, len(block))
		for k := range block {
			keys = append(keys, k)
		}
		slices.SortFunc(keys, func(a, b Key) int { return cmp.Or(cmp.Compare(a.Plan, b.Plan), cmp.Compare(a.Class, b.Class)) })
		for _, k := range keys {
			all.Add(block[k])
		}
	}
	return all
}

// epoch is the virtual time at which a simulation starts. It lies far above 0 so that endpoints can have started long before.
const epoch = 1000 * time.Hour

// timer is a function to be run at a virtual time; seq orders timers of equal time.
type timer struct {
	at  time.Duration
	seq uint64
	run func()
}

// timers is a heap ordered by time.
type timers []timer

func (t timers) Len() int { return len(t) }
func (t timers) Less(i, j int) bool {
	return t[i].at < t[j].at || t[i].at == t[j].at && t[i].seq < t[j].seq
}
func (t timers) Swap(i, j int) { t[i], t[j] = t[j], t[i] }
func (t *timers) Push(x any)   { *t = append(*t, x.(timer)) }
func (t *timers) Pop() any {
	o := *t
	x := o[len(o)-1]
	o[len(o)-1] = timer{}
	*t = o[:len(o)-1]
	return x
}

// simulation is the state of a run.
type simulation struct {
	scenario         Scenario
	rng              *rand.Rand
	now              time.Duration
	seq              uint64
	timers           timers
	gateways         []*gateway
	gatewayByName    map[string]*gateway
	endpoints        []*endpoint // in the order of the fleet description; a replacement takes the place of its predecessor
	kinds            map[string]*pb.CapacityModel_KindModel
	servers          map[string]*pb.ServerKind
	writes           map[string]bool
	objectives       map[string]time.Duration
	volumes          map[string]*volume
	meterPeriod      time.Duration // 0: endpoints report no utilization
	meanWork         float64       // core seconds per unit, over all request classes
	endpointsStarted int
	listNumber       int64 // of the last endpoint list sent
	result           *Result
}

type volume struct {
	plan         string
	gatewayCount int
	gateways     []*gateway // that its clients connect to
	nominal      float64
	units        map[int64]float64 // units served, by meter period
}

type endpoint struct {
	sim         *simulation
	index       int // in the fleet description
	name        string
	address     string
	model       *model.Endpoint
	up          bool
	started     time.Duration
	roundTrip   time.Duration // network and processing time beside the work
	errorRate   float64
	reported    map[*gateway]map[string]float64 // units served for other gateways as last reported to this one, by volume
	doneFor     map[*gateway]map[string]float64 // units served for a gateway, by volume
	done        map[string]float64              // units served, by volume
	wakeAt      time.Duration
	sampledBusy time.Duration // model.BusyTime at the last sample
	sampledDone time.Duration // model.WarmBusyTime at the last sample
	unannounced bool          // its failure is missing from endpoint lists
}

type gateway struct {
	sim      *simulation
	index    int
	config   *pb.HostLine
	core     *engine.Core
	up       bool
	wakeAt   time.Duration
	received int             // requests since the last sample
	retries  []time.Duration // times of the retries within the retry budget's span
}

// Run simulates a scenario to its end.
func Run(s Scenario) (*Result, error) {
	sim, err := build(s)
	if err != nil {
		return nil, err
	}
	end := time.Duration(0)
	for i := range s.Requests {
		end = max(end, s.Requests[i].Arrival+s.Requests[i].Timeout)
		sim.after(s.Requests[i].Arrival, func() { sim.start(&s.Requests[i]) })
	}
	for _, e := range s.Events {
		sim.after(e.At, func() { sim.apply(e) })
	}
	blocks := int((end + s.Requests[len(s.Requests)-1].Timeout) / sim.scenario.BlockLength)
	for i := range blocks {
		sim.after(time.Duration(i+1)*sim.scenario.BlockLength, func() { sim.sample() })
	}
	sim.result.Span = end
	for len(sim.timers) > 0 && sim.timers[0].at <= epoch+end+2*time.Second {
		next := heap.Pop(&sim.timers).(timer)
		sim.now = next.at
		next.run()
	}
	for _, gw := range sim.gateways {
		sim.addCounts(gw)
	}
	for _, ep := range sim.endpoints {
		sim.result.Pressure, sim.result.Rejected = math.Max(sim.result.Pressure, ep.model.PeakColdLoad), sim.result.Rejected+ep.model.Rejected
	}
	keep := int(s.Requests[len(s.Requests)-1].Arrival/sim.scenario.BlockLength) + 1 // utilization is reported until the last arrival
	for i := range sim.result.Endpoints {
		usage := &sim.result.Endpoints[i]
		usage.Utilization, usage.WorkDone = usage.Utilization[:min(keep, len(usage.Utilization))], usage.WorkDone[:min(keep, len(usage.WorkDone))]
	}
	return sim.result, nil
}

func build(s Scenario) (*simulation, error) {
	f := s.Fleet
	if len(s.Requests) == 0 {
		return nil, fmt.Errorf("no load to simulate: the capture holds no requests")
	}
	if len(f.Brick) == 0 || len(f.Host) == 0 {
		return nil, fmt.Errorf("the fleet has %d endpoints and %d gateways; it needs at least one of each", len(f.Brick), len(f.Host))
	}
	if s.NoticeDelay == 0 {
		s.NoticeDelay = 300 * time.Millisecond
	}
	if s.BlockLength == 0 {
		s.BlockLength = time.Second
	}
	if s.NewScheduler == nil {
		s.NewScheduler = func(r policy.Runtime, p policy.Settings) engine.Scheduler { return policy.New(r, p) }
	}
	sim := &simulation{scenario: s, rng: rand.New(rand.NewSource(s.Seed)), now: epoch, gatewayByName: map[string]*gateway{},
		kinds: map[string]*pb.CapacityModel_KindModel{}, servers: map[string]*pb.ServerKind{}, writes: map[string]bool{},
		objectives: map[string]time.Duration{}, volumes: map[string]*volume{}, meterPeriod: settings.Duration(f.Rules.Meter, 0),
		result: &Result{Volumes: map[string][]float64{}}}
	for _, q := range f.QueueType {
		sim.writes[q.Name], sim.objectives[q.Name] = q.Writes, settings.Duration(q.ServiceTarget, 0)
	}
	for _, k := range f.Kind {
		sim.servers[k.Name] = k
	}
	for _, k := range s.Model.Kind {
		sim.kinds[k.Name] = k
	}
	units, samples := 0.0, 0.0
	for _, k := range s.Model.Kind {
		for _, x := range k.Work {
			units += (x.Unit + x.Base/math.Max(f.Rules.UsualUnits, 1)) * float64(x.Samples)
			samples += float64(x.Samples)
		}
	}
	sim.meanWork = units / math.Max(samples, 1)
	nominal := map[string]float64{}
	for _, p := range f.Plan {
		nominal[p.Name] = p.Nominal
	}
	for _, v := range f.Volume {
		sim.volumes[v.Name] = &volume{plan: v.Plan, gatewayCount: int(v.Hosts)}
	}
	for i, l := range f.Host {
		gw := &gateway{sim: sim, index: i, config: l, up: true}
		sim.gateways, sim.gatewayByName[l.Name] = append(sim.gateways, gw), gw
		sim.result.Gateways = append(sim.result.Gateways, Usage{Name: l.Name, Zone: l.Zone})
	}
	for i := range s.Requests {
		x := &s.Requests[i]
		v := sim.volumes[x.Volume]
		if v == nil {
			v = &volume{plan: x.Plan}
			sim.volumes[x.Volume] = v
		}
		gw := sim.gatewayByName[x.Gateway]
		if gw == nil { // the fleet lacks the captured gateway: its clients use another one
			gw = sim.gateways[int(hash(x.Gateway+x.Volume)%uint64(len(sim.gateways)))]
		}
		if !slices.Contains(v.gateways, gw) {
			v.gateways = append(v.gateways, gw)
		}
	}
	for _, v := range sim.volumes {
		v.nominal = nominal[v.plan]
		if v.gatewayCount = max(v.gatewayCount, len(v.gateways)); v.gatewayCount == 0 {
			v.gatewayCount = 1
		}
		v.units = map[int64]float64{}
	}
	for i, l := range f.Brick {
		ep, err := sim.startEndpoint(i, l.Name, false)
		if err != nil {
			return nil, err
		}
		sim.endpoints = append(sim.endpoints, ep)
		sim.result.Endpoints = append(sim.result.Endpoints, Usage{Name: l.Name, Zone: l.Zone})
	}
	for _, gw := range sim.gateways {
		if err := sim.startGateway(gw); err != nil {
			return nil, err
		}
	}
	return sim, nil
}

// hash returns the 64-bit FNV-1a hash of s.
func hash(s string) (h uint64) {
	h = 14695981039346656037
	for i := range len(s) {
		h = (h ^ uint64(s[i])) * 1099511628211
	}
	return h
}

// startEndpoint starts an endpoint at an index of the fleet description.
func (sim *simulation) startEndpoint(index int, name string, cold bool) (*endpoint, error) {
	l := sim.scenario.Fleet.Brick[index]
	server := sim.servers[l.Kind]
	if server == nil {
		return nil, fmt.Errorf("endpoint %s has kind %q, which the fleet does not describe", l.Name, l.Kind)
	}
	k, speed := sim.kinds[l.Kind], 1.0
	if k == nil { // the capture has no endpoint of this kind: use the first kind learnt, at the stated speed
		if len(sim.scenario.Model.Kind) == 0 {
			return nil, fmt.Errorf("the model has no endpoint kind; learn it from a capture with completed attempts")
		}
		k = sim.scenario.Model.Kind[0]
		if server.Speed > 0 {
			speed = server.Speed
		}
	}
	for _, x := range sim.scenario.Model.Brick {
		if x.Name == l.Name && x.Kind == l.Kind && x.Speed > 0 {
			speed = x.Speed
		}
	}
	f := sim.scenario.Fleet.Rules
	c := model.Config{Name: name, Zone: l.Zone, Shard: int(l.Cell), Kind: k, Cores: int(server.Cores), QueueLimit: int(server.Queue), Speed: speed,
		CancelMode: server.Cancel, DropsExpired: server.DropsExpired, Writes: sim.writes, OverloadMultiple: f.FallMultiple, Seed: sim.rng.Int63(), Start: sim.now,
		MeanUnitWork: sim.meanWork}
	started := time.Duration(0)
	if cold {
		c.SlowStartInitial, c.SlowStartDuration, c.OverloadWindow = f.ColdFrom, settings.Duration(f.ColdFor, 0), settings.Duration(f.FallAfter, 0)
		started = sim.now
	}
	sim.endpointsStarted++
	ep := &endpoint{sim: sim, index: index, name: name, address: fmt.Sprintf("brick:%d", sim.endpointsStarted), model: model.New(c), up: true, started: started,
		roundTrip: max(time.Duration(k.Way*float64(time.Second)), 20*time.Microsecond), errorRate: k.Errors, reported: map[*gateway]map[string]float64{},
		doneFor: map[*gateway]map[string]float64{}, done: map[string]float64{}}
	return ep, nil
}

// startGateway starts a gateway's engine, also after a failure.
func (sim *simulation) startGateway(gw *gateway) error {
	f := sim.scenario.Fleet
	e := &pb.Edge{Name: gw.config.Name, Ordinal: uint32(gw.index), Hosts: uint32(len(sim.gateways)), Zone: gw.config.Zone, Fleet: f.Rules, QueueType: f.QueueType,
		Plan: f.Plan, Seed: sim.rng.Int63()%(1<<40) + 1}
	rules, err := settings.EndpointRules(e)
	if err != nil {
		return err
	}
	gw.core = engine.New(settings.Policy(e, 1), rules, sim.scenario.NewScheduler, gw, sim.volumeOf, 250*time.Millisecond, sim.now)
	gw.up, gw.wakeAt = true, 0
	if sim.scenario.Observe != nil {
		gw.core.Observe(sim.scenario.Observe(gw.config.Name))
	}
	gw.sendList(true)
	gw.scheduleWake()
	return nil
}

func (sim *simulation) volumeOf(name string) (string, int, bool) {
	v := sim.volumes[name]
	if v == nil {
		return "", 0, false
	}
	return v.plan, v.gatewayCount, true
}

// after schedules f at d after the start of the simulation.
func (sim *simulation) after(d time.Duration, f func()) {
	sim.at(epoch+d, f)
}

// at schedules f at a virtual time, at the earliest now.
func (sim *simulation) at(at time.Duration, f func()) {
	sim.seq++
	heap.Push(&sim.timers, timer{max(at, sim.now), sim.seq, f})
}

// do runs f on the gateway's engine at the current virtual time, unless the gateway is down.
func (gw *gateway) do(f func(c *engine.Core)) {
	if !gw.up {
		return
	}
	gw.core.Advance(gw.sim.now)
	f(gw.core)
	gw.scheduleWake()
}

// scheduleWake schedules the engine's next timer, unless an earlier wake-up is pending.
func (gw *gateway) scheduleWake() {
	at, ok := gw.core.NextTimer()
	if !ok || gw.wakeAt > gw.sim.now && gw.wakeAt <= at {
		return
	}
	gw.wakeAt = max(at, gw.sim.now)
	wake := gw.wakeAt
	gw.sim.at(wake, func() {
		if gw.wakeAt == wake && gw.up {
			gw.wakeAt = 0
			gw.do(func(*engine.Core) {})
		}
	})
}

// sendList passes the current endpoint list to the gateway.
func (gw *gateway) sendList(complete bool) {
	var entries []engine.EndpointEntry
	for _, ep := range gw.sim.endpoints {
		l := gw.sim.scenario.Fleet.Brick[ep.index]
		x := engine.EndpointEntry{Name: ep.name, Address: ep.address, Zone: l.Zone, Shard: int(l.Cell), Serving: ep.up || ep.unannounced, Removed: !ep.up && !ep.unannounced, HasAge: true,
			Age: gw.sim.now - ep.started}
		entries = append(entries, x)
	}
	gw.sim.listNumber++
	gw.core.EndpointList(endpointstate.Generation{Epoch: "list", Number: gw.sim.listNumber}, complete, entries)
}

// apply takes an endpoint or a gateway down, or starts it again.
func (sim *simulation) apply(e Event) {
	if e.Gateway != "" {
		gw := sim.gatewayByName[e.Gateway]
		if gw == nil {
			return
		}
		if e.Down && gw.up {
			sim.addCounts(gw)
			gw.up = false
			gw.core.Stop()
		} else if !e.Down && !gw.up {
			_ = sim.startGateway(gw) // can't fail: the same settings started this gateway before
		}
		return
	}
	for i, ep := range sim.endpoints {
		if sim.scenario.Fleet.Brick[ep.index].Name != e.Endpoint {
			continue
		}
		if e.Down && ep.up {
			sim.crash(ep)
			if ep.unannounced = e.Unannounced; e.Unannounced {
				return
			}
		} else if !e.Down && !ep.up {
			old := ep
			name := ep.name
			if !e.Unannounced { // a new endpoint replaces it; otherwise the same endpoint returns
				name = fmt.Sprintf("%s.%d", sim.scenario.Fleet.Brick[ep.index].Name, sim.endpointsStarted)
			}
			replacement, err := sim.startEndpoint(ep.index, name, true)
			if err != nil {
				return
			}
			replacement.sampledBusy, replacement.sampledDone = old.sampledBusy, old.sampledDone
			replacement.model.BusyTime, replacement.model.WarmBusyTime = old.sampledBusy, old.sampledDone
			sim.result.Pressure, sim.result.Rejected = math.Max(sim.result.Pressure, old.model.PeakColdLoad), sim.result.Rejected+old.model.Rejected
			sim.endpoints[i] = replacement
		}
		sim.announceList()
		return
	}
}

// crash takes an endpoint down and ends its attempts with a connection reset.
func (sim *simulation) crash(ep *endpoint) {
	ep.up = false
	for _, j := range ep.model.Attempts() {
		sim.endAttempt(ep, sim.gateways[j.Gateway], j.ID, policy.ConnectionReset)
	}
}

// announceList sends the endpoint list to every gateway after a random delay.
func (sim *simulation) announceList() {
	for _, gw := range sim.gateways {
		sim.at(sim.now+sim.scenario.NoticeDelay/2+time.Duration(sim.rng.Int63n(int64(sim.scenario.NoticeDelay))), func() {
			gw.do(func(*engine.Core) { gw.sendList(true) })
		})
	}
}

// sample records the utilization since the last sample.
func (sim *simulation) sample() {
	for i, ep := range sim.endpoints {
		cores := float64(ep.model.Config().Cores) * sim.scenario.BlockLength.Seconds()
		sim.result.Endpoints[i].Utilization = append(sim.result.Endpoints[i].Utilization, (ep.model.BusyTime-ep.sampledBusy).Seconds()/cores)
		sim.result.Endpoints[i].WorkDone = append(sim.result.Endpoints[i].WorkDone, (ep.model.WarmBusyTime-ep.sampledDone).Seconds()/cores)
		ep.sampledBusy, ep.sampledDone = ep.model.BusyTime, ep.model.WarmBusyTime
	}
	for i, gw := range sim.gateways {
		x := 0.0
		if gw.config.Commands > 0 {
			x = float64(gw.received) / sim.scenario.BlockLength.Seconds() / gw.config.Commands
		}
		sim.result.Gateways[i].Utilization = append(sim.result.Gateways[i].Utilization, x)
		gw.received = 0
	}
}

// addCounts adds the engine counters of a running gateway to the result.
func (sim *simulation) addCounts(gw *gateway) {
	if gw.up {
		n := gw.core.Counts()
		sim.result.Attempts += n.Attempts
		sim.result.Retries += n.Retries
		sim.result.Received += n.Received
	}
}

// clientRequest is a client's request across its submissions to gateways.
type clientRequest struct {
	demand     *demand.Request
	start      time.Duration
	deadline   time.Duration
	submitted  int
	submission *engine.Request
	finished   bool
	gateway    *gateway
	tally      *Tally
}

// tally returns the tally of a key in the block of a time.
func (sim *simulation) tally(at time.Duration, k Key) *Tally {
	for n := int((at - epoch) / sim.scenario.BlockLength); len(sim.result.Blocks) <= n; {
		sim.result.Blocks = append(sim.result.Blocks, map[Key]*Tally{})
	}
	block := sim.result.Blocks[int((at-epoch)/sim.scenario.BlockLength)]
	if block[k] == nil {
		block[k] = &Tally{}
	}
	return block[k]
}

// start submits a request for the first time.
func (sim *simulation) start(x *demand.Request) {
	v := sim.volumes[x.Volume]
	gw := sim.gatewayByName[x.Gateway]
	if gw == nil {
		gw = v.gateways[int(hash(x.Gateway+x.Volume)%uint64(len(v.gateways)))]
	}
	r := &clientRequest{demand: x, start: sim.now, deadline: sim.now + x.Timeout, gateway: gw, tally: sim.tally(sim.now, Key{x.Plan, x.Class})}
	r.tally.Requests++
	if x.CancelAfter > 0 {
		sim.at(sim.now+x.CancelAfter, func() {
			if !r.finished {
				r.finished = true
				r.tally.Cancelled++
				r.gateway.do(func(c *engine.Core) { c.ClientDisconnected(r.submission) })
			}
		})
	}
	sim.submit(r)
}

// submit submits a request once. If its gateway is down, the client waits for that gateway or uses the next one that is up, as the client
// model says.
func (sim *simulation) submit(r *clientRequest) {
	if r.finished {
		return
	}
	if !r.gateway.up && sim.clientModel().GetStays() {
		r.submitted++
		sim.retry(r, 0)
		return
	}
	if !r.gateway.up {
		for i := range sim.gateways {
			if gw := sim.gateways[(r.gateway.index+i)%len(sim.gateways)]; gw.up {
				r.gateway = gw
				break
			}
		}
		if !r.gateway.up {
			sim.finish(r, engine.Failed)
			return
		}
	}
	r.submitted++
	r.tally.Submitted++
	x, gw := r.demand, r.gateway
	gw.received++
	shard := x.Shard
	r.submission = &engine.Request{Volume: x.Volume, Class: x.Class, Object: fmt.Sprintf("%x", x.Object), Shard: shard, Units: x.Units,
		Timeout: r.deadline - sim.now, Retry: r.submitted > 1 && sim.scenario.Fleet.Rules.ClientsMarkRepeats}
	r.submission.Respond = func(a engine.Response) { sim.respond(r, a) }
	gw.do(func(c *engine.Core) {
		c.Submit(r.submission)
		sim.result.MaxInFlight = max(sim.result.MaxInFlight, c.Counts().Open)
	})
	submitted := r.submitted
	sim.at(r.deadline, func() { // the client times out, even if a response is in transit
		if !r.finished && r.submitted == submitted {
			sim.finish(r, engine.Failed)
		}
	})
}

// respond handles a gateway's response: the client retries or the request is finished.
func (sim *simulation) respond(r *clientRequest, a engine.Response) {
	if r.finished {
		return
	}
	if a.Result == engine.Served {
		sim.finish(r, a.Result)
		return
	}
	if !a.MayHaveRun && sim.retry(r, a.RetryAfter) {
		return
	}
	sim.finish(r, a.Result)
}

// clientModel returns the client behaviour learnt from the capture or, if the capture shows no retries, the one that the fleet describes.
func (sim *simulation) clientModel() *pb.CapacityModel_ClientModel {
	if c := sim.scenario.Model.Client; c.GetRepeats() > 0 || sim.scenario.Fleet.Client == nil {
		return c
	}
	return sim.scenario.Fleet.Client
}

// retry schedules another submission after the wait. It reports whether the client retries.
func (sim *simulation) retry(r *clientRequest, pause time.Duration) bool {
	c := sim.clientModel()
	wait := max(time.Duration(c.GetWait()*float64(time.Second)), pause, time.Millisecond)
	maxRetries := 8
	if c.GetMost() > 0 {
		maxRetries = int(c.GetMost())
	}
	if c.GetRepeats() <= 0 || sim.now+wait >= r.deadline || sim.rng.Float64() >= c.GetRepeats() || r.submitted > maxRetries {
		if !r.finished && !r.gateway.up {
			sim.finish(r, engine.Failed)
		}
		return false
	}
	sim.at(sim.now+wait, func() { sim.submit(r) })
	return true
}

// finish counts how a request ended.
func (sim *simulation) finish(r *clientRequest, result engine.Result) {
	r.finished = true
	latency := sim.now - r.start
	switch {
	case result == engine.Served && latency <= sim.objectives[r.demand.Class]:
		r.tally.InTarget++
	case result == engine.Served:
		r.tally.Late++
	case result == engine.Rejected:
		r.tally.Rejected++
	default:
		r.tally.Aborted++
	}
	if result == engine.Served {
		r.tally.Latencies = append(r.tally.Latencies, latency)
	}
}

// connection is a gateway's connection to an endpoint; endpoint is nil for an address without one.
type connection struct {
	gateway      *gateway
	endpoint     *endpoint
	endpointName string
}

func (gw *gateway) Connect(name, address string) engine.EndpointConn {
	for _, ep := range gw.sim.endpoints {
		if ep.address == address {
			return &connection{gw, ep, name}
		}
	}
	return &connection{gw, nil, name}
}

func (conn *connection) Send(id uint64, t *engine.Request, n int, left, _ time.Duration) {
	sim, ep, gw := conn.gateway.sim, conn.endpoint, conn.gateway
	if n > 0 {
		gw.recordRetry()
	}
	if ep == nil || !ep.up {
		sim.at(sim.now+20*time.Microsecond, func() {
			gw.do(func(c *engine.Core) {
				c.AttemptEnded(engine.AttemptReport{Endpoint: conn.endpointName, ID: id, Outcome: policy.ConnectFailed})
			})
		})
		return
	}
	j := &model.Attempt{ID: id, Gateway: gw.index, Class: t.Class, Volume: t.Volume, Units: t.Units, Object: object(t.Object), First: n == 0, Deadline: sim.now + left}
	sim.at(sim.now+ep.roundTrip/2, func() {
		if !ep.up {
			sim.endAttempt(ep, gw, id, policy.ConnectionReset)
			return
		}
		sim.advance(ep)
		switch {
		case ep.errorRate > 0 && sim.rng.Float64() < ep.errorRate:
			sim.endAttempt(ep, gw, id, policy.ErrorResponse)
		case !ep.model.Arrive(j, sim.now):
			if ep.model.Crashed {
				sim.result.Overloaded++
				sim.crash(ep)
				sim.announceList()
				sim.endAttempt(ep, gw, id, policy.ConnectionReset)
			} else {
				sim.endAttempt(ep, gw, id, policy.Rejected)
			}
		}
		sim.scheduleWake(ep)
	})
}

// object parses an object name.
func object(s string) (n uint64) {
	_, _ = fmt.Sscanf(s, "%x", &n) // 0 if the name is not a hexadecimal number
	return n
}

// recordRetry updates the highest use of the retry budget.
func (gw *gateway) recordRetry() {
	budget := gw.sim.scenario.Fleet.Rules.Budget
	if budget == nil {
		return
	}
	span := settings.Duration(budget.Span, time.Second)
	gw.retries = append(gw.retries, gw.sim.now)
	for len(gw.retries) > 0 && gw.sim.now-gw.retries[0] > span {
		gw.retries = gw.retries[1:]
	}
	rate := float64(gw.core.Counts().Received) / math.Max((gw.sim.now-epoch).Seconds(), span.Seconds()) * span.Seconds()
	gw.sim.result.BudgetUsed = math.Max(gw.sim.result.BudgetUsed, float64(len(gw.retries))/math.Max(budget.Free+budget.Share*rate, 1e-9))
}

// advance runs the endpoint's model up to now and schedules the responses of completed attempts.
func (sim *simulation) advance(ep *endpoint) {
	ep.model.Advance(sim.now, func(j *model.Attempt, at time.Duration) {
		ep.done[j.Volume] += j.Units
		gw := sim.gateways[j.Gateway]
		if ep.doneFor[gw] == nil {
			ep.doneFor[gw], ep.reported[gw] = map[string]float64{}, map[string]float64{}
		}
		ep.doneFor[gw][j.Volume] += j.Units
		v := sim.volumes[j.Volume]
		if sim.meterPeriod > 0 {
			v.units[int64((at-epoch)/sim.meterPeriod)] += j.Units
		}
		sim.at(at+ep.roundTrip/2, func() {
			elsewhere, metered := 0.0, 0.0
			if sim.scenario.Fleet.Rules.TellsElsewhere {
				byOthers := ep.done[j.Volume] - ep.doneFor[gw][j.Volume]
				elsewhere, ep.reported[gw][j.Volume] = math.Max(byOthers-ep.reported[gw][j.Volume], 0), byOthers
			}
			if sim.meterPeriod > 0 {
				if period := int64((sim.now-epoch-sim.meterPeriod/2)/sim.meterPeriod) - 1; period >= 0 {
					metered = 1 + 100*v.units[period]/sim.meterPeriod.Seconds()/math.Max(v.nominal, 1e-9)
				}
			}
			gw.do(func(c *engine.Core) {
				c.AttemptEnded(engine.AttemptReport{Endpoint: ep.name, ID: j.ID, Outcome: policy.Served,
					Load: policy.LoadReport{ServedElsewhere: elsewhere, Utilization: metered}})
			})
		})
	})
}

// scheduleWake schedules the endpoint's next completion, unless an earlier wake-up is pending.
func (sim *simulation) scheduleWake(ep *endpoint) {
	at, ok := ep.model.NextCompletion()
	if !ok || ep.wakeAt >= sim.now && ep.wakeAt <= at && ep.wakeAt > 0 {
		return
	}
	ep.wakeAt = at
	sim.at(at, func() {
		if ep.wakeAt == at && ep.up {
			ep.wakeAt = 0
			sim.advance(ep)
			sim.scheduleWake(ep)
		}
	})
}

// endAttempt reports the end of an attempt to its gateway after half a round trip.
func (sim *simulation) endAttempt(ep *endpoint, gw *gateway, id uint64, outcome policy.Outcome) {
	sim.at(sim.now+ep.roundTrip/2, func() {
		gw.do(func(c *engine.Core) {
			c.AttemptEnded(engine.AttemptReport{Endpoint: ep.name, ID: id, Outcome: outcome})
		})
	})
}

func (conn *connection) Cancel(id uint64) {
	if ep := conn.endpoint; ep != nil {
		conn.gateway.sim.at(conn.gateway.sim.now+ep.roundTrip/2, func() {
			conn.gateway.sim.advance(ep)
			ep.model.Cancel(conn.gateway.index, id, conn.gateway.sim.now)
			conn.gateway.sim.scheduleWake(ep)
		})
	}
}

func (conn *connection) CheckHealth(id uint64) {
	sim, gw, ep := conn.gateway.sim, conn.gateway, conn.endpoint
	outcome := policy.Served
	if ep == nil || !ep.up {
		outcome = policy.ConnectFailed
	}
	if ep != nil {
		sim.at(sim.now+ep.roundTrip, func() { gw.do(func(c *engine.Core) { c.HealthChecked(ep.name, id, outcome) }) })
	}
}

func (conn *connection) RequestGreeting() {
	sim, gw, ep := conn.gateway.sim, conn.gateway, conn.endpoint
	if ep != nil && ep.up {
		sim.at(sim.now+ep.roundTrip, func() {
			gw.do(func(c *engine.Core) {
				c.Greeted(engine.Greeting{Endpoint: ep.name, Address: ep.address, HasAge: true, Age: sim.now - ep.started})
			})
		})
	}
}

func (conn *connection) Withdraw(uint64) bool { return false }
func (conn *connection) Abandon(uint64)       {}
func (conn *connection) Close()               {}

// RequestEndpointList does nothing: gateways receive a list when an endpoint changes.
func (gw *gateway) RequestEndpointList() {}

// SendGossip does nothing: gossip between gateways is not simulated.
func (gw *gateway) SendGossip([]byte) {}

func (gw *gateway) SendMembership(string, membership.Message)                   {}
func (gw *gateway) SendEndpoints(string, time.Duration, []endpointstate.Report) {}
func (gw *gateway) MembersChanged([]membership.Member)                          {}
func (gw *gateway) Log(string)                                                  {}
