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

// The same cases each time; -rapid.seed asks for others.
func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		flag.Set("rapid.seed", "7")
	}
	flag.Set("rapid.checks", "2000")
	os.Exit(m.Run())
}

// recordingSink keeps the latest notification of each endpoint, and all of them in order.
type recordingSink struct {
	serving       map[string]bool
	startedAt     map[string]time.Duration
	notifications []string
}

func (m *recordingSink) EndpointChanged(name, address, _ string, _ int, serving, gone bool, startedAt time.Duration) {
	m.serving[name], m.startedAt[name] = serving, startedAt
	m.notifications = append(m.notifications, fmt.Sprintf("%s %s serving %v gone %v started at %v", name, address, serving, gone, startedAt))
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

// A gateway restarts while the list service is down. What it saved is trusted by its age; a doubted endpoint goes to the scheduler as
// just started, and its greeting puts the start right or bars it.
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
			t.Errorf("age %v: its greeting was not taken: %+v", age, b)
		}
		f.Greeted("b2", "127.0.0.1:12", 0, true, 1001*s+age)
		if f.Beliefs()[1].Trust != Barred || m.serving["b2"] {
			t.Error("an endpoint that greets as draining is not barred")
		}
	}
}

// An operator drains an endpoint. Lists and peers that lag behind go on reporting that it serves, and the gateway restarts. The drain holds
// through all of it, whoever reported it, and ends only with a later start or an operator's order to forget it.
func TestDrainWins(t *testing.T) {
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
		t.Errorf("started again, but %+v", f.Beliefs())
	}
	f.PeerReported([]Report{{Name: "b1", ObservedAt: 242 * s, Started: 100 * s}}, 242*s)
	if !m.serving["b1"] {
		t.Error("the drain of an earlier process bars a later one")
	}
	if f.ListReceived(Generation{"e", 5}, false, []Report{report("b1", false, 235*s)}, 250*s); m.serving["b1"] || !f.Forget("b1") || f.Forget("b1") {
		t.Error("forget")
	}
	if f.ListReceived(Generation{"e", 6}, false, []Report{report("b1", true, 235*s)}, 252*s); !m.serving["b1"] {
		t.Error("an operator's forget did not lift the drain")
	}
}

// The list service comes back from an old replica, or with half its data, or none. A list whose number does not rise is stale, whatever
// the clock reads; a list that drops more than half, or all, takes nothing away until a second one confirms it.
func TestStaleAndImplausibleLists(t *testing.T) {
	f, m, log := newFleet(rules())
	f.ListReceived(Generation{"e", 9}, true, servingReports("b1", "b2", "b3", "b4"), 10*s)
	if f.ListReceived(Generation{"e", 3}, true, append(servingReports("b1"), report("b2", false, 0), report("b9", true, 0)), 20*s) {
		t.Error("an old list was believed")
	}
	if !m.serving["b3"] || m.serving["b2"] || f.Beliefs()[4].Trust != Doubted {
		t.Errorf("%+v", f.Beliefs())
	}
	f.ListReceived(Generation{"e", 10}, true, nil, 30*s)
	if !m.serving["b1"] || f.Beliefs()[0].Trust != Doubted || m.startedAt["b1"] != 30*s {
		t.Errorf("an empty list took all away, or changed nothing: %+v", f.Beliefs()[0])
	}
	f.Greeted("b1", "127.0.0.1:11", 1*s, false, 31*s)
	f.ListReceived(Generation{"e", 11}, true, servingReports("b1", "b3", "b4"), 40*s)
	if b := f.Beliefs(); b[0].Trust != Trusted || b[2].Trust != Trusted || m.serving["b9"] && b[4].Trust == Trusted {
		t.Errorf("%+v", b)
	}
	f.ListReceived(Generation{"e", 12}, true, nil, 50*s)
	f.ListReceived(Generation{"e", 13}, true, nil, 60*s)
	if m.serving["b1"] || m.serving["b3"] {
		t.Error("two lists omitted all, and still they serve")
	}
	f.Greeted("b1", "127.0.0.1:11", 1*s, false, 61*s)
	f.PeerReported([]Report{report("b3", true, 0)}, 61*s)
	if m.serving["b1"] || m.serving["b3"] {
		t.Error("a list took them away, and another source brought them back")
	}
	f.ListReceived(Generation{"e", 14}, true, servingReports("b1", "b3"), 70*s)
	if !m.serving["b1"] || !m.serving["b3"] {
		t.Error("a later list names them, and they stay away")
	}
	if !strings.Contains(fmt.Sprint(*log), "doubted until a second list omits them") {
		t.Errorf("%q", *log)
	}
}

// A forged list names addresses outside the networks; an endpoint's address is taken over by another one; an endpoint that no
// list names greets; all sources fall silent until trust, and then the belief, expires. Only settings need no list.
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
		t.Error("a greeting on a connection to an old address was taken")
	}
	f.WrongEndpoint("b1", "127.0.0.1:11", 12*s)
	if f.Beliefs()[0].Trust != Doubted || len(f.Doubtful()) != 1 {
		t.Error("another endpoint is at the address, and the belief is not doubted")
	}
	f.Answered("b1", 13*s)
	f.Tick(60 * s)
	if f.Beliefs()[0].Trust != Trusted {
		t.Error("it answered a minute ago")
	}
	f.Tick(80 * s)
	if f.Beliefs()[0].Trust != Doubted || m.startedAt["b1"] != 0 {
		t.Errorf("doubted by age, it answered a moment ago: no slow start; %v", m.startedAt["b1"])
	}
	f.Tick(2000 * s)
	if len(f.Beliefs()) != 0 || m.serving["b1"] {
		t.Error("what nobody reported for so long is still there")
	}
	f.Configured([]Report{report("b1", true, 0)}, 2000*s)
	f.Tick(9000 * s)
	if len(f.Beliefs()) != 1 || f.Beliefs()[0].Trust != Trusted {
		t.Error("what the settings name needs no list")
	}
}

// Reports get lost, come twice and in any order, and the gateway restarts between them. None of that lets an endpoint serve in the
// process for which a drain was reported, and two gateways with the same evidence agree, in whatever order it came.
func TestDrainHoldsInAnyOrder(t *testing.T) {
	type evidence struct {
		kind    int
		number  int64
		serving bool
		started time.Duration
		at      time.Duration
	}
	apply := func(f *Fleet, p evidence, now time.Duration) {
		l := Report{Name: "b1", Address: "127.0.0.1:1", Serving: p.serving, Started: p.started, ObservedAt: p.at}
		switch p.kind {
		case 0:
			f.ListReceived(Generation{"e", p.number}, false, []Report{l}, now)
		case 1:
			f.PeerReported([]Report{l}, now)
		case 2:
			f.Greeted("b1", "127.0.0.1:1", p.started, !p.serving, now)
		case 3:
			saved, last := f.Beliefs(), f.LastGeneration()
			*f = *New(rules(), f.sink, f.log)
			f.Restore(saved, last, now)
		default:
			f.Answered("b1", now)
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		lives := []time.Duration{100 * s, 200 * s, 300 * s}
		evidences := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) evidence {
			return evidence{kind: rapid.IntRange(0, 4).Draw(t, "kind"), number: rapid.Int64Range(1, 20).Draw(t, "number"),
				serving: rapid.Bool().Draw(t, "serving"), started: rapid.SampledFrom(lives).Draw(t, "started"),
				at: time.Duration(rapid.IntRange(300, 400).Draw(t, "at")) * s}
		}), 1, 25).Draw(t, "reports")
		f, m, _ := newFleet(rules())
		f.ListReceived(Generation{"e", 1}, true, []Report{{Name: "b1", Address: "127.0.0.1:1", Serving: true, Started: lives[0]}}, 400*s)
		drained := time.Duration(0)
		held := lives[0]
		for i, p := range evidences {
			now := 401*s + time.Duration(i)*s
			if p.kind <= 2 && !p.serving && p.started >= held {
				drained = max(drained, p.started)
			}
			apply(f, p, now)
			held = max(held, f.Beliefs()[0].Started)
			if b := f.Beliefs()[0]; (b.Trust != Barred || m.serving["b1"]) && b.Started <= drained {
				t.Fatalf("after %+v: %+v serves though its start %v was drained", p, b, drained)
			}
		}
	})
	rapid.Check(t, func(t *rapid.T) { // reports of peers, in two orders
		reports := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) evidence {
			return evidence{kind: 1, serving: rapid.Bool().Draw(t, "serving"), started: time.Duration(rapid.IntRange(1, 4).Draw(t, "life")) * 100 * s,
				at: time.Duration(rapid.IntRange(500, 900).Draw(t, "at")) * s}
		}), 1, 12).Draw(t, "reports")
		other := rapid.Permutation(reports).Draw(t, "other order")
		var got [2]bool
		for i, order := range [][]evidence{reports, other} {
			f, m, _ := newFleet(rules())
			f.ListReceived(Generation{"e", 1}, true, []Report{{Name: "b1", Address: "127.0.0.1:1", Serving: true, Started: 50 * s}}, 400*s)
			for _, p := range order {
				apply(f, p, 1000*s)
			}
			got[i] = m.serving["b1"]
		}
		if got[0] != got[1] {
			t.Fatalf("one gateway lets it serve, the other does not: %v", got)
		}
	})
}
