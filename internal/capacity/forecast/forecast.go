// Package forecast plays wanted commands against a fleet in virtual time: host loops with the module in them, as they serve,
// over bricks as learnt from a capture. One seed gives one run. It has no I/O, clock or goroutine.
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

// Event is a brick or a host that goes or comes.
type Event struct {
	At          time.Duration
	Brick, Host string
	Down        bool // else what replaces it comes up: a brick cold, in the same cell
	Silent      bool // no list tells of it: hosts find out by themselves
}

// Scenario is what is played.
type Scenario struct {
	Fleet  *pb.CapacityFleet
	Model  *pb.CapacityModel
	Wants  []demand.Request // by time
	Events []Event
	Seed   int64
	// Notice is how late hosts hear of what came or went. 0: 300 ms.
	Notice time.Duration
	// Block is the length by which results are kept apart. 0: 1 s.
	Block time.Duration
	// Start makes the module; nil: the module itself.
	Start func(policy.Runtime, policy.Settings) engine.Scheduler
	// Tap hears what a host would have captured; nil: nothing.
	Tap func(host string) engine.Observer
}

// Key is a plan and a queue type.
type Key struct{ Plan, Type string }

// Tally is what came of wants.
type Tally struct {
	Wanted, InTarget, Late, Busy, Aborted, Left int
	Asked                                       int
	Took                                        []time.Duration // of the completed, since the first asking
}

// Add puts one to the other.
func (t *Tally) Add(o *Tally) {
	t.Wanted += o.Wanted
	t.InTarget += o.InTarget
	t.Late += o.Late
	t.Busy += o.Busy
	t.Aborted += o.Aborted
	t.Left += o.Left
	t.Asked += o.Asked
	t.Took = append(t.Took, o.Took...)
}

// Part is the part of the wants that was completed within the service target.
func (t *Tally) Part() float64 {
	if n := t.Wanted - t.Left; n > 0 {
		return float64(t.InTarget) / float64(n)
	}
	return 1
}

// Quantile is of the time until the completed had their answer.
func (t *Tally) Quantile(q float64) time.Duration {
	if len(t.Took) == 0 {
		return 0
	}
	all := slices.Clone(t.Took)
	slices.Sort(all)
	return all[min(int(q*float64(len(all))), len(all)-1)]
}

// Use is how much of a resource was used in each block, as a part.
type Use struct {
	Name, Zone string
	By         []float64
	Done       []float64 // of bricks: what was done, as a part of what a warm one does
}

// Mean is the mean over the blocks; 0 without any.
func (u *Use) Mean() (m float64) {
	for _, x := range u.By {
		m += x / float64(len(u.By))
	}
	return m
}

// Peak is the greatest of the blocks; 0 without any.
func (u *Use) Peak() float64 {
	if len(u.By) == 0 {
		return 0
	}
	return slices.Max(u.By)
}

// Result is what came of it.
type Result struct {
	Blocks     []map[Key]*Tally
	Bricks     []Use // of the cores
	Hosts      []Use // commands a second as a part of what the host carries; 0 where it states none
	Volumes    map[string][]float64
	Dispatches int64
	Further    int64
	Commands   int64
	Turned     int
	Fell       int
	Pressure   float64 // most on a cold brick, as a part of what pushes it over
	Budget     float64 // most used by a host, as a part of its budget of further dispatches
	InFlight   int     // most held by one host
	Span       time.Duration
}

// Whole adds up all blocks, by plan and queue type.
func (r *Result) Whole() map[Key]*Tally {
	all := map[Key]*Tally{}
	for _, b := range r.Blocks {
		for k, t := range b {
			if all[k] == nil {
				all[k] = &Tally{}
			}
			all[k].Add(t)
		}
	}
	return all
}

// Total adds up everything.
func (r *Result) Total() *Tally {
	all := &Tally{}
	for _, b := range r.Blocks {
		keys := make([]Key, 0, len(b))
		for k := range b {
			keys = append(keys, k)
		}
		slices.SortFunc(keys, func(a, b Key) int { return cmp.Or(cmp.Compare(a.Plan, b.Plan), cmp.Compare(a.Type, b.Type)) })
		for _, k := range keys {
			all.Add(b[k])
		}
	}
	return all
}

const epoch = 1000 * time.Hour // of the virtual clock, so that a start long ago has a place on it

type event struct {
	at  time.Duration
	seq uint64
	f   func()
}
type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	o := *e
	x := o[len(o)-1]
	o[len(o)-1] = event{}
	*e = o[:len(o)-1]
	return x
}

type world struct {
	s       Scenario
	rng     *rand.Rand
	now     time.Duration
	seq     uint64
	events  events
	hosts   []*host
	byHost  map[string]*host
	bricks  []*brick // in the order of the description; the one there now
	kinds   map[string]*pb.CapacityModel_KindModel
	servers map[string]*pb.ServerKind
	writes  map[string]bool
	targets map[string]time.Duration
	volumes map[string]*volume
	meter   time.Duration
	mean    float64
	serial  int
	list    int64
	r       *Result
}

type volume struct {
	plan    string
	hosts   int
	at      []*host
	nominal float64
	units   map[int64]float64 // by period of the meter
}

type brick struct {
	w       *world
	no      int // its place in the description
	name    string
	address string
	m       *model.Endpoint
	up      bool
	started time.Duration
	way     time.Duration
	errors  float64
	told    map[*host]map[string]float64 // what was done through others, when it last told this host
	own     map[*host]map[string]float64
	done    map[string]float64
	wake    time.Duration
	used    time.Duration
	made    time.Duration
	silent  bool
}

type host struct {
	w     *world
	no    int
	line  *pb.HostLine
	core  *engine.Core
	up    bool
	wake  time.Duration
	taken int
	again []time.Duration // further dispatches, for the budget
}

// Run plays a scenario to its end.
func Run(s Scenario) (*Result, error) {
	w, err := build(s)
	if err != nil {
		return nil, err
	}
	end := time.Duration(0)
	for i := range s.Wants {
		end = max(end, s.Wants[i].Arrival+s.Wants[i].Timeout)
		w.after(s.Wants[i].Arrival, func() { w.want(&s.Wants[i]) })
	}
	for _, e := range s.Events {
		w.after(e.At, func() { w.strike(e) })
	}
	blocks := int((end + s.Wants[len(s.Wants)-1].Timeout) / w.s.Block)
	for i := range blocks {
		w.after(time.Duration(i+1)*w.s.Block, func() { w.sample() })
	}
	w.r.Span = end
	for len(w.events) > 0 && w.events[0].at <= epoch+end+2*time.Second {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.f()
	}
	for _, h := range w.hosts {
		w.count(h)
	}
	for _, b := range w.bricks {
		w.r.Pressure, w.r.Turned = math.Max(w.r.Pressure, b.m.PeakColdLoad), w.r.Turned+b.m.Rejected
	}
	keep := int(s.Wants[len(s.Wants)-1].Arrival/w.s.Block) + 1 // uses are told for as long as there is load
	for i := range w.r.Bricks {
		b := &w.r.Bricks[i]
		b.By, b.Done = b.By[:min(keep, len(b.By))], b.Done[:min(keep, len(b.Done))]
	}
	return w.r, nil
}

func build(s Scenario) (*world, error) {
	f := s.Fleet
	if len(s.Wants) == 0 {
		return nil, fmt.Errorf("no load to play: the capture holds no command")
	}
	if len(f.Brick) == 0 || len(f.Host) == 0 {
		return nil, fmt.Errorf("the fleet has %d bricks and %d hosts; it needs one of each", len(f.Brick), len(f.Host))
	}
	if s.Notice == 0 {
		s.Notice = 300 * time.Millisecond
	}
	if s.Block == 0 {
		s.Block = time.Second
	}
	if s.Start == nil {
		s.Start = func(h policy.Runtime, p policy.Settings) engine.Scheduler { return policy.New(h, p) }
	}
	w := &world{s: s, rng: rand.New(rand.NewSource(s.Seed)), now: epoch, byHost: map[string]*host{},
		kinds: map[string]*pb.CapacityModel_KindModel{}, servers: map[string]*pb.ServerKind{}, writes: map[string]bool{},
		targets: map[string]time.Duration{}, volumes: map[string]*volume{}, meter: settings.Duration(f.Rules.Meter, 0),
		r: &Result{Volumes: map[string][]float64{}}}
	for _, q := range f.QueueType {
		w.writes[q.Name], w.targets[q.Name] = q.Writes, settings.Duration(q.ServiceTarget, 0)
	}
	for _, k := range f.Kind {
		w.servers[k.Name] = k
	}
	for _, k := range s.Model.Kind {
		w.kinds[k.Name] = k
	}
	units, samples := 0.0, 0.0
	for _, k := range s.Model.Kind {
		for _, x := range k.Work {
			units += (x.Unit + x.Base/math.Max(f.Rules.UsualUnits, 1)) * float64(x.Samples)
			samples += float64(x.Samples)
		}
	}
	w.mean = units / math.Max(samples, 1)
	nominal := map[string]float64{}
	for _, p := range f.Plan {
		nominal[p.Name] = p.Nominal
	}
	for _, v := range f.Volume {
		w.volumes[v.Name] = &volume{plan: v.Plan, hosts: int(v.Hosts)}
	}
	for i, l := range f.Host {
		h := &host{w: w, no: i, line: l, up: true}
		w.hosts, w.byHost[l.Name] = append(w.hosts, h), h
		w.r.Hosts = append(w.r.Hosts, Use{Name: l.Name, Zone: l.Zone})
	}
	for i := range s.Wants {
		x := &s.Wants[i]
		v := w.volumes[x.Volume]
		if v == nil {
			v = &volume{plan: x.Plan}
			w.volumes[x.Volume] = v
		}
		h := w.byHost[x.Gateway]
		if h == nil { // a fleet described without that host: its clients come through another one
			h = w.hosts[int(hash(x.Gateway+x.Volume)%uint64(len(w.hosts)))]
		}
		if !slices.Contains(v.at, h) {
			v.at = append(v.at, h)
		}
	}
	for _, v := range w.volumes {
		v.nominal = nominal[v.plan]
		if v.hosts = max(v.hosts, len(v.at)); v.hosts == 0 {
			v.hosts = 1
		}
		v.units = map[int64]float64{}
	}
	for i, l := range f.Brick {
		b, err := w.raise(i, l.Name, false)
		if err != nil {
			return nil, err
		}
		w.bricks = append(w.bricks, b)
		w.r.Bricks = append(w.r.Bricks, Use{Name: l.Name, Zone: l.Zone})
	}
	for _, h := range w.hosts {
		if err := w.boot(h); err != nil {
			return nil, err
		}
	}
	return w, nil
}

func hash(s string) (h uint64) {
	h = 14695981039346656037
	for i := range len(s) {
		h = (h ^ uint64(s[i])) * 1099511628211
	}
	return h
}

// raise brings a brick up in a place of the description.
func (w *world) raise(no int, name string, cold bool) (*brick, error) {
	l := w.s.Fleet.Brick[no]
	server := w.servers[l.Kind]
	if server == nil {
		return nil, fmt.Errorf("brick %s is of kind %q, which the fleet does not describe", l.Name, l.Kind)
	}
	k, speed := w.kinds[l.Kind], 1.0
	if k == nil { // the capture shows none of this kind: as the others work, at the speed stated
		if len(w.s.Model.Kind) == 0 {
			return nil, fmt.Errorf("the model knows no kind of brick; learn it from a capture with completed dispatches")
		}
		k = w.s.Model.Kind[0]
		if server.Speed > 0 {
			speed = server.Speed
		}
	}
	for _, x := range w.s.Model.Brick {
		if x.Name == l.Name && x.Kind == l.Kind && x.Speed > 0 {
			speed = x.Speed
		}
	}
	f := w.s.Fleet.Rules
	c := model.Config{Name: name, Zone: l.Zone, Shard: int(l.Cell), Kind: k, Cores: int(server.Cores), QueueLimit: int(server.Queue), Speed: speed,
		CancelMode: server.Cancel, DropsExpired: server.DropsExpired, Writes: w.writes, OverloadMultiple: f.FallMultiple, Seed: w.rng.Int63(), Start: w.now,
		MeanUnitWork: w.mean}
	started := time.Duration(0)
	if cold {
		c.SlowStartInitial, c.SlowStartDuration, c.OverloadWindow = f.ColdFrom, settings.Duration(f.ColdFor, 0), settings.Duration(f.FallAfter, 0)
		started = w.now
	}
	w.serial++
	b := &brick{w: w, no: no, name: name, address: fmt.Sprintf("brick:%d", w.serial), m: model.New(c), up: true, started: started,
		way: max(time.Duration(k.Way*float64(time.Second)), 20*time.Microsecond), errors: k.Errors, told: map[*host]map[string]float64{},
		own: map[*host]map[string]float64{}, done: map[string]float64{}}
	return b, nil
}

// boot starts a host's loop.
func (w *world) boot(h *host) error {
	f := w.s.Fleet
	e := &pb.Edge{Name: h.line.Name, Ordinal: uint32(h.no), Hosts: uint32(len(w.hosts)), Zone: h.line.Zone, Fleet: f.Rules, QueueType: f.QueueType,
		Plan: f.Plan, Seed: w.rng.Int63()%(1<<40) + 1}
	rules, err := settings.EndpointRules(e)
	if err != nil {
		return err
	}
	h.core = engine.New(settings.Policy(e, 1), rules, w.s.Start, h, w.volumeOf, 250*time.Millisecond, w.now)
	h.up, h.wake = true, 0
	if w.s.Tap != nil {
		h.core.Observe(w.s.Tap(h.line.Name))
	}
	h.list(true)
	h.next()
	return nil
}

func (w *world) volumeOf(name string) (string, int, bool) {
	v := w.volumes[name]
	if v == nil {
		return "", 0, false
	}
	return v.plan, v.hosts, true
}

func (w *world) after(d time.Duration, f func()) { // from the epoch of the scenario
	w.at(epoch+d, f)
}

func (w *world) at(at time.Duration, f func()) {
	w.seq++
	heap.Push(&w.events, event{max(at, w.now), w.seq, f})
}

// in runs f in a host's loop, at the present time.
func (h *host) in(f func(c *engine.Core)) {
	if !h.up {
		return
	}
	h.core.Advance(h.w.now)
	f(h.core)
	h.next()
}

// next wakes the loop for its next timer.
func (h *host) next() {
	at, ok := h.core.NextTimer()
	if !ok || h.wake > h.w.now && h.wake <= at {
		return
	}
	h.wake = max(at, h.w.now)
	wake := h.wake
	h.w.at(wake, func() {
		if h.wake == wake && h.up {
			h.wake = 0
			h.in(func(*engine.Core) {})
		}
	})
}

// list tells a host what there is.
func (h *host) list(whole bool) {
	var lines []engine.EndpointEntry
	for _, b := range h.w.bricks {
		l := h.w.s.Fleet.Brick[b.no]
		x := engine.EndpointEntry{Name: b.name, Address: b.address, Zone: l.Zone, Shard: int(l.Cell), Serving: b.up || b.silent, Removed: !b.up && !b.silent, HasAge: true,
			Age: h.w.now - b.started}
		lines = append(lines, x)
	}
	h.w.list++
	h.core.EndpointList(endpointstate.Generation{Epoch: "list", Number: h.w.list}, whole, lines)
}

// strike takes something away, or brings it back.
func (w *world) strike(e Event) {
	if e.Host != "" {
		h := w.byHost[e.Host]
		if h == nil {
			return
		}
		if e.Down && h.up {
			w.count(h)
			h.up = false
			h.core.Stop()
		} else if !e.Down && !h.up {
			_ = w.boot(h) // the settings started this gateway once already
		}
		return
	}
	for i, b := range w.bricks {
		if w.s.Fleet.Brick[b.no].Name != e.Brick {
			continue
		}
		if e.Down && b.up {
			w.fall(b)
			if b.silent = e.Silent; e.Silent {
				return
			}
		} else if !e.Down && !b.up {
			old := b
			name := b.name
			if !e.Silent { // a new one; else the same one again
				name = fmt.Sprintf("%s.%d", w.s.Fleet.Brick[b.no].Name, w.serial)
			}
			n, err := w.raise(b.no, name, true)
			if err != nil {
				return
			}
			n.used, n.made = old.used, old.made
			n.m.BusyTime, n.m.WarmBusyTime = old.used, old.made
			w.r.Pressure, w.r.Turned = math.Max(w.r.Pressure, old.m.PeakColdLoad), w.r.Turned+old.m.Rejected
			w.bricks[i] = n
		}
		w.tell()
		return
	}
}

// fall ends a brick with what it holds.
func (w *world) fall(b *brick) {
	b.up = false
	for _, j := range b.m.Attempts() {
		w.end(b, w.hosts[j.Gateway], j.ID, policy.ConnectionReset)
	}
}

// tell lets all hosts hear of the present list, each a little later than the other.
func (w *world) tell() {
	for _, h := range w.hosts {
		w.at(w.now+w.s.Notice/2+time.Duration(w.rng.Int63n(int64(w.s.Notice))), func() {
			h.in(func(*engine.Core) { h.list(true) })
		})
	}
}

// sample keeps apart what was used until now.
func (w *world) sample() {
	for i, b := range w.bricks {
		cores := float64(b.m.Config().Cores) * w.s.Block.Seconds()
		w.r.Bricks[i].By = append(w.r.Bricks[i].By, (b.m.BusyTime-b.used).Seconds()/cores)
		w.r.Bricks[i].Done = append(w.r.Bricks[i].Done, (b.m.WarmBusyTime-b.made).Seconds()/cores)
		b.used, b.made = b.m.BusyTime, b.m.WarmBusyTime
	}
	for i, h := range w.hosts {
		x := 0.0
		if h.line.Commands > 0 {
			x = float64(h.taken) / w.s.Block.Seconds() / h.line.Commands
		}
		w.r.Hosts[i].By = append(w.r.Hosts[i].By, x)
		h.taken = 0
	}
}

func (w *world) count(h *host) {
	if h.up {
		n := h.core.Counts()
		w.r.Dispatches += n.Attempts
		w.r.Further += n.Retries
		w.r.Commands += n.Received
	}
}

// A client's want while it is open.
type open struct {
	w     *demand.Request
	first time.Duration
	until time.Duration
	asked int
	task  *engine.Request
	over  bool
	host  *host
	tally *Tally
}

func (w *world) tally(at time.Duration, k Key) *Tally {
	for n := int((at - epoch) / w.s.Block); len(w.r.Blocks) <= n; {
		w.r.Blocks = append(w.r.Blocks, map[Key]*Tally{})
	}
	b := w.r.Blocks[int((at-epoch)/w.s.Block)]
	if b[k] == nil {
		b[k] = &Tally{}
	}
	return b[k]
}

func (w *world) want(x *demand.Request) {
	v := w.volumes[x.Volume]
	h := w.byHost[x.Gateway]
	if h == nil {
		h = v.at[int(hash(x.Gateway+x.Volume)%uint64(len(v.at)))]
	}
	o := &open{w: x, first: w.now, until: w.now + x.Timeout, host: h, tally: w.tally(w.now, Key{x.Plan, x.Class})}
	o.tally.Wanted++
	if x.CancelAfter > 0 {
		w.at(w.now+x.CancelAfter, func() {
			if !o.over {
				o.over = true
				o.tally.Left++
				o.host.in(func(c *engine.Core) { c.ClientDisconnected(o.task) })
			}
		})
	}
	w.ask(o)
}

// ask asks once; a client whose host is away goes to another that serves.
func (w *world) ask(o *open) {
	if o.over {
		return
	}
	if !o.host.up && w.clients().GetStays() {
		o.asked++
		w.again(o, 0)
		return
	}
	if !o.host.up {
		for i := range w.hosts {
			if h := w.hosts[(o.host.no+i)%len(w.hosts)]; h.up {
				o.host = h
				break
			}
		}
		if !o.host.up {
			w.over(o, engine.Failed)
			return
		}
	}
	o.asked++
	o.tally.Asked++
	x, h := o.w, o.host
	h.taken++
	cell := x.Shard
	o.task = &engine.Request{Volume: x.Volume, Class: x.Class, Object: fmt.Sprintf("%x", x.Object), Shard: cell, Units: x.Units,
		Timeout: o.until - w.now, Retry: o.asked > 1 && w.s.Fleet.Rules.ClientsMarkRepeats}
	o.task.Respond = func(a engine.Response) { w.answered(o, a) }
	h.in(func(c *engine.Core) {
		c.Submit(o.task)
		w.r.InFlight = max(w.r.InFlight, c.Counts().Open)
	})
	asked := o.asked
	w.at(o.until, func() { // it gives up, with or without an answer on its way
		if !o.over && o.asked == asked {
			w.over(o, engine.Failed)
		}
	})
}

func (w *world) answered(o *open, a engine.Response) {
	if o.over {
		return
	}
	if a.Result == engine.Served {
		w.over(o, a.Result)
		return
	}
	if !a.MayHaveRun && w.again(o, a.RetryAfter) {
		return
	}
	w.over(o, a.Result)
}

// clients is how they behave: as the capture shows, or as the description says where it shows nothing.
func (w *world) clients() *pb.CapacityModel_ClientModel {
	if c := w.s.Model.Client; c.GetRepeats() > 0 || w.s.Fleet.Client == nil {
		return c
	}
	return w.s.Fleet.Client
}

// again lets a client ask once more; false: it does not.
func (w *world) again(o *open, pause time.Duration) bool {
	c := w.clients()
	wait := max(time.Duration(c.GetWait()*float64(time.Second)), pause, time.Millisecond)
	most := 8
	if c.GetMost() > 0 {
		most = int(c.GetMost())
	}
	if c.GetRepeats() <= 0 || w.now+wait >= o.until || w.rng.Float64() >= c.GetRepeats() || o.asked > most {
		if !o.over && !o.host.up {
			w.over(o, engine.Failed)
		}
		return false
	}
	w.at(w.now+wait, func() { w.ask(o) })
	return true
}

func (w *world) over(o *open, how engine.Result) {
	o.over = true
	took := w.now - o.first
	switch {
	case how == engine.Served && took <= w.targets[o.w.Class]:
		o.tally.InTarget++
	case how == engine.Served:
		o.tally.Late++
	case how == engine.Rejected:
		o.tally.Busy++
	default:
		o.tally.Aborted++
	}
	if how == engine.Served {
		o.tally.Took = append(o.tally.Took, took)
	}
}

// line is a host's way to one brick.
type line struct {
	h    *host
	b    *brick
	name string
}

func (h *host) Connect(name, address string) engine.EndpointConn {
	for _, b := range h.w.bricks {
		if b.address == address {
			return &line{h, b, name}
		}
	}
	return &line{h, nil, name}
}

func (l *line) Send(id uint64, t *engine.Request, n int, left, _ time.Duration) {
	w, b, h := l.h.w, l.b, l.h
	if n > 0 {
		h.budget()
	}
	if b == nil || !b.up {
		w.at(w.now+20*time.Microsecond, func() {
			h.in(func(c *engine.Core) {
				c.AttemptEnded(engine.AttemptReport{Endpoint: l.name, ID: id, Outcome: policy.ConnectFailed})
			})
		})
		return
	}
	j := &model.Attempt{ID: id, Gateway: h.no, Class: t.Class, Volume: t.Volume, Units: t.Units, Object: object(t.Object), First: n == 0, Deadline: w.now + left}
	w.at(w.now+b.way/2, func() {
		if !b.up {
			w.end(b, h, id, policy.ConnectionReset)
			return
		}
		w.work(b)
		switch {
		case b.errors > 0 && w.rng.Float64() < b.errors:
			w.end(b, h, id, policy.ErrorResponse)
		case !b.m.Arrive(j, w.now):
			if b.m.Crashed {
				w.r.Fell++
				w.fall(b)
				w.tell()
				w.end(b, h, id, policy.ConnectionReset)
			} else {
				w.end(b, h, id, policy.Rejected)
			}
		}
		w.rouse(b)
	})
}

func object(s string) (n uint64) {
	_, _ = fmt.Sscanf(s, "%x", &n) // 0 for a name that is no number
	return n
}

// budget keeps the most that a host used of its budget of further dispatches.
func (h *host) budget() {
	b := h.w.s.Fleet.Rules.Budget
	if b == nil {
		return
	}
	span := settings.Duration(b.Span, time.Second)
	h.again = append(h.again, h.w.now)
	for len(h.again) > 0 && h.w.now-h.again[0] > span {
		h.again = h.again[1:]
	}
	rate := float64(h.core.Counts().Received) / math.Max((h.w.now-epoch).Seconds(), span.Seconds()) * span.Seconds()
	h.w.r.Budget = math.Max(h.w.r.Budget, float64(len(h.again))/math.Max(b.Free+b.Share*rate, 1e-9))
}

// work lets a brick do what it has done by now.
func (w *world) work(b *brick) {
	b.m.Advance(w.now, func(j *model.Attempt, at time.Duration) {
		b.done[j.Volume] += j.Units
		h := w.hosts[j.Gateway]
		if b.own[h] == nil {
			b.own[h], b.told[h] = map[string]float64{}, map[string]float64{}
		}
		b.own[h][j.Volume] += j.Units
		v := w.volumes[j.Volume]
		if w.meter > 0 {
			v.units[int64((at-epoch)/w.meter)] += j.Units
		}
		w.at(at+b.way/2, func() {
			elsewhere, metered := 0.0, 0.0
			if w.s.Fleet.Rules.TellsElsewhere {
				other := b.done[j.Volume] - b.own[h][j.Volume]
				elsewhere, b.told[h][j.Volume] = math.Max(other-b.told[h][j.Volume], 0), other
			}
			if w.meter > 0 {
				if no := int64((w.now-epoch-w.meter/2)/w.meter) - 1; no >= 0 {
					metered = 1 + 100*v.units[no]/w.meter.Seconds()/math.Max(v.nominal, 1e-9)
				}
			}
			h.in(func(c *engine.Core) {
				c.AttemptEnded(engine.AttemptReport{Endpoint: b.name, ID: j.ID, Outcome: policy.Served,
					Load: policy.LoadReport{ServedElsewhere: elsewhere, Utilization: metered}})
			})
		})
	})
}

// rouse wakes a brick for what is done next.
func (w *world) rouse(b *brick) {
	at, ok := b.m.NextCompletion()
	if !ok || b.wake >= w.now && b.wake <= at && b.wake > 0 {
		return
	}
	b.wake = at
	w.at(at, func() {
		if b.wake == at && b.up {
			b.wake = 0
			w.work(b)
			w.rouse(b)
		}
	})
}

func (w *world) end(b *brick, h *host, id uint64, how policy.Outcome) {
	w.at(w.now+b.way/2, func() {
		h.in(func(c *engine.Core) { c.AttemptEnded(engine.AttemptReport{Endpoint: b.name, ID: id, Outcome: how}) })
	})
}

func (l *line) Cancel(id uint64) {
	if b := l.b; b != nil {
		l.h.w.at(l.h.w.now+b.way/2, func() {
			l.h.w.work(b)
			b.m.Cancel(l.h.no, id, l.h.w.now)
			l.h.w.rouse(b)
		})
	}
}

func (l *line) CheckHealth(id uint64) {
	w, h, b := l.h.w, l.h, l.b
	how := policy.Served
	if b == nil || !b.up {
		how = policy.ConnectFailed
	}
	if b != nil {
		w.at(w.now+b.way, func() { h.in(func(c *engine.Core) { c.HealthChecked(b.name, id, how) }) })
	}
}

func (l *line) RequestGreeting() {
	w, h, b := l.h.w, l.h, l.b
	if b != nil && b.up {
		w.at(w.now+b.way, func() {
			h.in(func(c *engine.Core) {
				c.Greeted(engine.Greeting{Endpoint: b.name, Address: b.address, HasAge: true, Age: w.now - b.started})
			})
		})
	}
}

func (l *line) Withdraw(uint64) bool { return false }
func (l *line) Abandon(uint64)       {}
func (l *line) Close()               {}

func (h *host) RequestEndpointList() {}

// SendGossip does nothing: gossip between gateways is not simulated.
func (h *host) SendGossip([]byte) {}

func (h *host) SendMembership(string, membership.Message)                   {}
func (h *host) SendEndpoints(string, time.Duration, []endpointstate.Report) {}
func (h *host) MembersChanged([]membership.Member)                          {}
func (h *host) Log(string)                                                  {}
