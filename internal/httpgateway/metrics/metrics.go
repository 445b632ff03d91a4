// Package metrics counts what a gateway process did and why, under one typed name for each reason: the log, the counters
// and the operators' page use the same words. It also counts violated invariants, which must stay at 0: a fault of this
// program shows there before a client reports it.
package metrics

import (
	"fmt"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// logInterval bounds how often a violation of one invariant is logged.
const logInterval = time.Second

// Recorder counts for one process. It is safe for concurrent use.
type Recorder struct {
	log        *slog.Logger
	set        *metrics.Set
	violations map[Invariant]*violation // not changed after New
}

type violation struct {
	count    atomic.Int64
	mu       sync.Mutex // guards loggedAt
	loggedAt time.Time
}

// New returns a Recorder that logs violations to log.
func New(log *slog.Logger) *Recorder {
	r := &Recorder{log: log, set: metrics.NewSet(), violations: map[Invariant]*violation{}}
	for _, invariant := range Invariants {
		v := &violation{}
		r.violations[invariant] = v
		name := fmt.Sprintf(`weirhaven_invariant_violations_total{invariant=%q}`, invariant)
		r.set.NewGauge(name, func() float64 { return float64(v.count.Load()) }) // a gauge shows 0 from the start
	}
	return r
}

// Count adds one to the counter of a reason.
func (r *Recorder) Count(kind Kind, reason Reason) {
	r.set.GetOrCreateCounter(fmt.Sprintf(`weirhaven_%s_total{reason=%q}`, kind, reason)).Inc()
}

// RecordViolation counts a violated invariant and, at a bounded rate, logs which request it concerned. The message is read by
// package soak.
func (r *Recorder) RecordViolation(invariant Invariant, request, detail string) {
	v := r.violations[invariant]
	v.count.Add(1)
	v.mu.Lock()
	defer v.mu.Unlock()
	if now := time.Now(); now.Sub(v.loggedAt) >= logInterval {
		v.loggedAt = now
		r.log.Error("invariant broken", "invariant", string(invariant), "request", request, "detail", detail, "total", v.count.Load())
	}
}

// Violations is how often any invariant was violated.
func (r *Recorder) Violations() (total int64) {
	for _, v := range r.violations {
		total += v.count.Load()
	}
	return total
}

// Write writes all counters in the Prometheus text format.
func (r *Recorder) Write(w io.Writer) { r.set.WritePrometheus(w) }
