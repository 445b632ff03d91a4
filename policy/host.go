package policy

import "time"

// Host is what the module may do. Every call takes effect at once.
type Runtime interface {
	Now() time.Duration
	Send(d *Attempt)
	Reject(c *Request, pause time.Duration)
	Fail(c *Request)
	Cancel(d *Attempt)
	After(wait time.Duration, f func())
	RequestEndpointList()
	CheckHealth(b *Endpoint)
	SendGossip(message []byte)
	Log(line string)
}

// EndpointUpdate is one entry of the endpoint list.
type EndpointUpdate struct {
	Zone      string
	Shard     int           // of the data that the endpoint holds
	Serving   bool          // false: draining or removed; nothing new is sent
	Removed   bool          // it is no longer part of the fleet
	StartedAt time.Duration // on the runtime's clock; 0: not known, long ago
}

// RequestArrival describes a request as it reached this gateway.
type RequestArrival struct {
	Class    string
	Plan     string
	Object   string // the ordering key, for classes whose requests run in order
	Shard    int    // negative: any endpoint may serve it
	Gateways int    // through which the volume is used
	Units    float64
	Deadline time.Duration // on the runtime's clock
	Retry    bool          // the client says that it asked before
}

// AttemptResult tells how an attempt ended.
type AttemptResult struct {
	Outcome     Outcome
	Duration    time.Duration
	RequestOver bool // the request has its final answer
	Load        LoadReport
}

// LoadReport is what an endpoint's answer says of a volume's use through all gateways; zero values: nothing reported.
type LoadReport struct {
	ServedElsewhere float64 // units served for other gateways since the last answer
	Utilization     float64 // 1 + percent of the plan's nominal rate
}

// Settings are handed over once, when a host starts.
type Settings struct {
	Seed               int64
	Ordinal            int
	Gateways           int
	Classes            []RequestClass
	Plans              []ServicePlan
	PollEndpointList   bool // the list comes only when asked for
	Hedging            bool
	CanCancel          bool
	HealthChecks       bool
	Gossip             bool
	MaxRetryAfter      time.Duration // longest advice that clients follow, 0: they get none
	ClientsMarkRetries bool          // clients mark their repeats
	MaxAttempts        int
	TimerResolution    time.Duration
	MaxListAge         time.Duration
	DrainGrace         time.Duration
	SlowStartShare     float64
	SlowStartTime      time.Duration
	SlowStartUnits     float64
	OverloadFactor     float64
	OverloadWindow     time.Duration
	RetryBudget        bool
	RetryBudgetFree    float64
	RetryBudgetRatio   float64
	RetryBudgetWindow  time.Duration
	OrderingCooldown   time.Duration
	TypicalUnits       float64
}

// QueueType is the handed-over form of a queue type.
type RequestClass struct {
	Name              string
	LatencyObjective  time.Duration
	Timeout           time.Duration
	IdempotencyWindow time.Duration
	PriorityWeight    float64
	LateValue         float64
	Idempotency       Idempotency
	IdempotencyScope  string // all, zone or cell
	Ordered           bool
	Writes            bool
}

// Plan is the handed-over form of a plan; the figures hold for each volume over all hosts.
type ServicePlan struct {
	Name         string
	NominalRate  float64
	Reservation  float64
	Limit        float64
	Burst        float64
	InitialBurst float64
	Weight       float64
}
