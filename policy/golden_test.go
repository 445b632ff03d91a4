package policy

import (
	"testing"
	"time"
)

// goldenSettings returns the settings that each scenario adjusts; some values depend on the seed, so that they differ among
// scenarios.
func goldenSettings(seed int64) Settings {
	variation := float64(seed%7) / 10
	return Settings{Seed: seed, Ordinal: 1, Gateways: 3, CanCancel: true, MaxAttempts: 3, TimerResolution: 2 * millisecond,
		MaxListAge: 8 * time.Second, MaxRetryAfter: 900 * millisecond, OrderingCooldown: 250 * millisecond, TypicalUnits: 2 + variation, ClientsMarkRetries: true,
		SlowStartShare: 0.2 + variation/10, SlowStartTime: 6 * time.Second, SlowStartUnits: 40 + 10*variation, OverloadFactor: 1.8, OverloadWindow: 900 * millisecond,
		Classes: []RequestClass{
			{Name: "read", LatencyObjective: 180 * millisecond, Timeout: time.Second, PriorityWeight: 1 + variation, LateValue: 0.4},
			{Name: "bulk", LatencyObjective: 900 * millisecond, Timeout: 3 * time.Second, PriorityWeight: 0.6, LateValue: 0.7},
			{Name: "put", LatencyObjective: 250 * millisecond, Timeout: 1500 * millisecond, PriorityWeight: 2, LateValue: 0.3, Idempotency: IdempotentByKey,
				IdempotencyScope: "cell", IdempotencyWindow: 800 * millisecond},
			{Name: "zoned", LatencyObjective: 300 * millisecond, Timeout: 1200 * millisecond, PriorityWeight: 1.5, Idempotency: IdempotentByKey, IdempotencyScope: "zone",
				IdempotencyWindow: 700 * millisecond, LateValue: 0.5},
			{Name: "free", LatencyObjective: 300 * millisecond, Timeout: 1200 * millisecond, PriorityWeight: 1.2, Idempotency: IdempotentByKey, IdempotencyScope: "all",
				IdempotencyWindow: 600 * millisecond},
			{Name: "once", LatencyObjective: 400 * millisecond, Timeout: 1600 * millisecond, PriorityWeight: 3, Idempotency: NotIdempotent},
			{Name: "row", LatencyObjective: 350 * millisecond, Timeout: 1400 * millisecond, PriorityWeight: 1, LateValue: 0.2, Ordered: true}},
		Plans: []ServicePlan{{Name: "gold", NominalRate: 60, Reservation: 40 + 10*variation, Weight: 3},
			{Name: "plain", NominalRate: 50, Weight: 1},
			{Name: "capped", NominalRate: 30, Limit: 30, Burst: 90, InitialBurst: 12, Weight: 2}}}
}

func enableHealthChecks(s *Settings) { s.HealthChecks, s.Gossip = true, true }

func unchanged(*Settings) {}

const second = time.Second

// goldenScenarios lists the scenarios; each description names the rules that the scenario covers.
var goldenScenarios = []goldenScenario{
	{name: "low load", seed: 11, adjust: func(s *Settings) { s.Gateways = 1 },
		description: "A single gateway with few requests and no faults: demand, divvy, tags, a limit that widens at low latency.",
		load:        load{duration: 25 * second, requestsPerSecond: 60, endpoints: 4, shards: 2, objects: 40},
		digest:      "8bb300d2b5e62ad0e5e02ac0"},
	{name: "overload", seed: 12, adjust: func(s *Settings) { s.ClientsMarkRetries = false },
		description: "Load above the capacity of the endpoints, clients that retry: load shedding, Retry-After, requests that will miss " +
			"their objective, matching of client retries.",
		load:   load{duration: 20 * second, requestsPerSecond: 320, endpoints: 5, shards: 2, objects: 60, clientRetryShare: 0.8, anyShardShare: 0.1},
		digest: "c2f84a6fd97c30f78fa8e1a2"},
	{name: "marked retries", seed: 13, adjust: unchanged,
		description: "Overload with clients that mark their retries.",
		load:        load{duration: 15 * second, requestsPerSecond: 260, endpoints: 4, shards: 2, objects: 25, clientRetryShare: 0.9, shortTimeoutShare: 0.3},
		digest:      "9ce2d357643072cbbc3cfd58"},
	{name: "slow endpoints", seed: 14, adjust: unchanged,
		description: "A third of the endpoints is nine times slower for a while: the limit narrows, the send interval lengthens and " +
			"shortens, overtaken attempts are presumed lost, without health checks.",
		load:   load{duration: 24 * second, requestsPerSecond: 150, endpoints: 6, shards: 2, objects: 80, clientRetryShare: 0.5, loadReports: true},
		faults: []fault{{slow, 0.34, 4 * second, 14 * second}, {losingResponses, 0.5, 15 * second, 21 * second}},
		digest: "48400166fd708732b43d196a"},
	{name: "health checks", seed: 15, adjust: enableHealthChecks,
		description: "Overloaded, hanging and slow endpoints with health checks and gossip: consecutive failures, ejection, choice of the " +
			"checking gateway, recovery.",
		load:   load{duration: 26 * second, requestsPerSecond: 170, endpoints: 6, shards: 3, objects: 80, clientRetryShare: 0.5, loadReports: true},
		faults: []fault{{overloaded, 0.34, 3 * second, 9 * second}, {hanging, 0.2, 7 * second, 13 * second}, {slow, 0.5, 15 * second, 20 * second}, {losingResponses, 0.5, 18 * second, 24 * second}},
		digest: "8392f1b4e9133a5ccc2852c6"},
	{name: "outliers", seed: 16, adjust: unchanged,
		description: "Refused connections, resets, fast errors, overloaded endpoints: which outcomes count as failures, and which only if repeated.",
		load:        load{duration: 24 * second, requestsPerSecond: 140, endpoints: 6, shards: 2, objects: 60, clientRetryShare: 0.6},
		faults:      []fault{{unreachable, 0.3, 2 * second, 6 * second}, {resetting, 0.5, 7 * second, 12 * second}, {returningErrors, 0.5, 12 * second, 17 * second}, {overloaded, 0.5, 17 * second, 22 * second}},
		digest:      "817bc8e8b333dafcf54b240c"},
	{name: "slow start", seed: 17, adjust: unchanged,
		description: "Endpoints restart and are replaced, some start times are corrected later: slow-start budgets, removal of endpoints " +
			"that the list no longer contains.",
		load:   load{duration: 26 * second, requestsPerSecond: 160, endpoints: 6, shards: 2, objects: 60, correctsStartTimes: true, clientRetryShare: 0.4},
		faults: []fault{{restarting, 0.34, 3 * second, 5 * second}, {draining, 0.5, 8 * second, 11 * second}, {restarting, 0.67, 15 * second, 16 * second}, {disappearing, 0.5, 20 * second, 21 * second}},
		digest: "ed2ba9915855d3d9e6e29897"},
	{name: "retry budget", seed: 18, adjust: func(s *Settings) {
		s.RetryBudget, s.RetryBudgetFree, s.RetryBudgetRatio, s.RetryBudgetWindow, s.MaxAttempts = true, 3, 0.1, 2*second, 4
	},
		description: "Errors under a retry budget: retries wait for it, also after attempts canceled as lost.",
		load:        load{duration: 22 * second, requestsPerSecond: 150, endpoints: 5, shards: 1, objects: 60, clientRetryShare: 0.3},
		faults:      []fault{{returningErrors, 0.6, 3 * second, 9 * second}, {losingResponses, 0.6, 10 * second, 15 * second}, {resetting, 0.6, 15 * second, 20 * second}},
		digest:      "7aafb11460e43dc81c4c77bb"},
	{name: "ordered keys", seed: 19, adjust: func(s *Settings) { s.OrderingCooldown = 400 * millisecond },
		description: "Few objects, so that ordered requests queue, with outcomes that start a cooldown of the key.",
		load:        load{duration: 20 * second, requestsPerSecond: 140, endpoints: 4, shards: 1, objects: 4, disconnectShare: 0.1},
		faults:      []fault{{resetting, 0.5, 3 * second, 8 * second}, {hanging, 0.25, 9 * second, 14 * second}},
		digest:      "6b2356c008e177b093df89ba"},
	{name: "membership", seed: 20, adjust: func(s *Settings) { s.Gateways = 5 },
		description: "A gateway starts while all endpoints warm up, and the number of gateways changes: shares of limits, reservations and budgets.",
		load:        load{duration: 26 * second, requestsPerSecond: 130, endpoints: 5, shards: 2, objects: 60, membershipChanges: true, loadReports: true, startsWarming: true},
		faults:      []fault{{restarting, 0.4, 4 * second, 5 * second}, {restarting, 0.4, 13 * second, 14 * second}, {slow, 0.4, 18 * second, 22 * second}},
		digest:      "cde1edfa2e73538cc925e921"},
	{name: "endpoint list unavailable", seed: 21, adjust: func(s *Settings) { s.PollEndpointList = true; s.MaxListAge = 5 * second },
		description: "Polls of the endpoint list fail for a while: backoff with jitter; drains take effect after recovery.",
		load:        load{duration: 24 * second, requestsPerSecond: 110, endpoints: 4, shards: 2, objects: 60, disconnectShare: 0.2},
		faults:      []fault{{listDown, 0.1, 2 * second, 12 * second}, {draining, 0.5, 9 * second, 15 * second}, {hanging, 0.5, 17 * second, 21 * second}},
		digest:      "fc3ec8355817a13a860a41d8"},
	{name: "streams", seed: 22, adjust: func(s *Settings) { enableHealthChecks(s); s.Ordinal = 0 },
		description: "Streamed responses, disconnecting clients, short timeouts, requests for any endpoint: which attempts are canceled.",
		load:        load{duration: 22 * second, requestsPerSecond: 170, endpoints: 5, shards: 3, objects: 50, streamedShare: 0.4, disconnectShare: 0.3, shortTimeoutShare: 0.3, anyShardShare: 0.3},
		faults:      []fault{{slow, 0.4, 4 * second, 9 * second}, {returningErrors, 0.4, 11 * second, 16 * second}, {hanging, 0.2, 15 * second, 20 * second}},
		digest:      "70bb322cd76de6ad226e4f58"},
	{name: "no cancel", seed: 23, adjust: func(s *Settings) { s.CanCancel = false; s.Gateways = 8; s.MaxRetryAfter = 0 },
		description: "Attempts can't be canceled, clients get no Retry-After, eight gateways share few endpoints.",
		load:        load{duration: 22 * second, requestsPerSecond: 90, endpoints: 3, shards: 1, objects: 40, disconnectShare: 0.1, clientRetryShare: 0.4},
		faults:      []fault{{hanging, 0.34, 3 * second, 8 * second}, {losingResponses, 1, 9 * second, 14 * second}, {slow, 0.67, 15 * second, 19 * second}},
		digest:      "b9ee751a3f47726f0b930238"},
	{name: "many gateways", seed: 24, adjust: func(s *Settings) { enableHealthChecks(s); s.Gateways = 60; s.Ordinal = 2 },
		description: "Each gateway has one slot at each endpoint and little traffic: pacing from its own send rate, limits of one, " +
			"ejections reported by other gateways.",
		load:   load{duration: 30 * second, requestsPerSecond: 40, endpoints: 8, shards: 2, objects: 100, loadReports: true, clientRetryShare: 0.5},
		faults: []fault{{slow, 0.3, 3 * second, 12 * second}, {overloaded, 0.3, 13 * second, 20 * second}, {restarting, 0.3, 21 * second, 22 * second}},
		digest: "a0a38f3fcb7b39117543e12e"},
	{name: "all endpoints draining", seed: 25, adjust: func(s *Settings) { s.RetryBudgetFree = 9 },
		description: "All endpoints drain for some seconds and are then replaced; some requests name an unknown plan.",
		load:        load{duration: 20 * second, requestsPerSecond: 120, endpoints: 4, shards: 2, objects: 50, unknownPlanShare: 0.02, clientRetryShare: 0.3, correctsStartTimes: true},
		faults:      []fault{{draining, 1, 5 * second, 9 * second}, {disappearing, 0.5, 14 * second, 15 * second}},
		digest:      "40fe5a00d72c42ef314e5639"},
	{name: "wide limits", seed: 26, adjust: func(s *Settings) { s.Gateways = 1; s.MaxListAge = 40 * second; s.PollEndpointList = true },
		description: "One gateway and two fast endpoints with many workers, surges separated by idle periods: limits up to their maximum, " +
			"send intervals across idle periods, polls that fail for so long that the backoff reaches its maximum.",
		load:   load{duration: 50 * second, requestsPerSecond: 700, endpoints: 2, shards: 2, objects: 400, workers: 40, serviceTimePerUnit: 20 * millisecond, idlePeriods: true},
		faults: []fault{{listDown, 0.1, 2 * second, 45 * second}},
		digest: "2b00179d13a6d8a8463c4cc3"},
	{name: "many gateways, low load", seed: 27, adjust: func(s *Settings) { s.Gateways = 20 },
		description: "Few requests, in surges, one at a time at each endpoint: the mean send interval and pacing from it.",
		load:        load{duration: 60 * second, requestsPerSecond: 12, endpoints: 3, shards: 1, objects: 60, idlePeriods: true},
		faults:      []fault{{slow, 0.7, 10 * second, 35 * second}, {returningErrors, 0.4, 40 * second, 55 * second}},
		digest:      "adca00f5f509322a59041ed9"},
	{name: "lost or late responses", seed: 28, adjust: unchanged,
		description: "Late and lost responses among others that take two to three congestion thresholds: detection of losses by later attempts.",
		load:        load{duration: 40 * second, requestsPerSecond: 70, endpoints: 3, shards: 1, objects: 60, serviceTimePerUnit: 24 * millisecond, workers: 6},
		faults:      []fault{{losingResponses, 1, 3 * second, 38 * second}},
		digest:      "4da13fafda96defa304bbaeb"},
	{name: "lost or late responses, health checks", seed: 29, adjust: enableHealthChecks,
		description: "Late and lost responses with health checks: detection of losses by health checks.",
		load:        load{duration: 40 * second, requestsPerSecond: 70, endpoints: 3, shards: 1, objects: 60, serviceTimePerUnit: 24 * millisecond, workers: 6},
		faults:      []fault{{losingResponses, 1, 3 * second, 38 * second}},
		digest:      "b516979ae871407aac4c35fd"},
}

// The decisions of the scheduler must stay the same as in version a32f63c, on which the digests were recorded (on amd64; a compiler
// that fuses floating-point operations may round differently). A different digest means that a decision changed. A commit with an
// intended change says so and records the digests anew.
func TestGoldenDecisions(t *testing.T) {
	for _, scenario := range goldenScenarios {
		t.Run(scenario.name, func(t *testing.T) {
			t.Parallel()
			got, calls := playScenario(scenario)
			t.Logf("%s: %v", scenario.description, calls)
			if got != scenario.digest {
				t.Errorf("digest of decisions = %s, want %s", got, scenario.digest)
			}
		})
	}
}

// The driver must be deterministic: two runs of a scenario must have the same digest, or the recorded digests would be meaningless.
func TestGoldenDriverIsDeterministic(t *testing.T) {
	first, _ := playScenario(goldenScenarios[0])
	second, _ := playScenario(goldenScenarios[0])
	if first != second {
		t.Errorf("two runs of one scenario have different digests: %s and %s", first, second)
	}
}
