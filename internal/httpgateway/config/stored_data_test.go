package config

import (
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"weirhaven/internal/engine"
	"weirhaven/policy"
)

func storedSettings() policy.Settings {
	seed := uint64(0x8c1f30d27a5be964)
	return policy.Settings{Seed: int64(seed), Ordinal: 2, Hosts: 3, Zone: "north",
		QueueTypes: []policy.QueueType{
			{Name: "read", ServiceTarget: 500 * time.Millisecond, CommandTimeout: 3 * time.Second, Importance: 3, LateShare: 0.15,
				Semantics: policy.Retryable, Streaming: true},
			{Name: "append", ServiceTarget: 250 * time.Millisecond, CommandTimeout: 1200 * time.Millisecond, Window: 2 * time.Second, Importance: 4,
				LateShare: 0.1, Semantics: policy.Tagged, Group: "cell", Writes: true},
			{Name: "write", ServiceTarget: 400 * time.Millisecond, CommandTimeout: 1500 * time.Millisecond, Importance: 2, LateShare: 0.2,
				Semantics: policy.NonRetryable, Group: "zone", InOrder: true, Writes: true}},
		Plans: []policy.Plan{{Name: "plain", Nominal: 14, Reservation: 1.5, Limit: 24, Depth: 40, Slack: 8, Weight: 1, Importance: 0.8},
			{Name: "priority", Nominal: 24, Reservation: 24, Weight: 4, Importance: 1.5}},
		Asks: true, SecondCopies: true, Cancel: true, Probe: true, Peers: true, MaxPause: 2 * time.Second, MarksRepeat: true, MaxDispatch: 4,
		AnswerSlack: 30 * time.Millisecond, Resolution: 10 * time.Millisecond, AskWithin: 5 * time.Second, DrainGrace: 250 * time.Millisecond,
		ColdFrom: 0.2, ColdFor: 4 * time.Second, ColdUnits: 40, FallMultiple: 2, FallAfter: time.Second, Budgeted: true, BudgetFree: 3,
		BudgetShare: 0.25, BudgetSpan: 3 * time.Second, KeyRest: 200 * time.Millisecond, Meter: 500 * time.Millisecond, Elsewhere: true,
		UsualUnits: 1.5, UnitsTop: 8.5}
}

// A configuration as the platform gives it to a host of version a32f63c. Every later version must read the same from it: each value, and
// the list of servers in its order.
func TestStoredConfigurationIsRead(t *testing.T) {
	got, err := Load(filepath.Join("testdata", "stored", "host.json"))
	if err != nil {
		t.Fatal(err)
	}
	want := &Config{Name: "host-1", Listen: "127.0.0.1:7001", Discovery: "[::1]:7002", Limits: Limits{Cores: 0.25, MemoryMB: 64, Sockets: 256},
		Known: List{Revision: 41, Whole: true, Lines: []engine.BrickLine{
			{Name: "brick-1", Address: "127.0.0.1:7301", Zone: "north", Cell: 3, Serving: true, Started: 1_790_000_000_123 * time.Millisecond},
			{Name: "brick-2", Address: "[::1]:7302", Zone: "south", Cell: 4},
			{Name: "brick-3", Cell: -1, Gone: true}}},
		Settings: storedSettings(), Connect: 250 * time.Millisecond, Idle: 30 * time.Second}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("%+v\nwanted %+v", got, want)
	}
}
