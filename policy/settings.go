package policy

import "time"

// Settings configures a Scheduler for its lifetime. A zero value disables a feature unless the field says otherwise.
type Settings struct {
	Seed     int64 // seed of the random source for jitter
	Ordinal  int   // number of this gateway; of two gateways that check the same endpoint the one with the lower ordinal continues
	Gateways int   // number of gateways in service, this one included; values under 1 count as 1
	Classes  []RequestClass
	Plans    []ServicePlan

	// PollEndpointList means that the gateway polls the endpoint list; otherwise the list is pushed.
	PollEndpointList bool
	// MaxListAge bounds the age of the list while polls fail: the next poll follows within half of it. It must be positive.
	MaxListAge time.Duration
	// DrainGrace is the time after a drain during which an attempt that was sent before it may still start. The gateway bounds the
	// wait for a connection by it; the scheduler does not read it.
	DrainGrace time.Duration

	// Hedging allows a second attempt while one is in flight. The engine checks attempts against it; the scheduler never hedges.
	Hedging bool
	// CanCancel allows the scheduler to cancel attempts in flight.
	CanCancel bool
	// MaxAttempts is the maximum number of attempts per request, including the first one and those that were not sent; at least 1.
	MaxAttempts int
	// TimerResolution is the maximum delay of a timer; timers for deadlines are set twice that earlier. 0: timers are never late.
	TimerResolution time.Duration

	// HealthChecks allows active health checks. Together with Gossip, one gateway checks an outlier for all.
	HealthChecks bool
	// Gossip allows short messages between gateways.
	Gossip bool

	// MaxRetryAfter is the longest Retry-After that clients respect; 0: clients get none.
	MaxRetryAfter time.Duration
	// ClientsMarkRetries means that RequestArrival.Retry is reliable.
	ClientsMarkRetries bool

	// SlowStartShare is the fraction of its capacity that an endpoint has right after its start, above 0, at most 1.
	SlowStartShare float64
	// SlowStartTime is the time that an endpoint takes to warm up; 0: no slow start.
	SlowStartTime time.Duration
	// SlowStartUnits is the number of units that all gateways together may have in flight at an endpoint that was never
	// overloaded.
	SlowStartUnits float64
	// OverloadFactor is the multiple of its capacity that an endpoint sustains over OverloadWindow before it breaks down.
	OverloadFactor float64
	// OverloadWindow is the time over which overload is measured.
	OverloadWindow time.Duration

	// RetryBudget enables the retry budget: the number of retries within RetryBudgetWindow is at most
	// RetryBudgetFree + RetryBudgetRatio x the number of requests received within it.
	RetryBudget       bool
	RetryBudgetFree   float64
	RetryBudgetRatio  float64
	RetryBudgetWindow time.Duration

	// OrderingCooldown is the time for which an ordering key is blocked after an attempt that may still run.
	OrderingCooldown time.Duration
	// TypicalUnits is the typical number of units of a request; values under 1 count as 1.
	TypicalUnits float64
}

// RequestClass describes one kind of request.
type RequestClass struct {
	Name string
	// LatencyObjective is the latency after which a response has only the fraction LateValue of its value.
	LatencyObjective time.Duration
	// Timeout is the timeout of the class's clients; the deadline of a request may be earlier.
	Timeout        time.Duration
	PriorityWeight float64 // value of a response within the latency objective
	LateValue      float64 // fraction of the value of a late response, 0 to 1
	Idempotency    Idempotency
	// IdempotencyWindow is how long an endpoint remembers an idempotency key, counted from when the attempt was sent.
	IdempotencyWindow time.Duration
	// IdempotencyScope is the set of endpoints that share the storage of idempotency keys.
	IdempotencyScope IdempotencyScope
	// Ordered means that requests for the same object run one at a time, in order of arrival.
	Ordered bool
	// Writes means that requests carry a body. The gateway reads it, the scheduler does not.
	Writes bool
}

// Idempotency states whether a request may be retried after an attempt that may have run.
type Idempotency int

const (
	// Idempotent requests may run any number of times.
	Idempotent Idempotency = iota
	// IdempotentByKey requests carry an idempotency key, by which an endpoint recognizes a repeat within the idempotency window.
	IdempotentByKey
	// NotIdempotent requests must never run twice.
	NotIdempotent
)

// IdempotencyScope is the set of endpoints that recognize a repeated idempotency key. The values are those of the settings.
type IdempotencyScope string

const (
	// ScopeFleet is all endpoints, so that a request may be rejected even after an attempt that may have run.
	ScopeFleet IdempotencyScope = "all"
	// ScopeZone is the endpoints of one zone.
	ScopeZone IdempotencyScope = "zone"
	// ScopeShard is the endpoints of one shard.
	ScopeShard IdempotencyScope = "cell"
)

// ServicePlan is the entitlement of each volume of the plan. Rates are in units per second over all gateways.
type ServicePlan struct {
	Name         string
	NominalRate  float64 // expected rate; reported utilization is relative to it
	Reservation  float64 // guaranteed rate; 0: none
	Limit        float64 // maximum rate; 0: none
	Burst        float64 // capacity of the limit's token bucket, in units
	InitialBurst float64 // initial content of the token bucket, in units
	Weight       float64 // share of the remaining capacity; values under 0.01 count as 0.01
}
