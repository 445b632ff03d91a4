package lineproto

// Version is the protocol's name and major version in greetings.
const Version = "weirhaven/1"

// Verbs, as they stand on the wire.
const (
	VerbHello             = "HELLO"  // greeting, the first message in either direction
	VerbRequest           = "RUN"    // a request, or to an endpoint an attempt
	VerbCancel            = "CANCEL" // the sender waits no longer for a response
	VerbResponseStarted   = "BEGUN"  // a streamed response has started
	VerbServed            = "DONE"   // final response: served
	VerbRejected          = "BUSY"   // final response: rejected, a retry is harmless; from an endpoint: it never ran
	VerbFailed            = "ABORT"  // final response: failed; from an endpoint: an error response, the request may have run
	VerbHealthCheck       = "PROBE"  // health check
	VerbHealthCheckPassed = "PROBED" // its response
	VerbWatchEndpoints    = "WATCH"  // requests the endpoint list and its changes
	VerbGetEndpoints      = "ALL"    // requests the complete endpoint list once
	VerbEndpointList      = "LIST"   // the endpoint list, or changes of it
	VerbSchedulerGossip   = "NEWS"   // a scheduler's note to another gateway
	VerbEndpointReports   = "LINES"  // endpoint reports, from gateway to gateway
	VerbMembership        = "GOSSIP" // a membership message
	VerbDraining          = "DRAIN"  // the sender is draining: it takes no new requests
	VerbShowFleet         = "FLEET"  // an operator asks for what is believed of the fleet
	VerbForget            = "FORGET" // an operator lets a gateway forget an endpoint, or another gateway
	VerbControlCapture    = "TAPE"   // an operator starts, stops or asks for the state of the capture
	VerbMalformed         = "BAD"    // a message that can't be understood; it had no effect
)
