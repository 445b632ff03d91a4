package policy

import (
	"testing"
	"time"
)

// suspendProcess simulates a suspension of the process: timers fire late.
func (h *harness) suspendProcess(d time.Duration) {
	h.now += d
	h.advance(0)
}

// Guards against slow-endpoint detection caused by suspensions of the process. The process is suspended repeatedly while attempts are
// in flight at a fast endpoint: the next request must be sent at once, and the concurrency limit must not narrow.
func TestSuspensionDoesNotCountAsLatency(t *testing.T) {
	for _, outcome := range []Outcome{Served, ErrorResponse} {
		h := startScheduler(smallSettings(), "a")
		h.quiet = true
		for range 8 {
			h.receive("read", "plain", "o", 0, 1)
			if len(h.sent) != 1 {
				t.Fatal("request to an idle endpoint was not sent at once")
			}
			h.suspendProcess(400 * millisecond)
			h.endOldestAttempt(outcome, true)
		}
		h.receive("read", "plain", "o", 0, 1)
		if len(h.sent) != 1 {
			t.Error("request to an idle endpoint was not sent at once")
		}
		if limit := h.endpoints["a"].limit; limit < int(initialFleetLimit)/2 {
			t.Errorf("concurrency limit of this gateway narrowed to %d", limit)
		}
	}
}
