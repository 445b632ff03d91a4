package membership

// Kind is the type of a message. The numbers are sent on the wire.
type Kind int

// The kinds of messages.
const (
	Ping        Kind = iota
	Ack              // answers a Ping, or a PingRequest once its target has answered
	PingRequest      // the paper's ping-req: asks the receiver to ping Target for the sender
	Join             // requests all members that differ from Checksums
	Sync             // answers a Join
)

// Message is a message between gateways. Any message may be lost, duplicated or late.
type Message struct {
	Kind      Kind
	Seq       uint64 // pairs an Ack with its Ping or PingRequest
	From      Member
	Target    string   // PingRequest and the Ack that answers it: name of the member pinged
	Total     int      // Sync: number of members that the sender knows, including itself
	Checksums []uint64 // Join: one checksum per bucket of the members that the sender knows; empty: it knows none
	Updates   []Member
}

// Outbound receives the messages, changes and log lines of a Group. The group calls it synchronously; no method may block or
// call back.
type Outbound interface {
	Send(address string, m Message)
	MembershipChanged(c Counts)
	Log(line string)
}
