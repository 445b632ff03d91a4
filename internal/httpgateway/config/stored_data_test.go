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
	return policy.Settings{Seed: int64(seed), Ordinal: 2, Gateways: 3,
		Classes: []policy.RequestClass{
			{Name: "read", LatencyObjective: 500 * time.Millisecond, Timeout: 3 * time.Second, PriorityWeight: 3, LateValue: 0.15,
				Idempotency: policy.Idempotent},
			{Name: "append", LatencyObjective: 250 * time.Millisecond, Timeout: 1200 * time.Millisecond, IdempotencyWindow: 2 * time.Second, PriorityWeight: 4,
				LateValue: 0.1, Idempotency: policy.IdempotentByKey, IdempotencyScope: "cell", Writes: true},
			{Name: "write", LatencyObjective: 400 * time.Millisecond, Timeout: 1500 * time.Millisecond, PriorityWeight: 2, LateValue: 0.2,
				Idempotency: policy.NotIdempotent, IdempotencyScope: "zone", Ordered: true, Writes: true}},
		Plans: []policy.ServicePlan{{Name: "plain", NominalRate: 14, Reservation: 1.5, Limit: 24, Burst: 40, InitialBurst: 8, Weight: 1},
			{Name: "priority", NominalRate: 24, Reservation: 24, Weight: 4}},
		PollEndpointList: true, Hedging: true, CanCancel: true, HealthChecks: true, Gossip: true, MaxRetryAfter: 2 * time.Second, ClientsMarkRetries: true, MaxAttempts: 4,
		TimerResolution: 10 * time.Millisecond, MaxListAge: 5 * time.Second, DrainGrace: 250 * time.Millisecond,
		SlowStartShare: 0.2, SlowStartTime: 4 * time.Second, SlowStartUnits: 40, OverloadFactor: 2, OverloadWindow: time.Second, RetryBudget: true, RetryBudgetFree: 3,
		RetryBudgetRatio: 0.25, RetryBudgetWindow: 3 * time.Second, OrderingCooldown: 200 * time.Millisecond,
		TypicalUnits: 1.5}
}

// The stored configuration was written by the platform for a gateway of version a32f63c. Every later version must parse the same
// values from it, and the endpoint list in the same order.
func TestStoredConfigurationIsRead(t *testing.T) {
	got, err := Load(filepath.Join("testdata", "stored", "host.json"))
	if err != nil {
		t.Fatal(err)
	}
	want := &Config{Name: "host-1", Listen: "127.0.0.1:7001", Discovery: "[::1]:7002", Limits: Limits{Cores: 0.25, MemoryMB: 64, Sockets: 256},
		KnownEndpoints: List{Revision: 41, Complete: true, Entries: []engine.EndpointEntry{
			{Name: "brick-1", Address: "127.0.0.1:7301", Zone: "north", Shard: 3, Serving: true, StartedAt: 1_790_000_000_123 * time.Millisecond},
			{Name: "brick-2", Address: "[::1]:7302", Zone: "south", Shard: 4},
			{Name: "brick-3", Shard: -1, Removed: true}}},
		Settings: storedSettings(), ConnectTimeout: 250 * time.Millisecond, EndpointIdleTimeout: 30 * time.Second}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("%+v\nwanted %+v", got, want)
	}
}
