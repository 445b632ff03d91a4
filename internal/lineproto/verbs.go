package lineproto

// Version is the name and major version of the protocol, sent in greetings.
const Version = "weirhaven/1"

// Verbs, as sent on the wire.
const (
	VerbHello             = "HELLO"  // greeting, the first message in either direction
	VerbRequest           = "RUN"    // a request; sent to an endpoint: an attempt
	VerbCancel            = "CANCEL" // the sender no longer waits for the response
	VerbResponseStarted   = "BEGUN"  // a streamed response has started
	VerbServed            = "DONE"   // final response: served
	VerbRejected          = "BUSY"   // final response: rejected, a retry is safe; from an endpoint: the attempt never ran
	VerbFailed            = "ABORT"  // final response: failed; from an endpoint: an error response, the attempt may have run
	VerbHealthCheck       = "PROBE"  // health check
	VerbHealthCheckPassed = "PROBED" // health check passed
	VerbWatchEndpoints    = "WATCH"  // requests the endpoint list and its changes
	VerbGetEndpoints      = "ALL"    // requests the complete endpoint list once
	VerbEndpointList      = "LIST"   // the complete endpoint list, or changes to it
	VerbSchedulerGossip   = "NEWS"   // a scheduler's note to another gateway
	VerbEndpointReports   = "LINES"  // endpoint reports, from gateway to gateway
	VerbMembership        = "GOSSIP" // a membership message
	VerbDraining          = "DRAIN"  // the sender is draining: it accepts no new requests
	VerbShowFleet         = "FLEET"  // operator command: shows the beliefs about the fleet
	VerbForget            = "FORGET" // operator command: removes an endpoint or a gateway from the fleet's state
	VerbControlCapture    = "TAPE"   // operator command: starts or stops the capture, or shows its state
	VerbMalformed         = "BAD"    // the message received was malformed and had no effect
)
