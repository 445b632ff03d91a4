package policy

import (
	"testing"
	"time"
)

// goldenSettings are the settings that a day starts from; each day changes some, and figures that no two days share come
// from its seed.
func goldenSettings(seed int64) Settings {
	odd := float64(seed%7) / 10
	return Settings{Seed: seed, Ordinal: 1, Gateways: 3, CanCancel: true, MaxAttempts: 3, TimerResolution: 2 * millisecond,
		MaxListAge: 8 * time.Second, MaxRetryAfter: 900 * millisecond, OrderingCooldown: 250 * millisecond, TypicalUnits: 2 + odd, ClientsMarkRetries: true,
		SlowStartShare: 0.2 + odd/10, SlowStartTime: 6 * time.Second, SlowStartUnits: 40 + 10*odd, OverloadFactor: 1.8, OverloadWindow: 900 * millisecond,
		Classes: []RequestClass{
			{Name: "read", LatencyObjective: 180 * millisecond, Timeout: time.Second, PriorityWeight: 1 + odd, LateValue: 0.4},
			{Name: "bulk", LatencyObjective: 900 * millisecond, Timeout: 3 * time.Second, PriorityWeight: 0.6, LateValue: 0.7},
			{Name: "put", LatencyObjective: 250 * millisecond, Timeout: 1500 * millisecond, PriorityWeight: 2, LateValue: 0.3, Idempotency: IdempotentByKey,
				IdempotencyScope: "cell", IdempotencyWindow: 800 * millisecond},
			{Name: "zoned", LatencyObjective: 300 * millisecond, Timeout: 1200 * millisecond, PriorityWeight: 1.5, Idempotency: IdempotentByKey, IdempotencyScope: "zone",
				IdempotencyWindow: 700 * millisecond, LateValue: 0.5},
			{Name: "free", LatencyObjective: 300 * millisecond, Timeout: 1200 * millisecond, PriorityWeight: 1.2, Idempotency: IdempotentByKey, IdempotencyScope: "all",
				IdempotencyWindow: 600 * millisecond},
			{Name: "once", LatencyObjective: 400 * millisecond, Timeout: 1600 * millisecond, PriorityWeight: 3, Idempotency: NotIdempotent},
			{Name: "row", LatencyObjective: 350 * millisecond, Timeout: 1400 * millisecond, PriorityWeight: 1, LateValue: 0.2, Ordered: true}},
		Plans: []ServicePlan{{Name: "gold", NominalRate: 60, Reservation: 40 + 10*odd, Weight: 3},
			{Name: "plain", NominalRate: 50, Weight: 1},
			{Name: "capped", NominalRate: 30, Limit: 30, Burst: 90, InitialBurst: 12, Weight: 2}}}
}

func healthChecksOn(s *Settings) { s.HealthChecks, s.Gossip = true, true }

func unchanged(*Settings) {}

const second = time.Second

// goldenScenarios: each day's story says which rules it is there to reach.
var goldenScenarios = []goldenScenario{
	{name: "quiet", seed: 11, adjust: func(s *Settings) { s.Gateways = 1 },
		description: "Few requests, no fault: demand, divvy, tags, a limit that widens with low latency; one gateway alone.",
		load:        load{duration: 25 * second, requestsPerSecond: 60, endpoints: 4, shards: 2, objects: 40},
		digest:      "8bb300d2b5e62ad0e5e02ac0"},
	{name: "overload", seed: 12, adjust: func(s *Settings) { s.ClientsMarkRetries = false },
		description: "More than the endpoints can do, clients that come again: load shedding, Retry-After, requests that will miss their " +
			"objective, first tries remembered.",
		load:   load{duration: 20 * second, requestsPerSecond: 320, endpoints: 5, shards: 2, objects: 60, clientRetryShare: 0.8, anyShardShare: 0.1},
		digest: "c2f84a6fd97c30f78fa8e1a2"},
	{name: "marked repeats", seed: 13, adjust: unchanged,
		description: "The same with clients that mark what they repeat.",
		load:        load{duration: 15 * second, requestsPerSecond: 260, endpoints: 4, shards: 2, objects: 25, clientRetryShare: 0.9, shortTimeoutShare: 0.3},
		digest:      "9ce2d357643072cbbc3cfd58"},
	{name: "slow endpoints", seed: 14, adjust: unchanged,
		description: "A third of the endpoints is nine times slower for a while: the limit narrows, pacing opens and closes, what was " +
			"overtaken is taken for lost, without health checks.",
		load:   load{duration: 24 * second, requestsPerSecond: 150, endpoints: 6, shards: 2, objects: 80, clientRetryShare: 0.5, loadReports: true},
		faults: []fault{{slow, 0.34, 4 * second, 14 * second}, {losingResponses, 0.5, 15 * second, 21 * second}},
		digest: "48400166fd708732b43d196a"},
	{name: "health checks", seed: 15, adjust: healthChecksOn,
		description: "Full, hanging and slow endpoints with health checks and gossip: consecutive failures, ejection, who checks for all, " +
			"the way back.",
		load:   load{duration: 26 * second, requestsPerSecond: 170, endpoints: 6, shards: 3, objects: 80, clientRetryShare: 0.5, loadReports: true},
		faults: []fault{{overloaded, 0.34, 3 * second, 9 * second}, {hanging, 0.2, 7 * second, 13 * second}, {slow, 0.5, 15 * second, 20 * second}, {losingResponses, 0.5, 18 * second, 24 * second}},
		digest: "8392f1b4e9133a5ccc2852c6"},
	{name: "outliers", seed: 16, adjust: unchanged,
		description: "Connections refused, reset, errors that come fast, full endpoints: what counts as a failure, what only once in a row.",
		load:        load{duration: 24 * second, requestsPerSecond: 140, endpoints: 6, shards: 2, objects: 60, clientRetryShare: 0.6},
		faults:      []fault{{unreachable, 0.3, 2 * second, 6 * second}, {resetting, 0.5, 7 * second, 12 * second}, {returningErrors, 0.5, 12 * second, 17 * second}, {overloaded, 0.5, 17 * second, 22 * second}},
		digest:      "817bc8e8b333dafcf54b240c"},
	{name: "slow start", seed: 17, adjust: unchanged,
		description: "Endpoints restart and are replaced, some starts are put right later: the budget while they warm up, a list that " +
			"takes away what is gone.",
		load:   load{duration: 26 * second, requestsPerSecond: 160, endpoints: 6, shards: 2, objects: 60, correctsStartTimes: true, clientRetryShare: 0.4},
		faults: []fault{{restarting, 0.34, 3 * second, 5 * second}, {draining, 0.5, 8 * second, 11 * second}, {restarting, 0.67, 15 * second, 16 * second}, {disappearing, 0.5, 20 * second, 21 * second}},
		digest: "ed2ba9915855d3d9e6e29897"},
	{name: "retry budget", seed: 18, adjust: func(s *Settings) {
		s.RetryBudget, s.RetryBudgetFree, s.RetryBudgetRatio, s.RetryBudgetWindow, s.MaxAttempts = true, 3, 0.1, 2*second, 4
	},
		description: "Errors under a retry budget: retries wait for it, also after what is called off as lost.",
		load:        load{duration: 22 * second, requestsPerSecond: 150, endpoints: 5, shards: 1, objects: 60, clientRetryShare: 0.3},
		faults:      []fault{{returningErrors, 0.6, 3 * second, 9 * second}, {losingResponses, 0.6, 10 * second, 15 * second}, {resetting, 0.6, 15 * second, 20 * second}},
		digest:      "7aafb11460e43dc81c4c77bb"},
	{name: "ordered keys", seed: 19, adjust: func(s *Settings) { s.OrderingCooldown = 400 * millisecond },
		description: "Few objects, so that ordered requests wait in line, with outcomes after which a key rests.",
		load:        load{duration: 20 * second, requestsPerSecond: 140, endpoints: 4, shards: 1, objects: 4, disconnectShare: 0.1},
		faults:      []fault{{resetting, 0.5, 3 * second, 8 * second}, {hanging, 0.25, 9 * second, 14 * second}},
		digest:      "6b2356c008e177b093df89ba"},
	{name: "membership", seed: 20, adjust: func(s *Settings) { s.Gateways = 5 },
		description: "A gateway starts while all endpoints warm up, others come and go: parts of limits, reservations and slow-start budgets.",
		load:        load{duration: 26 * second, requestsPerSecond: 130, endpoints: 5, shards: 2, objects: 60, membershipChanges: true, loadReports: true, startsWarming: true},
		faults:      []fault{{restarting, 0.4, 4 * second, 5 * second}, {restarting, 0.4, 13 * second, 14 * second}, {slow, 0.4, 18 * second, 22 * second}},
		digest:      "cde1edfa2e73538cc925e921"},
	{name: "list down", seed: 21, adjust: func(s *Settings) { s.PollEndpointList = true; s.MaxListAge = 5 * second },
		description: "The list is asked for and fails for a while: backoff with jitter; drains come when it is back.",
		load:        load{duration: 24 * second, requestsPerSecond: 110, endpoints: 4, shards: 2, objects: 60, disconnectShare: 0.2},
		faults:      []fault{{listDown, 0.1, 2 * second, 12 * second}, {draining, 0.5, 9 * second, 15 * second}, {hanging, 0.5, 17 * second, 21 * second}},
		digest:      "fc3ec8355817a13a860a41d8"},
	{name: "streams", seed: 22, adjust: func(s *Settings) { healthChecksOn(s); s.Ordinal = 0 },
		description: "Streaming answers, clients that leave, short time-outs, requests for any endpoint: what is called off and what stays.",
		load:        load{duration: 22 * second, requestsPerSecond: 170, endpoints: 5, shards: 3, objects: 50, streamedShare: 0.4, disconnectShare: 0.3, shortTimeoutShare: 0.3, anyShardShare: 0.3},
		faults:      []fault{{slow, 0.4, 4 * second, 9 * second}, {returningErrors, 0.4, 11 * second, 16 * second}, {hanging, 0.2, 15 * second, 20 * second}},
		digest:      "70bb322cd76de6ad226e4f58"},
	{name: "no cancel", seed: 23, adjust: func(s *Settings) { s.CanCancel = false; s.Gateways = 8; s.MaxRetryAfter = 0 },
		description: "Attempts can't be called off, clients get no Retry-After, eight gateways share few endpoints.",
		load:        load{duration: 22 * second, requestsPerSecond: 90, endpoints: 3, shards: 1, objects: 40, disconnectShare: 0.1, clientRetryShare: 0.4},
		faults:      []fault{{hanging, 0.34, 3 * second, 8 * second}, {losingResponses, 1, 9 * second, 14 * second}, {slow, 0.67, 15 * second, 19 * second}},
		digest:      "b9ee751a3f47726f0b930238"},
	{name: "many gateways", seed: 24, adjust: func(s *Settings) { healthChecksOn(s); s.Gateways = 60; s.Ordinal = 2 },
		description: "Each gateway has one place at each endpoint and sees little traffic: pacing from its own rate, limits of one, " +
			"ejection told by others.",
		load:   load{duration: 30 * second, requestsPerSecond: 40, endpoints: 8, shards: 2, objects: 100, loadReports: true, clientRetryShare: 0.5},
		faults: []fault{{slow, 0.3, 3 * second, 12 * second}, {overloaded, 0.3, 13 * second, 20 * second}, {restarting, 0.3, 21 * second, 22 * second}},
		digest: "a0a38f3fcb7b39117543e12e"},
	{name: "nothing open", seed: 25, adjust: func(s *Settings) { s.RetryBudgetFree = 9 },
		description: "For some seconds every endpoint drains, then others take their place; some requests name an unknown plan.",
		load:        load{duration: 20 * second, requestsPerSecond: 120, endpoints: 4, shards: 2, objects: 50, unknownPlanShare: 0.02, clientRetryShare: 0.3, correctsStartTimes: true},
		faults:      []fault{{draining, 1, 5 * second, 9 * second}, {disappearing, 0.5, 14 * second, 15 * second}},
		digest:      "40fe5a00d72c42ef314e5639"},
	{name: "wide limits", seed: 26, adjust: func(s *Settings) { s.Gateways = 1; s.MaxListAge = 40 * second; s.PollEndpointList = true },
		description: "One gateway before two quick endpoints with many workers, a surge each ten seconds and nothing between: limits up to " +
			"their ceiling, send intervals over a long quiet time, a list that fails for so long that the backoff reaches its cap.",
		load:   load{duration: 50 * second, requestsPerSecond: 700, endpoints: 2, shards: 2, objects: 400, workers: 40, serviceTimePerUnit: 20 * millisecond, idlePeriods: true},
		faults: []fault{{listDown, 0.1, 2 * second, 45 * second}},
		digest: "2b00179d13a6d8a8463c4cc3"},
	{name: "quiet gateways", seed: 27, adjust: func(s *Settings) { s.Gateways = 20 },
		description: "Few requests in surges, one at a time at each endpoint: the mean send interval and pacing from it.",
		load:        load{duration: 60 * second, requestsPerSecond: 12, endpoints: 3, shards: 1, objects: 60, idlePeriods: true},
		faults:      []fault{{slow, 0.7, 10 * second, 35 * second}, {returningErrors, 0.4, 40 * second, 55 * second}},
		digest:      "adca00f5f509322a59041ed9"},
	{name: "lost or late", seed: 28, adjust: unchanged,
		description: "Answers that arrive late or never between others that take two to three congestion thresholds: what shows a loss.",
		load:        load{duration: 40 * second, requestsPerSecond: 70, endpoints: 3, shards: 1, objects: 60, serviceTimePerUnit: 24 * millisecond, workers: 6},
		faults:      []fault{{losingResponses, 1, 3 * second, 38 * second}},
		digest:      "4da13fafda96defa304bbaeb"},
	{name: "lost or late, health checks", seed: 29, adjust: healthChecksOn,
		description: "The same where a health check shows it.",
		load:        load{duration: 40 * second, requestsPerSecond: 70, endpoints: 3, shards: 1, objects: 60, serviceTimePerUnit: 24 * millisecond, workers: 6},
		faults:      []fault{{losingResponses, 1, 3 * second, 38 * second}},
		digest:      "b516979ae871407aac4c35fd"},
}

// The decisions of the scheduler stay what they were in the landed version a32f63c, on which these digests were recorded
// (amd64: a compiler that fuses floating-point operations may round otherwise). A digest that differs is a decision that
// changed: a change that is meant says so in its commit and records the digests anew.
func TestGoldenDecisions(t *testing.T) {
	for _, scenario := range goldenScenarios {
		t.Run(scenario.name, func(t *testing.T) {
			t.Parallel()
			got, calls := playScenario(scenario)
			t.Logf("%s: %v", scenario.description, calls)
			if got != scenario.digest {
				t.Errorf("digest of the decisions %s, want %s", got, scenario.digest)
			}
		})
	}
}

// One day is played twice. The driver must bring no chance of its own, or a digest would say nothing.
func TestGoldenDriverIsDeterministic(t *testing.T) {
	first, _ := playScenario(goldenScenarios[0])
	second, _ := playScenario(goldenScenarios[0])
	if first != second {
		t.Errorf("two runs of one day differ: %s and %s", first, second)
	}
}
