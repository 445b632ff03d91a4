package study

import (
	"context"
	"fmt"
	"math"
	"math/rand"
	"strings"
	"testing"
	"time"

	"weirhaven/internal/capacity/bounds"
	"weirhaven/internal/capacity/decide"
	"weirhaven/internal/capacity/demand"
	"weirhaven/internal/capacity/forecast"
	"weirhaven/internal/capacity/learn"
	"weirhaven/internal/engine"
	"weirhaven/internal/pb"
)

// fleet of six bricks in two rooms, three hosts; a unit takes 4 ms.
func fleet() (*pb.CapacityFleet, *pb.CapacityModel) {
	f := &pb.CapacityFleet{Rules: &pb.Fleet{MaxDispatches: 3, Resolution: "10ms", UsualUnits: 2, MostUnits: 8, Cancel: true, MaxPause: "500ms", DrainGrace: "250ms",
		ColdFrom: 0.2, ColdFor: "4s", ColdUnits: 40, FallMultiple: 2, FallAfter: "1s", Meter: "500ms", TellsElsewhere: true,
		Budget: &pb.Budget{Free: 3, Share: 0.25, Span: "3s"}},
		QueueType: []*pb.QueueType{{Name: "read", ServiceTarget: "200ms", CommandTimeout: "1s", Importance: 3},
			{Name: "post", ServiceTarget: "300ms", CommandTimeout: "1500ms", Importance: 4, Semantics: pb.Semantics_NON_RETRYABLE, Writes: true}},
		Plan: []*pb.Plan{{Name: "basic", Nominal: 20, Weight: 1, Importance: 0.5}, {Name: "priority", Nominal: 20, Reservation: 30, Weight: 4, Importance: 2}},
		Kind: []*pb.ServerKind{{Name: "single", Queue: 40, Cancel: pb.BrickCancel_CANCEL_DROPS_WAITING, DropsExpired: true}}}
	for i := range 6 {
		f.Brick = append(f.Brick, &pb.Server{Name: fmt.Sprint("b", i), Kind: "single", Zone: []string{"north", "south"}[i/4], Cell: uint32(i)})
	}
	for i := range 3 {
		f.Host = append(f.Host, &pb.HostLine{Name: fmt.Sprint("h", i), Zone: "north", Commands: 100000})
	}
	return f, &pb.CapacityModel{Client: &pb.CapacityModel_ClientModel{}, Kind: []*pb.CapacityModel_KindModel{{Name: "single", Way: 0.0005, Work: []*pb.CapacityModel_Work{
		{QueueType: "read", Unit: 0.004, Vary: 0.5, Samples: 100}, {QueueType: "post", Unit: 0.004, Vary: 0.5, Samples: 100}}}}}
}

// load of so many commands a second; a part of them new objects, which go to any brick.
func load(rate float64, from, to time.Duration, plan string, fresh float64, seed int64) (all []demand.Request) {
	rng := rand.New(rand.NewSource(seed))
	for at := from; ; {
		at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		if at > to {
			return all
		}
		v := rng.Intn(12)
		w := demand.Request{Arrival: at, Volume: fmt.Sprint(plan, v), Plan: plan, Class: "read", Units: 1, Shard: (v + rng.Intn(3)) % 6, Object: rng.Uint64() | 1,
			Timeout: time.Second, Gateway: fmt.Sprint("h", (v+rng.Intn(2))%3), Attempts: 1}
		if rng.Intn(4) == 0 {
			w.Class, w.Timeout = "post", 1500*time.Millisecond
			if rng.Float64() < fresh {
				w.Shard = -1
			}
		}
		for w.Units < 8 && rng.Intn(2) == 0 {
			w.Units++
		}
		all = append(all, w)
	}
}

func merge(all ...[]demand.Request) []demand.Request {
	var out []demand.Request
	for _, w := range all {
		out = append(out, w...)
	}
	return demand.Scale(out, 1.0000001, rand.New(rand.NewSource(1))) // by time
}

func study(t *testing.T, f *pb.CapacityFleet, m *pb.CapacityModel, w []demand.Request, goals ...string) *Study {
	t.Helper()
	s := &Study{Fleet: f, Model: m, Requests: w, Seed: 1, Length: 8 * time.Second, Stretches: 3}
	for _, text := range goals {
		g, err := decide.ParseGoal(text)
		if err != nil {
			t.Fatal(err)
		}
		s.Goals = append(s.Goals, g)
	}
	if err := s.Prepare(); err != nil {
		t.Fatal(err)
	}
	return s
}

// A surge rules what breaks first, though the mean of the load knows nothing of it.
func TestSurgeRules(t *testing.T) {
	f, m := fleet()
	calm := load(150, 0, 60*time.Second, "basic", 0, 1)
	surge := load(450, 40*time.Second, 46*time.Second, "basic", 0, 2)
	g, err := study(t, f, m, merge(calm, surge)).Grow(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	c, err := study(t, f, m, calm).Grow(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("with the surge x %.2f (%.2f-%.2f), naive %.2f; without x %.2f (%.2f-%.2f)", g.Times, g.Low, g.High, g.Naive, c.Times, c.Low, c.High)
	if !g.Reached || g.Times > 1.6 || g.Times < 0.8 || g.Naive < 2.2 || c.Times < 2*g.Times || g.First[0].Kind != "brick" || g.First[0].PeakStart < 38*time.Second {
		t.Errorf("%+v", g)
	}
	if !(g.Low <= g.Times*1.05 && g.High >= g.Times*0.95) || g.Busiest < 0.8 || len(g.Plans) != 1 {
		t.Errorf("%+v", g)
	}
}

// The least servers: one fewer misses the goal. A goal that no fleet meets is named with its reason: a volume whole on one brick.
func TestLeastServers(t *testing.T) {
	f, m := fleet()
	w := load(300, 0, 16*time.Second, "priority", 0, 3)
	s := study(t, f, m, w, "plan=priority target>=0.97")
	all, err := s.Least(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	x := all[0]
	t.Log(all)
	if !x.Found || x.Least < 3 || x.Least > 6 || x.Margins[x.Least] < 0 {
		t.Errorf("%+v", x)
	}
	if below, ok := x.Margins[x.Least-1]; !ok || below >= 0 {
		t.Errorf("%+v", x)
	}
	if h := all[1]; h.Kind != "host" || h.Least != 1 {
		t.Errorf("%+v", h)
	}
	lone := load(250, 0, 16*time.Second, "basic", 0, 4)
	for i := range lone {
		lone[i].Volume, lone[i].Shard = "whole", 2
	}
	all, err = study(t, f, m, merge(lone, load(50, 0, 16*time.Second, "priority", 0, 5)), "plan=basic target>=0.95", "plan=priority target>=0.9").Least(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	if x := all[0]; x.Found || !strings.Contains(x.Why, "plan=basic") || !strings.Contains(x.Why, "lie on one brick (whole") || strings.Contains(x.Why, "plan=priority") {
		t.Errorf("%+v", x)
	}
}

// A lost room leaves a few bricks: what was there is lost, new objects crowd on the rest, the reserves of what can still be reached are
// told, and what earns least is given up first. Its cold successors are not pushed over.
func TestLostZone(t *testing.T) {
	f, m := fleet()
	w := merge(load(150, 0, 30*time.Second, "basic", 1, 6), load(280, 0, 30*time.Second, "priority", 1, 7))
	s := study(t, f, m, w)
	l, err := s.Lose(context.Background(), "zone=north", 6*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	if len(l.Bricks) != 4 || len(l.Hosts) != 2 || len(l.Phases) != 4 { // all hosts are there; one must be left to be asked
		t.Fatalf("%v %v %d", l.Bricks, l.Hosts, len(l.Phases))
	}
	before, gone, after := l.Phases[0], l.Phases[1], l.Phases[3]
	part := func(p Phase) (x float64) {
		n := 0
		for _, v := range p.Service {
			x, n = x+v.Part*float64(v.Wanted), n+v.Wanted
		}
		return x / float64(n)
	}
	t.Logf("before %.3f, gone %.3f, after %.3f; capacity %.1f asked %.2f reserved %.2f lost %.2f met %v give up %+v", part(before), part(gone), part(after), gone.Capacity,
		gone.Asked, gone.Reserved, gone.Unreachable, gone.Met, gone.Shed)
	if part(before) < 0.9 || part(gone) > 0.6 || part(after) < 0.85 || gone.Capacity != 2 || gone.Unreachable < 0.35 || l.Overloaded > 0 {
		t.Error("phases")
	}
	if len(gone.Shed) > 0 && gone.Shed[0].Plan != "basic" {
		t.Error("what earns least goes first")
	}
	f.Plan[1].Reservation = 300 // more than is left
	if l, err = s.Lose(context.Background(), "zone=north", 6*time.Second); err != nil || l.Phases[1].Asked > 2 && l.Phases[1].Reserved > 2 && l.Phases[1].Met {
		t.Error(err, "reserves over what is left are said to be met")
	}
	if _, err := s.Lose(context.Background(), "zone=nowhere", time.Second); err == nil || !strings.Contains(err.Error(), "nowhere") {
		t.Error(err)
	}
}

// tap keeps what hosts would have captured.
type tap struct {
	host string
	to   *[]*pb.Captured
}

func (t tap) Enabled() bool                         { return true }
func (t tap) EndpointChanged(engine.EndpointChange) {}
func (t tap) RequestEnded(p *engine.RequestRecord) {
	c := &pb.CapturedCommand{Volume: p.Volume, Plan: p.Plan, QueueType: p.Class, Units: p.Units, Cell: int64(p.Shard), Repeat: p.Retry, Timeout: int64(p.Timeout),
		Took: int64(p.Duration), Final: pb.CapturedCommand_Final(p.Result), Host: t.host}
	fmt.Sscanf(p.Object, "%x", &c.Object)
	for _, x := range p.Attempts {
		c.Dispatch = append(c.Dispatch, &pb.CapturedDispatch{Brick: x.Endpoint, After: int64(x.SentAt - p.ReceivedAt), Took: int64(x.Duration), How: int32(x.Outcome)})
	}
	*t.to = append(*t.to, &pb.Captured{At: int64(p.ReceivedAt), What: &pb.Captured_Command{Command: c}})
}

// A capture of an overloaded day holds far more commands than clients wanted: the wants, how clients repeat and how bricks work come
// back out of it.
func TestOverloadedCapture(t *testing.T) {
	f, m := fleet()
	m.Client.Repeats, m.Client.Wait = 0.9, 0.1
	w := load(1300, 0, 8*time.Second, "basic", 0, 8)
	var lines []*pb.Captured
	if _, err := forecast.Run(forecast.Scenario{Fleet: f, Model: m, Wants: w, Seed: 1, Tap: func(h string) engine.Observer { return tap{h, &lines} }}); err != nil {
		t.Fatal(err)
	}
	byTime(lines)
	got, client := demand.FoldRetries(lines)
	again, err := learn.Model(lines, f, client)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%d wants asked %d times, %d found; clients repeat %.2f after %.3f s", len(w), len(lines), len(got), client.Repeats, client.Wait)
	if len(lines) < len(w)*3/2 || math.Abs(float64(len(got))/float64(len(w))-1) > 0.05 || client.Repeats < 0.6 || client.Wait < 0.08 {
		t.Error("the wants are not found")
	}
	each := again.Kind[0].Work[0]
	if x := each.Base + 2*each.Unit; math.Abs(x/0.008-1) > 0.1 {
		t.Errorf("a read of two units: %.5f", x)
	}
	limits := bounds.Usual((&Study{Fleet: f, Model: again, Requests: got}).Limits(f, got))
	if limits[0].Factor > 0.8 {
		t.Errorf("an overloaded fleet is said to have room: %v", limits[0])
	}
}

func byTime(lines []*pb.Captured) {
	for i := range lines { // insertion: nearly sorted
		for j := i; j > 0 && lines[j].At < lines[j-1].At; j-- {
			lines[j], lines[j-1] = lines[j-1], lines[j]
		}
	}
}

// Two studies of one seed say the same, on any number of cores.
func TestSameSeedSameAnswer(t *testing.T) {
	f, m := fleet()
	w := load(300, 0, 20*time.Second, "basic", 0.5, 9)
	one := func(jobs int) string {
		s := study(t, f, m, w)
		s.Jobs = jobs
		g, err := s.Grow(context.Background())
		if err != nil {
			t.Fatal(err)
		}
		return fmt.Sprintf("%+v", g)
	}
	if a, b := one(1), one(4); a != b {
		t.Errorf("\n%s\n%s", a, b)
	}
}
