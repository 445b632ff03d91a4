package policy

import "time"

// Host is what the module may do. Every call takes effect at once.
type Runtime interface {
	Now() time.Duration
	Send(d *Attempt, timeout time.Duration)
	Reject(c *Request, pause time.Duration)
	Fail(c *Request)
	Cancel(d *Attempt)
	After(wait time.Duration, f func())
	RequestEndpointList(on bool)
	ListAll()
	CheckHealth(b *Endpoint)
	SendGossip(peer int, data []byte)
	CloseIdle(b *Endpoint)
	Log(line string)
}

// Settings are handed over once, when a host starts.
type Settings struct {
	Seed               int64
	Ordinal            int
	Gateways           int
	Zone               string
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
	AnswerSlack        time.Duration
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
	Meter              time.Duration
	Elsewhere          bool
	TypicalUnits       float64
	UnitsTop           float64
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
	Streaming         bool
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
	Importance   float64
}
