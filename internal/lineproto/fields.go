package lineproto

// Canonical names of fields as sent on the wire. The Go names describe their meaning.
const (
	// Greetings.
	FieldVersion = "Version"
	FieldRole    = "Role"  // Role constants
	FieldName    = "Name"  // name of the sender
	FieldAge     = "Age"   // age of an endpoint's process, in microseconds
	FieldState   = "State" // state of an endpoint: StateDraining, or absent

	// Requests and attempts.
	FieldVolume  = "Volume"
	FieldClass   = "Queue-Type" // request class
	FieldObject  = "Object"
	FieldTag     = "Tag" // idempotency key
	FieldTrace   = "Trace"
	FieldShard   = "Cell"     // shard; -1: any endpoint may serve the request (a new object)
	FieldUnits   = "Units"    // cost
	FieldTimeout = "Timeout"  // in microseconds
	FieldAttempt = "Dispatch" // number of the attempt; absent: the first
	FieldRetry   = "Repeat"   // 1: the client has sent this request before

	// Responses.
	FieldRetryAfter      = "Back"         // in BUSY: retry delay in microseconds
	FieldMayHaveRun      = "May-Have-Run" // in ABORT: yes or no
	FieldReason          = "Reason"       // in ABORT and BAD: cause
	FieldServedElsewhere = "Elsewhere"    // units that the endpoint served for other gateways
	FieldUtilization     = "Metered"      // utilization of the endpoint

	// The endpoint list.
	FieldEpoch    = "Epoch"  // epoch of the list's numbers
	FieldNumber   = "Number" // number of the list within its epoch
	FieldClock    = "Clock"  // the service's clock, in microseconds
	FieldComplete = "Whole"  // yes: the list is complete

	// Gateways and operators.
	FieldSender   = "From"   // ordinal of the gateway that sends a scheduler note
	FieldAction   = "Action" // in TAPE: start, stop or info
	FieldForm     = "Form"   // in FLEET: txtpb, or absent for a table
	FieldEndpoint = "Brick"  // in FORGET: name of the endpoint
	FieldGateway  = "Host"   // in FORGET: name of the gateway

	// FieldLength is the length of a message's body in bytes; absent: no body.
	FieldLength = "Length"
)

// Roles in greetings, as sent on the wire.
const (
	RoleClient   = "client"
	RoleGateway  = "host"
	RoleEndpoint = "brick"
)

// StateDraining is the state of an endpoint that accepts no new requests.
const StateDraining = "draining"
