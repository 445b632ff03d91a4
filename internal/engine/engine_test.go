package engine

import (
	"fmt"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"

	"weirhaven/internal/fleet/endpointstate"
	"weirhaven/internal/fleet/membership"
	"weirhaven/policy"
)

const ms = time.Millisecond

// start is the initial time of the tests' clock: far from zero, like a wall clock's.
const start = time.Duration(1e18)

func settings() policy.Settings {
	return policy.Settings{Seed: 1, Gateways: 1, CanCancel: true, MaxAttempts: 3, TimerResolution: 5 * ms, TypicalUnits: 1,
		SlowStartShare: 0.2, SlowStartTime: 10 * time.Second, SlowStartUnits: 8, OverloadFactor: 2, OverloadWindow: time.Second, MaxRetryAfter: time.Second,
		Classes: []policy.RequestClass{
			{Name: "read", LatencyObjective: 200 * ms, Timeout: time.Second, PriorityWeight: 1},
			{Name: "once", LatencyObjective: 200 * ms, Timeout: time.Second, PriorityWeight: 1, Idempotency: policy.NotIdempotent},
			{Name: "stream", LatencyObjective: 200 * ms, Timeout: 300 * ms, PriorityWeight: 1}},
		Plans: []policy.ServicePlan{{Name: "plain", NominalRate: 10, Weight: 1}}}
}

// testEngine is a Core in virtual time that prints and records its outgoing calls. It has one endpoint, a, of shard 0.
type testEngine struct {
	*Core
	quiet     bool            // disables printing
	sent      []uint64        // IDs of the attempts sent, in order
	unwritten map[uint64]bool // IDs of attempts that still wait for a connection
	responses map[string]int  // number of responses by trace
}

func newTestEngine(s policy.Settings) *testEngine {
	e := &testEngine{responses: map[string]int{}}
	rules := endpointstate.Rules{Fresh: time.Hour, Expire: 9 * time.Hour, StartTolerance: 500 * ms}
	newScheduler := func(runtime policy.Runtime, s policy.Settings) Scheduler { return policy.New(runtime, s) }
	lookupVolume := func(name string) (string, int, bool) { return "plain", 1, name != "nobody" }
	e.Core = New(s, rules, newScheduler, e, lookupVolume, 100*ms, start)
	e.EndpointList(endpointstate.Generation{}, true, []EndpointEntry{{Name: "a", Address: "1", Shard: 0, Serving: true}})
	return e
}

func newQuietEngine(s policy.Settings) *testEngine {
	e := newTestEngine(s)
	e.quiet = true
	return e
}

func (e *testEngine) print(format string, args ...any) {
	if !e.quiet {
		fmt.Printf("%5d ms  %s\n", (e.Now()-start)/ms, fmt.Sprintf(format, args...))
	}
}

// run advances the clock by duration and fires the timers that become due.
func (e *testEngine) run(duration time.Duration) {
	for until := e.Now() + duration; ; {
		dueAt, ok := e.NextTimer()
		if !ok || dueAt > until {
			e.Advance(until)
			return
		}
		e.Advance(dueAt)
	}
}

func (e *testEngine) submit(trace, class string) *Request {
	request := &Request{Volume: "v", Class: class, Object: trace, Trace: trace, Units: 1}
	request.Respond = func(response Response) {
		e.responses[trace]++
		e.print("%s", strings.TrimSpace(fmt.Sprintf("%s %v, may have run %v %s", trace, response.Result, response.MayHaveRun, response.Reason)))
	}
	request.ResponseStarted = func() { e.print("%s begins to stream", trace) }
	e.Submit(request)
	return request
}

// submitSilent submits a request whose response is ignored.
func (e *testEngine) submitSilent() *Request {
	request := &Request{Volume: "v", Class: "read", Object: "o", Units: 1, Respond: func(Response) {}}
	e.Submit(request)
	return request
}

// endAttempt reports the outcome of the i-th attempt sent.
func (e *testEngine) endAttempt(i int, outcome policy.Outcome) {
	e.AttemptEnded(AttemptReport{Endpoint: "a", ID: e.sent[i], Outcome: outcome})
}

func (e *testEngine) Connect(name, _ string) EndpointConn                         { return &recordingConn{e, name} }
func (e *testEngine) RequestEndpointList()                                        {}
func (e *testEngine) SendGossip([]byte)                                           {}
func (e *testEngine) SendMembership(string, membership.Message)                   {}
func (e *testEngine) SendEndpoints(string, time.Duration, []endpointstate.Report) {}
func (e *testEngine) MembersChanged([]membership.Member)                          {}
func (e *testEngine) Log(line string)                                             { e.print("log: %s", line) }

// recordingConn is a connection that prints the calls that it gets; the tests report the outcomes.
type recordingConn struct {
	engine   *testEngine
	endpoint string
}

func (c *recordingConn) Send(id uint64, request *Request, number int, remaining, _ time.Duration) {
	c.engine.sent = append(c.engine.sent, id)
	c.engine.print("%s.%d goes to %s, %v left", request.Trace, number, c.endpoint, remaining)
}
func (c *recordingConn) Cancel(uint64)  { c.engine.print("cancel at %s", c.endpoint) }
func (c *recordingConn) Abandon(uint64) {}
func (c *recordingConn) Withdraw(id uint64) bool {
	if c.engine.unwritten[id] {
		c.engine.print("withdraw at %s", c.endpoint)
	}
	return c.engine.unwritten[id]
}
func (c *recordingConn) RequestGreeting()   { c.engine.print("request a greeting of %s", c.endpoint) }
func (c *recordingConn) CheckHealth(uint64) { c.engine.print("check health of %s", c.endpoint) }
func (c *recordingConn) Close()             { c.engine.print("close the connection to %s", c.endpoint) }

// Guards the reproducibility of simulations, which are replayed to analyze their results: two runs with the same seed in
// virtual time must be identical, so no decision may depend on a map's iteration order or on the real clock.
func TestDeterministic(t *testing.T) {
	trace := func() []uint64 {
		e := newQuietEngine(settings())
		for i := range 50 {
			e.submit(fmt.Sprint("c", i), "read")
			e.run(time.Duration(i%7) * 5 * ms)
			if i%3 == 0 && len(e.sent) > 0 {
				e.endAttempt(len(e.sent)-1, policy.Served)
			}
		}
		return e.sent
	}
	if first, second := trace(), trace(); !slices.Equal(first, second) {
		t.Errorf("%v\n%v", first, second)
	}
}

// Guards against a memory leak per request, since a gateway runs for months: the heap must not grow with the number of
// requests served.
func TestHeapStaysFlat(t *testing.T) {
	e := newQuietEngine(settings())
	heapBytes := func() uint64 {
		var stats runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&stats)
		return stats.HeapAlloc
	}
	serveMany := func() {
		for range 5000 {
			e.submit("x", "read")
			e.endAttempt(len(e.sent)-1, policy.Served)
			e.sent = e.sent[:0]
			e.run(2 * ms)
		}
	}
	serveMany()
	before := heapBytes()
	for range 8 {
		serveMany()
	}
	if after := heapBytes(); after > before+before/2+1<<20 {
		t.Errorf("heap grew from %d to %d bytes over 40,000 requests", before, after)
	}
}

// BenchmarkRequest measures the cost of a request in the engine and its scheduler with an endpoint that responds at once.
func BenchmarkRequest(b *testing.B) {
	e := newQuietEngine(settings())
	b.ReportAllocs()
	for b.Loop() {
		e.submitSilent()
		e.endAttempt(len(e.sent)-1, policy.Served)
		e.sent = e.sent[:0]
		e.Advance(e.Now() + 50*time.Microsecond)
	}
}
