package decide

import (
	"fmt"
	"net/http"
	"time"
)

// Fault is an error response to a client: HTTP status, and code and message of the object API. It is one of the faults below, or a copy
// of one.
type Fault struct {
	Status     int           // HTTP status
	Code       string        // machine-readable error code of the object API
	Message    string        // human-readable description
	RetryAfter time.Duration // delay before the client should retry; 0: not specified
	MayHaveRun bool          // whether the request may have taken effect; false: it has not
}

// Error implements error.
func (f *Fault) Error() string { return f.Code + ": " + f.Message }

// With returns a copy of the fault with the formatted text appended to its message.
func (f Fault) With(format string, args ...any) *Fault {
	f.Message += " " + fmt.Sprintf(format, args...)
	return &f
}

// minRetryAfter is the minimum of RetryAfter: the Retry-After header has a resolution of one second.
const minRetryAfter = time.Second

// The faults.
var (
	NoSuchKey             = Fault{Status: http.StatusNotFound, Code: "NoSuchKey", Message: "The specified key does not exist."}
	NoSuchBucket          = Fault{Status: http.StatusNotFound, Code: "NoSuchBucket", Message: "The specified bucket does not exist."}
	NoSuchUpload          = Fault{Status: http.StatusNotFound, Code: "NoSuchUpload", Message: "The specified upload does not exist. It may have been completed or aborted."}
	InvalidRange          = Fault{Status: http.StatusRequestedRangeNotSatisfiable, Code: "InvalidRange", Message: "The requested range is not satisfiable."}
	PreconditionFailed    = Fault{Status: http.StatusPreconditionFailed, Code: "PreconditionFailed", Message: "At least one of the preconditions did not hold."}
	InvalidPart           = Fault{Status: http.StatusBadRequest, Code: "InvalidPart", Message: "A part was not found, or its entity tag is another one."}
	InvalidPartOrder      = Fault{Status: http.StatusBadRequest, Code: "InvalidPartOrder", Message: "The parts are not in ascending order."}
	EntityTooSmall        = Fault{Status: http.StatusBadRequest, Code: "EntityTooSmall", Message: "A part but the last is smaller than allowed."}
	BadDigest             = Fault{Status: http.StatusBadRequest, Code: "BadDigest", Message: "The bytes do not have the digest that was given."}
	IncompleteBody        = Fault{Status: http.StatusBadRequest, Code: "IncompleteBody", Message: "Fewer bytes came than were announced."}
	InvalidArgument       = Fault{Status: http.StatusBadRequest, Code: "InvalidArgument", Message: "An argument is not allowed."}
	EntityTooLarge        = Fault{Status: http.StatusBadRequest, Code: "EntityTooLarge", Message: "More bytes than allowed."}
	MalformedXML          = Fault{Status: http.StatusBadRequest, Code: "MalformedXML", Message: "The XML can't be read."}
	AccessDenied          = Fault{Status: http.StatusForbidden, Code: "AccessDenied", Message: "Access denied."}
	SignatureDoesNotMatch = Fault{Status: http.StatusForbidden, Code: "SignatureDoesNotMatch", Message: "The signature does not match; check the secret key and how the request is signed."}
	InvalidAccessKeyID    = Fault{Status: http.StatusForbidden, Code: "InvalidAccessKeyId", Message: "The access key is not known here."}
	RequestTimeTooSkewed  = Fault{Status: http.StatusForbidden, Code: "RequestTimeTooSkewed", Message: "The request's time differs too much from the server's."}
	MethodNotAllowed      = Fault{Status: http.StatusMethodNotAllowed, Code: "MethodNotAllowed", Message: "The method is not allowed here."}
	NotImplemented        = Fault{Status: http.StatusNotImplemented, Code: "NotImplemented", Message: "This is not implemented here."}
	InternalError         = Fault{Status: http.StatusInternalServerError, Code: "InternalError", Message: "Something failed; what was asked for may have happened.", MayHaveRun: true}
	ChecksumMismatch      = Fault{Status: http.StatusInternalServerError, Code: "InternalError", Message: "The stored bytes do not have the checksum they were written with; they are not given out."}
	SlowDown              = Fault{Status: http.StatusServiceUnavailable, Code: "SlowDown", Message: "Too busy; come back later.", RetryAfter: minRetryAfter}
	ServiceUnavailable    = Fault{Status: http.StatusServiceUnavailable, Code: "ServiceUnavailable", Message: "It could not be done, and did not happen; come back.", RetryAfter: minRetryAfter}
)

// Outcome is the result of a request to the engine.
type Outcome int

// The outcomes.
const (
	Served   Outcome = iota
	Rejected         // rejected by load shedding; the request has not run
	NotRun           // failed; the request has definitely not run
	MaybeRun         // failed; the request may have run, or may still run
)

// ResponseFault returns the fault to send to the client for the outcome of an engine request; nil if the request was served. retryAfter
// is the delay that the engine gave for a rejected request; 0: none.
func ResponseFault(outcome Outcome, retryAfter time.Duration) *Fault {
	var fault Fault
	switch outcome {
	case Served:
		return nil
	case Rejected:
		fault = SlowDown
		fault.RetryAfter = max(retryAfter, minRetryAfter)
	case MaybeRun:
		fault = InternalError
	case NotRun:
		fault = ServiceUnavailable
	}
	return &fault
}
