package lineproto

// Names of fields, as they stand on the wire (canonical), by what they mean.
const (
	// Greetings.
	FieldVersion = "Version"
	FieldRole    = "Role"  // Role constants
	FieldName    = "Name"  // of the sender
	FieldAge     = "Age"   // of an endpoint's process, in microseconds
	FieldState   = "State" // of an endpoint: StateDraining, or absent

	// Requests and attempts.
	FieldVolume  = "Volume"
	FieldClass   = "Queue-Type" // request class
	FieldObject  = "Object"
	FieldTag     = "Tag" // idempotency key
	FieldTrace   = "Trace"
	FieldShard   = "Cell"  // -1: any endpoint may serve it (a new object)
	FieldUnits   = "Units" // cost
	FieldTimeout = "Timeout"
	FieldAttempt = "Dispatch" // number of the attempt, absent: the first
	FieldRetry   = "Repeat"   // 1: the client sent this request before

	// Responses.
	FieldRetryAfter      = "Back"         // of BUSY, in microseconds
	FieldMayHaveRun      = "May-Have-Run" // of ABORT: yes or no
	FieldReason          = "Reason"       // of ABORT and BAD
	FieldServedElsewhere = "Elsewhere"    // units that an endpoint served for other gateways
	FieldUtilization     = "Metered"      // of an endpoint

	// The endpoint list.
	FieldEpoch    = "Epoch"
	FieldNumber   = "Number"
	FieldClock    = "Clock" // of the service, in microseconds
	FieldComplete = "Whole" // yes: the list is complete

	// Gateways and operators.
	FieldSender   = "From"   // ordinal of the gateway that sends a note
	FieldAction   = "Action" // of TAPE
	FieldForm     = "Form"   // of FLEET
	FieldEndpoint = "Brick"  // of FORGET
	FieldGateway  = "Host"   // of FORGET

	// Of any message with a body, in bytes.
	FieldLength = "Length"
)

// Roles in greetings, as they stand on the wire.
const (
	RoleClient   = "client"
	RoleGateway  = "host"
	RoleEndpoint = "brick"
)

// StateDraining is the state of an endpoint that takes no new requests.
const StateDraining = "draining"
