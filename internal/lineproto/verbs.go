package lineproto

// Version is the protocol's name and major version in greetings.
const Version = "weirhaven/1"

// Verbs, as they stand on the wire.
const (
	Hello  = "HELLO"  // greeting, the first message in either direction
	Run    = "RUN"    // a request, or to an endpoint an attempt
	Cancel = "CANCEL" // the sender waits no longer for a response
	Begun  = "BEGUN"  // a streamed response has started
	Done   = "DONE"   // final response: served
	Busy   = "BUSY"   // final response: rejected, a retry is harmless; from an endpoint: it never ran
	Abort  = "ABORT"  // final response: failed; from an endpoint: an error response, the request may have run
	Probe  = "PROBE"  // health check
	Probed = "PROBED" // its response
	Watch  = "WATCH"  // requests the endpoint list and its changes
	All    = "ALL"    // requests the complete endpoint list once
	List   = "LIST"   // the endpoint list, or changes of it
	News   = "NEWS"   // a scheduler's note to another gateway
	Lines  = "LINES"  // endpoint reports, from gateway to gateway
	Gossip = "GOSSIP" // a membership message
	Drain  = "DRAIN"  // the sender is draining: it takes no new requests
	Fleet  = "FLEET"  // an operator asks for what is believed of the fleet
	Forget = "FORGET" // an operator lets a gateway forget an endpoint, or another gateway
	Tape   = "TAPE"   // an operator starts, stops or asks for the state of the capture
	Bad    = "BAD"    // a message that can't be understood; it had no effect
)
