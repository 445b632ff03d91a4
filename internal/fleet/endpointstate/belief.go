package endpointstate

import (
	"time"

	"go4.org/netipx"
)

// Source says where a report came from. The numbers are stored on disk.
type Source int

// The sources of reports.
const (
	Settings     Source = iota // the gateway's own settings
	Saved                      // the state saved before a restart
	Peer                       // another gateway, or the control plane
	List                       // the endpoint list service
	SelfReported               // the endpoint itself, by its greeting or an answer
)

// String names the source in logs and in the reasons stored on disk.
func (s Source) String() string { return [...]string{"settings", "saved", "peer", "list", "itself"}[s] }

// Trust is how far a belief is relied on.
type Trust int

// The levels of trust.
const (
	Doubted Trust = iota // old or contradicted: used as if it had just started, and to be greeted
	Trusted              // used
	Barred               // drained or gone: not used
)

// String names the trust in logs.
func (t Trust) String() string { return [...]string{"doubted", "trusted", "barred"}[t] }

// Report is what a source says of one endpoint. Times are on the gateway's clock.
type Report struct {
	Name    string
	Address string // host:port
	Zone    string
	Shard   int
	Serving bool          // false: draining or gone
	Removed bool          // taken away for good; never together with Serving
	Started time.Duration // start of the endpoint's process; 0: not known, taken for long ago
	// ObservedAt is when the report was true; 0: too old to be trusted.
	ObservedAt time.Duration
}

// Belief is what is held of one endpoint. Times are on the gateway's clock.
type Belief struct {
	Report
	Source         Source // of the report held
	Trust          Trust
	Reason         string        // of Trust, for operators
	DrainedUpTo    time.Duration // processes started up to then were drained, 0: none; it stays when a later process serves
	DrainKnownAt   time.Duration // when the drain, or the removal, became known
	GreetedAt      time.Duration // when the endpoint itself was last heard
	OmittedByLists int           // complete lists in a row that didn't name the endpoint

	removedByList bool         // a complete list took the endpoint away; only a list or a later start brings it back
	notified      notification // what the sink knows
}

// The texts of Belief.Reason. They are saved with the belief, so they belong to the format on disk.
const (
	reasonDraining  = "draining"
	reasonGone      = "gone"
	reasonToldBy    = "told by " // and a Source
	reasonNotInList = "not in the list any more"
	reasonDoubted   = "old or contradicted; its own word is wanted"
)

// Generation identifies an endpoint list: the epoch of the service that numbered it and its number in that epoch. The zero
// value is a list without a number.
type Generation struct {
	Epoch  string
	Number int64
}

// Rules are the bounds of the rules. All durations are above zero.
type Rules struct {
	// Fresh is the age up to which a report is trusted.
	Fresh time.Duration
	// Expire is the age after which an endpoint that nobody reports is dropped; drains last as long.
	Expire time.Duration
	// StartTolerance is how far apart two reports of the same start may lie, since each is an age read on another clock.
	StartTolerance time.Duration
	// GreetingValid is how long after it was last heard itself an endpoint that becomes doubted is spared the slow start.
	GreetingValid time.Duration
	// Networks are where endpoints may be; nil: anywhere.
	Networks *netipx.IPSet
}
