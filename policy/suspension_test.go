package policy

import (
	"testing"
	"time"
)

// suspend lets the process not run for a while: its timers fire late.
func (h *harness) suspendProcess(d time.Duration) {
	h.now += d
	h.advance(0)
}

// The process is suspended while attempts are in flight, again and again, at an endpoint that answers at once. The endpoint is not
// taken for a slow one: the next request is sent at once, and no limit has narrowed.
func TestSuspensionDoesNotCountAsLatency(t *testing.T) {
	for _, outcome := range []Outcome{Served, ErrorResponse} {
		h := startScheduler(smallSettings(), "a")
		h.quiet = true
		for range 8 {
			h.receive("read", "plain", "o", 0, 1)
			if len(h.sent) != 1 {
				t.Fatal("a request to an idle endpoint waits")
			}
			h.suspendProcess(400 * millisecond)
			h.endOldestAttempt(outcome, true)
		}
		h.receive("read", "plain", "o", 0, 1)
		if len(h.sent) != 1 {
			t.Error("a request to an idle endpoint waits")
		}
		if limit := h.endpoints["a"].limit; limit < int(initialFleetLimit)/2 {
			t.Errorf("the limit of this gateway has narrowed to %d", limit)
		}
	}
}
