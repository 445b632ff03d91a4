package store

import (
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"weirhaven/internal/fleet/endpointstate"
	"weirhaven/internal/fleet/membership"
)

// storedBeliefs are the beliefs of the sample, in the order of their names.
func storedBeliefs() []endpointstate.Belief {
	const moment = 1_790_000_000 * time.Second
	return []endpointstate.Belief{
		{Source: endpointstate.List, Report: endpointstate.Report{Name: "brick-1", Address: "127.0.0.1:7101", Zone: "north", Shard: 3, Serving: true,
			Started: moment - 48*time.Hour, ObservedAt: moment}},
		{Source: endpointstate.SelfReported, DrainedUpTo: moment - time.Hour, DrainKnownAt: moment - 90*time.Second, Reason: "draining, told by itself",
			Report: endpointstate.Report{Name: "brick-2", Address: "127.0.0.1:7102", Zone: "south", Shard: 4, Started: moment - time.Hour, ObservedAt: moment - time.Second}},
		{Source: endpointstate.Peer, DrainedUpTo: -1, DrainKnownAt: moment - 2*time.Minute, Reason: "gone, told by peer",
			Report: endpointstate.Report{Name: "brick-3", Address: "[::1]:7103", Shard: -1, Removed: true, ObservedAt: moment - 2*time.Minute}},
		{Source: endpointstate.Saved, Report: endpointstate.Report{Name: "brick-4", Address: "127.0.0.1:7104", Zone: "north", Serving: true, ObservedAt: 1}},
		{Source: endpointstate.Settings, Report: endpointstate.Report{Name: "brick-5", Address: "127.0.0.1:7105", Shard: 1_000_000, Serving: true}},
	}
}

func storedGeneration() endpointstate.Generation {
	return endpointstate.Generation{Epoch: "list-service-life-9", Number: 4711}
}

// storedHosts are the members of the sample, one in each state.
func storedMembers() []membership.Member {
	return []membership.Member{
		{Name: "edge-a", Ordinal: 0, Address: "127.0.0.1:7201", Planned: 4, Incarnation: 1_790_000_000_000_000_001, State: membership.Alive},
		{Name: "edge-b", Ordinal: 1, Address: "127.0.0.1:7202", Planned: 4, Incarnation: 2, State: membership.Suspect},
		{Name: "edge-c", Ordinal: 2, Address: "127.0.0.1:7203", Planned: 3, Incarnation: 3, State: membership.Faulty},
		{Name: "edge-d", Ordinal: 65535, Address: "[::1]:7204", Planned: 65535, Incarnation: 1<<64 - 1, State: membership.Departed},
	}
}

// storedFile is a copy of the sample.
func storedFile(t *testing.T) string {
	t.Helper()
	content, err := os.ReadFile(filepath.Join("testdata", "fleet.db"))
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(t.TempDir(), "fleet.db")
	if err := os.WriteFile(file, content, 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

// A gateway that ran version a32f63c wrote what it believed of the fleet and who its members were. Every later version must start from it
// as if it had written it itself.
func TestStoredDataIsRead(t *testing.T) {
	file := storedFile(t)
	s, aside := mustOpen(t, file, "edge-a")
	if aside != "" {
		t.Fatalf("set aside: %s", aside)
	}
	beliefs, last, err := s.Load()
	if err != nil {
		t.Fatal(err)
	}
	if !slices.Equal(beliefs, storedBeliefs()) {
		t.Errorf("beliefs:\n%+v\nwanted\n%+v", beliefs, storedBeliefs())
	}
	if last != storedGeneration() {
		t.Errorf("generation %+v, wanted %+v", last, storedGeneration())
	}
	hosts, err := s.Members()
	if err != nil || !slices.Equal(hosts, storedMembers()) {
		t.Errorf("%v, members:\n%+v\nwanted\n%+v", err, hosts, storedMembers())
	}
}

// The file that version a32f63c wrote is continued: what has not changed is not written again, and what is dropped is gone.
func TestStoredDataIsContinued(t *testing.T) {
	file := storedFile(t)
	s, _ := mustOpen(t, file, "edge-a")
	if written, err := s.Save(storedBeliefs(), storedGeneration()); written != 0 || err != nil {
		t.Errorf("%d entries written though nothing changed: %v", written, err)
	}
	if written, err := s.Save(storedBeliefs()[1:], storedGeneration()); written != 1 || err != nil {
		t.Errorf("%d entries written for one dropped: %v", written, err)
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	beliefs, hosts, last, err := Dump(file, "edge-a")
	if err != nil || !slices.Equal(beliefs, storedBeliefs()[1:]) || !slices.Equal(hosts, storedMembers()) || last != storedGeneration() {
		t.Errorf("%v, left after it:\n%+v\n%+v\n%+v", err, beliefs, hosts, last)
	}
}
