package membership

import "time"

// State is the state of a member. Of two updates with the same incarnation, the one with the higher state overrides. The numbers
// are sent on the wire and stored on disk.
type State int

// The states of a member.
const (
	Alive    State = iota
	Suspect        // did not answer; may still refute the suspicion
	Faulty         // did not refute the suspicion in time
	Departed       // sent a leave message, or was removed by an operator
)

// String returns the name of the state for logs.
func (s State) String() string { return [...]string{"alive", "suspect", "faulty", "departed"}[s] }

// Member describes one gateway.
type Member struct {
	Name        string
	Ordinal     int    // number of the gateway, from 0; the planned gateways are those below Planned
	Address     string // host:port for messages
	Planned     int    // number of gateways that this gateway's settings plan for
	Incarnation uint64 // raised only by the member itself, or on its behalf by Forget
	State       State
}

// Counts are the numbers derived from the membership.
type Counts struct {
	Serving int // number of alive and suspect gateways, including this one; at least the planned number until this one has joined
	Parts   int // number of gateways that shared limits are split over; 0: this gateway has no part yet
}

// entry is a member with this gateway's local state about it.
type entry struct {
	Member
	since        time.Duration // time of the last state change
	acknowledged bool          // whether the member has answered this gateway's current incarnation and so counts this gateway
}
