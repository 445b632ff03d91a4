// Package metrics counts the events of a gateway process by reason. Each reason has one typed name, which the log, the
// counters and the operators' documentation share. The package also counts invariant violations, which reveal bugs of this
// program before a client reports them; these counters must stay at 0.
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

// logInterval is the minimum time between log lines about violations of one invariant.
const logInterval = time.Second

// Recorder holds the counters of a process. It is safe for concurrent use.
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

// Count increments the counter of a kind and a reason.
func (r *Recorder) Count(kind Kind, reason Reason) {
	r.set.GetOrCreateCounter(fmt.Sprintf(`weirhaven_%s_total{reason=%q}`, kind, reason)).Inc()
}

// RecordViolation counts a violation of an invariant and logs the request, at most once per logInterval for each invariant.
// Package soak parses the message.
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

// Violations returns the total number of violations of all invariants.
func (r *Recorder) Violations() (total int64) {
	for _, v := range r.violations {
		total += v.count.Load()
	}
	return total
}

// Write writes all counters in the Prometheus text format.
func (r *Recorder) Write(w io.Writer) { r.set.WritePrometheus(w) }
