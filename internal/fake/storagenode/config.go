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
	Address           string // to listen on; port 0: the kernel chooses
	Shard             int
	Kind              *pb.BrickKind
	Speed             float64 // seconds of work in a second; 0: 1
	Seed              int64
	SlowStart         bool          // it starts now and has to warm up, as Kind says; else it counts as running for long
	CollapseMultiple  float64       // of its capacity: more work than that, for CollapseAfter, ends a node in slow start
	CollapseAfter     time.Duration // 0: it never collapses
	IdempotencyWindow time.Duration // for which keys are remembered; 0: none are
	WriteClasses      map[string]bool
	Recorder          *record.Recorder
	Keys              *IdempotencyKeys // nil: its own
	Data              *Data            // nil: its own; a shared one outlives the node
	Meter             *Meter           // nil: responses carry no metered use

	// ReportOtherGateways lets responses carry the units that other gateways were served.
	ReportOtherGateways bool
	// GatewayOf returns a gateway's number and incarnation by its name, for the record; may be nil.
	GatewayOf func(name string) (gateway, incarnation uint32)
	// AttemptOf returns the number of the attempt, from 0, that a request now makes. If set, the node speaks the platform's
	// HTTP/1.1, which doesn't carry that number.
	AttemptOf func(request uint64) uint32
}

// Conditions are a node's faults; the zero value has none.
type Conditions struct {
	Slowdown       float64       // times slower; up to 1: not
	ErrorShare     float64       // of the attempts that fail at once, 0 to 1
	LostShare      float64       // of the responses that are lost
	ResetOnLoss    bool          // a lost response resets its connection
	NeighborShare  float64       // of the capacity that another program takes, on and off
	NeighborPeriod time.Duration // for which it is on, and then off; 0: always on
	Pause          time.Duration // for which the worker stands still ...
	PauseInterval  time.Duration // ... from the beginning of one pause to the next
	DuplicateShare float64       // of the responses that are sent twice, the second within maxDuplicateDelay (HTTP only)
	TruncatedShare float64       // of the responses without a length that a reset cuts off (HTTP only)
	CloseIdle      bool          // each connection is closed after its response (HTTP only)
	CostlyShare    float64       // of the attempts that take CostlyMultiple times the work
	CostlyMultiple float64
}
