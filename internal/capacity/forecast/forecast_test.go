package forecast

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"weirhaven/internal/capacity/demand"
	"weirhaven/internal/pb"
)

// fleet of n bricks in two zones, so many hosts; a unit takes 4 ms.
func fleet(bricks, hosts int) (*pb.CapacityFleet, *pb.CapacityModel) {
	f := &pb.CapacityFleet{Rules: &pb.Fleet{MaxDispatches: 3, Resolution: "10ms", UsualUnits: 2, MostUnits: 8, Cancel: true, MaxPause: "500ms",
		DrainGrace: "250ms", ColdFrom: 0.2, ColdFor: "4s", ColdUnits: 40, FallMultiple: 2, FallAfter: "1s", Meter: "500ms", TellsElsewhere: true,
		Budget: &pb.Budget{Free: 3, Share: 0.25, Span: "3s"}},
		QueueType: []*pb.QueueType{{Name: "read", ServiceTarget: "200ms", CommandTimeout: "1s", Importance: 3},
			{Name: "post", ServiceTarget: "300ms", CommandTimeout: "1500ms", Importance: 4, Semantics: pb.Semantics_NON_RETRYABLE, Writes: true}},
		Plan: []*pb.Plan{{Name: "basic", Nominal: 20, Weight: 1}, {Name: "priority", Nominal: 20, Reservation: 20, Weight: 4}},
		Kind: []*pb.ServerKind{{Name: "single", Queue: 40, Cancel: pb.BrickCancel_CANCEL_DROPS_WAITING, DropsExpired: true}}}
	for i := range bricks {
		f.Brick = append(f.Brick, &pb.Server{Name: fmt.Sprint("b", i), Kind: "single", Zone: []string{"north", "south"}[i%2], Cell: uint32(i)})
	}
	for i := range hosts {
		f.Host = append(f.Host, &pb.HostLine{Name: fmt.Sprint("h", i), Zone: "north"})
	}
	m := &pb.CapacityModel{Kind: []*pb.CapacityModel_KindModel{{Name: "single", Way: 0.0005, Work: []*pb.CapacityModel_Work{
		{QueueType: "read", Unit: 0.004, Vary: 0.5, Samples: 100}, {QueueType: "post", Unit: 0.004, Vary: 0.5, Samples: 100}}}}}
	return f, m
}

// load of so many commands a second, each of a volume that lies on two cells.
func load(rate float64, length time.Duration, bricks, hosts int, seed int64) (all []demand.Request) {
	rng := rand.New(rand.NewSource(seed))
	for at := time.Duration(0); ; {
		at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		if at > length {
			return all
		}
		v := rng.Intn(4 * bricks)
		w := demand.Request{Arrival: at, Volume: fmt.Sprint("v", v), Plan: []string{"basic", "priority"}[v%2], Class: "read", Units: 1,
			Shard: (v + rng.Intn(2)) % bricks, Object: rng.Uint64()%50 + 1, Timeout: time.Second, Gateway: fmt.Sprint("h", (v+rng.Intn(2))%hosts)}
		if rng.Intn(4) == 0 {
			w.Class, w.Timeout = "post", 1500*time.Millisecond
		}
		for w.Units < 8 && rng.Intn(2) == 0 {
			w.Units++
		}
		all = append(all, w)
	}
}

func run(t testing.TB, s Scenario) *Result {
	t.Helper()
	r, err := Run(s)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// With light load nearly all is in target and bricks are as busy as the work says; with twice what they can do they are full, and what
// is left over is refused or late.
func TestLightAndHeavy(t *testing.T) {
	f, m := fleet(4, 2)
	light := run(t, Scenario{Fleet: f, Model: m, Wants: load(200, 10*time.Second, 4, 2, 1), Seed: 1})
	use := 0.0
	for _, b := range light.Bricks {
		use += b.Mean() / 4
	}
	if p := light.Total().Part(); p < 0.97 || use < 0.35 || use > 0.45 { // 200 x 2 units x 4 ms over 4 bricks: 0.4
		t.Errorf("light: %.3f in target, use %.3f", p, use)
	}
	heavy := run(t, Scenario{Fleet: f, Model: m, Wants: load(1000, 10*time.Second, 4, 2, 1), Seed: 1})
	use = 0
	for _, b := range heavy.Bricks {
		use += b.Mean() / 4
	}
	if p := heavy.Total().Part(); p < 0.3 || p > 0.6 || use < 0.85 {
		t.Errorf("heavy: %.3f in target, use %.3f", p, use)
	}
	// Every want has one end.
	a := heavy.Total()
	if a.Wanted != a.InTarget+a.Late+a.Busy+a.Aborted+a.Left {
		t.Errorf("%+v", a)
	}
}

func TestSameSeedSameRun(t *testing.T) {
	f, m := fleet(5, 3)
	one := func() string {
		r := run(t, Scenario{Fleet: f, Model: m, Wants: load(500, 4*time.Second, 5, 3, 2), Seed: 3,
			Events: []Event{{At: time.Second, Brick: "b1", Down: true}, {At: 2 * time.Second, Brick: "b1"}, {At: time.Second, Host: "h1", Down: true},
				{At: 1500 * time.Millisecond, Host: "h1"}}})
		return fmt.Sprint(r.Total(), r.Bricks, r.Dispatches, r.Further, r.Pressure)
	}
	if a, b := one(), one(); a != b {
		t.Errorf("two runs of one seed differ:\n%.300s\n%.300s", a, b)
	}
}

// A brick lost takes the service of what lies on it alone; its cold successor is not pushed over, and afterwards all is as before.
func TestLoss(t *testing.T) {
	f, m := fleet(4, 2)
	r := run(t, Scenario{Fleet: f, Model: m, Wants: load(250, 24*time.Second, 4, 2, 1), Seed: 1,
		Events: []Event{{At: 6 * time.Second, Brick: "b2", Down: true}, {At: 10 * time.Second, Brick: "b2"}}})
	part := func(from, to int) float64 {
		all := &Tally{}
		for _, b := range r.Blocks[from:to] {
			for _, x := range b {
				all.Add(x)
			}
		}
		return all.Part()
	}
	before, gone, after := part(1, 6), part(6, 10), part(16, 24)
	if before < 0.95 || gone > 0.85 || after < 0.95 || r.Fell > 0 || r.Pressure <= 0 || r.Pressure > 1 {
		t.Errorf("before %.3f, gone %.3f, after %.3f, fell %d, pressure %.2f", before, gone, after, r.Fell, r.Pressure)
	}
	if r.Bricks[2].By[8] > 0.05 || r.Bricks[2].By[20] < 0.2 {
		t.Errorf("use of the lost brick: %.2f", r.Bricks[2].By)
	}
}

// Virtual seconds a second, as the fleet grows.
func BenchmarkRun(b *testing.B) {
	for _, n := range []struct{ bricks, hosts, rate int }{{9, 36, 160}, {45, 180, 800}, {90, 360, 1600}} {
		f, m := fleet(n.bricks, n.hosts)
		w := load(float64(n.rate), 20*time.Second, n.bricks, n.hosts, 1)
		b.Run(fmt.Sprintf("%dx%d", n.bricks, n.hosts), func(b *testing.B) {
			start := time.Now()
			for b.Loop() {
				run(b, Scenario{Fleet: f, Model: m, Wants: w, Seed: 1})
			}
			b.ReportMetric(20*float64(b.N)/time.Since(start).Seconds(), "virtual-s/s")
		})
	}
}
