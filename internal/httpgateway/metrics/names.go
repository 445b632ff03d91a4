package metrics

import (
	"fmt"
	"syscall"
)

// Invariant names a property that must always hold. Its violation counter must stay at 0.
type Invariant string

// The invariants. Each is checked in one place.
const (
	// OneResponse requires that a request that was read completely gets exactly one final response, unless its client has
	// disconnected.
	OneResponse Invariant = "one-response"
	// SendInTime requires that no attempt begins long after its client disconnected or was answered, after its deadline, or on a
	// draining endpoint.
	SendInTime Invariant = "send-in-time"
	// DeadlinePropagated requires that the remaining time sent to an endpoint is at most the time left until the client's
	// deadline.
	DeadlinePropagated Invariant = "deadline-propagated"
	// OneAttemptInFlight requires that a request has at most one attempt in flight, unless settings allow hedged requests.
	OneAttemptInFlight Invariant = "one-attempt-in-flight"
	// OneOutcome requires that an attempt is reported exactly once.
	OneOutcome Invariant = "one-outcome"
)

// Invariants lists all invariants.
var Invariants = []Invariant{OneResponse, SendInTime, DeadlinePropagated, OneAttemptInFlight, OneOutcome}

// Reason is the reason for an event, such as the closing of a connection, or its outcome. It is the label of a counter.
type Reason string

// Reasons for closing a client connection.
const (
	ClientClosed         Reason = "client-closed"              // the client closed it
	ClientRequestedClose Reason = "connection-close-requested" // the client requested the close after the response
	BadRequest           Reason = "bad-request"                // the input was malformed or the request invalid
	RequestTimeout       Reason = "request-timeout"            // a request was incomplete at its timeout
	IdleTimeout          Reason = "idle-timeout"               // no request arrived
	Evicted              Reason = "evicted"                    // evicted in favor of a new connection
	ShuttingDown         Reason = "shutting-down"              // the process is shutting down
	WriteFailed          Reason = "write-failed"               // the client disconnected or didn't receive the response in time
	Panicked             Reason = "panic"                      // a bug of this program
)

// Reasons for shedding a request, or closing its connection, before the request reached the scheduler.
const (
	QueueFull       Reason = "event-queue-full"
	ConnectionLimit Reason = "connection-limit"
	PipelineLimit   Reason = "pipeline-limit"
	MemoryLimit     Reason = "memory-limit"
	IDLimit         Reason = "request-id-limit"
)

// Kind is the kind of a counted event. Its counters are named weirhaven_KIND_total and have a label for the reason.
type Kind string

// The kinds of counters.
const (
	Closed    Kind = "client_connections_closed"
	Shed      Kind = "requests_shed"               // requests answered 503 without reaching the scheduler
	Responded Kind = "responses"                   // responses, by the engine's result
	GivenUp   Kind = "requests_given_up"           // requests that the scheduler ended, by the rule that ended them
	HeldBack  Kind = "requests_given_up_held_back" // the same requests, by the condition that kept them from being sent
	Attempt   Kind = "attempts"                    // attempts, by outcome
	Redial    Kind = "redials"                     // repeated dials of endpoints after a local failure, by that failure
	Accept    Kind = "accept_failures"             // failed accepts, by failure
)

// ErrnoReason returns the reason for a failed system call; 0 stands for a failure without an error number.
func ErrnoReason(errno syscall.Errno) Reason {
	if errno == 0 {
		return "other"
	}
	return Reason(fmt.Sprintf("errno-%d", int(errno)))
}
