package statemachine

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"weirhaven/internal/pb"
)

// TestSnapshotsAreAdmittedInOrder connects a hundred gateways at once, as after a network outage. At most MaxSnapshotsInFlight
// snapshots may be in flight at any time, and every gateway must be admitted, in the order of their requests.
func TestSnapshotsAreAdmittedInOrder(t *testing.T) {
	const gateways, maxInFlight, sendTime = 100, 4, 10 * time.Millisecond
	config := testConfig
	config.MinGateways, config.MaxSnapshotsInFlight = gateways, maxInFlight
	s, err := New("a", 1, Persisted{}, config, newDisk(), discardLog, 0)
	if err != nil {
		t.Fatal(err)
	}
	now := time.Duration(0)
	retryAt := map[string]time.Duration{}
	for i := range gateways {
		name := fmt.Sprintf("e%02d", i)
		if _, err := s.Connect(&pb.EdgeHello{Name: name}, now); err != nil {
			t.Fatal(err)
		}
		retryAt[name] = now
	}
	var order []string
	sentAt := map[string]time.Duration{}
	for len(order) < gateways {
		now += time.Millisecond
		if now > 10*time.Second {
			t.Fatalf("only %d gateways were admitted", len(order))
		}
		for name, end := range sentAt {
			if now >= end {
				s.SnapshotSent(name, now)
				delete(sentAt, name)
			}
		}
		for i := range gateways {
			name := fmt.Sprintf("e%02d", i)
			if at, waits := retryAt[name]; !waits || now < at {
				continue
			}
			if admitted, retryAfter := s.AdmitSnapshot(name, now); admitted {
				order, sentAt[name] = append(order, name), now+sendTime
				delete(retryAt, name)
			} else if retryAfter <= 0 {
				t.Fatal("not admitted, but no retry delay returned")
			} else {
				retryAt[name] = now + retryAfter
			}
		}
		if len(sentAt) > maxInFlight {
			t.Fatalf("%d in flight", len(sentAt))
		}
	}
	if !slices.IsSorted(order[:8]) || now > time.Second {
		t.Errorf("%v, the last admitted at %v", order[:8], now)
	}
}
