package engine

import (
	"context"
	"fmt"
	"runtime"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"weirhaven/internal/fleet/endpointstate"
	"weirhaven/internal/fleet/membership"
	"weirhaven/policy"
)

const ms = time.Millisecond

func settings() policy.Settings {
	return policy.Settings{Seed: 1, Gateways: 1, CanCancel: true, MaxAttempts: 3, TimerResolution: 5 * ms, TypicalUnits: 1,
		SlowStartShare: 0.2, SlowStartTime: 10 * time.Second, SlowStartUnits: 8, OverloadFactor: 2, OverloadWindow: time.Second, MaxRetryAfter: time.Second,
		Classes: []policy.RequestClass{
			{Name: "read", LatencyObjective: 200 * ms, Timeout: time.Second, PriorityWeight: 1},
			{Name: "once", LatencyObjective: 200 * ms, Timeout: time.Second, PriorityWeight: 1, Idempotency: policy.NotIdempotent},
			{Name: "stream", LatencyObjective: 200 * ms, Timeout: 300 * ms, PriorityWeight: 1}},
		Plans: []policy.ServicePlan{{Name: "plain", NominalRate: 10, Weight: 1}}}
}

// rig is a Core in virtual time whose ways out are noted, not taken.
type rig struct {
	*Core
	sent      []uint64
	unwritten map[uint64]bool // dispatches that still wait for a connection
	quiet     bool
	answers   map[string]int
}

func (r *rig) say(format string, args ...any) {
	if !r.quiet {
		fmt.Printf("%5d ms  %s\n", (r.Now()-start)/ms, fmt.Sprintf(format, args...))
	}
}

func (r *rig) Connect(brick, address string) EndpointConn                  { return &noted{r, brick} }
func (r *rig) RequestEndpointList()                                        {}
func (r *rig) SendNote([]byte)                                             {}
func (r *rig) SendMembership(string, membership.Message)                   {}
func (r *rig) SendEndpoints(string, time.Duration, []endpointstate.Report) {}
func (r *rig) MembersChanged([]membership.Member)                          {}
func (r *rig) Log(line string)                                             { r.say("log: %s", line) }

type noted struct {
	r     *rig
	brick string
}

func (n *noted) Send(id uint64, t *Request, no int, left, _ time.Duration) {
	n.r.sent = append(n.r.sent, id)
	n.r.say("%s.%d goes to %s, %v left", t.Trace, no, n.brick, left)
}
func (n *noted) Cancel(uint64)  { n.r.say("cancel at %s", n.brick) }
func (n *noted) Abandon(uint64) {}
func (n *noted) Withdraw(id uint64) bool {
	if n.r.unwritten[id] {
		n.r.say("take back at %s", n.brick)
	}
	return n.r.unwritten[id]
}
func (n *noted) RequestGreeting()   { n.r.say("greet %s", n.brick) }
func (n *noted) CheckHealth(uint64) { n.r.say("probe %s", n.brick) }
func (n *noted) Close()             { n.r.say("close the line to %s", n.brick) }

const start = time.Duration(1e18) // a wall clock

func newRig(s policy.Settings) *rig {
	r := &rig{answers: map[string]int{}}
	r.Core = New(s, endpointstate.Rules{Fresh: time.Hour, Expire: 9 * time.Hour, StartTolerance: 500 * ms}, func(h policy.Runtime, s policy.Settings) Scheduler { return policy.New(h, s) }, r,
		func(name string) (string, int, bool) { return "plain", 1, name != "nobody" }, 100*ms, start)
	r.EndpointList(endpointstate.Generation{}, true, []EndpointEntry{{Name: "a", Address: "1", Shard: 0, Serving: true}})
	return r
}

func (r *rig) run(d time.Duration) {
	for until := r.Now() + d; ; {
		at, ok := r.Next()
		if !ok || at > until {
			r.Advance(until)
			return
		}
		r.Advance(at)
	}
}

func (r *rig) take(trace, queue string) *Request {
	t := &Request{Volume: "v", Class: queue, Object: trace, Trace: trace, Units: 1}
	t.Respond = func(a Response) {
		r.answers[trace]++
		r.say("%s", strings.TrimSpace(fmt.Sprintf("%s %v, may have run %v %s", trace, a.Result, a.MayHaveRun, a.Reason)))
	}
	t.ResponseStarted = func() { r.say("%s begins to stream", trace) }
	r.Submit(t)
	return t
}

func (r *rig) outcome(i int, how policy.Outcome) {
	r.AttemptEnded(AttemptReport{Endpoint: "a", ID: r.sent[i], Outcome: how})
}

// The answer of a dispatch that timed out comes late: it is counted and thrown away.
func Example_answerAfterTheTimeout() {
	s := settings()
	s.CanCancel = false
	r := newRig(s)
	r.take("x", "read")
	r.run(1100 * ms)
	r.outcome(0, policy.Served)
	fmt.Printf("%+v\n", r.Counts())
	// Output:
	//     0 ms  x.0 goes to a, 1s left
	//   990 ms  x busy-replied, may have run false
	// {Received:1 Served:0 Rejected:1 Failed:0 ClientDisconnected:0 Attempts:1 Retries:0 LateOutcomes:1 MismatchedOutcomes:0 Overflowed:0 Overlapping:0 Open:0 InFlight:0 Timers:3 Outcomes:[0 0 0 1 0 0 0 0]}
}

// The client leaves, and at the same moment the answer comes: nothing is owed, the answer goes nowhere.
func Example_clientLeavesAsTheAnswerComes() {
	r := newRig(settings())
	t := r.take("x", "read")
	r.run(50 * ms)
	r.ClientDisconnected(t)
	r.outcome(0, policy.Served)
	u := r.take("y", "read")
	r.outcome(1, policy.Served)
	r.ClientDisconnected(u)
	fmt.Println(r.Counts().ClientDisconnected, r.Counts().LateOutcomes, r.Counts().Open, r.Counts().InFlight)
	// Output:
	//     0 ms  x.0 goes to a, 1s left
	//    50 ms  cancel at a
	//    50 ms  y.0 goes to a, 1s left
	//    50 ms  y completed, may have run false
	// 1 1 0 0
}

// A reset after the last byte was sent: a non-retryable command may have run, so it is aborted and not sent again. One
// whose connection never took a byte may be busy-replied.
func Example_reset() {
	r := newRig(settings())
	r.take("x", "once")
	r.outcome(0, policy.ConnectionReset)
	r.run(100 * ms)
	r.take("y", "once")
	r.outcome(1, policy.ConnectFailed)
	r.run(1100 * ms)
	// Output:
	//     0 ms  x.0 goes to a, 1s left
	//     0 ms  x aborted, may have run true
	//   100 ms  y.0 goes to a, 1s left
	//   100 ms  log: endpoint a: rejects, resets or can't be reached, after 0s, 0 in flight
	//  1062 ms  y busy-replied, may have run false
}

// A list tells starts by another machine's clock: only the age counts, and the same start told again is no new one.
// A brick that said itself that it drains stays closed until it has started anew, whatever lists say.
func Example_startsAndDrains() {
	r := newRig(settings())
	r.quiet = true
	r.run(20 * time.Second)
	r.quiet = false
	told := func(state string, age time.Duration) {
		r.EndpointList(endpointstate.Generation{}, false, []EndpointEntry{{Name: "a", Address: "1", Serving: state == "serving", Gone: state == "gone",
			HasStart: age >= 0, Age: age}})
	}
	told("serving", 2*time.Second)
	r.run(300 * ms)
	told("serving", 2*time.Second+290*ms) // was under way 10 ms longer
	r.EndpointDraining("a")
	told("serving", 2*time.Second)
	r.take("x", "read")
	r.run(300 * ms)
	told("serving", 0)
	r.take("y", "read")
	r.outcome(0, policy.Served)
	told("gone", -1)
	// Output:
	// 20000 ms  log: endpoint a: slow start, started 2s ago, warm within 10s
	// 20300 ms  log: endpoint a: draining or removed, 0 in flight
	// 20300 ms  log: barred a: draining, told by itself
	// 20412 ms  x busy-replied, may have run false
	// 20600 ms  log: endpoint a: slow start, started 0s ago, warm within 10s
	// 20600 ms  log: trusted a: told by list
	// 20600 ms  y.0 goes to a, 1s left
	// 20600 ms  y completed, may have run false
	// 20600 ms  log: endpoint a: draining or removed, 0 in flight
	// 20600 ms  log: barred a: gone, told by list
	// 20600 ms  close the line to a
}

// Once an answer streams, no time runs out; its break is the client's.
func Example_stream() {
	r := newRig(settings())
	r.take("x", "stream")
	r.run(100 * ms)
	r.ResponseStarted("a", r.sent[0])
	r.ResponseStarted("a", r.sent[0])
	r.run(2000 * ms)
	r.outcome(0, policy.ConnectionReset)
	// Output:
	//     0 ms  x.0 goes to a, 300ms left
	//   100 ms  x begins to stream
	//  2100 ms  x aborted, may have run true the answer broke off
}

// What the module can't be handed is aborted at once; an answer from another brick than was asked counts for nothing.
func Example_misfits() {
	r := newRig(settings())
	t := &Request{Volume: "nobody", Class: "read", Units: 1, Respond: func(a Response) { r.say("%v: %s", a.Result, a.Reason) }}
	r.Submit(t)
	t.Volume, t.Class = "v", "strange"
	r.Submit(t)
	r.take("x", "read")
	r.AttemptEnded(AttemptReport{Endpoint: "b", ID: r.sent[0], Outcome: policy.Served})
	r.outcome(0, policy.Served)
	r.outcome(0, policy.Served)
	fmt.Println(r.Counts().MismatchedOutcomes, r.Counts().LateOutcomes)
	// Output:
	//     0 ms  aborted: unknown volume "nobody"
	//     0 ms  aborted: unknown queue type "strange"
	//     0 ms  x.0 goes to a, 1s left
	//     0 ms  x completed, may have run false
	// 1 1
}

// Any order of outcomes, departures and time-outs leaves each command with one answer or none owed, and nothing kept.
func TestOneAnswerWhateverComes(t *testing.T) {
	for seed := range 200 {
		r := newRig(settings())
		r.quiet = true
		x := uint64(seed)*2654435761 + 12345
		draw := func(n int) int { x = x*6364136223846793005 + 1442695040888963407; return int(x>>33) % n }
		gone := map[string]bool{}
		var tasks []*Request
		for i := range 60 {
			tasks = append(tasks, r.take(fmt.Sprint("c", i), []string{"read", "once"}[draw(2)]))
			r.run(time.Duration(draw(40)) * ms)
			for range draw(4) {
				if len(r.sent) > 0 {
					r.outcome(draw(len(r.sent)), policy.Outcome(draw(8)))
				}
			}
			if k := draw(len(tasks)); draw(6) == 0 && r.answers[tasks[k].Trace] == 0 && !gone[tasks[k].Trace] {
				gone[tasks[k].Trace] = true
				r.ClientDisconnected(tasks[k])
			}
		}
		r.run(3 * time.Second)
		for _, k := range tasks {
			if want := 1; !gone[k.Trace] && r.answers[k.Trace] != want || gone[k.Trace] && r.answers[k.Trace] != 0 {
				t.Fatalf("seed %d: %s got %d answers, gone %v", seed, k.Trace, r.answers[k.Trace], gone[k.Trace])
			}
		}
		if n := r.Counts(); n.Open != 0 || n.InFlight != 0 || len(r.commands) != 0 || len(r.dispatches) != 0 {
			t.Fatalf("seed %d: something is left: %+v", seed, n)
		}
	}
}

// One seed gives one run in virtual time.
func TestSameRunTwice(t *testing.T) {
	trace := func() []uint64 {
		r := newRig(settings())
		r.quiet = true
		for i := range 50 {
			r.take(fmt.Sprint("c", i), "read")
			r.run(time.Duration(i%7) * 5 * ms)
			if i%3 == 0 && len(r.sent) > 0 {
				r.outcome(len(r.sent)-1, policy.Served)
			}
		}
		return r.sent
	}
	if a, b := trace(), trace(); !slices.Equal(a, b) {
		t.Errorf("%v\n%v", a, b)
	}
}

// A full queue refuses; the clock never runs back; the loop ends with its context.
func TestLoop(t *testing.T) {
	l := NewLoop(2)
	r := newRig(settings())
	if !l.TryPost(func(*Core) {}) || !l.TryPost(func(*Core) {}) || l.TryPost(func(*Core) {}) {
		t.Error("a queue of two takes two")
	}
	if l.Now() < time.Duration(1e18) {
		t.Errorf("the clock stands near zero: %v", l.Now())
	}
	ctx, stop := context.WithCancel(context.Background())
	go l.Run(ctx, r.Core)
	var n atomic.Int64
	for range 1000 {
		l.Post(func(*Core) { n.Add(1) })
	}
	done := make(chan bool)
	l.Post(func(*Core) { close(done) })
	<-done
	stop()
	<-l.Done()
	if n.Load() != 1000 || l.Post(func(*Core) {}) && l.Post(func(*Core) {}) && l.Post(func(*Core) {}) {
		t.Errorf("%d events ran, or a loop that ended takes more", n.Load())
	}
}

// News goes before what is queued: a client that left before its command was taken leaves nothing to do.
func TestFirst(t *testing.T) {
	l := NewLoop(4)
	r := newRig(settings())
	r.quiet = true
	var order []string
	gone := &Request{Volume: "v", Class: "read", Object: "o", Units: 1, Respond: func(Response) { t.Error("an answer for nobody") }}
	l.Post(func(*Core) { order = append(order, "queued") })
	l.Post(func(c *Core) { c.Submit(gone) })
	l.PostUrgent(func(c *Core) { c.ClientDisconnected(gone); order = append(order, "first") })
	ctx, stop := context.WithCancel(context.Background())
	go l.Run(ctx, r.Core)
	done := make(chan bool)
	l.Post(func(*Core) { close(done) })
	<-done
	stop()
	<-l.Done()
	if !slices.Equal(order, []string{"first", "queued"}) || len(r.sent) > 0 || r.Counts().Received > 0 {
		t.Errorf("%v, %d sent, %+v", order, len(r.sent), r.Counts())
	}
}

// What waits for its connection never begins once its client left or its brick drains, also where settings let nothing
// be called off; what was written goes on.
func TestWithdrawn(t *testing.T) {
	for name, happens := range map[string]func(*rig, *Request){
		"left": func(r *rig, x *Request) { r.ClientDisconnected(x) },
		"drain": func(r *rig, _ *Request) {
			r.AuthoritativeList(false, []EndpointEntry{{Name: "a", Address: "1", Shard: 0}})
		},
	} {
		for _, written := range []bool{false, true} {
			s := settings()
			s.CanCancel = false
			r := newRig(s)
			r.quiet = true
			x := &Request{Volume: "v", Class: "read", Object: "o", Units: 1, Respond: func(Response) {}}
			r.Submit(x)
			r.unwritten = map[uint64]bool{r.sent[0]: !written}
			happens(r, x)
			if n := r.Counts(); (n.InFlight == 0) == written || (n.Outcomes[policy.NotSent] == 1) == written {
				t.Errorf("%s, written %v: %+v", name, written, n)
			}
		}
	}
}

// State stays flat over a long run.
func TestStateStaysFlat(t *testing.T) {
	r := newRig(settings())
	r.quiet = true
	measure := func() uint64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	round := func() {
		for range 5000 {
			r.take("x", "read")
			r.outcome(len(r.sent)-1, policy.Served)
			r.sent = r.sent[:0]
			r.run(2 * ms)
		}
	}
	round()
	before := measure()
	for range 8 {
		round()
	}
	if after := measure(); after > before+before/2+1<<20 {
		t.Errorf("heap grew from %d to %d bytes over 40,000 commands", before, after)
	}
}

// The whole loop's cost of a command, its module included, bricks that answer at once.
func BenchmarkCommand(b *testing.B) {
	r := newRig(settings())
	r.quiet = true
	b.ReportAllocs()
	for b.Loop() {
		t := &Request{Volume: "v", Class: "read", Object: "o", Units: 1, Respond: func(Response) {}}
		r.Submit(t)
		r.outcome(len(r.sent)-1, policy.Served)
		r.sent = r.sent[:0]
		r.Advance(r.Now() + 50*time.Microsecond)
	}
}
