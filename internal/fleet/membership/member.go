package membership

import "time"

// State of a member. Of two updates with the same incarnation the one with the higher state overrides. The numbers go over
// the wire and to disk.
type State int

// The states of a member.
const (
	Alive    State = iota
	Suspect        // it did not answer, and may yet refute that
	Faulty         // it didn't refute the suspicion in time
	Departed       // it said goodbye, or an operator said that it is gone
)

// String names the state in logs.
func (s State) String() string { return [...]string{"alive", "suspect", "faulty", "departed"}[s] }

// Member is what is known of one gateway.
type Member struct {
	Name        string
	Ordinal     int    // its number, from 0; those below Planned are the planned gateways
	Address     string // host:port for messages
	Planned     int    // how many gateways its settings plan for
	Incarnation uint64 // raised by the member itself alone, or for it by Forget
	State       State
}

// Counts are what the membership amounts to.
type Counts struct {
	Serving int // gateways that are alive or suspect, this one too; not below the planned number until it has joined
	Parts   int // over how many gateways to split what all may use together; 0: this one may use nothing yet
}

// entry is a member as this gateway keeps it.
type entry struct {
	Member
	since        time.Duration // of its state
	acknowledged bool          // it has answered this gateway's present incarnation, so it counts this gateway
}
