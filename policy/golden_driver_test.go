package policy

import (
	"container/heap"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"hash"
	"math/rand"
	"slices"
	"time"
)

// The golden driver plays a seeded day in virtual time: clients, storage endpoints with faults, list events, health
// checks, gossip and restarts, all of our own making. It keeps a digest of every call that the module makes, with its
// time and its order. Log text is left out.

// goldenDay is one row of the golden test.
type goldenDay struct {
	name   string
	story  string
	seed   int64
	tune   func(*Settings)
	load   load
	faults []fault
	digest string
}

// load says what clients ask for and how often things happen beside the requests.
type load struct {
	length       time.Duration
	perSecond    float64
	endpoints    int
	shards       int
	objects      int
	anyShard     float64       // share of requests that any endpoint may serve
	leaves       float64       // share of clients that close early
	streams      float64       // share of answers that stream
	repeats      float64       // share of rejected requests that come again
	impatient    float64       // share of requests with a short time-out
	lateBoots    bool          // endpoints come back after a while, with a new start
	membership   bool          // the number of gateways changes
	reportsUsage bool          // answers tell the volume's use over all gateways
	workers      int           // of each endpoint, where not two to four
	pauses       bool          // nobody asks for seven seconds of each ten
	perUnit      time.Duration // work of a unit; 0: 8 ms
	unknown      float64       // share of requests with a plan that nobody knows
	warming      bool          // all endpoints started shortly before this gateway
}

// fault is something wrong with a share of the endpoints for a while.
type fault struct {
	kind     faultKind
	share    float64 // of the endpoints
	from, to time.Duration
}

type faultKind int

const (
	slow faultKind = iota
	hanging
	full
	unreachable
	resetting
	erring
	losing // some answers arrive late or never
	draining
	restarting
	vanishing // taken off the list without a drain
	listDown
)

// storage is one storage endpoint as the driver plays it.
type storage struct {
	node    Endpoint
	shard   int
	workers []time.Duration // busy until
	state   map[faultKind]bool
	serving bool
	boot    time.Duration
}

// sent is an attempt that the module began.
type sent struct {
	attempt *Attempt
	to      *storage
	at      time.Duration
	ended   bool
}

// asked is a request that a client made.
type asked struct {
	cmd      Request
	class    string
	plan     string
	object   string
	shard    int
	units    float64
	deadline time.Duration
	answered bool
	begun    bool
	tries    int
	out      []*sent
}

type event struct {
	at  time.Duration
	seq int
	run func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// world is the runtime that the module sees on a golden day.
type world struct {
	day     goldenDay
	now     time.Duration
	seq     int
	queue   events
	rng     *rand.Rand
	module  *Scheduler
	set     Settings
	nodes   []*storage
	byName  map[string]*storage
	volumes map[string]*Volume
	asked   map[int64]*asked
	lastID  int64
	digest  hash.Hash
	calls   map[string]int
}

// play runs a day and returns its digest and how often the module made each call.
func play(day goldenDay) (string, map[string]int) {
	w := &world{day: day, now: time.Hour, rng: rand.New(rand.NewSource(day.seed)), set: goldenSettings(day.seed),
		byName: map[string]*storage{}, volumes: map[string]*Volume{}, asked: map[int64]*asked{}, digest: sha256.New(),
		calls: map[string]int{}}
	day.tune(&w.set)
	w.module = New(w, w.set)
	for i := range day.load.endpoints {
		boot := time.Duration(0)
		if day.load.warming {
			boot = w.now - time.Duration(i+1)*300*time.Millisecond
		}
		w.addStorage(fmt.Sprintf("n%d", i), i%day.load.shards, boot)
	}
	w.list(true)
	w.after(0, w.arrival)
	for _, f := range day.faults {
		w.after(f.from, func() { w.begin(f) })
	}
	if day.load.membership {
		w.after(3*time.Second, w.changeMembership)
	}
	for end := w.now + day.load.length; len(w.queue) > 0 && w.queue[0].at <= end; {
		e := heap.Pop(&w.queue).(event)
		w.now = max(w.now, e.at)
		e.run()
	}
	return hex.EncodeToString(w.digest.Sum(nil)[:12]), w.calls
}

func (w *world) after(wait time.Duration, run func()) {
	w.seq++
	heap.Push(&w.queue, event{w.now + max(wait, 0), w.seq, run})
}

// record takes a call of the module into the digest.
func (w *world) record(call string, args ...any) {
	w.calls[call]++
	fmt.Fprintln(w.digest, append([]any{int64(w.now), call}, args...)...)
}

func (w *world) Now() time.Duration { return w.now }

func (w *world) After(wait time.Duration, f func()) {
	w.record("after", int64(wait))
	w.after(wait, f)
}

func (w *world) Send(d *Attempt) {
	w.record("attempt", d.Request.ID, d.Number, d.Endpoint.Name, int64(d.StartBy), 0)
	a, to := w.asked[d.Request.ID], w.byName[d.Endpoint.Name]
	s := &sent{attempt: d, to: to, at: w.now}
	a.out = append(a.out, s)
	w.after(a.deadline-w.now, func() { w.end(a, s, TimedOut) })
	w.serveAttempt(a, s)
}

func (w *world) Reject(c *Request, pause time.Duration) {
	w.record("reject", c.ID, int64(pause))
	a := w.asked[c.ID]
	a.answered = true
	if w.rng.Float64() < w.day.load.repeats && a.tries < 3 {
		w.after(max(pause, 20*time.Millisecond), func() { w.ask(a.class, a.plan, a.object, a.shard, a.units, a.tries+1) })
	}
}

func (w *world) Fail(c *Request) {
	w.record("fail", c.ID)
	w.asked[c.ID].answered = true
}

func (w *world) Cancel(d *Attempt) {
	w.record("cancel", d.Request.ID, d.Number)
	a := w.asked[d.Request.ID]
	for _, s := range a.out {
		if s.attempt == d {
			how := Canceled
			if w.rng.Intn(4) == 0 && w.now-s.at < 20*time.Millisecond {
				how = NotSent
			}
			w.after(0, func() { w.end(a, s, how) })
		}
	}
}

func (w *world) RequestEndpointList() {
	w.record("watch", true)
	w.after(30*time.Millisecond, func() {
		if w.faulty(listDown) {
			w.module.EndpointListFailed()
			return
		}
		w.list(true)
	})
}

func (w *world) CheckHealth(b *Endpoint) {
	w.record("check", b.Name)
	to := w.byName[b.Name]
	wait, how := w.latency(to, 0.1), Served
	switch {
	case to.state[hanging]:
		wait, how = time.Second, TimedOut
	case to.state[unreachable]:
		wait, how = 2*time.Millisecond, ConnectFailed
	}
	w.after(wait, func() { w.module.HealthChecked(b, how, wait) })
}

func (w *world) SendGossip(message []byte)   { w.record("tell", -1, string(message)) }
func (w *world) Log(string)                  {}
func (w *world) chance(share float64) bool   { return w.rng.Float64() < share }
func (w *world) any(list []string) string    { return list[w.rng.Intn(len(list))] }
func (w *world) jitter() time.Duration       { return time.Duration(w.rng.Intn(3000)) * time.Microsecond }
func (w *world) faulty(kind faultKind) bool  { return len(w.nodes) > 0 && w.nodes[0].state[kind] }
func (w *world) spread(mean float64) float64 { return mean * w.rng.ExpFloat64() }

// latency takes a worker of the endpoint for so many units and returns when they are done, from now.
func (w *world) latency(to *storage, units float64) time.Duration {
	perUnit := 8 * time.Millisecond
	if w.day.load.perUnit > 0 {
		perUnit = w.day.load.perUnit
	}
	if to.state[slow] {
		perUnit *= 9
	}
	if w.set.SlowStartTime > 0 && w.now-to.boot < w.set.SlowStartTime && to.boot > 0 {
		perUnit *= 2
	}
	first := 0
	for i, busy := range to.workers {
		if busy < to.workers[first] {
			first = i
		}
	}
	begin := max(w.now, to.workers[first])
	to.workers[first] = begin + time.Duration(float64(perUnit)*units*(0.6+0.8*w.rng.Float64()))
	return to.workers[first] - w.now + w.jitter()
}

// serveAttempt plays what the endpoint does with an attempt.
func (w *world) serveAttempt(a *asked, s *sent) {
	to := s.to
	switch {
	case to.state[unreachable]:
		w.after(w.jitter(), func() { w.end(a, s, ConnectFailed) })
	case to.state[hanging]:
	case to.state[full] && w.chance(0.8):
		w.after(w.jitter(), func() { w.end(a, s, Rejected) })
	case to.state[resetting] && w.chance(0.5):
		w.after(4*w.jitter(), func() { w.end(a, s, ConnectionReset) })
	case to.state[erring] && w.chance(0.6):
		w.after(w.jitter(), func() { w.end(a, s, ErrorResponse) })
	case to.state[losing] && w.chance(0.3):
		if w.chance(0.5) { // on its way for long, but not lost
			w.after(time.Duration(400+w.rng.Intn(500))*time.Millisecond, func() { w.end(a, s, Served) })
		}
	default:
		wait := w.latency(to, a.units)
		if w.chance(w.day.load.streams) {
			w.after(wait/2, func() { w.stream(a, s) })
		}
		w.after(wait, func() { w.end(a, s, Served) })
	}
}

func (w *world) stream(a *asked, s *sent) {
	if s.ended || a.answered || a.begun {
		return
	}
	a.begun = true
	w.module.ResponseStarted(s.attempt)
}

// end tells the module of an attempt's one outcome.
func (w *world) end(a *asked, s *sent, how Outcome) {
	if s.ended || how == TimedOut && a.begun && !a.answered {
		return
	}
	s.ended = true
	a.out = slices.DeleteFunc(a.out, func(o *sent) bool { return o == s })
	if how == Served || a.begun {
		a.answered = true
	}
	elsewhere, meter := 0.0, 0.0
	if w.day.load.reportsUsage && (how == Served || how == ErrorResponse) {
		elsewhere = w.spread(20)
		if w.chance(0.3) {
			meter = 1 + 150*w.rng.Float64()
		}
	}
	w.module.AttemptEnded(s.attempt, AttemptResult{Outcome: how, Duration: w.now - s.at, RequestOver: a.answered,
		Load: LoadReport{ServedElsewhere: elsewhere, Utilization: meter}})
}

// arrival makes a client ask and plans the next one; a surge comes every seven seconds.
func (w *world) arrival() {
	classes := []string{"read", "read", "read", "bulk", "put", "zoned", "free", "once", "row"}
	plans := []string{"gold", "plain", "plain", "capped"}
	shard := w.rng.Intn(w.day.load.shards)
	if w.chance(w.day.load.anyShard) {
		shard = -1
	}
	class, plan := w.any(classes), w.any(plans)
	if w.chance(w.day.load.unknown) {
		plan = "nobody's"
	}
	object := fmt.Sprintf("o%d", int(float64(w.day.load.objects)*w.rng.Float64()*w.rng.Float64()))
	w.ask(class, plan, object, shard, 0.5+float64(w.rng.Intn(6)), 0)
	rate := w.day.load.perSecond
	if w.now%(7*time.Second) < time.Second {
		rate *= 2.5
	}
	wait := time.Duration(w.spread(1/rate) * float64(time.Second))
	if w.day.load.pauses && (w.now+wait)%(10*time.Second) > 3*time.Second {
		wait += 7 * time.Second
	}
	w.after(wait, w.arrival)
}

func (w *world) ask(class, plan, object string, shard int, units float64, tries int) {
	name := plan + object[:2]
	if w.volumes[name] == nil {
		w.volumes[name] = &Volume{}
	}
	w.lastID++
	a := &asked{class: class, plan: plan, object: object, shard: shard, units: units, tries: tries}
	a.cmd = Request{ID: w.lastID, Volume: w.volumes[name]}
	timeout := w.timeout(class)
	if w.chance(w.day.load.impatient) {
		timeout = timeout / time.Duration(2+w.rng.Intn(6))
	}
	a.deadline = w.now + timeout
	w.asked[a.cmd.ID] = a
	gateways := 1 + w.set.Gateways/2
	err := w.module.RequestReceived(&a.cmd, RequestArrival{Class: class, Plan: plan, Object: object, Shard: shard, Gateways: gateways,
		Units: units, Deadline: a.deadline, Retry: tries > 0})
	if err != nil {
		w.record("error", a.cmd.ID)
		return
	}
	if w.chance(w.day.load.leaves) {
		w.after(time.Duration(w.spread(float64(timeout)/6)), func() { w.leave(a) })
	}
}

func (w *world) leave(a *asked) {
	if !a.answered {
		a.answered = true
		w.module.ClientDisconnected(&a.cmd)
	}
}

func (w *world) timeout(class string) time.Duration {
	for _, q := range w.set.Classes {
		if q.Name == class {
			return q.Timeout
		}
	}
	return 0
}

func (w *world) addStorage(name string, shard int, boot time.Duration) *storage {
	workers := w.day.load.workers
	if workers == 0 {
		workers = 2 + len(w.nodes)%3
	}
	s := &storage{node: Endpoint{Name: name}, shard: shard, workers: make([]time.Duration, workers),
		state: map[faultKind]bool{}, serving: true, boot: boot}
	w.nodes = append(w.nodes, s)
	w.byName[name] = s
	return s
}

// list hands the list over, whole or only its changes.
func (w *world) list(whole bool) {
	w.module.BeginEndpointList(whole)
	for _, s := range w.nodes {
		w.module.UpdateEndpoint(&s.node, EndpointUpdate{Zone: fmt.Sprint("zone", s.shard%2), Shard: s.shard, Serving: s.serving, StartedAt: s.boot})
	}
	w.module.EndEndpointList()
}

// begin plays a fault from its first moment to its end.
func (w *world) begin(f fault) {
	count := max(1, int(f.share*float64(len(w.nodes))))
	hit := slices.Clone(w.nodes[:count])
	if f.kind != listDown {
		w.rng.Shuffle(len(w.nodes), func(i, j int) { w.nodes[i], w.nodes[j] = w.nodes[j], w.nodes[i] })
		hit = slices.Clone(w.nodes[:count])
	}
	for _, s := range hit {
		s.state[f.kind] = true
		w.beginAt(f.kind, s)
	}
	if f.kind == listDown {
		w.module.EndpointListFailed()
	}
	w.after(f.to-f.from, func() {
		for _, s := range hit {
			s.state[f.kind] = false
			w.endAt(f.kind, s)
		}
	})
}

func (w *world) beginAt(kind faultKind, s *storage) {
	switch kind {
	case draining:
		s.serving = false
		w.list(false)
	case restarting:
		s.state[unreachable] = true
	case full:
		if w.set.Gossip && w.chance(0.5) {
			w.after(w.jitter(), func() { w.module.GossipReceived(w.rng.Intn(3), []byte("s"+s.node.Name)) })
		}
	}
}

func (w *world) endAt(kind faultKind, s *storage) {
	switch kind {
	case draining, vanishing:
		w.replace(s)
	case restarting:
		s.state[unreachable] = false
		s.boot = w.now
		s.workers = make([]time.Duration, len(s.workers))
		w.list(false)
	case full:
		if w.set.Gossip && w.chance(0.5) {
			w.after(w.jitter(), func() { w.module.GossipReceived(w.rng.Intn(3), []byte("f"+s.node.Name)) })
		}
	}
}

// replace takes an endpoint off the list; another one with a new name takes its shard, first told with an old start.
func (w *world) replace(s *storage) {
	w.nodes = slices.DeleteFunc(w.nodes, func(o *storage) bool { return o == s })
	added := w.addStorage(s.node.Name+"'", s.shard, w.now)
	w.list(true)
	if w.day.load.lateBoots {
		w.after(900*time.Millisecond, func() {
			added.boot -= 700 * time.Millisecond
			w.list(false)
		})
	}
}

func (w *world) changeMembership() {
	serving := 1 + w.rng.Intn(6)
	w.module.SetGateways(serving, serving+w.rng.Intn(3)-1)
	names := make([]string, 0, len(w.volumes))
	for name := range w.volumes {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		w.module.SetVolumeGateways(w.volumes[name], 1+w.rng.Intn(serving))
	}
	w.after(2500*time.Millisecond, w.changeMembership)
}
