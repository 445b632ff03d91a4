package learn

import (
	"math"
	"math/rand"
	"strings"
	"testing"
	"time"

	"weirhaven/internal/capacity/model"
	"weirhaven/internal/pb"
	"weirhaven/policy"
)

var fleet = &pb.CapacityFleet{Kind: []*pb.ServerKind{{Name: "one"}, {Name: "four", Cores: 4}},
	QueueType: []*pb.QueueType{{Name: "read"}, {Name: "write", Writes: true}},
	Brick:     []*pb.Server{{Name: "a0", Kind: "one"}, {Name: "a1", Kind: "one"}, {Name: "c0", Kind: "four"}}}

// simulate sends n requests at the given rate (per second) to a simulated endpoint, and returns what gateways would have captured.
func simulate(name string, k *pb.CapacityModel_KindModel, cores int, speed, rate float64, n int, seed int64) (records []*pb.Captured) {
	rng := rand.New(rand.NewSource(seed))
	endpoint := model.New(model.Config{Name: name, Kind: k, Cores: cores, Speed: speed, Writes: map[string]bool{"write": true}, Seed: seed})
	oneWay := time.Duration(k.Way / 2 * float64(time.Second))
	at := 1000 * time.Hour
	byID := map[uint64]*pb.Captured{}
	done := func(j *model.Attempt, at time.Duration) {
		d := byID[j.ID].GetCommand().Dispatch[0]
		d.Took, d.How = int64(at+oneWay)-byID[j.ID].At, int32(policy.Served)
		if j.ID%200 == 199 { // every 200th response is lost
			d.Took, d.How = int64(time.Second), int32(policy.TimedOut)
		}
	}
	for id := range uint64(n) {
		at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		for {
			next, ok := endpoint.NextCompletion()
			if !ok || next > at+oneWay {
				break
			}
			endpoint.Advance(next, done)
		}
		c := &pb.CapturedCommand{QueueType: "read", Units: float64(1 + rng.Intn(4)), Object: uint64(rng.Intn(12)) + 1,
			Dispatch: []*pb.CapturedDispatch{{Brick: name}}}
		if rng.Intn(3) == 0 {
			c.QueueType = "write"
		}
		l := &pb.Captured{At: int64(at), What: &pb.Captured_Command{Command: c}}
		records = append(records, l)
		byID[id] = l
		endpoint.Advance(at+oneWay, done)
		endpoint.Arrive(&model.Attempt{ID: id, Class: c.QueueType, Units: c.Units, Object: c.Object, First: true}, at+oneWay)
	}
	endpoint.Advance(at+time.Hour, done)
	return records
}

func checkNear(t *testing.T, name string, got, want, tolerance float64) {
	t.Helper()
	if math.Abs(got-want) > tolerance*math.Abs(want) {
		t.Errorf("%s: %.5f, want %.5f", name, got, want)
	}
}

// Model must recover the parameters of simulated endpoints from a capture of their load: costs, variation, round trip, cache, deferred writes
// and speeds.
func TestRecoversParameters(t *testing.T) {
	k := &pb.CapacityModel_KindModel{Way: 0.001, Remembers: 3, Saves: 0.4, Deferred: 0.3, Flush: 0.9, Work: []*pb.CapacityModel_Work{
		{QueueType: "read", Base: 0.001, Unit: 0.003, Vary: 0.3, Samples: 1}, {QueueType: "write", Base: 0.0005, Unit: 0.004, Vary: 0.3, Samples: 1}}}
	records := append(simulate("a0", k, 1, 1, 70, 6000, 1), simulate("a1", k, 1, 1.3, 70, 6000, 2)...)
	m, err := Model(records, fleet, nil)
	if err != nil {
		t.Fatal(err)
	}
	if len(m.Kind) != 1 || len(m.Brick) != 2 {
		t.Fatal(m)
	}
	got := m.Kind[0]
	t.Log(got)
	checkNear(t, "way", got.Way, 0.001, 0.3)
	checkNear(t, "saves", got.Saves, 0.4, 0.15)
	checkNear(t, "deferred", got.Deferred, 0.3, 0.25)
	checkNear(t, "flush", got.Flush, 0.9, 0.15)
	checkNear(t, "speeds", m.Brick[1].Speed/m.Brick[0].Speed, 1.3, 0.03)
	if got.Remembers < 2 || got.Remembers > 4 {
		t.Errorf("remembers %d", got.Remembers)
	}
	for i, q := range []string{"read", "write"} { // at the endpoints' mean speed, 1.15
		x, want := got.Work[i], k.Work[i]
		checkNear(t, q+" work of two", (x.Base+2*x.Unit)*1.15, want.Base+2*want.Unit, 0.08)
		checkNear(t, q+" spread", x.Vary, 0.3, 0.25)
	}
	if got.Fit.Explained < 0.3 || math.Abs(got.Fit.UseSeen/got.Fit.UseTold-1) > 0.06 {
		t.Errorf("%+v", got.Fit)
	}
}

// Pauses of an endpoint with four cores must be learnt as pauses, not as deferred work or a cache.
func TestPausesAndCores(t *testing.T) {
	k := &pb.CapacityModel_KindModel{Way: 0.0005, Pause: 0.12, PauseEvery: 1.5, Work: []*pb.CapacityModel_Work{
		{QueueType: "read", Unit: 0.008, Vary: 0.3, Samples: 1}, {QueueType: "write", Unit: 0.008, Vary: 0.3, Samples: 1}}}
	m, err := Model(simulate("c0", k, 4, 1, 120, 8000, 3), fleet, nil)
	if err != nil {
		t.Fatal(err)
	}
	got := m.Kind[0]
	t.Log(got)
	checkNear(t, "unit", got.Work[0].Base/2.5+got.Work[0].Unit, 0.008, 0.1)
	checkNear(t, "pause", got.Pause, 0.12, 0.3)
	if got.Deferred > 0 || got.Remembers > 0 || got.Name != "four" || got.PauseEvery < 1 || got.PauseEvery > 3 {
		t.Error(got)
	}
}

// Model must return an error, not an invented model, if a capture is empty, has a request class that the fleet does not describe, or has only
// lost attempts.
func TestRejectsUnusableCaptures(t *testing.T) {
	if _, err := Model(nil, fleet, nil); err == nil || !strings.Contains(err.Error(), "nothing to learn") {
		t.Error(err)
	}
	bad := []*pb.Captured{{What: &pb.Captured_Command{Command: &pb.CapturedCommand{QueueType: "scan"}}}}
	if _, err := Model(bad, fleet, nil); err == nil || !strings.Contains(err.Error(), `"scan"`) {
		t.Error(err)
	}
	// All attempts are lost.
	records := simulate("a0", &pb.CapacityModel_KindModel{Work: []*pb.CapacityModel_Work{{QueueType: "read", Unit: 0.001, Samples: 1}}}, 1, 1, 50, 100, 1)
	for _, l := range records {
		l.GetCommand().Dispatch[0].How = int32(policy.ConnectionReset)
	}
	if m, err := Model(records, fleet, nil); err == nil {
		t.Error(m)
	}
}
