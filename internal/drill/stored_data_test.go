package drill

import (
	"path/filepath"
	"testing"

	"google.golang.org/protobuf/proto"

	"weirhaven/internal/wpb"
)

func storedDrill() *wpb.Drill {
	return &wpb.Drill{Name: "own-day", Length: "14s", Hosts: 3,
		Fleet: &wpb.Fleet{Cancel: true, MaxDispatches: 3, Resolution: "10ms", Budget: &wpb.Budget{Free: 3, Share: 0.25, Span: "3s"}, UsualUnits: 2, MostUnits: 8},
		QueueType: []*wpb.QueueType{
			{Name: "read", ServiceTarget: "200ms", CommandTimeout: "1s", Importance: 3, LateShare: 0.15},
			{Name: "order", ServiceTarget: "250ms", CommandTimeout: "1200ms", TagWindow: "2s", Semantics: wpb.Semantics_TAGGED, Group: wpb.Group_CELL, Writes: true}},
		Plan: []*wpb.Plan{{Name: "basic", Nominal: 14, Limit: 24, Depth: 40, Slack: 8, Weight: 1, Importance: 0.8}},
		Kind: []*wpb.BrickKind{
			{Name: "single", UnitWork: "4ms", Vary: 0.5, Queue: 40, Remembers: 2, RememberedSaves: 0.4, Deferred: 0.3, FlushEvery: "900ms", ColdFrom: 0.2,
				ColdFor: "4s", Cancel: wpb.BrickKind_DROPS_WAITING, DropsExpired: true, ProbeWork: "300us", ProbeWaits: true, Errors: 0.001},
			{Name: "double", UnitWork: "2ms", Queue: 80, Cancel: wpb.BrickKind_STOPS}},
		Bricks:  []*wpb.BrickGroup{{Kind: "single", Count: 4, Zone: "north", Speed: 1}, {Kind: "double", Count: 2, Zone: "south", Speed: 1.3}},
		Volumes: []*wpb.VolumeGroup{{Plan: "basic", Count: 24, Cells: 2, Hosts: 2, Demand: 0.9}},
		Load:    &wpb.Load{Mix: []float64{0.55, 0.45}, NewObjects: 0.3, Objects: 12, Repeats: 1, RepeatAfter: "80ms", Body: 64, LeadMoves: "3s", Impatient: 0.03},
		List:    &wpb.ListHabits{Notice: "300ms", ClockOff: "-10s", Fails: 0.1, Absent: true, SavedAge: "1h", Drained: []uint32{0, 2}, Cold: []uint32{5}},
		Bounds:  &wpb.Bounds{Connections: 200, Idle: "31s"}, NewsLost: 0.05, Planner: true,
		Objects: &wpb.ObjectLoad{Workers: 9, Names: 6, ReadType: "read", WriteType: "order", Largest: 400000, Extent: 65536, Unit: 32768, Parts: 0.03,
			Pause: "15ms"},
		Trouble: storedTroubles()}
}

func storedTroubles() []*wpb.Trouble {
	return []*wpb.Trouble{
		{Kind: wpb.Trouble_AGEING, At: "1s", Length: "2500ms", Size: 6, Part: 0.15, Back: "600ms"},
		{Kind: wpb.Trouble_ANSWER_LOST, At: "2s", Length: "1s", Size: 0.05, Part: 0.2, Reset_: true},
		{Kind: wpb.Trouble_HOST_CRASH, At: "3s", On: []uint32{1, 2}, Back: "800ms"},
		{Kind: wpb.Trouble_HOST_ROLL, At: "4s", Length: "3s", Part: 0.34, Back: "300ms"},
		{Kind: wpb.Trouble_BURST, At: "5s", Length: "1500ms", Size: 2},
		{Kind: wpb.Trouble_PLAN_BURST, At: "6s", Length: "2s", Size: 3, Plan: "basic"},
		{Kind: wpb.Trouble_FAST_ERRORS, At: "7s", Length: "1500ms", Size: 0.7, Part: 0.2},
		{Kind: wpb.Trouble_HEAVY_TAIL, At: "8s", Length: "2s", Size: 12, Extra: 0.02},
		{Kind: wpb.Trouble_HOT_KEY, At: "9s", Length: "1500ms", Size: 0.15},
		{Kind: wpb.Trouble_NEIGHBOUR, At: "10s", Length: "2s", Size: 0.6, Extra: 0.4, Part: 0.3},
		{Kind: wpb.Trouble_PAUSES, At: "11s", Length: "2s", Size: 120, Extra: 0.6, Part: 0.4},
		{Kind: wpb.Trouble_PREEMPT, At: "12s", Length: "700ms", Part: 0.3, Back: "500ms"},
		{Kind: wpb.Trouble_RECONNECT, At: "13s", Size: 0.7},
		{Kind: wpb.Trouble_REPEAT_ABUSE, At: "1500ms", Length: "1500ms", Size: 4},
		{Kind: wpb.Trouble_SLOW, At: "2500ms", Length: "2500ms", Size: 5, Part: 0.2},
		{Kind: wpb.Trouble_BRICK_CRASH, At: "3500ms", Part: 0.15, Back: "700ms"},
		{Kind: wpb.Trouble_CLIENTS_STALL, At: "4500ms", Length: "1s", Part: 0.5},
		{Kind: wpb.Trouble_LIST_FLAPS, At: "5500ms", Length: "2s"},
		{Kind: wpb.Trouble_PLANNER_KILL, At: "6500ms", Length: "3s", Extra: 2.1, Back: "100ms"},
		{Kind: wpb.Trouble_PLANNER_STALL, At: "7500ms", Length: "1500ms"},
		{Kind: wpb.Trouble_PLANNER_OLD, At: "8500ms", Extra: 0.5, Back: "100ms"},
	}
}

// A drill as users of version a32f63c may have written one. Every later version must read each field of it, and the troubles in their order.
func TestStoredDrillIsRead(t *testing.T) {
	got, err := Load(filepath.Join("testdata", "stored", "drill.txtpb"))
	if err != nil {
		t.Fatal(err)
	}
	if !proto.Equal(got, storedDrill()) {
		t.Errorf("%v\nwanted %v", got, storedDrill())
	}
}
