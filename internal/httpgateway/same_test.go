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

const profile = `{"balancers":2,"ordinal":0,"zone":"hall","discovery":"push","resolution_us":2000,
"limits":{"cancel":true,"max_attempts":3,"retry_after":true,"max_retry_after_us":1000000},"client_habits":{"marks_retry":true},
"contract":{"answer_slack_us":8000,"ask_within_us":1000000,"drain_grace_us":250000,"cold_from":0.2,"cold_us":10000000,"fall_multiple":2,"overload_for_us":1000000},
"family_info":{"usual_units":2,"units_top":8,"cold_units":10,"tells_elsewhere":true,"changes_data":[false,true]},
"classes":[{"name":"read","aim_us":200000,"give_up_us":1000000,"semantics":"repeatable","worth":1,"late_value":0.1},
{"name":"write","aim_us":300000,"give_up_us":1000000,"semantics":"once","worth":2,"late_value":0.1}],
"plans":[{"name":"plain","nominal":10,"never_over":0,"parts":1,"worth_factor":1},
{"name":"capped","nominal":10,"never_over":20,"cap_depth":10,"cap_slack":4,"parts":1,"worth_factor":1}]}`

// happening is what comes to a host from outside, at a time.
type happening struct {
	at    time.Duration
	order int
	list  []string // of names that serve, all bricks being a and b
	rid   int64    // a command
	queue string
	plan  string
	units int
	cell  int
}

const origin = 1000 * time.Second

func script() (all []happening) {
	r := rand.New(rand.NewSource(4))
	all = append(all, happening{at: origin, list: []string{"a", "b"}})
	at := origin
	for i := range 400 {
		at += time.Duration(r.Intn(9000)+1) * time.Microsecond
		all = append(all, happening{at: at, rid: int64(i + 1), queue: []string{"read", "write"}[r.Intn(2)],
			plan: []string{"plain", "capped"}[r.Intn(2)], units: 1 + r.Intn(3), cell: r.Intn(2)})
	}
	all = append(all, happening{at: origin + 700*ms + 1, list: []string{"a"}}, happening{at: origin + 1100*ms + 1, list: []string{"a", "b"}})
	slices.SortStableFunc(all, func(a, b happening) int { return int(a.at - b.at) })
	return all
}

// service is how long a brick takes and how it ends, drawn from the command alone.
func service(rid int64) (time.Duration, string) {
	r := rand.New(rand.NewSource(rid))
	return time.Duration(r.Intn(60000)+1) * time.Microsecond, []string{"S", "S", "S", "E", "F"}[r.Intn(5)]
}

// byWire plays the script through the bench's adapter.
func byWire(t *testing.T) (trace []string) {
	in, feed := io.Pipe()
	tell, out := io.Pipe()
	go func() { out.CloseWithError(simulatorwire.Serve(in, out)) }()
	defer feed.Close()
	lines := bufio.NewReaderSize(tell, 1<<20)
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
	add(origin-ms, false, `{"kind":"enlist","seed":7,"profile_data":%s}`, strings.ReplaceAll(profile, "\n", ""))
	for _, h := range script() {
		if h.list != nil {
			var bricks []string
			for i, n := range []string{"a", "b"} {
				status := "DRAINING"
				if slices.Contains(h.list, n) {
					status = "SERVING"
				}
				bricks = append(bricks, fmt.Sprintf(`{"brick":%q,"region_part":"hall","group":%d,"status":%q}`, n, i, status))
			}
			add(h.at, false, `{"kind":"sheet","buffer":0,"lines":[%s]},{"kind":"view","form":"FULL","buffer":0,"index":1}`, strings.Join(bricks, ","))
			continue
		}
		add(h.at, false, `{"kind":"knock","rid":%d,"cls":%q,"group_no":%d,"grade":%q,"n_hosts":2,"weight":%d,"give_up_at_us":%d,"owner":"v","object":"o%d"}`,
			h.rid, h.queue, h.cell, h.plan, h.units, (h.at + time.Second).Microseconds(), h.rid)
	}
	n := map[int64]int{}
	var p fastjson.Parser
	for len(queue) > 0 {
		slices.SortStableFunc(queue, func(a, b due) int { return int(a.at - b.at) })
		e := queue[0]
		queue = queue[1:]
		if e.at > origin+4*time.Second {
			break
		}
		fmt.Fprintf(feed, `{"ts_us":%d,"parts":[{"host_id":1,"news":[%s]}]}`+"\n", e.at.Microseconds(), e.text)
		line, err := lines.ReadString('\n')
		if err != nil {
			t.Fatal(err)
		}
		v, _ := p.Parse(line)
		for _, part := range v.GetArray("parts") {
			for _, a := range part.GetArray("do") {
				rid := a.GetInt64("rid")
				switch kind := string(a.GetStringBytes("kind")); kind {
				case "remind":
					add(e.at+time.Duration(a.GetInt64("after_us"))*time.Microsecond, false, `{"kind":"timeout_fired","cookie":%q}`, a.GetStringBytes("cookie"))
				case "relay":
					brick := string(a.GetStringBytes("brick"))
					trace = append(trace, fmt.Sprint((e.at-origin).Microseconds(), " dispatch ", rid, " ", brick))
					took, how := service(rid)
					add(e.at+took, true, `{"kind":"reply","rid":%d,"brick":%q,"n":%d,"last":%v,"cost_time_us":%d,"ending":%q,"elsewhere":1}`,
						rid, brick, n[rid], how == "S", took.Microseconds(), how)
					n[rid]++
				case "push_back", "drop_request":
					trace = append(trace, fmt.Sprint((e.at-origin).Microseconds(), " ", map[string]string{"push_back": "busy", "drop_request": "abort"}[kind], " ", rid))
				}
			}
		}
	}
	return trace
}

// noting is a host's ways out that note what goes out and answer after the same times.
type noting struct {
	outbound
	core  *engine.Core
	trace []string
	due   []func()
	at    []time.Duration
}

type notedLine struct {
	n     *noting
	brick string
}

func (n *noting) Connect(brick, address string) engine.EndpointConn           { return &notedLine{n, brick} }
func (n *noting) Log(string)                                                  {}
func (n *noting) SendMembership(string, membership.Message)                   {}
func (n *noting) SendEndpoints(string, time.Duration, []endpointstate.Report) {}
func (n *noting) say(format string, args ...any) {
	n.trace = append(n.trace, fmt.Sprintf(format, args...))
}
func (n *noting) add(at time.Duration, f func()) { n.at, n.due = append(n.at, at), append(n.due, f) }
func (l *notedLine) Cancel(uint64)               {}
func (l *notedLine) Withdraw(uint64) bool        { return false }
func (l *notedLine) RequestGreeting()            {}
func (l *notedLine) Abandon(uint64)              {}
func (l *notedLine) CheckHealth(uint64)          {}
func (l *notedLine) Close()                      {}
func (l *notedLine) Send(id uint64, t *engine.Request, _ int, _, _ time.Duration) {
	now, rid := l.n.core.Now(), int64(0)
	fmt.Sscan(t.Trace, &rid)
	l.n.say("%d dispatch %d %s", (now - origin).Microseconds(), rid, l.brick)
	took, how := service(rid)
	ending := map[string]policy.Outcome{"S": policy.Served, "E": policy.ErrorResponse, "F": policy.Rejected}[how]
	l.n.add(now+took, func() {
		l.n.core.AttemptEnded(engine.AttemptReport{Endpoint: l.brick, ID: id, Outcome: ending, SeenAt: now + took,
			Load: policy.LoadReport{ServedElsewhere: 1}})
	})
}

// byHost plays the script through the host loop as the platform drives it.
func byHost(t *testing.T) []string {
	s, err := config.Settings(fastjson.MustParse(profile), 7)
	if err != nil {
		t.Fatal(err)
	}
	n := &noting{}
	n.core = engine.New(s, endpointstate.Rules{}, func(h policy.Runtime, s policy.Settings) engine.Scheduler { return policy.New(h, s) }, n, nil,
		time.Second, origin-ms)
	for _, h := range script() {
		if h.list != nil {
			var lines []engine.EndpointEntry
			for i, name := range []string{"a", "b"} {
				lines = append(lines, engine.EndpointEntry{Name: name, Address: name, Zone: "hall", Shard: i, Serving: slices.Contains(h.list, name)})
			}
			n.add(h.at, func() { n.core.AuthoritativeList(true, lines) })
			continue
		}
		n.add(h.at, func() {
			n.core.Submit(&engine.Request{Volume: "v", Plan: h.plan, Gateways: 2, Class: h.queue, Object: fmt.Sprint("o", h.rid), Trace: fmt.Sprint(h.rid),
				Shard: h.cell, Units: float64(h.units), Timeout: time.Second, ReceivedAt: h.at, Respond: func(a engine.Response) {
					switch a.Result {
					case engine.Rejected:
						n.say("%d busy %d", (n.core.Now() - origin).Microseconds(), h.rid)
					case engine.Failed:
						n.say("%d abort %d", (n.core.Now() - origin).Microseconds(), h.rid)
					}
				}})
		})
	}
	n.add(origin+4*time.Second, func() {})
	for len(n.due) > 0 {
		first := 0
		for i, at := range n.at {
			if at < n.at[first] {
				first = i
			}
		}
		at, f := n.at[first], n.due[first]
		if next, ok := n.core.Next(); ok && next <= at { // what it brings may be due before the rest
			n.core.Advance(next)
			continue
		}
		n.at, n.due = slices.Delete(n.at, first, first+1), slices.Delete(n.due, first, first+1)
		n.core.Advance(at)
		f()
	}
	return n.trace
}

// What happens to a real host and to one on the bench's wire is told to the module alike: the same commands, lists and
// outcomes give the same decisions at the same times.
func TestSameDecisions(t *testing.T) {
	wire, host := byWire(t), byHost(t)
	if len(wire) < 300 {
		t.Fatalf("only %d decisions", len(wire))
	}
	for i := range min(len(wire), len(host)) {
		if wire[i] != host[i] {
			t.Fatalf("decision %d of %d and %d: by wire %q, in the host %q", i, len(wire), len(host), wire[i], host[i])
		}
	}
	if len(wire) != len(host) {
		t.Errorf("%d decisions by wire, %d in the host", len(wire), len(host))
	}
}
