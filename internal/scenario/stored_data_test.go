package scenario

import (
	"path/filepath"
	"testing"

	"google.golang.org/protobuf/proto"

	"weirhaven/internal/pb"
)

func storedScenario() *pb.Drill {
	return &pb.Drill{Name: "own-day", Length: "14s", Hosts: 3,
		Fleet: &pb.Fleet{Cancel: true, MaxDispatches: 3, Resolution: "10ms", Budget: &pb.Budget{Free: 3, Share: 0.25, Span: "3s"}, UsualUnits: 2, MostUnits: 8},
		QueueType: []*pb.QueueType{
			{Name: "read", ServiceTarget: "200ms", CommandTimeout: "1s", Importance: 3, LateShare: 0.15},
			{Name: "order", ServiceTarget: "250ms", CommandTimeout: "1200ms", TagWindow: "2s", Semantics: pb.Semantics_TAGGED, Group: pb.Group_CELL, Writes: true}},
		Plan: []*pb.Plan{{Name: "basic", Nominal: 14, Limit: 24, Depth: 40, Slack: 8, Weight: 1, Importance: 0.8}},
		Kind: []*pb.BrickKind{
			{Name: "single", UnitWork: "4ms", Vary: 0.5, Queue: 40, Remembers: 2, RememberedSaves: 0.4, Deferred: 0.3, FlushEvery: "900ms", ColdFrom: 0.2,
				ColdFor: "4s", Cancel: pb.BrickKind_DROPS_WAITING, DropsExpired: true, ProbeWork: "300us", ProbeWaits: true, Errors: 0.001},
			{Name: "double", UnitWork: "2ms", Queue: 80, Cancel: pb.BrickKind_STOPS}},
		Bricks:  []*pb.BrickGroup{{Kind: "single", Count: 4, Zone: "north", Speed: 1}, {Kind: "double", Count: 2, Zone: "south", Speed: 1.3}},
		Volumes: []*pb.VolumeGroup{{Plan: "basic", Count: 24, Cells: 2, Hosts: 2, Demand: 0.9}},
		Load:    &pb.Load{Mix: []float64{0.55, 0.45}, NewObjects: 0.3, Objects: 12, Repeats: 1, RepeatAfter: "80ms", Body: 64, LeadMoves: "3s", Impatient: 0.03},
		List:    &pb.ListHabits{Notice: "300ms", ClockOff: "-10s", Fails: 0.1, Absent: true, SavedAge: "1h", Drained: []uint32{0, 2}, Cold: []uint32{5}},
		Bounds:  &pb.Bounds{Connections: 200, Idle: "31s"}, NewsLost: 0.05, Planner: true,
		Objects: &pb.ObjectLoad{Workers: 9, Names: 6, ReadType: "read", WriteType: "order", Largest: 400000, Extent: 65536, Unit: 32768, Parts: 0.03,
			Pause: "15ms"},
		Trouble: storedFaults()}
}

func storedFaults() []*pb.Trouble {
	return []*pb.Trouble{
		{Kind: pb.Trouble_AGEING, At: "1s", Length: "2500ms", Size: 6, Part: 0.15, Back: "600ms"},
		{Kind: pb.Trouble_ANSWER_LOST, At: "2s", Length: "1s", Size: 0.05, Part: 0.2, Reset_: true},
		{Kind: pb.Trouble_HOST_CRASH, At: "3s", On: []uint32{1, 2}, Back: "800ms"},
		{Kind: pb.Trouble_HOST_ROLL, At: "4s", Length: "3s", Part: 0.34, Back: "300ms"},
		{Kind: pb.Trouble_BURST, At: "5s", Length: "1500ms", Size: 2},
		{Kind: pb.Trouble_PLAN_BURST, At: "6s", Length: "2s", Size: 3, Plan: "basic"},
		{Kind: pb.Trouble_FAST_ERRORS, At: "7s", Length: "1500ms", Size: 0.7, Part: 0.2},
		{Kind: pb.Trouble_HEAVY_TAIL, At: "8s", Length: "2s", Size: 12, Extra: 0.02},
		{Kind: pb.Trouble_HOT_KEY, At: "9s", Length: "1500ms", Size: 0.15},
		{Kind: pb.Trouble_NEIGHBOUR, At: "10s", Length: "2s", Size: 0.6, Extra: 0.4, Part: 0.3},
		{Kind: pb.Trouble_PAUSES, At: "11s", Length: "2s", Size: 120, Extra: 0.6, Part: 0.4},
		{Kind: pb.Trouble_PREEMPT, At: "12s", Length: "700ms", Part: 0.3, Back: "500ms"},
		{Kind: pb.Trouble_RECONNECT, At: "13s", Size: 0.7},
		{Kind: pb.Trouble_REPEAT_ABUSE, At: "1500ms", Length: "1500ms", Size: 4},
		{Kind: pb.Trouble_SLOW, At: "2500ms", Length: "2500ms", Size: 5, Part: 0.2},
		{Kind: pb.Trouble_BRICK_CRASH, At: "3500ms", Part: 0.15, Back: "700ms"},
		{Kind: pb.Trouble_CLIENTS_STALL, At: "4500ms", Length: "1s", Part: 0.5},
		{Kind: pb.Trouble_LIST_FLAPS, At: "5500ms", Length: "2s"},
		{Kind: pb.Trouble_PLANNER_KILL, At: "6500ms", Length: "3s", Extra: 2.1, Back: "100ms"},
		{Kind: pb.Trouble_PLANNER_STALL, At: "7500ms", Length: "1500ms"},
		{Kind: pb.Trouble_PLANNER_OLD, At: "8500ms", Extra: 0.5, Back: "100ms"},
	}
}

// Every later version must read a scenario file as users of version a32f63c may have written it: each field, and the faults in order.
func TestStoredScenarioIsRead(t *testing.T) {
	got, err := Load(filepath.Join("testdata", "stored", "drill.txtpb"))
	if err != nil {
		t.Fatal(err)
	}
	if !proto.Equal(got, storedScenario()) {
		t.Errorf("scenario = %v\nwant %v", got, storedScenario())
	}
}
