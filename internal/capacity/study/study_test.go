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

// fleet returns six endpoints in two zones and three gateways, and a model in which a unit takes 4 ms.
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

// load returns requests at a mean rate per second. newObjects is the fraction of the writes that any endpoint can take.
func load(rate float64, from, to time.Duration, plan string, newObjects float64, seed int64) (all []demand.Request) {
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
			if rng.Float64() < newObjects {
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
	return demand.Scale(out, 1.0000001, rand.New(rand.NewSource(1))) // sorts by time
}

func newStudy(t *testing.T, f *pb.CapacityFleet, m *pb.CapacityModel, w []demand.Request, goals ...string) *Study {
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

// A short surge in the capture must determine the load limit, although it hardly raises the mean load.
func TestSurgeDeterminesLimit(t *testing.T) {
	f, m := fleet()
	calm := load(150, 0, 60*time.Second, "basic", 0, 1)
	surge := load(450, 40*time.Second, 46*time.Second, "basic", 0, 2)
	g, err := newStudy(t, f, m, merge(calm, surge)).FindLoadLimit(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	c, err := newStudy(t, f, m, calm).FindLoadLimit(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("with the surge x %.2f (%.2f-%.2f), naive %.2f; without x %.2f (%.2f-%.2f)", g.LoadFactor, g.Low, g.High, g.Naive, c.LoadFactor, c.Low, c.High)
	if !g.Reached || g.LoadFactor > 1.6 || g.LoadFactor < 0.8 || g.Naive < 2.2 || c.LoadFactor < 2*g.LoadFactor || g.NearestLimits[0].Kind != "brick" || g.NearestLimits[0].PeakStart < 38*time.Second {
		t.Errorf("%+v", g)
	}
	if !(g.Low <= g.LoadFactor*1.05 && g.High >= g.LoadFactor*0.95) || g.Busiest < 0.8 || len(g.Plans) != 1 {
		t.Errorf("%+v", g)
	}
}

// The least number of servers must be tight: one fewer misses the goal. A goal that no number meets, here because a volume lies on one
// endpoint, must be reported with that reason.
func TestLeastServers(t *testing.T) {
	f, m := fleet()
	w := load(300, 0, 16*time.Second, "priority", 0, 3)
	s := newStudy(t, f, m, w, "plan=priority target>=0.97")
	all, err := s.FindLeastServers(context.Background())
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
	singleShard := load(250, 0, 16*time.Second, "basic", 0, 4)
	for i := range singleShard {
		singleShard[i].Volume, singleShard[i].Shard = "whole", 2
	}
	all, err = newStudy(t, f, m, merge(singleShard, load(50, 0, 16*time.Second, "priority", 0, 5)), "plan=basic target>=0.95", "plan=priority target>=0.9").FindLeastServers(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	if x := all[0]; x.Found || !strings.Contains(x.Reason, "plan=basic") || !strings.Contains(x.Reason, "lie on one endpoint (whole") || strings.Contains(x.Reason, "plan=priority") {
		t.Errorf("%+v", x)
	}
}

// Losing a zone makes its shards unreachable and moves writes of new objects to the remaining endpoints. The answer must report whether
// the reachable reservations are met and shed the work of least value first. The cold replacements must not break down.
func TestLostZone(t *testing.T) {
	f, m := fleet()
	w := merge(load(150, 0, 30*time.Second, "basic", 1, 6), load(280, 0, 30*time.Second, "priority", 1, 7))
	s := newStudy(t, f, m, w)
	l, err := s.SimulateLoss(context.Background(), "zone=north", 6*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	if len(l.Endpoints) != 4 || len(l.Gateways) != 2 || len(l.Phases) != 4 { // all gateways are in the zone; one must remain to receive requests
		t.Fatalf("%v %v %d", l.Endpoints, l.Gateways, len(l.Phases))
	}
	before, outage, after := l.Phases[0], l.Phases[1], l.Phases[3]
	inTarget := func(p Phase) (x float64) {
		n := 0
		for _, v := range p.Service {
			x, n = x+v.InTarget*float64(v.Requests), n+v.Requests
		}
		return x / float64(n)
	}
	t.Logf("before %.3f, outage %.3f, after %.3f; capacity %.1f, demand %.2f, reserved %.2f, unreachable %.2f, reservations met %v, shed %+v", inTarget(before), inTarget(outage), inTarget(after), outage.Capacity,
		outage.Demand, outage.Reserved, outage.Unreachable, outage.ReservationsMet, outage.Shed)
	if inTarget(before) < 0.9 || inTarget(outage) > 0.6 || inTarget(after) < 0.85 || outage.Capacity != 2 || outage.Unreachable < 0.35 || l.Overloaded > 0 {
		t.Error("service, capacity or unreachable work of a phase is out of range")
	}
	if len(outage.Shed) > 0 && outage.Shed[0].Plan != "basic" {
		t.Error("the work of least value was not shed first")
	}
	f.Plan[1].Reservation = 300 // exceeds the remaining capacity
	if l, err = s.SimulateLoss(context.Background(), "zone=north", 6*time.Second); err != nil || l.Phases[1].Demand > 2 && l.Phases[1].Reserved > 2 && l.Phases[1].ReservationsMet {
		t.Error(err, "reservations beyond the remaining capacity reported as met")
	}
	if _, err := s.SimulateLoss(context.Background(), "zone=nowhere", time.Second); err == nil || !strings.Contains(err.Error(), "nowhere") {
		t.Error(err)
	}
}

// captureObserver records what a gateway would have captured.
type captureObserver struct {
	gateway string
	lines   *[]*pb.Captured
}

func (o captureObserver) Enabled() bool                         { return true }
func (o captureObserver) EndpointChanged(engine.EndpointChange) {}
func (o captureObserver) RequestEnded(p *engine.RequestRecord) {
	c := &pb.CapturedCommand{Volume: p.Volume, Plan: p.Plan, QueueType: p.Class, Units: p.Units, Cell: int64(p.Shard), Repeat: p.Retry, Timeout: int64(p.Timeout),
		Took: int64(p.Duration), Final: pb.CapturedCommand_Final(p.Result), Host: o.gateway}
	fmt.Sscanf(p.Object, "%x", &c.Object)
	for _, x := range p.Attempts {
		c.Dispatch = append(c.Dispatch, &pb.CapturedDispatch{Brick: x.Endpoint, After: int64(x.SentAt - p.ReceivedAt), Took: int64(x.Duration), How: int32(x.Outcome)})
	}
	*o.lines = append(*o.lines, &pb.Captured{At: int64(p.ReceivedAt), What: &pb.Captured_Command{Command: c}})
}

// A capture under overload holds many client retries. Folding and learning must recover the original requests, the clients' retry
// behaviour and the endpoints' work, or the load and the limits are misjudged.
func TestOverloadedCapture(t *testing.T) {
	f, m := fleet()
	m.Client.Repeats, m.Client.Wait = 0.9, 0.1
	w := load(1300, 0, 8*time.Second, "basic", 0, 8)
	var lines []*pb.Captured
	if _, err := forecast.Run(forecast.Scenario{Fleet: f, Model: m, Requests: w, Seed: 1, Observe: func(h string) engine.Observer { return captureObserver{h, &lines} }}); err != nil {
		t.Fatal(err)
	}
	sortByTime(lines)
	got, client := demand.FoldRetries(lines)
	learned, err := learn.Model(lines, f, client)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%d requests submitted %d times, %d recovered; clients retry %.2f after %.3f s", len(w), len(lines), len(got), client.Repeats, client.Wait)
	if len(lines) < len(w)*3/2 || math.Abs(float64(len(got))/float64(len(w))-1) > 0.05 || client.Repeats < 0.6 || client.Wait < 0.08 {
		t.Error("original requests or client behaviour not recovered")
	}
	read := learned.Kind[0].Work[0]
	if x := read.Base + 2*read.Unit; math.Abs(x/0.008-1) > 0.1 {
		t.Errorf("work of a read of two units: %.5f s", x)
	}
	limits := bounds.Usual((&Study{Fleet: f, Model: learned, Requests: got}).Limits(f, got))
	if limits[0].Factor > 0.8 {
		t.Errorf("overloaded fleet reported with spare capacity: %v", limits[0])
	}
}

func sortByTime(lines []*pb.Captured) {
	for i := range lines { // insertion sort: the lines are nearly sorted
		for j := i; j > 0 && lines[j].At < lines[j-1].At; j-- {
			lines[j], lines[j-1] = lines[j-1], lines[j]
		}
	}
}

// The answer must not depend on how many simulations run in parallel.
func TestSameSeedSameAnswer(t *testing.T) {
	f, m := fleet()
	w := load(300, 0, 20*time.Second, "basic", 0.5, 9)
	answer := func(jobs int) string {
		s := newStudy(t, f, m, w)
		s.Jobs = jobs
		g, err := s.FindLoadLimit(context.Background())
		if err != nil {
			t.Fatal(err)
		}
		return fmt.Sprintf("%+v", g)
	}
	if a, b := answer(1), answer(4); a != b {
		t.Errorf("\n%s\n%s", a, b)
	}
}
