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

// module notes what it is told.
type module struct {
	serving map[string]bool
	boot    map[string]time.Duration
	lines   []string
}

func (m *module) EndpointChanged(name, address, zone string, cell int, serving, gone bool, boot time.Duration) {
	m.serving[name], m.boot[name] = serving, boot
	m.lines = append(m.lines, fmt.Sprintf("%s %s serving %v gone %v boot %v", name, address, serving, gone, boot))
}

func rules() Rules {
	return Rules{Fresh: 60 * s, Expire: 1000 * s, StartTolerance: 500 * time.Millisecond, GreetingValid: 100 * s}
}

func newFleet(r Rules) (*Fleet, *module, *[]string) {
	m := &module{serving: map[string]bool{}, boot: map[string]time.Duration{}}
	log := &[]string{}
	return New(r, m, func(l string) { *log = append(*log, l) }), m, log
}

func line(name string, serving bool, started time.Duration) Report {
	return Report{Name: name, Address: "127.0.0.1:1" + name[1:], Serving: serving, Started: started}
}

func list(names ...string) (all []Report) {
	for _, n := range names {
		all = append(all, line(n, true, 0))
	}
	return all
}

// A saved list is trusted by its age; what is doubted goes out as just started, and a brick's own word puts it right.
func TestSavedListByAge(t *testing.T) {
	f, _, _ := newFleet(rules())
	f.ListReceived(Generation{"e", 7}, true, list("b1", "b2"), 1000*s)
	saved, last := f.Beliefs(), f.LastGeneration()
	for age, want := range map[time.Duration]Trust{5 * s: Trusted, 100 * s: Doubted, -50 * s: Doubted} {
		f, m, _ := newFleet(rules())
		f.Restore(saved, last, 1000*s+age)
		if b := f.Beliefs()[0]; b.Trust != want || !m.serving["b1"] || want == Doubted && m.boot["b1"] != 1000*s+age {
			t.Errorf("age %v: %v, boot %v", age, b.Trust, m.boot["b1"])
		}
		f.Greeted("b1", "127.0.0.1:11", 300*s, false, 1001*s+age)
		if b := f.Beliefs()[0]; b.Trust != Trusted || m.boot["b1"] != 300*s || b.Source != SelfReported {
			t.Errorf("age %v: its own word was not taken: %+v", age, b)
		}
		f.Greeted("b2", "127.0.0.1:12", 0, true, 1001*s+age)
		if f.Beliefs()[1].Trust != Barred || m.serving["b2"] {
			t.Error("a brick that says it drains is not barred")
		}
	}
}

// The drain wins over every older line, whoever tells it, and ends only with a later start.
func TestDrainWins(t *testing.T) {
	f, m, _ := newFleet(rules())
	f.ListReceived(Generation{"e", 1}, true, []Report{line("b1", true, 100*s), line("b2", true, 0)}, 200*s)
	f.PeerReported([]Report{{Name: "b1", ObservedAt: 210 * s, Started: 100 * s}}, 211*s)
	f.ListReceived(Generation{"e", 2}, false, []Report{line("b2", false, 0)}, 212*s)
	f.ListReceived(Generation{"e", 3}, true, []Report{line("b1", true, 100*s), line("b2", true, 0)}, 220*s)
	f.Greeted("b1", "127.0.0.1:11", 100*s+time.Millisecond, false, 230*s)
	f.Greeted("b2", "127.0.0.1:12", 90*s, false, 230*s)
	f.Answered("b1", 231*s)
	if m.serving["b1"] || m.serving["b2"] {
		t.Fatal("a drained brick serves again without a new start")
	}
	saved, last := f.Beliefs(), f.LastGeneration()
	f, m, _ = newFleet(rules())
	f.Restore(saved, last, 240*s)
	if m.serving["b1"] || m.serving["b2"] {
		t.Fatal("a restart forgot the drains")
	}
	f.ListReceived(Generation{"e", 4}, false, []Report{line("b1", true, 235*s), line("b2", true, 236*s)}, 241*s)
	if !m.serving["b1"] || !m.serving["b2"] || m.boot["b1"] != 235*s {
		t.Errorf("started anew, but %+v", f.Beliefs())
	}
	f.PeerReported([]Report{{Name: "b1", ObservedAt: 242 * s, Started: 100 * s}}, 242*s)
	if !m.serving["b1"] {
		t.Error("the drain of an earlier life bars a later one")
	}
	if f.ListReceived(Generation{"e", 5}, false, []Report{line("b1", false, 235*s)}, 250*s); m.serving["b1"] || !f.Forget("b1", 251*s) || f.Forget("b1", 251*s) {
		t.Error("forget")
	}
	if f.ListReceived(Generation{"e", 6}, false, []Report{line("b1", true, 235*s)}, 252*s); !m.serving["b1"] {
		t.Error("an operator's forget did not lift the drain")
	}
}

// A number that does not rise is an old list, whatever the clock; half a list, or an empty one, takes nothing away at once.
func TestListsThatCantBe(t *testing.T) {
	f, m, log := newFleet(rules())
	f.ListReceived(Generation{"e", 9}, true, list("b1", "b2", "b3", "b4"), 10*s)
	if f.ListReceived(Generation{"e", 3}, true, append(list("b1"), line("b2", false, 0), line("b9", true, 0)), 20*s) {
		t.Error("an old list was believed")
	}
	if !m.serving["b3"] || m.serving["b2"] || f.Beliefs()[4].Trust != Doubted {
		t.Errorf("%+v", f.Beliefs())
	}
	f.ListReceived(Generation{"e", 10}, true, nil, 30*s)
	if !m.serving["b1"] || f.Beliefs()[0].Trust != Doubted || m.boot["b1"] != 30*s {
		t.Errorf("an empty list took all away, or was taken for nothing: %+v", f.Beliefs()[0])
	}
	f.Greeted("b1", "127.0.0.1:11", 1*s, false, 31*s)
	f.ListReceived(Generation{"e", 11}, true, list("b1", "b3", "b4"), 40*s)
	if b := f.Beliefs(); b[0].Trust != Trusted || b[2].Trust != Trusted || m.serving["b9"] && b[4].Trust == Trusted {
		t.Errorf("%+v", b)
	}
	f.ListReceived(Generation{"e", 12}, true, nil, 50*s)
	f.ListReceived(Generation{"e", 13}, true, nil, 60*s)
	if m.serving["b1"] || m.serving["b3"] {
		t.Error("told twice that all are gone, and still they serve")
	}
	f.Greeted("b1", "127.0.0.1:11", 1*s, false, 61*s)
	f.PeerReported([]Report{line("b3", true, 0)}, 61*s)
	if m.serving["b1"] || m.serving["b3"] {
		t.Error("a list took them away, and another's word brought them back")
	}
	f.ListReceived(Generation{"e", 14}, true, list("b1", "b3"), 70*s)
	if !m.serving["b1"] || !m.serving["b3"] {
		t.Error("a later list names them, and they stay away")
	}
	if !strings.Contains(fmt.Sprint(*log), "doubted until it says so again") {
		t.Errorf("%q", *log)
	}
}

// Another brick at the address, an address outside the networks, a brick in no list, age, and death.
func TestOddities(t *testing.T) {
	r := rules()
	var b netipx.IPSetBuilder
	b.AddPrefix(netip.MustParsePrefix("127.0.0.0/8"))
	r.Networks, _ = b.IPSet()
	f, m, log := newFleet(r)
	far := Report{Name: "x1", Address: "192.0.2.1:80", Serving: true}
	for n := range 3 {
		f.ListReceived(Generation{"e", int64(n + 1)}, false, []Report{far, line("b1", true, 0), {Name: "x2", Address: "nonsense", Serving: true}}, 10*s)
	}
	if len(f.Beliefs()) != 1 || len(*log) != 2 {
		t.Errorf("%+v %q", f.Beliefs(), *log)
	}
	f.Greeted("b7", "127.0.0.1:17", 0, false, 11*s)
	f.WrongEndpoint("b1", "127.0.0.1:99", 11*s)
	if len(f.Beliefs()) != 1 || f.Beliefs()[0].Trust != Trusted {
		t.Error("an old connection's word was taken")
	}
	f.WrongEndpoint("b1", "127.0.0.1:11", 12*s)
	if f.Beliefs()[0].Trust != Doubted || len(f.Doubtful()) != 1 {
		t.Error("another brick is at the address, and the line is not doubted")
	}
	f.Answered("b1", 13*s)
	f.Tick(60 * s)
	if f.Beliefs()[0].Trust != Trusted {
		t.Error("it answered a minute ago")
	}
	f.Tick(80 * s)
	if f.Beliefs()[0].Trust != Doubted || m.boot["b1"] != 0 {
		t.Errorf("doubted by age, it was at work: no new ramp; %v", m.boot["b1"])
	}
	f.Tick(2000 * s)
	if len(f.Beliefs()) != 0 || m.serving["b1"] {
		t.Error("what nobody spoke of for so long is still there")
	}
	f.Configured([]Report{line("b1", true, 0)}, 2000*s)
	f.Tick(9000 * s)
	if len(f.Beliefs()) != 1 || f.Beliefs()[0].Trust != Trusted {
		t.Error("what settings name needs no list")
	}
}

// No order of news, losses and repeats lets a brick serve in the life for which a drain was told; two hosts with the same evidence
// agree, in whatever order it came.
func TestDrainProperty(t *testing.T) {
	type piece struct {
		kind    int
		number  int64
		serving bool
		started time.Duration
		at      time.Duration
	}
	apply := func(f *Fleet, p piece, now time.Duration) {
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
			*f = *New(rules(), f.module, f.log)
			f.Restore(saved, last, now)
		default:
			f.Answered("b1", now)
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		lives := []time.Duration{100 * s, 200 * s, 300 * s}
		pieces := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) piece {
			return piece{kind: rapid.IntRange(0, 4).Draw(t, "kind"), number: rapid.Int64Range(1, 20).Draw(t, "number"),
				serving: rapid.Bool().Draw(t, "serving"), started: rapid.SampledFrom(lives).Draw(t, "started"),
				at: time.Duration(rapid.IntRange(300, 400).Draw(t, "at")) * s}
		}), 1, 25).Draw(t, "news")
		f, m, _ := newFleet(rules())
		f.ListReceived(Generation{"e", 1}, true, []Report{{Name: "b1", Address: "127.0.0.1:1", Serving: true, Started: lives[0]}}, 400*s)
		drained := time.Duration(0)
		held := lives[0]
		for i, p := range pieces {
			now := 401*s + time.Duration(i)*s
			if p.kind <= 2 && !p.serving && p.started >= held {
				drained = max(drained, p.started)
			}
			apply(f, p, now)
			held = max(held, f.Beliefs()[0].Started)
			if b := f.Beliefs()[0]; (b.Trust != Barred || m.serving["b1"]) && b.Started <= drained {
				t.Fatalf("after %+v: %+v serves though its life %v was drained", p, b, drained)
			}
		}
	})
	rapid.Check(t, func(t *rapid.T) { // peers' news, in two orders
		news := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) piece {
			return piece{kind: 1, serving: rapid.Bool().Draw(t, "serving"), started: time.Duration(rapid.IntRange(1, 4).Draw(t, "life")) * 100 * s,
				at: time.Duration(rapid.IntRange(500, 900).Draw(t, "at")) * s}
		}), 1, 12).Draw(t, "news")
		other := rapid.Permutation(news).Draw(t, "other order")
		var got [2]bool
		for i, order := range [][]piece{news, other} {
			f, m, _ := newFleet(rules())
			f.ListReceived(Generation{"e", 1}, true, []Report{{Name: "b1", Address: "127.0.0.1:1", Serving: true, Started: 50 * s}}, 400*s)
			for _, p := range order {
				apply(f, p, 1000*s)
			}
			got[i] = m.serving["b1"]
		}
		if got[0] != got[1] {
			t.Fatalf("one host lets it serve, the other does not: %v", got)
		}
	})
}
