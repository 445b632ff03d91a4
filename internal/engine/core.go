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
	EndpointChanged(name, zone string, cell int, serving, gone bool, started, now time.Duration)
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

	cmd        *command
	clientGone bool // its client went away before the loop's turn
	ended      atomic.Int64
}

// End notes, on the loop's clock, that nothing is owed for the task any more: its client has gone or has its final
// answer. Nothing may begin for it afterwards. It is safe for concurrent use; the first call counts.
func (t *Request) End(now time.Duration) { t.ended.CompareAndSwap(0, int64(now)) }

// EndedAt is when the task ended; ok is false while it has not.
func (t *Request) EndedAt() (at time.Duration, ok bool) {
	at = time.Duration(t.ended.Load())
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

type command struct {
	policy.Request
	task   *Request
	giveUp time.Duration
	outs   []*dispatch
	sent   int
	ran    bool // a dispatch may have run
	over   bool
	begun  bool
	past   *RequestRecord // nil: nobody hears of it
}

type dispatch struct {
	*policy.Attempt
	id   uint64
	cmd  *command
	to   *brick // nil: a brick that was dropped
	at   time.Duration
	try  int // its place among the tries heard of
	over bool
}

type volume struct {
	policy.Volume
	hosts int
}

type brick struct {
	policy.Endpoint
	line    EndpointConn
	address string
	zone    string
	cell    int
	out     int
	gone    bool          // it was taken away
	serving bool          // as the module was told
	alive   time.Duration // when an answer last counted as its own word
	probe   uint64
	probed  time.Duration
}

type timer struct {
	at  time.Duration
	seq uint64
	f   func()
	d   *dispatch // instead of f: the end of its time
}

type timers []timer

func (t timers) Len() int { return len(t) }
func (t timers) Less(i, j int) bool {
	return t[i].at < t[j].at || t[i].at == t[j].at && t[i].seq < t[j].seq
}
func (t timers) Swap(i, j int) { t[i], t[j] = t[j], t[i] }
func (t *timers) Push(x any)   { *t = append(*t, x.(timer)) }
func (t *timers) Pop() any {
	old := *t
	x := old[len(old)-1]
	old[len(old)-1] = timer{}
	*t = old[:len(old)-1]
	return x
}

// Core is one host's state beside the module. It is not safe for concurrent use.
type Core struct {
	in         Scheduler
	ways       Outbound
	volumeOf   VolumeLookup
	timeouts   map[string]time.Duration // by queue type
	max        int                      // dispatches of a command
	oneAtATime bool                     // settings allow no second attempt of a command while one is out
	probeFor   time.Duration

	now        time.Duration
	seq        uint64
	timers     timers
	later      []func() // what happened while the module was acting
	commands   map[int64]*command
	dispatches map[uint64]*dispatch
	bricks     map[string]*brick
	fleet      *endpointstate.Fleet
	group      *membership.Group // nil: alone, as many hosts as settings say
	rng        *rand.Rand        // times of this host's own
	moved      bool              // the module was told of a brick
	shareAt    time.Duration     // when lines are told to other hosts next
	shared     int               // lines told so far, to go round
	volumes    map[string]*volume
	ids        uint64
	closing    bool
	counts     Counts
	tap        Observer // nil: nobody hears of what is over

	// Overlapped, if set, hears of each attempt that began beside another one of its request where settings forbid that.
	OnOverlap func(request string)
}

// New makes a Core whose module is made by start, at a clock that stands at now.
func New(s policy.Settings, rules endpointstate.Rules, start func(policy.Runtime, policy.Settings) Scheduler, ways Outbound,
	volumeOf VolumeLookup, probeFor, now time.Duration) *Core {
	c := &Core{ways: ways, volumeOf: volumeOf, timeouts: map[string]time.Duration{}, max: s.MaxAttempts, oneAtATime: !s.Hedging,
		probeFor: probeFor, now: now, commands: map[int64]*command{}, dispatches: map[uint64]*dispatch{},
		bricks: map[string]*brick{}, volumes: map[string]*volume{}}
	for _, q := range s.Classes {
		c.timeouts[q.Name] = q.Timeout
	}
	c.rng = rand.New(rand.NewSource(s.Seed + 1))
	c.fleet = endpointstate.New(rules, c, ways.Log)
	c.in = start((*schedulerRuntime)(c), s)
	c.age()
	return c
}

// Tap lets t hear of what is over from now on.
func (c *Core) Observe(t Observer) { c.tap = t }

// Advance moves the clock, never back, and fires what is due. Call it before each event and at Next.
func (c *Core) Advance(now time.Duration) {
	c.now = max(c.now, now)
	for len(c.timers) > 0 && c.timers[0].at <= c.now {
		t := heap.Pop(&c.timers).(timer)
		switch {
		case t.f != nil:
			t.f()
		case !t.d.over:
			c.ended(t.d, AttemptReport{Outcome: policy.TimedOut, SeenAt: c.now})
		}
		c.settle()
	}
}

// Next is when the next timer is due; ok is false where there is none.
func (c *Core) Next() (at time.Duration, ok bool) {
	if len(c.timers) == 0 {
		return 0, false
	}
	return c.timers[0].at, true
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
func (c *Core) settle() {
	for len(c.later) > 0 {
		f := c.later[0]
		c.later[0] = nil
		if c.later = c.later[1:]; len(c.later) == 0 {
			c.later = nil
		}
		f()
	}
}

func (c *Core) after(wait time.Duration, t timer) {
	c.seq++
	t.at, t.seq = c.now+max(wait, 0), c.seq
	heap.Push(&c.timers, t)
}

// Take hands a command to the module. A command that can't be handed over is aborted at once.
func (c *Core) Submit(t *Request) {
	if t.clientGone {
		return
	}
	plan, hosts, key := t.Plan, t.Gateways, t.Volume+" "+t.Plan // a wrong plan must not bind a volume for others
	if c.volumeOf != nil {
		var ok bool
		if plan, hosts, ok = c.volumeOf(t.Volume); !ok {
			t.Respond(Response{Result: Failed, Reason: fmt.Sprintf("unknown volume %q", t.Volume)})
			return
		}
		key = t.Volume
	}
	timeout, ok := c.timeouts[t.Class]
	if !ok {
		t.Respond(Response{Result: Failed, Reason: fmt.Sprintf("unknown queue type %q", t.Class)})
		return
	}
	if t.Timeout > 0 {
		timeout = min(timeout, t.Timeout)
	}
	v := c.volumes[key]
	if v == nil {
		v = &volume{hosts: hosts}
		c.volumes[key] = v
	}
	if v.hosts != hosts {
		v.hosts = hosts
		c.in.SetVolumeGateways(&v.Volume, hosts)
	}
	c.ids++
	from := c.now
	if t.ReceivedAt > 0 {
		from = min(from, t.ReceivedAt)
	}
	x := &command{Request: policy.Request{ID: int64(c.ids), Volume: &v.Volume}, task: t, giveUp: from + timeout}
	t.cmd, t.Deadline = x, x.giveUp
	if c.tap != nil && c.tap.Enabled() {
		x.past = &RequestRecord{Volume: t.Volume, Plan: plan, Class: t.Class, Object: t.Object, Shard: t.Shard, BodyBytes: len(t.Body), Units: t.Units,
			Retry: t.Retry, ReceivedAt: c.now, Timeout: timeout, Attempts: make([]AttemptRecord, 0, 1)}
	}
	c.commands[x.ID] = x
	c.counts.Received++
	c.counts.Open++
	if err := c.in.RequestReceived(&x.Request, policy.RequestArrival{Class: t.Class, Plan: plan, Object: t.Object, Shard: t.Shard, Gateways: hosts,
		Units: t.Units, Deadline: x.giveUp, Retry: t.Retry}); err != nil {
		c.answer(x, Response{Result: Failed, Reason: err.Error()})
		c.forget(x)
	}
	c.settle()
}

// Gone tells that the client of a command went away: nothing is owed any more, and nothing is begun for it. It may come
// before Take.
func (c *Core) ClientDisconnected(t *Request) {
	t.clientGone = true
	t.End(c.now)
	x := t.cmd
	if x == nil || x.over {
		return
	}
	for _, d := range slices.Clone(x.outs) {
		c.withdraw(d)
	}
	x.over = true
	if x.past != nil {
		x.past.Result, x.past.Duration = ClientDisconnected, c.now-x.past.ReceivedAt
	}
	c.counts.ClientDisconnected++
	c.counts.Open--
	c.in.ClientDisconnected(&x.Request)
	c.forget(x)
	c.settle()
}

// withdraw ends a dispatch as unsent if nothing of it has left; it tells whether that is so.
func (c *Core) withdraw(d *dispatch) bool {
	if d.over || d.to == nil || d.to.line == nil || !d.to.line.Withdraw(d.id) {
		return false
	}
	c.later = append(c.later, func() { c.ended(d, AttemptReport{Outcome: policy.NotSent, SeenAt: c.now}) })
	return true
}

// answer is the one place where a final answer goes out. What has not begun by then never does, whatever settings let
// the module call off.
func (c *Core) answer(x *command, a Response) {
	if x.over {
		return
	}
	x.over = true
	x.task.End(c.now)
	if x.past != nil {
		x.past.Result, x.past.Duration = a.Result, c.now-x.past.ReceivedAt
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
	a.MayHaveRun = x.ran
	for _, d := range x.outs {
		a.MayHaveRun = !c.withdraw(d) || a.MayHaveRun
	}
	a.MayHaveRun = a.MayHaveRun && a.Result == Failed
	x.task.Respond(a)
	x.task.Body = nil
}

func (c *Core) forget(x *command) {
	if x.over && len(x.outs) == 0 {
		delete(c.commands, x.ID)
		if x.past != nil {
			c.tap.RequestEnded(x.past)
			x.past = nil
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
	d := c.dispatches[report.ID]
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
	c.ended(d, report)
	c.settle()
}

// Begun tells that a brick has begun to stream the answer of a dispatch.
func (c *Core) ResponseStarted(from string, id uint64) {
	d := c.dispatches[id]
	if d == nil || d.Endpoint.Name != from || d.cmd.over || d.cmd.begun {
		c.counts.LateOutcomes++
		return
	}
	d.cmd.begun = true
	if d.cmd.task.ResponseStarted != nil {
		d.cmd.task.ResponseStarted()
	}
	c.in.ResponseStarted(d.Attempt)
	c.settle()
}

func (c *Core) ended(d *dispatch, report AttemptReport) {
	at, how := report.SeenAt, report.Outcome
	if d.over {
		c.counts.LateOutcomes++
		return
	}
	x := d.cmd
	at = min(max(at, d.at), c.now)
	if how == policy.TimedOut && x.begun && !x.over {
		return // a stream has no time-out
	}
	d.over = true
	delete(c.dispatches, d.id)
	c.counts.InFlight--
	c.counts.Outcomes[how]++
	x.outs = slices.DeleteFunc(x.outs, func(o *dispatch) bool { return o == d })
	if x.past != nil {
		x.past.Attempts[d.try].Duration, x.past.Attempts[d.try].Outcome = at-d.at, how
	}
	if how == policy.TimedOut && d.to != nil && d.to.line != nil {
		d.to.line.Abandon(d.id)
	}
	switch how {
	case policy.Rejected, policy.ConnectFailed, policy.NotSent:
	default:
		x.ran = true
	}
	switch {
	case how == policy.Served:
		c.answer(x, Response{Result: Served, Body: report.Body})
	case x.begun && !x.over: // the break of a stream is the client's
		c.answer(x, Response{Result: Failed, Reason: "the answer broke off"})
	}
	c.in.AttemptEnded(d.Attempt, policy.AttemptResult{Outcome: how, Duration: at - d.at, RequestOver: x.over, Load: report.Load})
	c.forget(x)
	if d.to != nil {
		if d.to.out--; how == policy.Served && c.now-d.to.alive >= time.Second {
			d.to.alive = c.now
			c.fleet.Answered(d.to.Name, c.now)
			c.told()
		}
		c.drop(d.to)
	}
}

// ProbeOutcome is how a probe ended; one that is over is ignored.
func (c *Core) HealthChecked(from string, id uint64, how policy.Outcome) {
	b := c.bricks[from]
	if b == nil || id == 0 || b.probe != id {
		c.counts.LateOutcomes++
		return
	}
	b.probe = 0
	if how == policy.TimedOut {
		b.line.Abandon(id)
	}
	c.in.HealthChecked(&b.Endpoint, how, c.now-b.probed)
	c.settle()
}

// Heard is a short message of another host.
func (c *Core) GossipReceived(sender int, data []byte) {
	c.in.GossipReceived(sender, data)
	c.settle()
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
func (c *Core) lines(told []EndpointEntry) []endpointstate.Report {
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
	c.in.BeginEndpointList(false) // what a whole list takes away the beliefs tell line by line
	c.fleet.ListReceived(g, whole, c.lines(lines), c.now)
	c.moved = true
	c.told()
}

// Told is a list, or the changes of one, of a teller whose word is taken as it is: the module hears it line by line, at
// once, and no belief is formed.
func (c *Core) AuthoritativeList(whole bool, lines []EndpointEntry) {
	c.in.BeginEndpointList(whole)
	if whole {
		for _, b := range c.bricks {
			b.gone = true
		}
	}
	for _, l := range lines {
		if l.Unreadable {
			c.suspend(l.Name, l.Started)
			continue
		}
		c.EndpointChanged(l.Name, l.Address, l.Zone, l.Shard, l.Serving, l.Gone, l.Started)
	}
	c.moved = true
	c.told()
}

// suspend takes a server whose entry can't be read for one that drains, since that may be what it says. One that is not known
// is passed over.
func (c *Core) suspend(name string, boot time.Duration) {
	if b := c.bricks[name]; b != nil {
		c.ways.Log("an entry that can't be read; nothing new goes to " + name)
		c.EndpointChanged(name, b.address, b.zone, b.cell, false, false, boot)
	}
}

// ListHolds tells that the list service still has nothing new.
func (c *Core) EndpointListUnchanged() { c.fleet.ListUnchanged(c.now) }

// Known are bricks that settings name.
func (c *Core) KnownEndpoints(lines []EndpointEntry) {
	c.fleet.Configured(c.lines(lines), c.now)
	c.told()
}

// Restore takes back saved beliefs.
func (c *Core) Restore(saved []endpointstate.Belief, last endpointstate.Generation) {
	c.fleet.Restore(saved, last, c.now)
	c.greet()
	c.told()
}

// Fleet is what is believed; to be read only, in the loop.
func (c *Core) Fleet() *endpointstate.Fleet { return c.fleet }

// ForgetBrick is an operator's word.
func (c *Core) ForgetEndpoint(name string) bool {
	ok := c.fleet.Forget(name, c.now)
	c.told()
	return ok
}

// ForgetHost is an operator's word: the host named sends nothing any more, so nothing is kept for it.
func (c *Core) ForgetGateway(name string) bool {
	ok := c.group != nil && c.group.Forget(name, c.now)
	c.settle()
	return ok
}

// OwnWord is a brick's greeting.
func (c *Core) Greeted(name, address string, dated bool, age time.Duration, draining bool) {
	started := time.Duration(0)
	if dated {
		started = c.now - max(age, 0)
		if b := c.bricks[name]; c.tap != nil && b != nil {
			c.tap.EndpointChanged(name, b.zone, b.cell, b.serving && !draining, b.gone, started, c.now)
		}
	}
	c.fleet.Greeted(name, address, started, draining, c.now)
	c.told()
}

// Wrong tells that another brick is at a brick's address.
func (c *Core) WrongEndpoint(name, address string) {
	c.fleet.WrongEndpoint(name, address, c.now)
	c.told()
}

// Draining tells that a brick itself said that it takes nothing new.
func (c *Core) EndpointDraining(name string) {
	if b := c.bricks[name]; b != nil {
		c.fleet.Greeted(name, b.address, 0, true, c.now)
		c.told()
	}
}

// BrickIs is how the beliefs tell the module of a brick.
func (c *Core) EndpointChanged(name, address, zone string, cell int, serving, gone bool, boot time.Duration) {
	b := c.bricks[name]
	if b == nil {
		if gone {
			return
		}
		b = &brick{Endpoint: policy.Endpoint{Name: name}}
		c.bricks[name] = b
	}
	if address != b.address && !gone {
		if b.line != nil {
			b.line.Close()
		}
		b.address, b.line = address, c.ways.Connect(name, address)
	}
	if b.serving && !serving { // a drain is worth telling at once
		c.shareAt = c.now
	}
	b.gone, b.serving, b.zone, b.cell, c.moved = gone, serving, zone, cell, true
	if c.tap != nil {
		c.tap.EndpointChanged(name, zone, cell, serving, gone, boot, c.now)
	}
	c.in.UpdateEndpoint(&b.Endpoint, policy.EndpointUpdate{Zone: zone, Shard: cell, Serving: serving, Removed: gone, StartedAt: boot})
	if !serving { // what still waits for a connection there would begin after the brick is told to drain
		for _, d := range c.dispatches {
			if d.to == b {
				c.withdraw(d)
			}
		}
	}
}

// share tells some other hosts what is believed: drains first, then a stretch of all lines, in turn.
func (c *Core) share() {
	if c.group == nil || c.now < c.shareAt {
		return
	}
	c.shareAt = c.now + shareEvery
	all := c.fleet.ReportsForPeers()
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
	lines := slices.Clone(all[:min(drained, shareLines)])
	for rest := all[len(lines):]; len(lines) < shareLines && len(rest) > 0 && len(lines) < len(all); {
		c.shared++
		lines = append(lines, rest[c.shared%len(rest)])
	}
	to := c.group.RandomAddresses(shareHosts)
	for _, a := range to {
		c.ways.SendEndpoints(a, c.now, lines)
	}
}

// Of what hosts tell each other of bricks.
const shareEvery, shareLines, shareHosts = 2 * time.Second, 48, 3

// PeerSays is what another host believes.
func (c *Core) EndpointsFromPeer(lines []endpointstate.Report) {
	c.fleet.PeerReported(lines, c.now)
	c.told()
}

// told ends a round of telling.
func (c *Core) told() {
	if c.moved {
		c.moved = false
		c.in.EndEndpointList()
		for _, b := range c.bricks {
			c.drop(b)
		}
	}
	c.settle()
	c.share()
}

// age lets beliefs grow older, and asks those in doubt for their own word, each at a time of this host's own.
func (c *Core) age() {
	c.fleet.Tick(c.now)
	c.greet()
	c.told()
	c.after(time.Second, timer{f: c.age})
}

// Join lets this host find the others, and count them.
func (c *Core) Join(self membership.Member, rules membership.Rules, seeds []string) {
	c.group = membership.New(self, rules, seeds, (*membershipOutbound)(c), rand.New(rand.NewSource(c.rng.Int63())), c.now)
	c.tick()
}

func (c *Core) tick() {
	c.group.Tick(c.now)
	c.after(max(c.group.NextTick()-c.now, time.Millisecond), timer{f: c.tick})
}

// Gossip is another host's word on which hosts there are.
func (c *Core) MembershipReceived(m membership.Message) {
	if c.group != nil {
		c.group.Receive(m, c.now)
		c.settle()
	}
}

// Group is the membership; nil: none. To be used in the loop only.
func (c *Core) Membership() *membership.Group { return c.group }

// groupWays is the Core as the membership sees it.
type membershipOutbound Core

func (w *membershipOutbound) Send(address string, m membership.Message) {
	w.ways.SendMembership(address, m)
}
func (w *membershipOutbound) Log(line string) { w.ways.Log(line) }

// Changed tells the module at the next turn: the group may be in the middle of a call of this Core.
func (w *membershipOutbound) MembershipChanged(v membership.Counts) {
	c := (*Core)(w)
	c.later = append(c.later, func() {
		c.ways.Log(fmt.Sprintf("hosts: %d serve, parts for %d", v.Serving, v.Parts))
		c.in.SetGateways(v.Serving, v.Parts)
		if c.group != nil {
			c.ways.MembersChanged(c.group.Members())
		}
	})
}

func (c *Core) greet() {
	for _, d := range c.fleet.Doubtful() {
		name := d[0]
		c.after(time.Duration(c.rng.Int63n(int64(200*time.Millisecond))), timer{f: func() {
			if b := c.bricks[name]; b != nil && b.line != nil && !b.gone {
				b.line.RequestGreeting()
			}
		}})
	}
}

// drop forgets a brick that was taken away, once nothing is out there.
func (c *Core) drop(b *brick) {
	if !b.gone || b.out > 0 {
		return
	}
	if b.line != nil {
		b.line.Close()
	}
	if c.bricks[b.Name] == b {
		delete(c.bricks, b.Name)
	}
}

// ListFailed tells that an ask or a watch failed.
func (c *Core) EndpointListFailed() {
	c.in.EndpointListFailed()
	c.settle()
}

// Stop lets nothing go out any more.
func (c *Core) Stop() {
	c.closing = true
	for _, b := range c.bricks {
		if b.line != nil {
			b.line.Close()
		}
	}
}

// host is the Core as the module sees it.
type schedulerRuntime Core

func (h *schedulerRuntime) Now() time.Duration { return h.now }

func (h *schedulerRuntime) After(wait time.Duration, f func()) { (*Core)(h).after(wait, timer{f: f}) }

func (h *schedulerRuntime) Send(d *policy.Attempt) {
	c := (*Core)(h)
	x := c.commands[d.Request.ID]
	c.ids++
	b := c.bricks[d.Endpoint.Name]
	o := &dispatch{Attempt: d, id: c.ids, cmd: x, to: b, at: c.now}
	c.dispatches[o.id] = o
	x.outs = append(x.outs, o)
	if x.past != nil {
		o.try = len(x.past.Attempts)
		x.past.Attempts = append(x.past.Attempts, AttemptRecord{Endpoint: d.Endpoint.Name, SentAt: c.now})
	}
	c.counts.InFlight++
	if b != nil {
		b.out++
	}
	left := x.giveUp - c.now
	if x.over || left <= 0 || x.sent >= c.max || b == nil || b.line == nil || c.closing {
		c.later = append(c.later, func() { c.ended(o, AttemptReport{Outcome: policy.NotSent, SeenAt: c.now}) })
		return
	}
	x.sent++
	c.checkOverlap(x, o)
	c.counts.Attempts++
	if d.Number > 0 {
		c.counts.Retries++
	}
	c.after(left, timer{d: o})
	b.line.Send(o.id, x.task, d.Number, left, d.StartBy)
}

// checkOverlap counts an attempt that begins while another of its command is out and the settings forbid that.
func (c *Core) checkOverlap(x *command, begun *dispatch) {
	overlaps := func(o *dispatch) bool { return o != begun && !o.over }
	if c.oneAtATime && slices.ContainsFunc(x.outs, overlaps) {
		c.counts.Overlapping++
		if c.OnOverlap != nil {
			c.OnOverlap(x.task.Trace)
		}
	}
}

func (h *schedulerRuntime) Reject(p *policy.Request, pause time.Duration) {
	c := (*Core)(h)
	if x := c.commands[p.ID]; x != nil {
		c.answer(x, Response{Result: Rejected, RetryAfter: pause})
		c.forget(x)
	}
}

func (h *schedulerRuntime) Fail(p *policy.Request) {
	c := (*Core)(h)
	if x := c.commands[p.ID]; x != nil {
		c.answer(x, Response{Result: Failed})
		c.forget(x)
	}
}

func (h *schedulerRuntime) Cancel(d *policy.Attempt) {
	c := (*Core)(h)
	x := c.commands[d.Request.ID]
	if x == nil {
		return
	}
	for _, o := range x.outs {
		if o.Attempt == d && !o.over {
			how := policy.Canceled
			if o.to != nil && o.to.line != nil {
				if o.to.line.Withdraw(o.id) {
					how = policy.NotSent
				} else {
					o.to.line.Cancel(o.id)
				}
			}
			c.later = append(c.later, func() { c.ended(o, AttemptReport{Outcome: how, SeenAt: c.now}) })
			return
		}
	}
}

func (h *schedulerRuntime) CheckHealth(p *policy.Endpoint) {
	c := (*Core)(h)
	b := c.bricks[p.Name]
	if b == nil || b.line == nil {
		c.later = append(c.later, func() { c.in.HealthChecked(p, policy.ConnectFailed, 0) })
		return
	}
	c.ids++
	id := c.ids
	b.probe, b.probed = id, c.now
	c.after(c.probeFor, timer{f: func() { c.HealthChecked(p.Name, id, policy.TimedOut) }})
	b.line.CheckHealth(id)
}

func (h *schedulerRuntime) RequestEndpointList()      { h.ways.RequestEndpointList() }
func (h *schedulerRuntime) SendGossip(message []byte) { h.ways.SendNote(message) }
func (h *schedulerRuntime) Log(line string)           { h.ways.Log(line) }
