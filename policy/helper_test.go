package policy

import (
	"fmt"
	"sort"
	"time"
)

const ms = time.Millisecond

// bench is a host of one instance that prints what the instance does and keeps its timers.
type bench struct {
	now    time.Duration
	in     *Scheduler
	out    []*Attempt
	timers []alarm
	quiet  bool
	vols   map[string]*Volume
	bricks map[string]*Endpoint
	ids    int64
}

type alarm struct {
	at time.Duration
	no int
	f  func()
}

func (b *bench) Now() time.Duration { return b.now }
func (b *bench) Send(d *Attempt) {
	b.out = append(b.out, d)
	b.say("dispatch %d.%d to %s", d.Request.ID, d.Number, d.Endpoint.Name)
}
func (b *bench) Reject(c *Request, pause time.Duration) {
	b.say("busy-reply %d, back in %v", c.ID, pause.Round(ms))
}
func (b *bench) Fail(c *Request)   { b.say("abort %d", c.ID) }
func (b *bench) Cancel(d *Attempt) { b.say("cancel %d.%d", d.Request.ID, d.Number) }
func (b *bench) After(wait time.Duration, f func()) {
	b.timers = append(b.timers, alarm{b.now + wait, len(b.timers), f})
}
func (b *bench) RequestEndpointList()      { b.say("watch true") }
func (b *bench) CheckHealth(x *Endpoint)   { b.say("probe %s", x.Name) }
func (b *bench) SendGossip(message []byte) { b.say("tell -1 %q", message) }
func (b *bench) Log(line string)           { b.say("log: %s", line) }

func (b *bench) say(format string, args ...any) {
	if !b.quiet {
		fmt.Printf("%5dms %s\n", b.now/ms, fmt.Sprintf(format, args...))
	}
}

// setting is a small deployment: two hosts, a plan with a reservation, one without, one with a limit.
func setting() Settings {
	return Settings{Seed: 1, Gateways: 2, CanCancel: true, MaxAttempts: 4, TimerResolution: 2 * ms, MaxListAge: 10 * time.Second,
		SlowStartShare: 0.2, SlowStartTime: 10 * time.Second, SlowStartUnits: 8, OverloadFactor: 2, OverloadWindow: time.Second, TypicalUnits: 2,
		DrainGrace: 250 * ms, MaxRetryAfter: time.Second, OrderingCooldown: 300 * ms,
		Classes: []RequestClass{
			{Name: "read", LatencyObjective: 200 * ms, Timeout: time.Second, PriorityWeight: 1, Idempotency: Idempotent},
			{Name: "tag", LatencyObjective: 200 * ms, Timeout: time.Second, PriorityWeight: 1, Idempotency: IdempotentByKey,
				IdempotencyScope: "cell", IdempotencyWindow: 500 * ms},
			{Name: "once", LatencyObjective: 200 * ms, Timeout: time.Second, PriorityWeight: 1, Idempotency: NotIdempotent},
			{Name: "row", LatencyObjective: 500 * ms, Timeout: time.Second, PriorityWeight: 1, Idempotency: Idempotent,
				Ordered: true}},
		Plans: []ServicePlan{{Name: "gold", NominalRate: 10, Reservation: 10, Weight: 3},
			{Name: "plain", NominalRate: 10, Weight: 1},
			{Name: "capped", NominalRate: 2, Limit: 8, Burst: 32, InitialBurst: 4, Weight: 1}}}
}

func start(s Settings, bricks ...string) *bench { return startAt(0, s, bricks...) }

func startAt(now time.Duration, s Settings, bricks ...string) *bench {
	b := &bench{now: now, vols: map[string]*Volume{}, bricks: map[string]*Endpoint{}}
	b.in = New(b, s)
	b.in.BeginEndpointList(true)
	for i, n := range bricks {
		b.list(n, i, true, 0)
	}
	b.in.EndEndpointList()
	return b
}

func (b *bench) list(name string, cell int, serving bool, boot time.Duration) {
	if b.bricks[name] == nil {
		b.bricks[name] = &Endpoint{Name: name}
	}
	b.in.UpdateEndpoint(b.bricks[name], EndpointUpdate{Zone: "hall", Shard: cell, Serving: serving, StartedAt: boot})
}

func (b *bench) take(queue, plan, object string, cell int, units float64) *Request {
	b.ids++
	v := b.vols[plan+object]
	if v == nil {
		v = &Volume{}
		b.vols[plan+object] = v
	}
	c := &Request{ID: b.ids, Volume: v}
	if err := b.in.RequestReceived(c, RequestArrival{Class: queue, Plan: plan, Object: object, Shard: cell, Gateways: 2, Units: units, Deadline: b.now + time.Second}); err != nil {
		b.say("error: %v", err)
	}
	return c
}

// end gives the oldest dispatch its outcome.
func (b *bench) end(how Outcome, last bool) {
	d := b.out[0]
	b.out = b.out[1:]
	b.in.AttemptEnded(d, AttemptResult{Outcome: how, Duration: b.now - d.sentAt, RequestOver: last})
}

func (b *bench) run(d time.Duration) {
	for until := b.now + d; ; {
		sort.Slice(b.timers, func(i, j int) bool {
			x, y := b.timers[i], b.timers[j]
			return x.at < y.at || x.at == y.at && x.no < y.no
		})
		if len(b.timers) == 0 || b.timers[0].at > until {
			b.now = until
			return
		}
		t := b.timers[0]
		b.timers = b.timers[1:]
		b.now = max(b.now, t.at)
		t.f()
	}
}
