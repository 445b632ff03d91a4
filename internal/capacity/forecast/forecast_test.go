package forecast

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"weirhaven/internal/capacity/demand"
	"weirhaven/internal/pb"
)

// fleet returns a fleet with endpoints in two zones, and a model in which a unit takes 4 ms.
func fleet(endpoints, gateways int) (*pb.CapacityFleet, *pb.CapacityModel) {
	f := &pb.CapacityFleet{Rules: &pb.Fleet{MaxDispatches: 3, Resolution: "10ms", UsualUnits: 2, MostUnits: 8, Cancel: true, MaxPause: "500ms",
		DrainGrace: "250ms", ColdFrom: 0.2, ColdFor: "4s", ColdUnits: 40, FallMultiple: 2, FallAfter: "1s", Meter: "500ms", TellsElsewhere: true,
		Budget: &pb.Budget{Free: 3, Share: 0.25, Span: "3s"}},
		QueueType: []*pb.QueueType{{Name: "read", ServiceTarget: "200ms", CommandTimeout: "1s", Importance: 3},
			{Name: "post", ServiceTarget: "300ms", CommandTimeout: "1500ms", Importance: 4, Semantics: pb.Semantics_NON_RETRYABLE, Writes: true}},
		Plan: []*pb.Plan{{Name: "basic", Nominal: 20, Weight: 1}, {Name: "priority", Nominal: 20, Reservation: 20, Weight: 4}},
		Kind: []*pb.ServerKind{{Name: "single", Queue: 40, Cancel: pb.BrickCancel_CANCEL_DROPS_WAITING, DropsExpired: true}}}
	for i := range endpoints {
		f.Brick = append(f.Brick, &pb.Server{Name: fmt.Sprint("b", i), Kind: "single", Zone: []string{"north", "south"}[i%2], Cell: uint32(i)})
	}
	for i := range gateways {
		f.Host = append(f.Host, &pb.HostLine{Name: fmt.Sprint("h", i), Zone: "north"})
	}
	m := &pb.CapacityModel{Kind: []*pb.CapacityModel_KindModel{{Name: "single", Way: 0.0005, Work: []*pb.CapacityModel_Work{
		{QueueType: "read", Unit: 0.004, Vary: 0.5, Samples: 100}, {QueueType: "post", Unit: 0.004, Vary: 0.5, Samples: 100}}}}}
	return f, m
}

// load returns requests at a mean rate per second; each volume lies on two shards.
func load(rate float64, length time.Duration, endpoints, gateways int, seed int64) (all []demand.Request) {
	rng := rand.New(rand.NewSource(seed))
	for at := time.Duration(0); ; {
		at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		if at > length {
			return all
		}
		v := rng.Intn(4 * endpoints)
		w := demand.Request{Arrival: at, Volume: fmt.Sprint("v", v), Plan: []string{"basic", "priority"}[v%2], Class: "read", Units: 1,
			Shard: (v + rng.Intn(2)) % endpoints, Object: rng.Uint64()%50 + 1, Timeout: time.Second, Gateway: fmt.Sprint("h", (v+rng.Intn(2))%gateways)}
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

// At 40% of the capacity nearly all requests complete within the objective and the utilization matches the work sent. At twice the
// capacity the endpoints are fully used and the excess is rejected or late.
func TestUnderloadAndOverload(t *testing.T) {
	f, m := fleet(4, 2)
	underload := run(t, Scenario{Fleet: f, Model: m, Requests: load(200, 10*time.Second, 4, 2, 1), Seed: 1})
	utilization := 0.0
	for _, b := range underload.Endpoints {
		utilization += b.Mean() / 4
	}
	if p := underload.Total().InTargetRatio(); p < 0.97 || utilization < 0.35 || utilization > 0.45 { // 200 x 2 units x 4 ms over 4 endpoints: 0.4
		t.Errorf("underload: %.3f in target, utilization %.3f", p, utilization)
	}
	overload := run(t, Scenario{Fleet: f, Model: m, Requests: load(1000, 10*time.Second, 4, 2, 1), Seed: 1})
	utilization = 0
	for _, b := range overload.Endpoints {
		utilization += b.Mean() / 4
	}
	if p := overload.Total().InTargetRatio(); p < 0.3 || p > 0.6 || utilization < 0.85 {
		t.Errorf("overload: %.3f in target, utilization %.3f", p, utilization)
	}
	// Every request has exactly one outcome.
	a := overload.Total()
	if a.Requests != a.InTarget+a.Late+a.Rejected+a.Aborted+a.Cancelled {
		t.Errorf("%+v", a)
	}
}

// Two runs with one seed must not differ, failures included.
func TestSameSeedSameResult(t *testing.T) {
	f, m := fleet(5, 3)
	result := func() string {
		r := run(t, Scenario{Fleet: f, Model: m, Requests: load(500, 4*time.Second, 5, 3, 2), Seed: 3,
			Events: []Event{{At: time.Second, Endpoint: "b1", Down: true}, {At: 2 * time.Second, Endpoint: "b1"}, {At: time.Second, Gateway: "h1", Down: true},
				{At: 1500 * time.Millisecond, Gateway: "h1"}}})
		return fmt.Sprint(r.Total(), r.Endpoints, r.Attempts, r.Retries, r.Pressure)
	}
	if a, b := result(), result(); a != b {
		t.Errorf("two runs with one seed differ:\n%.300s\n%.300s", a, b)
	}
}

// Losing an endpoint fails the requests for its shard only. Its cold replacement must not break down under the returning load, and the
// service recovers fully.
func TestEndpointLoss(t *testing.T) {
	f, m := fleet(4, 2)
	r := run(t, Scenario{Fleet: f, Model: m, Requests: load(250, 24*time.Second, 4, 2, 1), Seed: 1,
		Events: []Event{{At: 6 * time.Second, Endpoint: "b2", Down: true}, {At: 10 * time.Second, Endpoint: "b2"}}})
	inTarget := func(from, to int) float64 {
		all := &Tally{}
		for _, b := range r.Blocks[from:to] {
			for _, x := range b {
				all.Add(x)
			}
		}
		return all.InTargetRatio()
	}
	before, outage, after := inTarget(1, 6), inTarget(6, 10), inTarget(16, 24)
	if before < 0.95 || outage > 0.85 || after < 0.95 || r.Overloaded > 0 || r.Pressure <= 0 || r.Pressure > 1 {
		t.Errorf("before %.3f, during the outage %.3f, after %.3f, overloaded %d, pressure %.2f", before, outage, after, r.Overloaded, r.Pressure)
	}
	if r.Endpoints[2].Utilization[8] > 0.05 || r.Endpoints[2].Utilization[20] < 0.2 {
		t.Errorf("utilization of the lost endpoint: %.2f", r.Endpoints[2].Utilization)
	}
}

// BenchmarkRun measures virtual seconds simulated per second as the fleet grows.
func BenchmarkRun(b *testing.B) {
	for _, n := range []struct{ endpoints, gateways, rate int }{{9, 36, 160}, {45, 180, 800}, {90, 360, 1600}} {
		f, m := fleet(n.endpoints, n.gateways)
		w := load(float64(n.rate), 20*time.Second, n.endpoints, n.gateways, 1)
		b.Run(fmt.Sprintf("%dx%d", n.endpoints, n.gateways), func(b *testing.B) {
			start := time.Now()
			for b.Loop() {
				run(b, Scenario{Fleet: f, Model: m, Requests: w, Seed: 1})
			}
			b.ReportMetric(20*float64(b.N)/time.Since(start).Seconds(), "virtual-s/s")
		})
	}
}
