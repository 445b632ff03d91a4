// Package metrics counts what a gateway process did and why, under one typed name for each reason: the log, the counters
// and the operators' page use the same words. It also counts broken invariants, which must stay at 0.
package metrics

import (
	"fmt"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Invariant names a property that every path has to keep. Its counter must stay at 0.
type Invariant string

// The invariants, each checked in one place.
const (
	// OneAnswer: a request read whole gets exactly one final answer, or its client has gone.
	OneResponse Invariant = "one-answer"
	// SendInTime: no attempt begins long after its client left or was answered, past its deadline, or on a draining endpoint.
	SendInTime Invariant = "send-in-time"
	// DeadlineTold: the time told to a server is at most what its client has left.
	DeadlinePropagated Invariant = "deadline-told"
	// OneAttempt: one attempt of a request is out at a time, unless settings allow more.
	OneAttemptInFlight Invariant = "one-attempt"
	// OneOutcome: an attempt is reported exactly once.
	OneOutcome Invariant = "one-outcome"
)

// Invariants lists all of them.
var Invariants = []Invariant{OneResponse, SendInTime, DeadlinePropagated, OneAttemptInFlight, OneOutcome}

// Reason names why something was closed, refused or answered.
type Reason string

// Why a client's connection ended.
const (
	ClientClosed         Reason = "client-closed"
	ClientRequestedClose Reason = "connection-close-asked"
	BadRequest           Reason = "bad-request"
	RequestTimeout       Reason = "request-timeout"
	IdleTimeout          Reason = "idle-timeout"
	Evicted              Reason = "made-room"
	ShuttingDown         Reason = "stopping"
	WriteFailed          Reason = "write-failed"
	Panicked             Reason = "panic"
)

// Why a request was refused before the decision module saw it.
const (
	QueueFull       Reason = "event-queue-full"
	ConnectionLimit Reason = "connection-limit"
	PipelineLimit   Reason = "pipeline-limit"
)

// Kind says what a reason is counted for.
type Kind string

// The kinds of counted reasons.
const (
	Closed   Kind = "closed"   // a client's connection
	Refused  Kind = "refused"  // a request, before the decision module
	Answered Kind = "answered" // a request
	Attempt  Kind = "attempt"  // by its outcome
	Redial   Kind = "redial"   // a connection to a server, after a failure of this machine
	Accept   Kind = "accept"   // failures
)

// logEvery bounds how often a violation of one invariant is logged.
const logEvery = time.Second

// Recorder counts for one process. It is safe for concurrent use.
type Recorder struct {
	log        *slog.Logger
	set        *metrics.Set
	violations map[Invariant]*violation
}

type violation struct {
	count  atomic.Int64
	mu     sync.Mutex
	logged time.Time
}

// New returns a recorder that logs violations to log.
func New(log *slog.Logger) *Recorder {
	r := &Recorder{log: log, set: metrics.NewSet(), violations: map[Invariant]*violation{}}
	for _, name := range Invariants {
		v := &violation{}
		r.violations[name] = v
		r.set.NewGauge(fmt.Sprintf(`weirhaven_violations{invariant=%q}`, name), func() float64 { return float64(v.count.Load()) })
	}
	return r
}

// Count adds one to the counter of a reason.
func (r *Recorder) Count(kind Kind, reason Reason) {
	r.set.GetOrCreateCounter(fmt.Sprintf(`weirhaven_%s_total{reason=%q}`, kind, reason)).Inc()
}

// Violated counts a broken invariant and, at a bounded rate, logs which request broke it.
func (r *Recorder) RecordViolation(name Invariant, request, detail string) {
	v := r.violations[name]
	v.count.Add(1)
	v.mu.Lock()
	defer v.mu.Unlock()
	if now := time.Now(); now.Sub(v.logged) >= logEvery {
		v.logged = now
		r.log.Error("invariant broken", "invariant", string(name), "request", request, "detail", detail, "so_far", v.count.Load())
	}
}

// Violations is how often any invariant was broken.
func (r *Recorder) Violations() (sum int64) {
	for _, v := range r.violations {
		sum += v.count.Load()
	}
	return sum
}

// Write writes all counters in the Prometheus text format.
func (r *Recorder) Write(w io.Writer) { r.set.WritePrometheus(w) }

// Errno is the reason for a failed system call, by its number.
func ErrnoReason(number syscall.Errno) Reason {
	if number == 0 {
		return "other"
	}
	return Reason(fmt.Sprintf("errno-%d", int(number)))
}
