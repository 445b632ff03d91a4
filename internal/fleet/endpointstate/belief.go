package endpointstate

import (
	"time"

	"go4.org/netipx"
)

// Source is the origin of a report. The numbers are stored on disk.
type Source int

// The sources of reports.
const (
	Settings     Source = iota // the gateway's own settings
	Saved                      // state on disk, saved before a restart
	Peer                       // another gateway, or the control plane
	List                       // the discovery service
	SelfReported               // the endpoint itself, by its greeting or a response
)

// String returns the name of the source for logs and for the reasons stored on disk.
func (s Source) String() string { return [...]string{"settings", "saved", "peer", "list", "itself"}[s] }

// Trust is the level of confidence in a belief.
type Trust int

// The levels of trust.
const (
	Doubted Trust = iota // old or contradicted: the endpoint is used as if it had just started, until its greeting confirms the belief
	Trusted              // the endpoint is used
	Barred               // drained or removed: the endpoint is not used
)

// String returns the name of the trust level for logs.
func (t Trust) String() string { return [...]string{"doubted", "trusted", "barred"}[t] }

// Report is one source's statement about one endpoint. Times are on the gateway's clock.
type Report struct {
	Name    string
	Address string // host:port
	Zone    string
	Shard   int
	Serving bool          // false: draining or removed
	Removed bool          // permanently removed; never set together with Serving
	Started time.Duration // start time of the endpoint's process; 0: unknown, assumed to be long ago
	// ObservedAt is the time at which the report was true; 0: too old to be trusted.
	ObservedAt time.Duration
}

// Belief is the current state held about one endpoint. Times are on the gateway's clock.
type Belief struct {
	Report
	Source         Source // source of the embedded report
	Trust          Trust
	Reason         string        // reason for the trust level, for operators
	DrainedUpTo    time.Duration // latest drained start time: processes started up to then are drained; 0: none. Kept when a later process serves
	DrainKnownAt   time.Duration // time at which the drain or the removal became known
	GreetedAt      time.Duration // time of the endpoint's last greeting or response
	OmittedByLists int           // number of consecutive complete lists that omitted the endpoint

	removedByList bool         // whether a complete list removed the endpoint; only a list or a later start restores it
	notified      notification // last notification sent to the sink
}

// Texts of Belief.Reason. They are saved with the belief and are therefore part of the format on disk.
const (
	reasonDraining   = "draining"
	reasonRemoved    = "gone"
	reasonReportedBy = "told by " // followed by a Source
	reasonNotInList  = "not in the list any more"
	reasonDoubted    = "old or contradicted; its own word is wanted"
)

// Generation identifies an endpoint list: the epoch of the discovery service that numbered it and the list's number within that
// epoch. The zero value stands for a list without a number.
type Generation struct {
	Epoch  string
	Number int64
}

// Rules are the time limits and the address filter that reports are judged by. All durations are above zero.
type Rules struct {
	// Fresh is the maximum age of a trusted report.
	Fresh time.Duration
	// Expire is the age after which an endpoint that no source reports is dropped. Drains are kept for the same time.
	Expire time.Duration
	// StartTolerance is the maximum difference between two reports of the same start. They differ because each was derived from
	// an age read on another clock.
	StartTolerance time.Duration
	// GreetingValid is the time after an endpoint's last greeting or response within which it is exempt from slow start when it
	// becomes doubted.
	GreetingValid time.Duration
	// Networks are the allowed endpoint addresses; nil allows any.
	Networks *netipx.IPSet
}
