package storagenode

import (
	"time"

	"weirhaven/internal/pb"
	"weirhaven/internal/record"
)

// Config configures a node.
type Config struct {
	Name              string
	Zone              string
	Address           string // address to listen on; port 0: the kernel chooses
	Shard             int
	Kind              *pb.BrickKind
	Speed             float64 // seconds of work done in a second; 0 counts as 1
	Seed              int64
	SlowStart         bool            // the node warms up from its start, as Kind says; without it, the node counts as warm
	CollapseMultiple  float64         // multiple of the capacity; more work than that, for CollapseAfter, ends a node in slow start
	CollapseAfter     time.Duration   // 0: the node never collapses
	IdempotencyWindow time.Duration   // time for which idempotency keys are remembered; 0: they are ignored
	WriteClasses      map[string]bool // whether a class's requests change data, by class name
	Recorder          *record.Recorder
	Keys              *IdempotencyKeys // nil: keys of this node only
	Data              *Data            // nil: data of this node only; shared data outlives the node
	Meter             *Meter           // nil: responses carry no metered use

	// ReportOtherGateways makes responses report the units served to other gateways.
	ReportOtherGateways bool
	// GatewayOf returns a gateway's number and incarnation by its name, for the record. It may be nil.
	GatewayOf func(name string) (gateway, incarnation uint32)
	// AttemptOf returns the number, from 0, of an attempt that arrives for a request. If it is set, the node speaks the
	// platform's HTTP/1.1, which doesn't carry that number.
	AttemptOf func(request uint64) uint32
}

// Conditions are the faults of a node; the zero value has none.
type Conditions struct {
	Slowdown       float64       // divisor of the speed; values up to 1 have no effect
	ErrorShare     float64       // share of the attempts that fail at once, 0 to 1
	LostShare      float64       // share of the responses that are lost
	ResetOnLoss    bool          // a lost response resets its connection
	NeighborShare  float64       // share of the capacity that another program takes, on and off
	NeighborPeriod time.Duration // duration of each on phase and each off phase; 0: always on
	Pause          time.Duration // duration of one pause of the worker
	PauseInterval  time.Duration // time from the start of one pause to the start of the next
	DuplicateShare float64       // share of the responses that are sent twice, the second within maxDuplicateDelay (HTTP only)
	TruncatedShare float64       // share of the responses that are sent without a length and cut off by a reset (HTTP only)
	CloseIdle      bool          // close each connection after a response (HTTP only)
	CostlyShare    float64       // share of the attempts that take CostlyMultiple times the work
	CostlyMultiple float64
}
