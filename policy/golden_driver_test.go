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

// The golden driver simulates a seeded scenario in virtual time: clients, storage endpoints with faults, changes of the endpoint
// list, health checks, gossip and restarts, all of it synthetic. It computes a digest of every call that the scheduler makes, with
// its time and order, except for log lines.

// goldenScenario is one row of the golden test.
type goldenScenario struct {
	name        string
	description string
	seed        int64
	adjust      func(*Settings)
	load        load
	faults      []fault
	digest      string
}

// load describes the requests of the clients and how often other events occur.
type load struct {
	duration           time.Duration
	requestsPerSecond  float64
	endpoints          int
	shards             int
	objects            int
	anyShardShare      float64       // share of requests that any endpoint may serve
	disconnectShare    float64       // share of clients that disconnect early
	streamedShare      float64       // share of responses that are streamed
	clientRetryShare   float64       // share of rejected requests that clients retry
	shortTimeoutShare  float64       // share of requests with a short timeout
	correctsStartTimes bool          // replaced endpoints get an earlier start time after a while
	membershipChanges  bool          // the number of gateways changes
	loadReports        bool          // responses report the volume's use over all gateways
	workers            int           // workers per endpoint; 0: two to four
	idlePeriods        bool          // no requests for seven seconds of each ten
	serviceTimePerUnit time.Duration // service time of a unit; 0: 8 ms
	unknownPlanShare   float64       // share of requests with an unknown plan
	startsWarming      bool          // all endpoints started shortly before this gateway
}

// fault is a fault of a share of the endpoints for a limited time.
type fault struct {
	kind       faultKind
	share      float64 // share of the endpoints that are affected
	start, end time.Duration
}

type faultKind int

const (
	slow faultKind = iota
	hanging
	overloaded
	unreachable
	resetting
	returningErrors
	losingResponses // some responses arrive late or never
	draining
	restarting
	disappearing // removed from the list without a drain
	listDown
)

// storageEndpoint is a simulated storage endpoint.
type storageEndpoint struct {
	endpoint         Endpoint
	shard            int
	workersBusyUntil []time.Duration // for each worker, when its queued work ends
	faults           map[faultKind]bool
	serving          bool
	startedAt        time.Duration
}

// sentAttempt is an attempt that the scheduler sent.
type sentAttempt struct {
	attempt  *Attempt
	endpoint *storageEndpoint
	sentAt   time.Duration
	ended    bool
}

// clientRequest is a request sent by a client.
type clientRequest struct {
	request    Request
	class      string
	plan       string
	object     string
	shard      int
	units      float64
	deadline   time.Duration
	finished   bool
	streaming  bool
	retryCount int
	inFlight   []*sentAttempt
}

type event struct {
	at       time.Duration
	sequence int
	run      func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].sequence < e[j].sequence
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// goldenRuntime is the Runtime of a golden scenario.
type goldenRuntime struct {
	scenario  goldenScenario
	now       time.Duration
	sequence  int
	queue     events
	rng       *rand.Rand
	scheduler *Scheduler
	settings  Settings
	endpoints []*storageEndpoint
	byName    map[string]*storageEndpoint
	volumes   map[string]*Volume
	requests  map[int64]*clientRequest
	lastID    int64
	digest    hash.Hash
	calls     map[string]int
}

// playScenario runs a scenario and returns its digest and how often the scheduler made each call.
func playScenario(scenario goldenScenario) (string, map[string]int) {
	w := &goldenRuntime{scenario: scenario, now: time.Hour, rng: rand.New(rand.NewSource(scenario.seed)), settings: goldenSettings(scenario.seed),
		byName: map[string]*storageEndpoint{}, volumes: map[string]*Volume{}, requests: map[int64]*clientRequest{}, digest: sha256.New(),
		calls: map[string]int{}}
	scenario.adjust(&w.settings)
	w.scheduler = New(w, w.settings)
	for i := range scenario.load.endpoints {
		startedAt := time.Duration(0)
		if scenario.load.startsWarming {
			startedAt = w.now - time.Duration(i+1)*300*time.Millisecond
		}
		w.addEndpoint(fmt.Sprintf("n%d", i), i%scenario.load.shards, startedAt)
	}
	w.sendList(true)
	w.after(0, w.scheduleArrival)
	for _, f := range scenario.faults {
		w.after(f.start, func() { w.runFault(f) })
	}
	if scenario.load.membershipChanges {
		w.after(3*time.Second, w.changeMembership)
	}
	for end := w.now + scenario.load.duration; len(w.queue) > 0 && w.queue[0].at <= end; {
		e := heap.Pop(&w.queue).(event)
		w.now = max(w.now, e.at)
		e.run()
	}
	return hex.EncodeToString(w.digest.Sum(nil)[:12]), w.calls
}

func (w *goldenRuntime) after(wait time.Duration, run func()) {
	w.sequence++
	heap.Push(&w.queue, event{w.now + max(wait, 0), w.sequence, run})
}

// record adds a call of the scheduler to the digest. The digest includes the name of the call.
func (w *goldenRuntime) record(call string, args ...any) {
	w.calls[call]++
	fmt.Fprintln(w.digest, append([]any{int64(w.now), call}, args...)...)
}

func (w *goldenRuntime) Now() time.Duration { return w.now }

func (w *goldenRuntime) After(wait time.Duration, f func()) {
	w.record("after", int64(wait))
	w.after(wait, f)
}

func (w *goldenRuntime) Send(attempt *Attempt) {
	w.record("attempt", attempt.Request.ID, attempt.Number, attempt.Endpoint.Name, int64(attempt.StartBy), 0)
	client, at := w.requests[attempt.Request.ID], w.byName[attempt.Endpoint.Name]
	sent := &sentAttempt{attempt: attempt, endpoint: at, sentAt: w.now}
	client.inFlight = append(client.inFlight, sent)
	w.after(client.deadline-w.now, func() { w.endAttempt(client, sent, TimedOut) })
	w.serveAttempt(client, sent)
}

func (w *goldenRuntime) Reject(request *Request, retryAfter time.Duration) {
	w.record("reject", request.ID, int64(retryAfter))
	client := w.requests[request.ID]
	client.finished = true
	if w.rng.Float64() < w.scenario.load.clientRetryShare && client.retryCount < 3 {
		w.after(max(retryAfter, 20*time.Millisecond), func() {
			w.sendRequest(client.class, client.plan, client.object, client.shard, client.units, client.retryCount+1)
		})
	}
}

func (w *goldenRuntime) Fail(request *Request) {
	w.record("fail", request.ID)
	w.requests[request.ID].finished = true
}

func (w *goldenRuntime) Cancel(attempt *Attempt) {
	w.record("cancel", attempt.Request.ID, attempt.Number)
	client := w.requests[attempt.Request.ID]
	for _, sent := range client.inFlight {
		if sent.attempt == attempt {
			outcome := Canceled
			if w.rng.Intn(4) == 0 && w.now-sent.sentAt < 20*time.Millisecond {
				outcome = NotSent
			}
			w.after(0, func() { w.endAttempt(client, sent, outcome) })
		}
	}
}

func (w *goldenRuntime) RequestEndpointList() {
	w.record("watch", true)
	w.after(30*time.Millisecond, func() {
		if w.faultActive(listDown) {
			w.scheduler.EndpointListFailed()
			return
		}
		w.sendList(true)
	})
}

func (w *goldenRuntime) CheckHealth(endpoint *Endpoint) {
	w.record("check", endpoint.Name)
	at := w.byName[endpoint.Name]
	duration, outcome := w.reserveWorker(at, 0.1), Served
	switch {
	case at.faults[hanging]:
		duration, outcome = time.Second, TimedOut
	case at.faults[unreachable]:
		duration, outcome = 2*time.Millisecond, ConnectFailed
	}
	w.after(duration, func() { w.scheduler.HealthChecked(endpoint, outcome, duration) })
}

func (w *goldenRuntime) SendGossip(message []byte) { w.record("tell", -1, string(message)) }
func (w *goldenRuntime) Log(string)                {}
func (w *goldenRuntime) chance(share float64) bool { return w.rng.Float64() < share }
func (w *goldenRuntime) pick(list []string) string { return list[w.rng.Intn(len(list))] }
func (w *goldenRuntime) jitter() time.Duration {
	return time.Duration(w.rng.Intn(3000)) * time.Microsecond
}
func (w *goldenRuntime) faultActive(kind faultKind) bool {
	return len(w.endpoints) > 0 && w.endpoints[0].faults[kind]
}
func (w *goldenRuntime) exponential(mean float64) float64 { return mean * w.rng.ExpFloat64() }

// reserveWorker assigns units to the endpoint's first free worker and returns how long it takes until they are done.
func (w *goldenRuntime) reserveWorker(at *storageEndpoint, units float64) time.Duration {
	perUnit := 8 * time.Millisecond
	if w.scenario.load.serviceTimePerUnit > 0 {
		perUnit = w.scenario.load.serviceTimePerUnit
	}
	if at.faults[slow] {
		perUnit *= 9
	}
	if w.settings.SlowStartTime > 0 && w.now-at.startedAt < w.settings.SlowStartTime && at.startedAt > 0 {
		perUnit *= 2
	}
	earliest := 0
	for i, busy := range at.workersBusyUntil {
		if busy < at.workersBusyUntil[earliest] {
			earliest = i
		}
	}
	begin := max(w.now, at.workersBusyUntil[earliest])
	at.workersBusyUntil[earliest] = begin + time.Duration(float64(perUnit)*units*(0.6+0.8*w.rng.Float64()))
	return at.workersBusyUntil[earliest] - w.now + w.jitter()
}

// serveAttempt simulates an endpoint's reaction to an attempt.
func (w *goldenRuntime) serveAttempt(client *clientRequest, sent *sentAttempt) {
	at := sent.endpoint
	switch {
	case at.faults[unreachable]:
		w.after(w.jitter(), func() { w.endAttempt(client, sent, ConnectFailed) })
	case at.faults[hanging]:
	case at.faults[overloaded] && w.chance(0.8):
		w.after(w.jitter(), func() { w.endAttempt(client, sent, Rejected) })
	case at.faults[resetting] && w.chance(0.5):
		w.after(4*w.jitter(), func() { w.endAttempt(client, sent, ConnectionReset) })
	case at.faults[returningErrors] && w.chance(0.6):
		w.after(w.jitter(), func() { w.endAttempt(client, sent, ErrorResponse) })
	case at.faults[losingResponses] && w.chance(0.3):
		if w.chance(0.5) { // late, but not lost
			w.after(time.Duration(400+w.rng.Intn(500))*time.Millisecond, func() { w.endAttempt(client, sent, Served) })
		}
	default:
		wait := w.reserveWorker(at, client.units)
		if w.chance(w.scenario.load.streamedShare) {
			w.after(wait/2, func() { w.startStreaming(client, sent) })
		}
		w.after(wait, func() { w.endAttempt(client, sent, Served) })
	}
}

func (w *goldenRuntime) startStreaming(client *clientRequest, sent *sentAttempt) {
	if sent.ended || client.finished || client.streaming {
		return
	}
	client.streaming = true
	w.scheduler.ResponseStarted(sent.attempt)
}

// endAttempt reports the only outcome of an attempt.
func (w *goldenRuntime) endAttempt(client *clientRequest, sent *sentAttempt, outcome Outcome) {
	if sent.ended || outcome == TimedOut && client.streaming && !client.finished {
		return
	}
	sent.ended = true
	client.inFlight = slices.DeleteFunc(client.inFlight, func(o *sentAttempt) bool { return o == sent })
	if outcome == Served || client.streaming {
		client.finished = true
	}
	elsewhere, utilization := 0.0, 0.0
	if w.scenario.load.loadReports && (outcome == Served || outcome == ErrorResponse) {
		elsewhere = w.exponential(20)
		if w.chance(0.3) {
			utilization = 1 + 150*w.rng.Float64()
		}
	}
	w.scheduler.AttemptEnded(sent.attempt, AttemptResult{Outcome: outcome, Duration: w.now - sent.sentAt, RequestOver: client.finished,
		Load: LoadReport{ServedElsewhere: elsewhere, Utilization: utilization}})
}

// scheduleArrival sends one request and schedules the next one; a surge occurs every seven seconds.
func (w *goldenRuntime) scheduleArrival() {
	classes := []string{"read", "read", "read", "bulk", "put", "zoned", "free", "once", "row"}
	plans := []string{"gold", "plain", "plain", "capped"}
	shard := w.rng.Intn(w.scenario.load.shards)
	if w.chance(w.scenario.load.anyShardShare) {
		shard = -1
	}
	class, plan := w.pick(classes), w.pick(plans)
	if w.chance(w.scenario.load.unknownPlanShare) {
		plan = "nobody's"
	}
	object := fmt.Sprintf("o%d", int(float64(w.scenario.load.objects)*w.rng.Float64()*w.rng.Float64()))
	w.sendRequest(class, plan, object, shard, 0.5+float64(w.rng.Intn(6)), 0)
	rate := w.scenario.load.requestsPerSecond
	if w.now%(7*time.Second) < time.Second {
		rate *= 2.5
	}
	wait := time.Duration(w.exponential(1/rate) * float64(time.Second))
	if w.scenario.load.idlePeriods && (w.now+wait)%(10*time.Second) > 3*time.Second {
		wait += 7 * time.Second
	}
	w.after(wait, w.scheduleArrival)
}

func (w *goldenRuntime) sendRequest(class, plan, object string, shard int, units float64, retries int) {
	name := plan + object[:2]
	if w.volumes[name] == nil {
		w.volumes[name] = &Volume{}
	}
	w.lastID++
	client := &clientRequest{class: class, plan: plan, object: object, shard: shard, units: units, retryCount: retries}
	client.request = Request{ID: w.lastID, Volume: w.volumes[name]}
	timeout := w.timeout(class)
	if w.chance(w.scenario.load.shortTimeoutShare) {
		timeout = timeout / time.Duration(2+w.rng.Intn(6))
	}
	client.deadline = w.now + timeout
	w.requests[client.request.ID] = client
	gateways := 1 + w.settings.Gateways/2
	err := w.scheduler.RequestReceived(&client.request, RequestArrival{Class: class, Plan: plan, Object: object, Shard: shard, Gateways: gateways,
		Units: units, Deadline: client.deadline, Retry: retries > 0})
	if err != nil {
		w.record("error", client.request.ID)
		return
	}
	if w.chance(w.scenario.load.disconnectShare) {
		w.after(time.Duration(w.exponential(float64(timeout)/6)), func() { w.disconnect(client) })
	}
}

func (w *goldenRuntime) disconnect(client *clientRequest) {
	if !client.finished {
		client.finished = true
		w.scheduler.ClientDisconnected(&client.request)
	}
}

func (w *goldenRuntime) timeout(class string) time.Duration {
	for _, q := range w.settings.Classes {
		if q.Name == class {
			return q.Timeout
		}
	}
	return 0
}

func (w *goldenRuntime) addEndpoint(name string, shard int, startedAt time.Duration) *storageEndpoint {
	workers := w.scenario.load.workers
	if workers == 0 {
		workers = 2 + len(w.endpoints)%3
	}
	added := &storageEndpoint{endpoint: Endpoint{Name: name}, shard: shard, workersBusyUntil: make([]time.Duration, workers),
		faults: map[faultKind]bool{}, serving: true, startedAt: startedAt}
	w.endpoints = append(w.endpoints, added)
	w.byName[name] = added
	return added
}

// sendList sends the endpoint list, complete or as an update.
func (w *goldenRuntime) sendList(whole bool) {
	w.scheduler.BeginEndpointList(whole)
	for _, at := range w.endpoints {
		w.scheduler.UpdateEndpoint(&at.endpoint, EndpointUpdate{Zone: fmt.Sprint("zone", at.shard%2), Shard: at.shard, Serving: at.serving, StartedAt: at.startedAt})
	}
	w.scheduler.EndEndpointList()
}

// runFault begins a fault and schedules its end.
func (w *goldenRuntime) runFault(f fault) {
	count := max(1, int(f.share*float64(len(w.endpoints))))
	hit := slices.Clone(w.endpoints[:count])
	if f.kind != listDown {
		w.rng.Shuffle(len(w.endpoints), func(i, j int) { w.endpoints[i], w.endpoints[j] = w.endpoints[j], w.endpoints[i] })
		hit = slices.Clone(w.endpoints[:count])
	}
	for _, at := range hit {
		at.faults[f.kind] = true
		w.beginFaultAt(f.kind, at)
	}
	if f.kind == listDown {
		w.scheduler.EndpointListFailed()
	}
	w.after(f.end-f.start, func() {
		for _, at := range hit {
			at.faults[f.kind] = false
			w.endFaultAt(f.kind, at)
		}
	})
}

func (w *goldenRuntime) beginFaultAt(kind faultKind, at *storageEndpoint) {
	switch kind {
	case draining:
		at.serving = false
		w.sendList(false)
	case restarting:
		at.faults[unreachable] = true
	case overloaded:
		if w.settings.Gossip && w.chance(0.5) {
			w.after(w.jitter(), func() { w.scheduler.GossipReceived(w.rng.Intn(3), []byte("s"+at.endpoint.Name)) })
		}
	}
}

func (w *goldenRuntime) endFaultAt(kind faultKind, at *storageEndpoint) {
	switch kind {
	case draining, disappearing:
		w.replaceEndpoint(at)
	case restarting:
		at.faults[unreachable] = false
		at.startedAt = w.now
		at.workersBusyUntil = make([]time.Duration, len(at.workersBusyUntil))
		w.sendList(false)
	case overloaded:
		if w.settings.Gossip && w.chance(0.5) {
			w.after(w.jitter(), func() { w.scheduler.GossipReceived(w.rng.Intn(3), []byte("f"+at.endpoint.Name)) })
		}
	}
}

// replaceEndpoint removes an endpoint from the list and adds one with a new name in its shard, whose start time may be corrected
// later.
func (w *goldenRuntime) replaceEndpoint(old *storageEndpoint) {
	w.endpoints = slices.DeleteFunc(w.endpoints, func(one *storageEndpoint) bool { return one == old })
	added := w.addEndpoint(old.endpoint.Name+"'", old.shard, w.now)
	w.sendList(true)
	if w.scenario.load.correctsStartTimes {
		w.after(900*time.Millisecond, func() {
			added.startedAt -= 700 * time.Millisecond
			w.sendList(false)
		})
	}
}

func (w *goldenRuntime) changeMembership() {
	serving := 1 + w.rng.Intn(6)
	w.scheduler.SetGateways(serving, serving+w.rng.Intn(3)-1)
	names := make([]string, 0, len(w.volumes))
	for name := range w.volumes {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		w.scheduler.SetVolumeGateways(w.volumes[name], 1+w.rng.Intn(serving))
	}
	w.after(2500*time.Millisecond, w.changeMembership)
}
