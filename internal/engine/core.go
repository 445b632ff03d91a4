// Package engine runs one instance of the decision module in a real host: it turns what happens into calls of the
// module and carries out what the module calls for. Core is the single-threaded part, without clock or goroutine;
// Loop owns one and runs it on the real clock. Whoever drives a Core in virtual time calls it the same way.
//
// Nothing here routes, retries, refuses, limits or orders commands.
package engine

import (
	"container/heap"
	"fmt"
	"math/rand"
	"slices"
	"sync/atomic"
	"time"

	"weirhaven/internal/fleet/endpointstate"
	"weirhaven/internal/fleet/membership"
	"weirhaven/policy"
)

// Decider is the module as the loop calls it; *policy.Instance is one.
type Scheduler interface {
	BeginEndpointList(whole bool)
	UpdateEndpoint(endpoint *policy.Endpoint, update policy.EndpointUpdate)
	EndEndpointList()
	EndpointListFailed()
	RequestReceived(request *policy.Request, arrival policy.RequestArrival) error
	ResponseStarted(d *policy.Attempt)
	AttemptEnded(attempt *policy.Attempt, result policy.AttemptResult)
	ClientDisconnected(c *policy.Request)
	HealthChecked(b *policy.Endpoint, how policy.Outcome, took time.Duration)
	GossipReceived(sender int, data []byte)
	SetGateways(serving, parts int)
	SetVolumeGateways(v *policy.Volume, hosts int)
}

// Line is the way to one brick. Every call returns at once. A dispatch or probe that is not answered by the brick is
// reported by Core.Outcome or Core.ProbeOutcome once the line knows how it ended; none is reported twice.
type EndpointConn interface {
	// by is on the loop's clock: a dispatch that has not begun by then must not; 0: any time.
	Send(id uint64, t *Request, n int, left, by time.Duration)
	Cancel(id uint64)
	Withdraw(id uint64) bool // true: no byte of the dispatch was written, and none ever will be
	RequestGreeting()        // hear the brick's own word, on a new connection if need be
	Abandon(id uint64)       // its time ran out: no answer is waited for
	CheckHealth(id uint64)
	Close()
}

// Ways are the loop's ways out, besides the bricks. No call may block.
type Outbound interface {
	Connect(brick, address string) EndpointConn
	RequestEndpointList()
	SendNote(note []byte) // to every other gateway
	SendMembership(address string, m membership.Message)
	SendEndpoints(address string, now time.Duration, lines []endpointstate.Report)
	MembersChanged(all []membership.Member) // as they change
	Log(line string)
}

// Tap hears of each command once it is over and of what is known of bricks. No call may block.
type Observer interface {
	Enabled() bool
	RequestEnded(p *RequestRecord)
	EndpointChanged(change EndpointChange)
}

// EndpointChange is the state of an endpoint as this gateway uses it from ChangedAt on.
type EndpointChange struct {
	Endpoint, Zone string
	Shard          int
	Serving        bool          // false: draining or removed; nothing new is sent
	Removed        bool          // it is no longer part of the fleet
	StartedAt      time.Duration // on the engine's clock; 0: not known, long ago
	ChangedAt      time.Duration // on the engine's clock
}

// Greeting is how an endpoint introduces itself on a new connection.
type Greeting struct {
	Endpoint, Address string
	HasStart          bool          // it reports its age
	Age               time.Duration // since its start, by its own clock; only with HasStart
	Draining          bool          // it takes nothing new
}

// Past is a command that is over.
type RequestRecord struct {
	Volume, Plan, Class, Object   string
	Shard, BodyBytes              int
	Units                         float64
	Retry                         bool
	ReceivedAt, Duration, Timeout time.Duration
	Result                        Result // LeftBy: its client went away first
	Attempts                      []AttemptRecord
}

// Try is one of its dispatches.
type AttemptRecord struct {
	Endpoint         string
	SentAt, Duration time.Duration
	Outcome          policy.Outcome
}

// Answer is a final answer.
type Response struct {
	Result     Result
	Body       []byte        // of a completed command
	RetryAfter time.Duration // of a busy reply: when to come back, 0: no advice
	MayHaveRun bool          // of an abort
	Reason     string        // of an abort that the module did not decide
}

// Final is the kind of a final answer.
type Result int

const (
	Served Result = iota
	Rejected
	Failed
	ClientDisconnected // no answer: the client went away
)

func (f Result) String() string {
	return [...]string{"completed", "busy-replied", "aborted", "left"}[f]
}

// Task is a command as a client sent it.
type Request struct {
	Volume, Class, Object, Tag, Trace string
	Plan                              string // with Hosts, where VolumeOf is nil: as each command tells
	Gateways                          int
	Shard                             int // -1: a new object
	Units                             float64
	Timeout                           time.Duration // 0: that of the queue type
	ReceivedAt                        time.Duration // from when the time-out counts; 0: from now
	Header                            []byte        // what its front wrote for the lines to bricks; not looked at here
	Retry                             bool
	Body                              []byte
	// Release, where a line set it, is to be called once the answer's body is needed no more; whoever takes it clears it.
	Release func()
	// Answer is called once, from the loop. It must not block.
	Respond func(Response)
	// Begun is called when a streamed answer begins; may be nil.
	ResponseStarted func()

	// ClientGone, where a front set it, looks whether the client has closed its connection, noticed or not. It is safe for
	// concurrent use and does not wait.
	ClientClosed func() bool
	// Deadline, on the loop's clock, is set by Take: the request's client waits no longer.
	Deadline time.Duration

	open               *openRequest
	clientDisconnected bool // its client went away before the loop's turn
	endedAt            atomic.Int64
}

// End notes, on the loop's clock, that nothing is owed for the task any more: its client has gone or has its final
// answer. Nothing may begin for it afterwards. It is safe for concurrent use; the first call counts.
func (t *Request) End(now time.Duration) { t.endedAt.CompareAndSwap(0, int64(now)) }

// EndedAt is when the task ended; ok is false while it has not.
func (t *Request) EndedAt() (at time.Duration, ok bool) {
	at = time.Duration(t.endedAt.Load())
	return at, at != 0
}

// VolumeOf tells the plan of a volume and through how many hosts it works; ok is false for a volume nobody knows.
type VolumeLookup func(name string) (plan string, hosts int, ok bool)

// Counts are running totals.
type Counts struct {
	Received, Served, Rejected, Failed, ClientDisconnected          int64
	Attempts, Retries, LateOutcomes, MismatchedOutcomes, Overflowed int64
	Overlapping                                                     int64 // attempts begun beside another one that settings forbid; must stay 0
	Open                                                            int   // commands without a final answer
	InFlight                                                        int   // dispatches without an outcome
	Timers                                                          int
	Outcomes                                                        [policy.NotSent + 1]int64 // dispatches, by how
}

type openRequest struct {
	policy.Request
	request         *Request
	deadline        time.Duration
	inFlight        []*attempt
	attemptsSent    int
	mayHaveRun      bool // a dispatch may have run
	done            bool
	responseStarted bool
	record          *RequestRecord // nil: nobody hears of it
}

type attempt struct {
	*policy.Attempt
	id          uint64
	owner       *openRequest
	target      *endpoint // nil: a brick that was dropped
	sentAt      time.Duration
	recordIndex int // its place among the tries heard of
	ended       bool
}

type volumeEntry struct {
	policy.Volume
	gateways int
}

type endpoint struct {
	policy.Endpoint
	conn              EndpointConn
	address           string
	zone              string
	shard             int
	inFlight          int
	removed           bool          // it was taken away
	serving           bool          // as the module was told
	answerReportedAt  time.Duration // when an answer last counted as its own word
	healthCheckID     uint64
	healthCheckSentAt time.Duration
}

type timer struct {
	dueAt   time.Duration
	seq     uint64
	fire    func()
	expires *attempt // instead of f: the end of its time
}

type timerHeap []timer

func (t timerHeap) Len() int { return len(t) }
func (t timerHeap) Less(i, j int) bool {
	return t[i].dueAt < t[j].dueAt || t[i].dueAt == t[j].dueAt && t[i].seq < t[j].seq
}
func (t timerHeap) Swap(i, j int) { t[i], t[j] = t[j], t[i] }
func (t *timerHeap) Push(x any)   { *t = append(*t, x.(timer)) }
func (t *timerHeap) Pop() any {
	old := *t
	x := old[len(old)-1]
	old[len(old)-1] = timer{}
	*t = old[:len(old)-1]
	return x
}

// Core is one host's state beside the module. It is not safe for concurrent use.
type Core struct {
	scheduler          Scheduler
	outbound           Outbound
	lookupVolume       VolumeLookup
	timeoutByClass     map[string]time.Duration // by queue type
	maxAttempts        int                      // dispatches of a command
	hedgingDisabled    bool                     // settings allow no second attempt of a command while one is out
	healthCheckTimeout time.Duration

	now              time.Duration
	timerSeq         uint64
	timers           timerHeap
	deferred         []func() // what happened while the module was acting
	requests         map[int64]*openRequest
	attempts         map[uint64]*attempt
	endpoints        map[string]*endpoint
	fleet            *endpointstate.Fleet
	group            *membership.Group // nil: alone, as many hosts as settings say
	rng              *rand.Rand        // times of this host's own
	endpointsChanged bool              // the module was told of a brick
	nextPeerReportAt time.Duration     // when lines are told to other hosts next
	peerReportCursor int               // lines told so far, to go round
	volumes          map[string]*volumeEntry
	lastID           uint64
	stopping         bool
	counts           Counts
	observer         Observer // nil: nobody hears of what is over

	// Overlapped, if set, hears of each attempt that began beside another one of its request where settings forbid that.
	OnOverlap func(request string)
}

// New makes a Core whose module is made by start, at a clock that stands at now.
func New(s policy.Settings, rules endpointstate.Rules, start func(policy.Runtime, policy.Settings) Scheduler, ways Outbound,
	volumeOf VolumeLookup, probeFor, now time.Duration) *Core {
	c := &Core{outbound: ways, lookupVolume: volumeOf, timeoutByClass: map[string]time.Duration{}, maxAttempts: s.MaxAttempts, hedgingDisabled: !s.Hedging,
		healthCheckTimeout: probeFor, now: now, requests: map[int64]*openRequest{}, attempts: map[uint64]*attempt{},
		endpoints: map[string]*endpoint{}, volumes: map[string]*volumeEntry{}}
	for _, q := range s.Classes {
		c.timeoutByClass[q.Name] = q.Timeout
	}
	c.rng = rand.New(rand.NewSource(s.Seed + 1))
	c.fleet = endpointstate.New(rules, c, ways.Log)
	c.scheduler = start((*schedulerRuntime)(c), s)
	c.tickEndpoints()
	return c
}

// Tap lets t hear of what is over from now on.
func (c *Core) Observe(t Observer) { c.observer = t }

// Advance moves the clock, never back, and fires what is due. Call it before each event and at Next.
func (c *Core) Advance(now time.Duration) {
	c.now = max(c.now, now)
	for len(c.timers) > 0 && c.timers[0].dueAt <= c.now {
		t := heap.Pop(&c.timers).(timer)
		switch {
		case t.fire != nil:
			t.fire()
		case !t.expires.ended:
			c.finishAttempt(t.expires, AttemptReport{Outcome: policy.TimedOut, SeenAt: c.now})
		}
		c.runDeferred()
	}
}

// Next is when the next timer is due; ok is false where there is none.
func (c *Core) Next() (at time.Duration, ok bool) {
	if len(c.timers) == 0 {
		return 0, false
	}
	return c.timers[0].dueAt, true
}

// Now is the loop's clock.
func (c *Core) Now() time.Duration { return c.now }

// Counts tells the totals so far.
func (c *Core) Counts() Counts {
	n := c.counts
	n.Timers = len(c.timers)
	return n
}

// settle lets happen what came up while the module was acting.
func (c *Core) runDeferred() {
	for len(c.deferred) > 0 {
		f := c.deferred[0]
		c.deferred[0] = nil
		if c.deferred = c.deferred[1:]; len(c.deferred) == 0 {
			c.deferred = nil
		}
		f()
	}
}

func (c *Core) schedule(wait time.Duration, t timer) {
	c.timerSeq++
	t.dueAt, t.seq = c.now+max(wait, 0), c.timerSeq
	heap.Push(&c.timers, t)
}

// Take hands a command to the module. A command that can't be handed over is aborted at once.
func (c *Core) Submit(t *Request) {
	if t.clientDisconnected {
		return
	}
	plan, hosts, key := t.Plan, t.Gateways, t.Volume+" "+t.Plan // a wrong plan must not bind a volume for others
	if c.lookupVolume != nil {
		var ok bool
		if plan, hosts, ok = c.lookupVolume(t.Volume); !ok {
			t.Respond(Response{Result: Failed, Reason: fmt.Sprintf("unknown volume %q", t.Volume)})
			return
		}
		key = t.Volume
	}
	timeout, ok := c.timeoutByClass[t.Class]
	if !ok {
		t.Respond(Response{Result: Failed, Reason: fmt.Sprintf("unknown queue type %q", t.Class)})
		return
	}
	if t.Timeout > 0 {
		timeout = min(timeout, t.Timeout)
	}
	v := c.volumes[key]
	if v == nil {
		v = &volumeEntry{gateways: hosts}
		c.volumes[key] = v
	}
	if v.gateways != hosts {
		v.gateways = hosts
		c.scheduler.SetVolumeGateways(&v.Volume, hosts)
	}
	c.lastID++
	from := c.now
	if t.ReceivedAt > 0 {
		from = min(from, t.ReceivedAt)
	}
	x := &openRequest{Request: policy.Request{ID: int64(c.lastID), Volume: &v.Volume}, request: t, deadline: from + timeout}
	t.open, t.Deadline = x, x.deadline
	if c.observer != nil && c.observer.Enabled() {
		x.record = &RequestRecord{Volume: t.Volume, Plan: plan, Class: t.Class, Object: t.Object, Shard: t.Shard, BodyBytes: len(t.Body), Units: t.Units,
			Retry: t.Retry, ReceivedAt: c.now, Timeout: timeout, Attempts: make([]AttemptRecord, 0, 1)}
	}
	c.requests[x.ID] = x
	c.counts.Received++
	c.counts.Open++
	if err := c.scheduler.RequestReceived(&x.Request, policy.RequestArrival{Class: t.Class, Plan: plan, Object: t.Object, Shard: t.Shard, Gateways: hosts,
		Units: t.Units, Deadline: x.deadline, Retry: t.Retry}); err != nil {
		c.respond(x, Response{Result: Failed, Reason: err.Error()})
		c.release(x)
	}
	c.runDeferred()
}

// Gone tells that the client of a command went away: nothing is owed any more, and nothing is begun for it. It may come
// before Take.
func (c *Core) ClientDisconnected(t *Request) {
	t.clientDisconnected = true
	t.End(c.now)
	x := t.open
	if x == nil || x.done {
		return
	}
	for _, d := range slices.Clone(x.inFlight) {
		c.withdraw(d)
	}
	x.done = true
	if x.record != nil {
		x.record.Result, x.record.Duration = ClientDisconnected, c.now-x.record.ReceivedAt
	}
	c.counts.ClientDisconnected++
	c.counts.Open--
	c.scheduler.ClientDisconnected(&x.Request)
	c.release(x)
	c.runDeferred()
}

// withdraw ends a dispatch as unsent if nothing of it has left; it tells whether that is so.
func (c *Core) withdraw(d *attempt) bool {
	if d.ended || d.target == nil || d.target.conn == nil || !d.target.conn.Withdraw(d.id) {
		return false
	}
	c.deferred = append(c.deferred, func() { c.finishAttempt(d, AttemptReport{Outcome: policy.NotSent, SeenAt: c.now}) })
	return true
}

// answer is the one place where a final answer goes out. What has not begun by then never does, whatever settings let
// the module call off.
func (c *Core) respond(x *openRequest, a Response) {
	if x.done {
		return
	}
	x.done = true
	x.request.End(c.now)
	if x.record != nil {
		x.record.Result, x.record.Duration = a.Result, c.now-x.record.ReceivedAt
	}
	c.counts.Open--
	switch a.Result {
	case Served:
		c.counts.Served++
	case Rejected:
		c.counts.Rejected++
	default:
		c.counts.Failed++
	}
	a.MayHaveRun = x.mayHaveRun
	for _, d := range x.inFlight {
		a.MayHaveRun = !c.withdraw(d) || a.MayHaveRun
	}
	a.MayHaveRun = a.MayHaveRun && a.Result == Failed
	x.request.Respond(a)
	x.request.Body = nil
}

func (c *Core) release(x *openRequest) {
	if x.done && len(x.inFlight) == 0 {
		delete(c.requests, x.ID)
		if x.record != nil {
			c.observer.RequestEnded(x.record)
			x.record = nil
		}
	}
}

// AttemptReport is how an attempt ended, as its connection saw it.
type AttemptReport struct {
	Endpoint string // where it was sent
	ID       uint64
	Outcome  policy.Outcome
	// SeenAt is when the outcome was seen on the connection: what it then waited for the loop's turn says nothing of the
	// endpoint. 0: now.
	SeenAt time.Duration
	Body   []byte
	Load   policy.LoadReport
}

// AttemptEnded reports how an attempt ended. A report on an attempt that is over already, or that went to another endpoint, is
// counted and dropped.
func (c *Core) AttemptEnded(report AttemptReport) {
	d := c.attempts[report.ID]
	if d == nil {
		c.counts.LateOutcomes++
		return
	}
	if d.Endpoint.Name != report.Endpoint {
		c.counts.MismatchedOutcomes++
		return
	}
	if report.SeenAt == 0 {
		report.SeenAt = c.now
	}
	c.finishAttempt(d, report)
	c.runDeferred()
}

// Begun tells that a brick has begun to stream the answer of a dispatch.
func (c *Core) ResponseStarted(from string, id uint64) {
	d := c.attempts[id]
	if d == nil || d.Endpoint.Name != from || d.owner.done || d.owner.responseStarted {
		c.counts.LateOutcomes++
		return
	}
	d.owner.responseStarted = true
	if d.owner.request.ResponseStarted != nil {
		d.owner.request.ResponseStarted()
	}
	c.scheduler.ResponseStarted(d.Attempt)
	c.runDeferred()
}

func (c *Core) finishAttempt(d *attempt, report AttemptReport) {
	at, how := report.SeenAt, report.Outcome
	if d.ended {
		c.counts.LateOutcomes++
		return
	}
	x := d.owner
	at = min(max(at, d.sentAt), c.now)
	if how == policy.TimedOut && x.responseStarted && !x.done {
		return // a stream has no time-out
	}
	d.ended = true
	delete(c.attempts, d.id)
	c.counts.InFlight--
	c.counts.Outcomes[how]++
	x.inFlight = slices.DeleteFunc(x.inFlight, func(o *attempt) bool { return o == d })
	if x.record != nil {
		x.record.Attempts[d.recordIndex].Duration, x.record.Attempts[d.recordIndex].Outcome = at-d.sentAt, how
	}
	if how == policy.TimedOut && d.target != nil && d.target.conn != nil {
		d.target.conn.Abandon(d.id)
	}
	switch how {
	case policy.Rejected, policy.ConnectFailed, policy.NotSent:
	default:
		x.mayHaveRun = true
	}
	switch {
	case how == policy.Served:
		c.respond(x, Response{Result: Served, Body: report.Body})
	case x.responseStarted && !x.done: // the break of a stream is the client's
		c.respond(x, Response{Result: Failed, Reason: "the answer broke off"})
	}
	c.scheduler.AttemptEnded(d.Attempt, policy.AttemptResult{Outcome: how, Duration: at - d.sentAt, RequestOver: x.done, Load: report.Load})
	c.release(x)
	if d.target != nil {
		if d.target.inFlight--; how == policy.Served && c.now-d.target.answerReportedAt >= time.Second {
			d.target.answerReportedAt = c.now
			c.fleet.Answered(d.target.Name, c.now)
			c.applyEndpointChanges()
		}
		c.dropIfRemoved(d.target)
	}
}

// ProbeOutcome is how a probe ended; one that is over is ignored.
func (c *Core) HealthChecked(from string, id uint64, how policy.Outcome) {
	b := c.endpoints[from]
	if b == nil || id == 0 || b.healthCheckID != id {
		c.counts.LateOutcomes++
		return
	}
	b.healthCheckID = 0
	if how == policy.TimedOut {
		b.conn.Abandon(id)
	}
	c.scheduler.HealthChecked(&b.Endpoint, how, c.now-b.healthCheckSentAt)
	c.runDeferred()
}

// Heard is a short message of another host.
func (c *Core) GossipReceived(sender int, data []byte) {
	c.scheduler.GossipReceived(sender, data)
	c.runDeferred()
}

// BrickLine is one line of a list.
type EndpointEntry struct {
	Name, Address, Zone string
	Shard               int
	Serving, Gone       bool
	HasStart            bool          // its start is known
	Age                 time.Duration // since its start, on the teller's clock
	Started             time.Duration // for Told, where all go by one clock; 0: long ago
	Unreadable          bool          // for Told: nothing but the name could be read
}

// lines puts starts on this host's clock.
func (c *Core) reports(told []EndpointEntry) []endpointstate.Report {
	all := make([]endpointstate.Report, len(told))
	for i, l := range told {
		all[i] = endpointstate.Report{Name: l.Name, Address: l.Address, Zone: l.Zone, Shard: l.Shard, Serving: l.Serving && !l.Gone, Gone: l.Gone, ObservedAt: c.now}
		if l.HasStart {
			all[i].Started = c.now - max(l.Age, 0)
		}
	}
	return all
}

// List is a list of the list service, or the changes of one.
func (c *Core) EndpointList(g endpointstate.Generation, whole bool, lines []EndpointEntry) {
	c.scheduler.BeginEndpointList(false) // what a whole list takes away the beliefs tell line by line
	c.fleet.ListReceived(g, whole, c.reports(lines), c.now)
	c.endpointsChanged = true
	c.applyEndpointChanges()
}

// Told is a list, or the changes of one, of a teller whose word is taken as it is: the module hears it line by line, at
// once, and no belief is formed.
func (c *Core) AuthoritativeList(whole bool, lines []EndpointEntry) {
	c.scheduler.BeginEndpointList(whole)
	if whole {
		for _, b := range c.endpoints {
			b.removed = true
		}
	}
	for _, l := range lines {
		if l.Unreadable {
			c.suspend(l.Name, l.Started)
			continue
		}
		c.EndpointChanged(l.Name, l.Address, l.Zone, l.Shard, l.Serving, l.Gone, l.Started)
	}
	c.endpointsChanged = true
	c.applyEndpointChanges()
}

// suspend takes a server whose entry can't be read for one that drains, since that may be what it says. One that is not known
// is passed over.
func (c *Core) suspend(name string, boot time.Duration) {
	if b := c.endpoints[name]; b != nil {
		c.outbound.Log("an entry that can't be read; nothing new goes to " + name)
		c.EndpointChanged(name, b.address, b.zone, b.shard, false, false, boot)
	}
}

// ListHolds tells that the list service still has nothing new.
func (c *Core) EndpointListUnchanged() { c.fleet.ListUnchanged(c.now) }

// Known are bricks that settings name.
func (c *Core) KnownEndpoints(lines []EndpointEntry) {
	c.fleet.Configured(c.reports(lines), c.now)
	c.applyEndpointChanges()
}

// Restore takes back saved beliefs.
func (c *Core) Restore(saved []endpointstate.Belief, last endpointstate.Generation) {
	c.fleet.Restore(saved, last, c.now)
	c.requestGreetings()
	c.applyEndpointChanges()
}

// Fleet is what is believed; to be read only, in the loop.
func (c *Core) Fleet() *endpointstate.Fleet { return c.fleet }

// ForgetBrick is an operator's word.
func (c *Core) ForgetEndpoint(name string) bool {
	ok := c.fleet.Forget(name, c.now)
	c.applyEndpointChanges()
	return ok
}

// ForgetHost is an operator's word: the host named sends nothing any more, so nothing is kept for it.
func (c *Core) ForgetGateway(name string) bool {
	ok := c.group != nil && c.group.Forget(name, c.now)
	c.runDeferred()
	return ok
}

// Greeted is an endpoint's greeting.
func (c *Core) Greeted(g Greeting) {
	started := time.Duration(0)
	if g.HasStart {
		started = c.now - max(g.Age, 0)
		if b := c.endpoints[g.Endpoint]; c.observer != nil && b != nil {
			c.observer.EndpointChanged(EndpointChange{Endpoint: g.Endpoint, Zone: b.zone, Shard: b.shard, Serving: b.serving && !g.Draining,
				Removed: b.removed, StartedAt: started, ChangedAt: c.now})
		}
	}
	c.fleet.Greeted(g.Endpoint, g.Address, started, g.Draining, c.now)
	c.applyEndpointChanges()
}

// Wrong tells that another brick is at a brick's address.
func (c *Core) WrongEndpoint(name, address string) {
	c.fleet.WrongEndpoint(name, address, c.now)
	c.applyEndpointChanges()
}

// Draining tells that a brick itself said that it takes nothing new.
func (c *Core) EndpointDraining(name string) {
	if b := c.endpoints[name]; b != nil {
		c.fleet.Greeted(name, b.address, 0, true, c.now)
		c.applyEndpointChanges()
	}
}

// BrickIs is how the beliefs tell the module of a brick.
func (c *Core) EndpointChanged(name, address, zone string, cell int, serving, gone bool, boot time.Duration) {
	b := c.endpoints[name]
	if b == nil {
		if gone {
			return
		}
		b = &endpoint{Endpoint: policy.Endpoint{Name: name}}
		c.endpoints[name] = b
	}
	if address != b.address && !gone {
		if b.conn != nil {
			b.conn.Close()
		}
		b.address, b.conn = address, c.outbound.Connect(name, address)
	}
	if b.serving && !serving { // a drain is worth telling at once
		c.nextPeerReportAt = c.now
	}
	b.removed, b.serving, b.zone, b.shard, c.endpointsChanged = gone, serving, zone, cell, true
	if c.observer != nil {
		c.observer.EndpointChanged(EndpointChange{Endpoint: name, Zone: zone, Shard: cell, Serving: serving, Removed: gone, StartedAt: boot,
			ChangedAt: c.now})
	}
	c.scheduler.UpdateEndpoint(&b.Endpoint, policy.EndpointUpdate{Zone: zone, Shard: cell, Serving: serving, Removed: gone, StartedAt: boot})
	if !serving { // what still waits for a connection there would begin after the brick is told to drain
		for _, d := range c.attempts {
			if d.target == b {
				c.withdraw(d)
			}
		}
	}
}

// share tells some other hosts what is believed: drains first, then a stretch of all lines, in turn.
func (c *Core) reportToPeers() {
	if c.group == nil || c.now < c.nextPeerReportAt {
		return
	}
	c.nextPeerReportAt = c.now + peerReportInterval
	all := c.fleet.Reports()
	slices.SortStableFunc(all, func(a, b endpointstate.Report) int {
		switch {
		case a.Serving == b.Serving:
			return 0
		case b.Serving:
			return -1
		}
		return 1
	})
	drained := 0
	for drained < len(all) && !all[drained].Serving {
		drained++
	}
	lines := slices.Clone(all[:min(drained, peerReportEntries)])
	for rest := all[len(lines):]; len(lines) < peerReportEntries && len(rest) > 0 && len(lines) < len(all); {
		c.peerReportCursor++
		lines = append(lines, rest[c.peerReportCursor%len(rest)])
	}
	to := c.group.RandomAddresses(peerReportFanout)
	for _, a := range to {
		c.outbound.SendEndpoints(a, c.now, lines)
	}
}

// Of what hosts tell each other of bricks.
const peerReportInterval, peerReportEntries, peerReportFanout = 2 * time.Second, 48, 3

// PeerSays is what another host believes.
func (c *Core) EndpointsFromPeer(lines []endpointstate.Report) {
	c.fleet.PeerReported(lines, c.now)
	c.applyEndpointChanges()
}

// told ends a round of telling.
func (c *Core) applyEndpointChanges() {
	if c.endpointsChanged {
		c.endpointsChanged = false
		c.scheduler.EndEndpointList()
		for _, b := range c.endpoints {
			c.dropIfRemoved(b)
		}
	}
	c.runDeferred()
	c.reportToPeers()
}

// age lets beliefs grow older, and asks those in doubt for their own word, each at a time of this host's own.
func (c *Core) tickEndpoints() {
	c.fleet.Tick(c.now)
	c.requestGreetings()
	c.applyEndpointChanges()
	c.schedule(time.Second, timer{fire: c.tickEndpoints})
}

// Join lets this host find the others, and count them.
func (c *Core) Join(self membership.Member, rules membership.Rules, seeds []string) {
	c.group = membership.New(self, rules, seeds, (*membershipOutbound)(c), rand.New(rand.NewSource(c.rng.Int63())), c.now)
	c.tickMembership()
}

func (c *Core) tickMembership() {
	c.group.Tick(c.now)
	c.schedule(max(c.group.Next()-c.now, time.Millisecond), timer{fire: c.tickMembership})
}

// Gossip is another host's word on which hosts there are.
func (c *Core) MembershipReceived(m membership.Message) {
	if c.group != nil {
		c.group.Receive(m, c.now)
		c.runDeferred()
	}
}

// Group is the membership; nil: none. To be used in the loop only.
func (c *Core) Membership() *membership.Group { return c.group }

// groupWays is the Core as the membership sees it.
type membershipOutbound Core

func (w *membershipOutbound) Send(address string, m membership.Message) {
	w.outbound.SendMembership(address, m)
}
func (w *membershipOutbound) Log(line string) { w.outbound.Log(line) }

// Changed tells the module at the next turn: the group may be in the middle of a call of this Core.
func (w *membershipOutbound) MembershipChanged(v membership.Counts) {
	c := (*Core)(w)
	c.deferred = append(c.deferred, func() {
		c.outbound.Log(fmt.Sprintf("hosts: %d serve, parts for %d", v.Serving, v.Parts))
		c.scheduler.SetGateways(v.Serving, v.Parts)
		if c.group != nil {
			c.outbound.MembersChanged(c.group.Members())
		}
	})
}

func (c *Core) requestGreetings() {
	for _, d := range c.fleet.Doubtful() {
		name := d[0]
		c.schedule(time.Duration(c.rng.Int63n(int64(200*time.Millisecond))), timer{fire: func() {
			if b := c.endpoints[name]; b != nil && b.conn != nil && !b.removed {
				b.conn.RequestGreeting()
			}
		}})
	}
}

// drop forgets a brick that was taken away, once nothing is out there.
func (c *Core) dropIfRemoved(b *endpoint) {
	if !b.removed || b.inFlight > 0 {
		return
	}
	if b.conn != nil {
		b.conn.Close()
	}
	if c.endpoints[b.Name] == b {
		delete(c.endpoints, b.Name)
	}
}

// ListFailed tells that an ask or a watch failed.
func (c *Core) EndpointListFailed() {
	c.scheduler.EndpointListFailed()
	c.runDeferred()
}

// Stop lets nothing go out any more.
func (c *Core) Stop() {
	c.stopping = true
	for _, b := range c.endpoints {
		if b.conn != nil {
			b.conn.Close()
		}
	}
}

// host is the Core as the module sees it.
type schedulerRuntime Core

func (h *schedulerRuntime) Now() time.Duration { return h.now }

func (h *schedulerRuntime) After(wait time.Duration, f func()) {
	(*Core)(h).schedule(wait, timer{fire: f})
}

func (h *schedulerRuntime) Send(d *policy.Attempt) {
	c := (*Core)(h)
	x := c.requests[d.Request.ID]
	c.lastID++
	b := c.endpoints[d.Endpoint.Name]
	o := &attempt{Attempt: d, id: c.lastID, owner: x, target: b, sentAt: c.now}
	c.attempts[o.id] = o
	x.inFlight = append(x.inFlight, o)
	if x.record != nil {
		o.recordIndex = len(x.record.Attempts)
		x.record.Attempts = append(x.record.Attempts, AttemptRecord{Endpoint: d.Endpoint.Name, SentAt: c.now})
	}
	c.counts.InFlight++
	if b != nil {
		b.inFlight++
	}
	left := x.deadline - c.now
	if x.done || left <= 0 || x.attemptsSent >= c.maxAttempts || b == nil || b.conn == nil || c.stopping {
		c.deferred = append(c.deferred, func() { c.finishAttempt(o, AttemptReport{Outcome: policy.NotSent, SeenAt: c.now}) })
		return
	}
	x.attemptsSent++
	c.checkOverlap(x, o)
	c.counts.Attempts++
	if d.Number > 0 {
		c.counts.Retries++
	}
	c.schedule(left, timer{expires: o})
	b.conn.Send(o.id, x.request, d.Number, left, d.StartBy)
}

// checkOverlap counts an attempt that begins while another of its command is out and the settings forbid that.
func (c *Core) checkOverlap(x *openRequest, begun *attempt) {
	overlaps := func(o *attempt) bool { return o != begun && !o.ended }
	if c.hedgingDisabled && slices.ContainsFunc(x.inFlight, overlaps) {
		c.counts.Overlapping++
		if c.OnOverlap != nil {
			c.OnOverlap(x.request.Trace)
		}
	}
}

func (h *schedulerRuntime) Reject(p *policy.Request, pause time.Duration) {
	c := (*Core)(h)
	if x := c.requests[p.ID]; x != nil {
		c.respond(x, Response{Result: Rejected, RetryAfter: pause})
		c.release(x)
	}
}

func (h *schedulerRuntime) Fail(p *policy.Request) {
	c := (*Core)(h)
	if x := c.requests[p.ID]; x != nil {
		c.respond(x, Response{Result: Failed})
		c.release(x)
	}
}

func (h *schedulerRuntime) Cancel(d *policy.Attempt) {
	c := (*Core)(h)
	x := c.requests[d.Request.ID]
	if x == nil {
		return
	}
	for _, o := range x.inFlight {
		if o.Attempt == d && !o.ended {
			how := policy.Canceled
			if o.target != nil && o.target.conn != nil {
				if o.target.conn.Withdraw(o.id) {
					how = policy.NotSent
				} else {
					o.target.conn.Cancel(o.id)
				}
			}
			c.deferred = append(c.deferred, func() { c.finishAttempt(o, AttemptReport{Outcome: how, SeenAt: c.now}) })
			return
		}
	}
}

func (h *schedulerRuntime) CheckHealth(p *policy.Endpoint) {
	c := (*Core)(h)
	b := c.endpoints[p.Name]
	if b == nil || b.conn == nil {
		c.deferred = append(c.deferred, func() { c.scheduler.HealthChecked(p, policy.ConnectFailed, 0) })
		return
	}
	c.lastID++
	id := c.lastID
	b.healthCheckID, b.healthCheckSentAt = id, c.now
	c.schedule(c.healthCheckTimeout, timer{fire: func() { c.HealthChecked(p.Name, id, policy.TimedOut) }})
	b.conn.CheckHealth(id)
}

func (h *schedulerRuntime) RequestEndpointList()      { h.outbound.RequestEndpointList() }
func (h *schedulerRuntime) SendGossip(message []byte) { h.outbound.SendNote(message) }
func (h *schedulerRuntime) Log(line string)           { h.outbound.Log(line) }
