package metrics

import (
	"fmt"
	"syscall"
)

// Invariant names a property that every path has to keep. Its counter must stay at 0.
type Invariant string

// The invariants, each checked in one place.
const (
	// OneResponse: a request that was read whole gets exactly one final response, or its client has gone.
	OneResponse Invariant = "one-response"
	// SendInTime: no attempt begins long after its client left or was answered, past its deadline, or on a draining endpoint.
	SendInTime Invariant = "send-in-time"
	// DeadlinePropagated: the time left that an endpoint is given is at most what the client has left.
	DeadlinePropagated Invariant = "deadline-propagated"
	// OneAttemptInFlight: one attempt of a request is in flight at a time, unless settings allow hedged requests.
	OneAttemptInFlight Invariant = "one-attempt-in-flight"
	// OneOutcome: an attempt is reported exactly once.
	OneOutcome Invariant = "one-outcome"
)

// Invariants lists all of them.
var Invariants = []Invariant{OneResponse, SendInTime, DeadlinePropagated, OneAttemptInFlight, OneOutcome}

// Reason says why something was closed or shed, or how it ended.
type Reason string

// Why a client connection ended.
const (
	ClientClosed         Reason = "client-closed"              // by the client
	ClientRequestedClose Reason = "connection-close-requested" // after the last response, as the client asked
	BadRequest           Reason = "bad-request"                // its bytes can't be trusted any more
	RequestTimeout       Reason = "request-timeout"            // a request was not whole in time
	IdleTimeout          Reason = "idle-timeout"               // no request came
	Evicted              Reason = "evicted"                    // for a new connection
	ShuttingDown         Reason = "shutting-down"              // of this process
	WriteFailed          Reason = "write-failed"               // the client did not take the response, or has gone
	Panicked             Reason = "panic"                      // a fault of this program
)

// Why a request was shed, or the connection ended, before the scheduler saw the request.
const (
	QueueFull       Reason = "event-queue-full"
	ConnectionLimit Reason = "connection-limit"
	PipelineLimit   Reason = "pipeline-limit"
)

// Kind says what is counted, by reason. Its counter is weirhaven_KIND_total.
type Kind string

// The kinds of counters.
const (
	Closed    Kind = "client_connections_closed"
	Shed      Kind = "requests_shed"               // answered 503 before the scheduler saw them
	Responded Kind = "responses"                   // by the engine's result
	GivenUp   Kind = "requests_given_up"           // by the scheduler's rule that ended them
	HeldBack  Kind = "requests_given_up_held_back" // the same requests, by what kept them from being sent
	Attempt   Kind = "attempts"                    // by outcome
	Redial    Kind = "redials"                     // to endpoints, after a failure on this machine, by the failure
	Accept    Kind = "accept_failures"             // by the failure
)

// ErrnoReason is the reason for a failed system call; 0 is a failure that has no number.
func ErrnoReason(errno syscall.Errno) Reason {
	if errno == 0 {
		return "other"
	}
	return Reason(fmt.Sprintf("errno-%d", int(errno)))
}
