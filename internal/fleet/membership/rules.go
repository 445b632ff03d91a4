package membership

import "time"

// Rules are the figures of the protocol. All have to be above zero.
type Rules struct {
	// PingInterval is the protocol period: the time from one ping to the next.
	PingInterval time.Duration
	// AckTimeout is how long after a ping others are asked to ping indirectly. It has to be below PingInterval.
	AckTimeout time.Duration
	// SuspicionTimeout is how long a suspected member may refute, times the decimal logarithm of the number of members
	// (at least once): updates take as many rounds to reach all.
	SuspicionTimeout time.Duration
	// RetainDeparted is how long faulty and departed members are kept; the part of a faulty one ends with it.
	RetainDeparted time.Duration
	// IndirectPings is how many members are asked to ping indirectly.
	IndirectPings int
	// UpdatesPerMessage bounds the updates in a message; four times as many go while many are queued.
	UpdatesPerMessage int
	// FullSyncTurns is how many protocol periods there are between two requests for all that differs, which make up for lost updates.
	FullSyncTurns int
}

// DefaultRules are the usual figures: a silent gateway is faulty within some seconds.
func DefaultRules() Rules {
	return Rules{PingInterval: 500 * time.Millisecond, AckTimeout: 150 * time.Millisecond, SuspicionTimeout: 5 * time.Second,
		RetainDeparted: 24 * time.Hour, IndirectPings: 3, UpdatesPerMessage: 8, FullSyncTurns: 10}
}
