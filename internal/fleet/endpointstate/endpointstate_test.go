package endpointstate

import (
	"flag"
	"fmt"
	"net/netip"
	"os"
	"strings"
	"testing"
	"time"

	"go4.org/netipx"
	"pgregory.net/rapid"
)

const s = time.Second

// TestMain fixes the seed of rapid, so that each run checks the same cases. -rapid.seed overrides it.
func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		flag.Set("rapid.seed", "7")
	}
	flag.Set("rapid.checks", "2000")
	os.Exit(m.Run())
}

// recordingSink records the last notification about each endpoint, and all notifications in order.
type recordingSink struct {
	serving       map[string]bool
	startedAt     map[string]time.Duration
	notifications []string
}

func (m *recordingSink) EndpointChanged(name, address, _ string, _ int, serving, removed bool, startedAt time.Duration) {
	m.serving[name], m.startedAt[name] = serving, startedAt
	m.notifications = append(m.notifications, fmt.Sprintf("%s %s serving %v removed %v started at %v", name, address, serving, removed, startedAt))
}

func rules() Rules {
	return Rules{Fresh: 60 * s, Expire: 1000 * s, StartTolerance: 500 * time.Millisecond, GreetingValid: 100 * s}
}

func newFleet(r Rules) (*Fleet, *recordingSink, *[]string) {
	m := &recordingSink{serving: map[string]bool{}, startedAt: map[string]time.Duration{}}
	log := &[]string{}
	return New(r, m, func(l string) { *log = append(*log, l) }), m, log
}

func report(name string, serving bool, started time.Duration) Report {
	return Report{Name: name, Address: "127.0.0.1:1" + name[1:], Serving: serving, Started: started}
}

func servingReports(names ...string) (all []Report) {
	for _, n := range names {
		all = append(all, report(n, true, 0))
	}
	return all
}

// A gateway restarts while the discovery service is down. Saved beliefs must be trusted according to their age. A doubted
// endpoint must be notified as just started until its greeting reports the real start or bars it.
func TestSavedBeliefsAreTrustedByAge(t *testing.T) {
	f, _, _ := newFleet(rules())
	f.ListReceived(Generation{"e", 7}, true, servingReports("b1", "b2"), 1000*s)
	saved, last := f.Beliefs(), f.LastGeneration()
	for age, want := range map[time.Duration]Trust{5 * s: Trusted, 100 * s: Doubted, -50 * s: Doubted} {
		f, m, _ := newFleet(rules())
		f.Restore(saved, last, 1000*s+age)
		if b := f.Beliefs()[0]; b.Trust != want || !m.serving["b1"] || want == Doubted && m.startedAt["b1"] != 1000*s+age {
			t.Errorf("age %v: %v, started at %v", age, b.Trust, m.startedAt["b1"])
		}
		f.Greeted("b1", "127.0.0.1:11", 300*s, false, 1001*s+age)
		if b := f.Beliefs()[0]; b.Trust != Trusted || m.startedAt["b1"] != 300*s || b.Source != SelfReported {
			t.Errorf("age %v: the endpoint's greeting was not applied: %+v", age, b)
		}
		f.Greeted("b2", "127.0.0.1:12", 0, true, 1001*s+age)
		if f.Beliefs()[1].Trust != Barred || m.serving["b2"] {
			t.Error("an endpoint that greets as draining is not barred")
		}
	}
}

// A drained endpoint must not serve again because a lagging list or peer reports that it serves, or because the gateway
// restarts. Only a later start, or an operator's order to forget it, ends the drain, whichever source reported it.
func TestDrainTakesPrecedence(t *testing.T) {
	f, m, _ := newFleet(rules())
	f.ListReceived(Generation{"e", 1}, true, []Report{report("b1", true, 100*s), report("b2", true, 0)}, 200*s)
	f.PeerReported([]Report{{Name: "b1", ObservedAt: 210 * s, Started: 100 * s}}, 211*s)
	f.ListReceived(Generation{"e", 2}, false, []Report{report("b2", false, 0)}, 212*s)
	f.ListReceived(Generation{"e", 3}, true, []Report{report("b1", true, 100*s), report("b2", true, 0)}, 220*s)
	f.Greeted("b1", "127.0.0.1:11", 100*s+time.Millisecond, false, 230*s)
	f.Greeted("b2", "127.0.0.1:12", 90*s, false, 230*s)
	f.Answered("b1", 231*s)
	if m.serving["b1"] || m.serving["b2"] {
		t.Fatal("a drained endpoint serves again without a new start")
	}
	saved, last := f.Beliefs(), f.LastGeneration()
	f, m, _ = newFleet(rules())
	f.Restore(saved, last, 240*s)
	if m.serving["b1"] || m.serving["b2"] {
		t.Fatal("a restart forgot the drains")
	}
	f.ListReceived(Generation{"e", 4}, false, []Report{report("b1", true, 235*s), report("b2", true, 236*s)}, 241*s)
	if !m.serving["b1"] || !m.serving["b2"] || m.startedAt["b1"] != 235*s {
		t.Errorf("the endpoints started again and still do not serve: %+v", f.Beliefs())
	}
	f.PeerReported([]Report{{Name: "b1", ObservedAt: 242 * s, Started: 100 * s}}, 242*s)
	if !m.serving["b1"] {
		t.Error("the drain of an earlier process barred a later one")
	}
	if f.ListReceived(Generation{"e", 5}, false, []Report{report("b1", false, 235*s)}, 250*s); m.serving["b1"] || !f.Forget("b1") || f.Forget("b1") {
		t.Error("a drain was not applied, or Forget did not delete the endpoint exactly once")
	}
	if f.ListReceived(Generation{"e", 6}, false, []Report{report("b1", true, 235*s)}, 252*s); !m.serving["b1"] {
		t.Error("an operator's forget did not lift the drain")
	}
}

// The discovery service returns with an old replica's list, with half of its data, or with none. A list whose number does not
// increase must be treated as stale, whatever the clock reads. A list that drops more than half of the endpoints must not
// remove any until a second list confirms it.
func TestStaleAndImplausibleLists(t *testing.T) {
	f, m, log := newFleet(rules())
	f.ListReceived(Generation{"e", 9}, true, servingReports("b1", "b2", "b3", "b4"), 10*s)
	if f.ListReceived(Generation{"e", 3}, true, append(servingReports("b1"), report("b2", false, 0), report("b9", true, 0)), 20*s) {
		t.Error("a list with a lower number was accepted")
	}
	if !m.serving["b3"] || m.serving["b2"] || f.Beliefs()[4].Trust != Doubted {
		t.Errorf("%+v", f.Beliefs())
	}
	f.ListReceived(Generation{"e", 10}, true, nil, 30*s)
	if !m.serving["b1"] || f.Beliefs()[0].Trust != Doubted || m.startedAt["b1"] != 30*s {
		t.Errorf("an empty list removed all endpoints, or did not make them doubted: %+v", f.Beliefs()[0])
	}
	f.Greeted("b1", "127.0.0.1:11", 1*s, false, 31*s)
	f.ListReceived(Generation{"e", 11}, true, servingReports("b1", "b3", "b4"), 40*s)
	if b := f.Beliefs(); b[0].Trust != Trusted || b[2].Trust != Trusted || m.serving["b9"] && b[4].Trust == Trusted {
		t.Errorf("%+v", b)
	}
	f.ListReceived(Generation{"e", 12}, true, nil, 50*s)
	f.ListReceived(Generation{"e", 13}, true, nil, 60*s)
	if m.serving["b1"] || m.serving["b3"] {
		t.Error("endpoints still serve after two lists omitted them")
	}
	f.Greeted("b1", "127.0.0.1:11", 1*s, false, 61*s)
	f.PeerReported([]Report{report("b3", true, 0)}, 61*s)
	if m.serving["b1"] || m.serving["b3"] {
		t.Error("another source restored endpoints that a list removed")
	}
	f.ListReceived(Generation{"e", 14}, true, servingReports("b1", "b3"), 70*s)
	if !m.serving["b1"] || !m.serving["b3"] {
		t.Error("a later list did not restore the endpoints that it names")
	}
	if !strings.Contains(fmt.Sprint(*log), "doubted until a second list omits them") {
		t.Errorf("%q", *log)
	}
}

// A forged list with addresses outside the networks must be rejected. An endpoint whose address was taken over must become
// doubted, and a greeting from an endpoint that no list names must be ignored. When all sources go silent, trust must expire
// and then the belief, except for endpoints from the settings.
func TestAddressesExpiryAndSettings(t *testing.T) {
	r := rules()
	var b netipx.IPSetBuilder
	b.AddPrefix(netip.MustParsePrefix("127.0.0.0/8"))
	r.Networks, _ = b.IPSet()
	f, m, log := newFleet(r)
	far := Report{Name: "x1", Address: "192.0.2.1:80", Serving: true}
	for n := range 3 {
		f.ListReceived(Generation{"e", int64(n + 1)}, false, []Report{far, report("b1", true, 0), {Name: "x2", Address: "nonsense", Serving: true}}, 10*s)
	}
	if len(f.Beliefs()) != 1 || len(*log) != 2 {
		t.Errorf("%+v %q", f.Beliefs(), *log)
	}
	f.Greeted("b7", "127.0.0.1:17", 0, false, 11*s)
	f.WrongEndpoint("b1", "127.0.0.1:99", 11*s)
	if len(f.Beliefs()) != 1 || f.Beliefs()[0].Trust != Trusted {
		t.Error("a greeting from an unknown endpoint, or one at an earlier address, changed the beliefs")
	}
	f.WrongEndpoint("b1", "127.0.0.1:11", 12*s)
	if f.Beliefs()[0].Trust != Doubted || len(f.Doubtful()) != 1 {
		t.Error("another endpoint answers at the address, but the belief is not doubted")
	}
	f.Answered("b1", 13*s)
	f.Tick(60 * s)
	if f.Beliefs()[0].Trust != Trusted {
		t.Error("an endpoint that answered within Rules.Fresh is not trusted")
	}
	f.Tick(80 * s)
	if f.Beliefs()[0].Trust != Doubted || m.startedAt["b1"] != 0 {
		t.Errorf("an endpoint that answered within GreetingValid was put into slow start, or is not doubted: started at %v", m.startedAt["b1"])
	}
	f.Tick(2000 * s)
	if len(f.Beliefs()) != 0 || m.serving["b1"] {
		t.Error("an endpoint that no source reported for Rules.Expire is still present")
	}
	f.Configured([]Report{report("b1", true, 0)}, 2000*s)
	f.Tick(9000 * s)
	if len(f.Beliefs()) != 1 || f.Beliefs()[0].Trust != Trusted {
		t.Error("an endpoint from the settings expired without a list")
	}
}

// Reports are lost, duplicated and reordered, and the gateway restarts between them. A process that was reported as draining
// must never serve, and two gateways with the same reports must agree whatever the order of arrival.
func TestDrainHoldsInAnyOrder(t *testing.T) {
	type reportEvent struct {
		kind    int
		number  int64
		serving bool
		started time.Duration
		at      time.Duration
	}
	apply := func(f *Fleet, e reportEvent, now time.Duration) {
		r := Report{Name: "b1", Address: "127.0.0.1:1", Serving: e.serving, Started: e.started, ObservedAt: e.at}
		switch e.kind {
		case 0:
			f.ListReceived(Generation{"e", e.number}, false, []Report{r}, now)
		case 1:
			f.PeerReported([]Report{r}, now)
		case 2:
			f.Greeted("b1", "127.0.0.1:1", e.started, !e.serving, now)
		case 3:
			saved, last := f.Beliefs(), f.LastGeneration()
			*f = *New(rules(), f.sink, f.log)
			f.Restore(saved, last, now)
		default:
			f.Answered("b1", now)
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		starts := []time.Duration{100 * s, 200 * s, 300 * s}
		reports := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) reportEvent {
			return reportEvent{kind: rapid.IntRange(0, 4).Draw(t, "kind"), number: rapid.Int64Range(1, 20).Draw(t, "number"),
				serving: rapid.Bool().Draw(t, "serving"), started: rapid.SampledFrom(starts).Draw(t, "started"),
				at: time.Duration(rapid.IntRange(300, 400).Draw(t, "at")) * s}
		}), 1, 25).Draw(t, "reports")
		f, m, _ := newFleet(rules())
		f.ListReceived(Generation{"e", 1}, true, []Report{{Name: "b1", Address: "127.0.0.1:1", Serving: true, Started: starts[0]}}, 400*s)
		drained := time.Duration(0)
		latestStart := starts[0]
		for i, e := range reports {
			now := 401*s + time.Duration(i)*s
			if e.kind <= 2 && !e.serving && e.started >= latestStart {
				drained = max(drained, e.started)
			}
			apply(f, e, now)
			latestStart = max(latestStart, f.Beliefs()[0].Started)
			if b := f.Beliefs()[0]; (b.Trust != Barred || m.serving["b1"]) && b.Started <= drained {
				t.Fatalf("after %+v: %+v serves though its start %v was drained", e, b, drained)
			}
		}
	})
	rapid.Check(t, func(t *rapid.T) { // the same peer reports in two orders
		reports := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) reportEvent {
			return reportEvent{kind: 1, serving: rapid.Bool().Draw(t, "serving"), started: time.Duration(rapid.IntRange(1, 4).Draw(t, "start")) * 100 * s,
				at: time.Duration(rapid.IntRange(500, 900).Draw(t, "at")) * s}
		}), 1, 12).Draw(t, "reports")
		other := rapid.Permutation(reports).Draw(t, "other order")
		var got [2]bool
		for i, order := range [][]reportEvent{reports, other} {
			f, m, _ := newFleet(rules())
			f.ListReceived(Generation{"e", 1}, true, []Report{{Name: "b1", Address: "127.0.0.1:1", Serving: true, Started: 50 * s}}, 400*s)
			for _, e := range order {
				apply(f, e, 1000*s)
			}
			got[i] = m.serving["b1"]
		}
		if got[0] != got[1] {
			t.Fatalf("two gateways with the same reports disagree on whether the endpoint serves: %v", got)
		}
	})
}
