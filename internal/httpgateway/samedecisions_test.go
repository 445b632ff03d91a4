package httpgateway

import (
	"bufio"
	"fmt"
	"io"
	"math/rand"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fastjson"

	"weirhaven/internal/engine"
	"weirhaven/internal/fleet/endpointstate"
	"weirhaven/internal/fleet/membership"
	"weirhaven/internal/httpgateway/config"
	"weirhaven/internal/simulatorwire"
	"weirhaven/policy"
)

// profileText is the settings for the script, in the format of the platform and the simulator.
const profileText = `{"balancers":2,"ordinal":0,"zone":"hall","discovery":"push","resolution_us":2000,
"limits":{"cancel":true,"max_attempts":3,"retry_after":true,"max_retry_after_us":1000000},"client_habits":{"marks_retry":true},
"contract":{"answer_slack_us":8000,"ask_within_us":1000000,"drain_grace_us":250000,"cold_from":0.2,"cold_us":10000000,"fall_multiple":2,"overload_for_us":1000000},
"family_info":{"usual_units":2,"units_top":8,"cold_units":10,"tells_elsewhere":true,"changes_data":[false,true]},
"classes":[{"name":"read","aim_us":200000,"give_up_us":1000000,"semantics":"repeatable","worth":1,"late_value":0.1},
{"name":"write","aim_us":300000,"give_up_us":1000000,"semantics":"once","worth":2,"late_value":0.1}],
"plans":[{"name":"plain","nominal":10,"never_over":0,"parts":1,"worth_factor":1},
{"name":"capped","nominal":10,"never_over":20,"cap_depth":10,"cap_slack":4,"parts":1,"worth_factor":1}]}`

// scriptEvent is an external event at a given time: an endpoint list or a request.
type scriptEvent struct {
	at      time.Duration
	serving []string // of an endpoint list: the serving endpoints among a and b; nil: the event is a request
	id      int64    // of a request, as are the fields below
	class   string
	plan    string
	units   int
	shard   int
}

const origin = 1000 * time.Second

func script() (events []scriptEvent) {
	rng := rand.New(rand.NewSource(4))
	events = append(events, scriptEvent{at: origin, serving: []string{"a", "b"}})
	at := origin
	for i := range 400 {
		at += time.Duration(rng.Intn(9000)+1) * time.Microsecond
		events = append(events, scriptEvent{at: at, id: int64(i + 1), class: []string{"read", "write"}[rng.Intn(2)],
			plan: []string{"plain", "capped"}[rng.Intn(2)], units: 1 + rng.Intn(3), shard: rng.Intn(2)})
	}
	events = append(events, scriptEvent{at: origin + 700*ms + 1, serving: []string{"a"}}, scriptEvent{at: origin + 1100*ms + 1, serving: []string{"a", "b"}})
	slices.SortStableFunc(events, func(a, b scriptEvent) int { return int(a.at - b.at) })
	return events
}

// serviceOf returns the duration of an attempt and how it ends. Both depend only on the request id.
func serviceOf(id int64) (time.Duration, string) {
	rng := rand.New(rand.NewSource(id))
	return time.Duration(rng.Intn(60000)+1) * time.Microsecond, []string{"S", "S", "S", "E", "F"}[rng.Intn(5)]
}

// viaSimulatorWire runs the script through the simulator adapter and returns the decisions.
func viaSimulatorWire(t *testing.T) (trace []string) {
	in, input := io.Pipe()
	replies, out := io.Pipe()
	go func() { out.CloseWithError(simulatorwire.Serve(in, out)) }()
	defer input.Close()
	lines := bufio.NewReaderSize(replies, 1<<20)
	type due struct {
		at   time.Duration
		seq  int
		text string
		end  bool
	}
	var queue []due
	seq := 0
	add := func(at time.Duration, end bool, format string, args ...any) {
		seq++
		queue = append(queue, due{at, seq, fmt.Sprintf(format, args...), end})
	}
	add(origin-ms, false, `{"kind":"enlist","seed":7,"profile_data":%s}`, strings.ReplaceAll(profileText, "\n", ""))
	for _, event := range script() {
		if event.serving != nil {
			var entries []string
			for i, attempts := range []string{"a", "b"} {
				status := "DRAINING"
				if slices.Contains(event.serving, attempts) {
					status = "SERVING"
				}
				entries = append(entries, fmt.Sprintf(`{"brick":%q,"region_part":"hall","group":%d,"status":%q}`, attempts, i, status))
			}
			add(event.at, false, `{"kind":"sheet","buffer":0,"lines":[%s]},{"kind":"view","form":"FULL","buffer":0,"index":1}`, strings.Join(entries, ","))
			continue
		}
		add(event.at, false, `{"kind":"knock","rid":%d,"cls":%q,"group_no":%d,"grade":%q,"n_hosts":2,"weight":%d,"give_up_at_us":%d,"owner":"v","object":"o%d"}`,
			event.id, event.class, event.shard, event.plan, event.units, (event.at + time.Second).Microseconds(), event.id)
	}
	attempts := map[int64]int{}
	var p fastjson.Parser
	for len(queue) > 0 {
		slices.SortStableFunc(queue, func(a, b due) int { return int(a.at - b.at) })
		e := queue[0]
		queue = queue[1:]
		if e.at > origin+4*time.Second {
			break
		}
		fmt.Fprintf(input, `{"ts_us":%d,"parts":[{"host_id":1,"news":[%s]}]}`+"\n", e.at.Microseconds(), e.text)
		line, err := lines.ReadString('\n')
		if err != nil {
			t.Fatal(err)
		}
		v, _ := p.Parse(line)
		for _, part := range v.GetArray("parts") {
			for _, a := range part.GetArray("do") {
				id := a.GetInt64("rid")
				switch kind := string(a.GetStringBytes("kind")); kind {
				case "remind":
					add(e.at+time.Duration(a.GetInt64("after_us"))*time.Microsecond, false, `{"kind":"timeout_fired","cookie":%q}`, a.GetStringBytes("cookie"))
				case "relay":
					brick := string(a.GetStringBytes("brick"))
					trace = append(trace, fmt.Sprint((e.at-origin).Microseconds(), " attempt ", id, " ", brick))
					duration, ending := serviceOf(id)
					add(e.at+duration, true, `{"kind":"reply","rid":%d,"brick":%q,"n":%d,"last":%v,"cost_time_us":%d,"ending":%q,"elsewhere":1}`,
						id, brick, attempts[id], ending == "S", duration.Microseconds(), ending)
					attempts[id]++
				case "push_back", "drop_request":
					trace = append(trace, fmt.Sprint((e.at-origin).Microseconds(), " ", map[string]string{"push_back": "rejected", "drop_request": "failed"}[kind], " ", id))
				}
			}
		}
	}
	return trace
}

// recordingOutbound records the attempts that the engine sends and completes each after the duration from serviceOf.
type recordingOutbound struct {
	outbound
	core  *engine.Core
	trace []string
	due   []func()
	dueAt []time.Duration
}

type recordingConn struct {
	outbound *recordingOutbound
	endpoint string
}

func (n *recordingOutbound) Connect(endpoint, _ string) engine.EndpointConn {
	return &recordingConn{n, endpoint}
}

func (n *recordingOutbound) Log(string) {}

func (n *recordingOutbound) SendMembership(string, membership.Message) {}

func (n *recordingOutbound) SendEndpoints(string, time.Duration, []endpointstate.Report) {}

func (n *recordingOutbound) record(format string, args ...any) {
	n.trace = append(n.trace, fmt.Sprintf(format, args...))
}

func (n *recordingOutbound) schedule(at time.Duration, f func()) {
	n.dueAt, n.due = append(n.dueAt, at), append(n.due, f)
}

func (l *recordingConn) Cancel(uint64) {}

func (l *recordingConn) Withdraw(uint64) bool { return false }

func (l *recordingConn) RequestGreeting() {}

func (l *recordingConn) Abandon(uint64) {}

func (l *recordingConn) CheckHealth(uint64) {}

func (l *recordingConn) Close() {}

func (l *recordingConn) Send(id uint64, request *engine.Request, _ int, _, _ time.Duration) {
	now, requestID := l.outbound.core.Now(), int64(0)
	fmt.Sscan(request.Trace, &requestID)
	l.outbound.record("%d attempt %d %s", (now - origin).Microseconds(), requestID, l.endpoint)
	duration, ending := serviceOf(requestID)
	outcome := map[string]policy.Outcome{"S": policy.Served, "E": policy.ErrorResponse, "F": policy.Rejected}[ending]
	l.outbound.schedule(now+duration, func() {
		l.outbound.core.AttemptEnded(engine.AttemptReport{Endpoint: l.endpoint, ID: id, Outcome: outcome, SeenAt: now + duration,
			Load: policy.LoadReport{ServedElsewhere: 1}})
	})
}

// viaEngine runs the script through the engine in the same way as the gateway and returns the decisions.
func viaEngine(t *testing.T) []string {
	settings, err := config.ParseSettings(fastjson.MustParse(profileText), 7)
	if err != nil {
		t.Fatal(err)
	}
	outbound := &recordingOutbound{}
	outbound.core = engine.New(settings, endpointstate.Rules{}, func(event policy.Runtime, settings policy.Settings) engine.Scheduler {
		return policy.New(event, settings)
	}, outbound, nil,
		time.Second, origin-ms)
	for _, event := range script() {
		if event.serving != nil {
			var entries []engine.EndpointEntry
			for i, name := range []string{"a", "b"} {
				entries = append(entries, engine.EndpointEntry{Name: name, Address: name, Zone: "hall", Shard: i, Serving: slices.Contains(event.serving, name)})
			}
			outbound.schedule(event.at, func() { outbound.core.AuthoritativeList(true, entries) })
			continue
		}
		outbound.schedule(event.at, func() {
			outbound.core.Submit(&engine.Request{Volume: "v", Plan: event.plan, Gateways: 2, Class: event.class, Object: fmt.Sprint("o", event.id), Trace: fmt.Sprint(event.id),
				Shard: event.shard, Units: float64(event.units), Timeout: time.Second, ReceivedAt: event.at, Respond: func(a engine.Response) {
					switch a.Result {
					case engine.Rejected:
						outbound.record("%d rejected %d", (outbound.core.Now() - origin).Microseconds(), event.id)
					case engine.Failed:
						outbound.record("%d failed %d", (outbound.core.Now() - origin).Microseconds(), event.id)
					}
				}})
		})
	}
	outbound.schedule(origin+4*time.Second, func() {})
	for len(outbound.due) > 0 {
		first := 0
		for i, at := range outbound.dueAt {
			if at < outbound.dueAt[first] {
				first = i
			}
		}
		at, f := outbound.dueAt[first], outbound.due[first]
		if next, ok := outbound.core.NextTimer(); ok && next <= at { // the timer may schedule events that are due before the others
			outbound.core.Advance(next)
			continue
		}
		outbound.dueAt, outbound.due = slices.Delete(outbound.dueAt, first, first+1), slices.Delete(outbound.due, first, first+1)
		outbound.core.Advance(at)
		f()
	}
	return outbound.trace
}

// The scheduler is tuned on the simulator and runs in the gateway. If the gateway reported the same events to it differently, its
// decisions would differ from the measured ones. The same requests, lists and outcomes must lead to the same decisions at the
// same times.
func TestSameDecisions(t *testing.T) {
	bySimulator, byEngine := viaSimulatorWire(t), viaEngine(t)
	if len(bySimulator) < 300 {
		t.Fatalf("only %d decisions", len(bySimulator))
	}
	for i := range min(len(bySimulator), len(byEngine)) {
		if bySimulator[i] != byEngine[i] {
			t.Fatalf("decision %d of %d and %d: simulator %q, engine %q", i, len(bySimulator), len(byEngine), bySimulator[i], byEngine[i])
		}
	}
	if len(bySimulator) != len(byEngine) {
		t.Errorf("%d decisions by the simulator, %d by the engine", len(bySimulator), len(byEngine))
	}
}
