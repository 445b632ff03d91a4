package membership

// Kind of a message. The numbers go over the wire.
type Kind int

// The kinds of messages.
const (
	Ping        Kind = iota
	Ack              // answers a Ping, or a PingRequest once its target has answered
	PingRequest      // the paper's ping-req: ping Target for the sender
	Join             // asks for all that differs from Checksums
	Sync             // answers a Join
)

// Message is what gateways send each other. Any may be lost, repeated or late.
type Message struct {
	Kind      Kind
	Seq       uint64 // pairs an Ack with its Ping or PingRequest
	From      Member
	Target    string   // of a PingRequest, and of the Ack that answers one: the name of the member pinged
	Total     int      // of a Sync: how many members the sender knows, itself too
	Checksums []uint64 // of a Join: what the sender knows, a checksum a bucket of names; none: it knows nothing
	Updates   []Member
}

// Outbound takes what a Group sends and decides. It is called from within the calls of the group; no call may block or call back.
type Outbound interface {
	Send(address string, m Message)
	MembershipChanged(c Counts)
	Log(line string)
}
