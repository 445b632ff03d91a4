package policy

import "time"

// Settings are handed over once, when a scheduler is made. A zero value switches a feature off where the field says nothing else.
type Settings struct {
	Seed     int64 // of the random source for jitter
	Ordinal  int   // number of this gateway; of two that check one endpoint the lower goes on
	Gateways int   // that serve, this one included; under 1 counts as 1
	Classes  []RequestClass
	Plans    []ServicePlan

	// PollEndpointList: the list comes only when asked for, else it is pushed.
	PollEndpointList bool
	// MaxListAge is how old the list may become while polls fail: the next poll follows within half of it. It must be above 0.
	MaxListAge time.Duration
	// DrainGrace is how long after a drain an attempt that was sent before may still begin. The gateway bounds the wait for a
	// connection by it; it is not read here.
	DrainGrace time.Duration

	// Hedging allows a second attempt while one is in flight. Read by the engine as a bound; the scheduler never hedges.
	Hedging bool
	// CanCancel: an attempt in flight may be canceled.
	CanCancel bool
	// MaxAttempts of one request, the first included and those that were not sent, too; at least 1.
	MaxAttempts int
	// TimerResolution is how late timers may fire; what must happen before a deadline is set twice that earlier. 0: never late.
	TimerResolution time.Duration

	// HealthChecks: active health checks may be sent. Together with Gossip one gateway checks an outlier for all.
	HealthChecks bool
	// Gossip: gateways may send each other short messages.
	Gossip bool

	// MaxRetryAfter is the longest Retry-After that clients follow; 0: they get none.
	MaxRetryAfter time.Duration
	// ClientsMarkRetries: RequestArrival.Retry can be relied on.
	ClientsMarkRetries bool

	// SlowStartShare is the part of its capacity that an endpoint has right after its start, above 0 to 1.
	SlowStartShare float64
	// SlowStartTime is how long an endpoint takes to warm up; 0: no slow start.
	SlowStartTime time.Duration
	// SlowStartUnits is what all gateways together may have in flight at an endpoint that never ran into overload.
	SlowStartUnits float64
	// OverloadFactor is how many times its capacity an endpoint bears over OverloadWindow before it breaks down.
	OverloadFactor float64
	// OverloadWindow is the time over which overload counts.
	OverloadWindow time.Duration

	// RetryBudget: retries within RetryBudgetWindow are at most RetryBudgetFree + RetryBudgetRatio x requests received.
	RetryBudget       bool
	RetryBudgetFree   float64
	RetryBudgetRatio  float64
	RetryBudgetWindow time.Duration

	// OrderingCooldown is how long an ordering key rests after an attempt that may still run.
	OrderingCooldown time.Duration
	// TypicalUnits of a request; under 1 counts as 1.
	TypicalUnits float64
}

// RequestClass describes requests of one kind.
type RequestClass struct {
	Name string
	// LatencyObjective: an answer after it is worth LateValue of one in time.
	LatencyObjective time.Duration
	// Timeout is the client's; the request's own deadline may be sooner.
	Timeout        time.Duration
	PriorityWeight float64 // value of an answer in time
	LateValue      float64 // 0 to 1
	Idempotency    Idempotency
	// IdempotencyWindow is how long an endpoint remembers an idempotency key, from the attempt's sending.
	IdempotencyWindow time.Duration
	// IdempotencyScope says which endpoints share the memory of idempotency keys.
	IdempotencyScope IdempotencyScope
	// Ordered: requests for one object run one at a time, in order of arrival.
	Ordered bool
	// Writes: the request carries a body. Read by the gateway, not here.
	Writes bool
}

// Idempotency says whether a request whose attempt may have run may be attempted again.
type Idempotency int

const (
	// Idempotent requests may run any number of times.
	Idempotent Idempotency = iota
	// IdempotentByKey requests carry an idempotency key, by which an endpoint knows a repeat for a while.
	IdempotentByKey
	// NotIdempotent requests must never run twice.
	NotIdempotent
)

// IdempotencyScope says which endpoints know a repeat of an idempotency key. The values are those of the settings.
type IdempotencyScope string

const (
	// ScopeFleet is every endpoint: a request may even be rejected after an attempt that may have run.
	ScopeFleet IdempotencyScope = "all"
	// ScopeZone is the endpoints of one zone.
	ScopeZone IdempotencyScope = "zone"
	// ScopeShard is the endpoints of one shard.
	ScopeShard IdempotencyScope = "cell"
)

// ServicePlan is what a volume is entitled to. Rates are units a second over all gateways and hold for each volume.
type ServicePlan struct {
	Name         string
	NominalRate  float64 // expected rate; reported utilization is relative to it
	Reservation  float64 // guaranteed rate; 0: none
	Limit        float64 // rate never exceeded; 0: none
	Burst        float64 // units that the limit's bucket holds
	InitialBurst float64 // units that it holds at first
	Weight       float64 // share of what is left; under 0.01 counts as 0.01
}
