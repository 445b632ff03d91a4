package bounds

import (
	"fmt"
	"math"
	"testing"
	"time"

	"weirhaven/internal/capacity/demand"
	"weirhaven/internal/capacity/place"
	"weirhaven/internal/pb"
)

func fleet() (*pb.CapacityFleet, *pb.CapacityModel) {
	f := &pb.CapacityFleet{Rules: &pb.Fleet{ColdFrom: 0.2, UsualUnits: 1, Budget: &pb.Budget{Free: 2, Share: 0.1, Span: "10s"}},
		QueueType: []*pb.QueueType{{Name: "read", CommandTimeout: "2s"}}, Kind: []*pb.ServerKind{{Name: "k"}, {Name: "big", Cores: 2, Speed: 1.5}},
		Plan: []*pb.Plan{{Name: "basic", Limit: 30, Depth: 20}, {Name: "priority", Reservation: 100}},
		Host: []*pb.HostLine{{Name: "h", Commands: 400}}}
	for i := range 4 {
		f.Brick = append(f.Brick, &pb.Server{Name: fmt.Sprint("b", i), Kind: "k", Zone: []string{"n", "s"}[i/2], Cell: uint32(i)})
	}
	return f, &pb.CapacityModel{Kind: []*pb.CapacityModel_KindModel{{Name: "k", Work: []*pb.CapacityModel_Work{{QueueType: "read", Unit: 0.01, Samples: 9}}}}}
}

// steadyLoad returns rate requests per second of one unit each, on the given shards in turn.
func steadyLoad(rate int, from, to time.Duration, volume, plan string, shards ...int) (all []demand.Request) {
	i := 0
	for at := from; at < to; at += time.Second / time.Duration(rate) {
		all = append(all, demand.Request{Arrival: at, Gateway: "h", Volume: volume, Plan: plan, Class: "read", Units: 1, Shard: shards[i%len(shards)], Attempts: 1})
		i++
	}
	return all
}

func find(t *testing.T, all []Limit, kind Kind) Limit {
	t.Helper()
	for _, l := range all {
		if l.Kind == kind {
			return l
		}
	}
	t.Fatalf("no %s in %v", kind, all)
	return Limit{}
}

// A surge of 2 s within 10 min must determine the limits, although it hardly changes the mean load.
func TestSurge(t *testing.T) {
	f, m := fleet()
	w := steadyLoad(20, 0, 300*time.Second, "v", "priority", 0, 1, 2, 3)
	w = append(w, steadyLoad(200, 300*time.Second, 302*time.Second, "v", "priority", 1, 1, 1, 0)...)
	w = append(w, steadyLoad(20, 302*time.Second, 600*time.Second, "v", "priority", 0, 1, 2, 3)...)
	all := Limits(Input{Fleet: f, Model: m, Demand: w})
	first := Usual(all)[0]
	if first.Kind != "brick" || first.Subject != "b1" || math.Abs(first.Factor-1/1.5) > 0.02 || first.PeakStart < 299*time.Second || first.PeakStart > 302*time.Second {
		t.Error(first)
	}
	if l := find(t, all, "host"); math.Abs(l.Used-200) > 2 || l.Capacity != 400 {
		t.Error(l)
	}
	if l := find(t, all, "zone"); l.Subject != "n" || math.Abs(l.Used-2) > 0.03 {
		t.Error(l)
	}
	if l := find(t, all, "cold ramp"); l.Subject != "b1" || l.Condition == "" || math.Abs(l.Factor-0.2/1.5) > 0.01 {
		t.Error(l)
	}
	if l := find(t, all, "fleet"); math.Abs(l.Factor-2) > 0.02 {
		t.Error(l)
	}
}

// Limits must report reservations beyond the fleet's capacity, a volume beyond its plan's quota and burst, an exceeded attempt budget, data that
// no endpoint holds, and the configured speed of a kind without samples.
func TestGuaranteesAndBudgets(t *testing.T) {
	f, m := fleet()
	var w []demand.Request
	for i := range 5 {
		w = append(w, demand.Request{Gateway: "h", Volume: fmt.Sprint("p", i), Plan: "priority", Class: "read", Units: 1, Shard: i})
	}
	w = append(w, steadyLoad(80, 0, 4*time.Second, "v", "basic", 0, 1)...)
	all := Limits(Input{Fleet: f, Model: m, Demand: w, ExtraAttempts: 30, Requests: 100, Span: 20 * time.Second, HoldTime: time.Second})
	if l := find(t, all, "reserve"); math.Abs(l.Used-5) > 0.01 || math.Abs(l.Factor-0.8) > 0.01 { // 5 x 100 units x 10 ms on 4 cores
		t.Error(l)
	}
	if l := find(t, all, "plan limit"); l.Subject != "v" || math.Abs(l.Factor-0.5) > 0.02 { // 30 + 20 in 2 s against 80
		t.Error(l)
	}
	if l := find(t, all, "budget"); math.Abs(l.Factor-2.0/10) > 0.01 { // 15 further attempts, 5 of them within the share
		t.Error(l)
	}
	if l := all[0]; l.Kind != "cell" || l.Factor != 0 { // p4 is on shard 4
		t.Error(l)
	}
	g, err := place.ResizeFleet(f, "k", 6)
	if err != nil {
		t.Fatal(err)
	}
	g.Brick[4].Kind = "big"
	if s := Speeds(g, m); s(g.Brick[0]) != 1 || s(g.Brick[4]) != 3 {
		t.Error(s(g.Brick[4]))
	}
	for _, l := range Limits(Input{Fleet: g, Model: m, Demand: w}) {
		if l.Kind == "cell" {
			t.Error(l)
		}
	}
}

// If a fleet grows to twice its endpoints, Relocate must spread a volume from three shards to six, and keep a volume on a single shard whole. If
// it shrinks to two endpoints, every request must lie on a shard that is left.
func TestRelocate(t *testing.T) {
	f, m := fleet()
	var w []demand.Request
	for i := range 4000 {
		x := demand.Request{Volume: "wide", Plan: "priority", Class: "read", Units: 1, Shard: i % 4, Object: uint64(i*7919 + 1)}
		if i%4 == 0 {
			x.Volume, x.Shard = "lone", 2
		}
		w = append(w, x)
	}
	g, _ := place.ResizeFleet(f, "k", 8)
	out := place.Relocate(w, f, g, place.CostOf(m, f), Speeds(g, m))
	by := map[string]map[int]int{"wide": {}, "lone": {}}
	for _, x := range out {
		by[x.Volume][x.Shard]++
	}
	if len(by["lone"]) != 1 || len(by["wide"]) != 6 {
		t.Error(by)
	}
	smaller, _ := place.ResizeFleet(f, "k", 2)
	for _, x := range place.Relocate(w, f, smaller, place.CostOf(m, f), Speeds(smaller, m)) {
		if x.Shard > 1 {
			t.Fatal(x)
		}
	}
	if _, err := place.ResizeFleet(f, "none", 3); err == nil {
		t.Error("a kind that is not there")
	}
}
