package membership

import "time"

// Rules are the parameters of the protocol. All must be above zero.
type Rules struct {
	// PingInterval is the protocol period: the time between two pings.
	PingInterval time.Duration
	// AckTimeout is the time after a ping at which indirect pings are requested. It must be below PingInterval.
	AckTimeout time.Duration
	// SuspicionTimeout is the time in which a suspected member may refute. It is multiplied by the decimal logarithm of the number
	// of members (at least by 1), since the time until an update reaches all members grows in the same way.
	SuspicionTimeout time.Duration
	// RetainDeparted is the time for which faulty and departed members are kept. The part of a faulty member ends with it.
	RetainDeparted time.Duration
	// IndirectPings is the number of members that are asked to ping indirectly.
	IndirectPings int
	// UpdatesPerMessage is the maximum number of updates in a message; it is multiplied by backlogFactor while many are queued.
	UpdatesPerMessage int
	// FullSyncPeriods is the number of protocol periods between two requests for all members that differ, which make up for lost
	// updates.
	FullSyncPeriods int
}

// DefaultRules returns the default parameters, under which a silent gateway becomes faulty within a few seconds.
func DefaultRules() Rules {
	return Rules{PingInterval: 500 * time.Millisecond, AckTimeout: 150 * time.Millisecond, SuspicionTimeout: 5 * time.Second,
		RetainDeparted: 24 * time.Hour, IndirectPings: 3, UpdatesPerMessage: 8, FullSyncPeriods: 10}
}
