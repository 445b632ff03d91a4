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

// storedBeliefs returns the beliefs in the sample file, sorted by name.
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

// storedMembers returns the members in the sample file, one in each state.
func storedMembers() []membership.Member {
	return []membership.Member{
		{Name: "edge-a", Ordinal: 0, Address: "127.0.0.1:7201", Planned: 4, Incarnation: 1_790_000_000_000_000_001, State: membership.Alive},
		{Name: "edge-b", Ordinal: 1, Address: "127.0.0.1:7202", Planned: 4, Incarnation: 2, State: membership.Suspect},
		{Name: "edge-c", Ordinal: 2, Address: "127.0.0.1:7203", Planned: 3, Incarnation: 3, State: membership.Faulty},
		{Name: "edge-d", Ordinal: 65535, Address: "[::1]:7204", Planned: 65535, Incarnation: 1<<64 - 1, State: membership.Departed},
	}
}

// storedFile returns the name of a copy of the sample file.
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

// The sample file was written by a gateway of version a32f63c. Every later version must read from it the same beliefs, generation and
// members.
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
	members, err := s.Members()
	if err != nil || !slices.Equal(members, storedMembers()) {
		t.Errorf("%v, members:\n%+v\nwanted\n%+v", err, members, storedMembers())
	}
}

// A save to the file of version a32f63c must not write unchanged entries again, and must delete dropped ones.
func TestStoredDataIsContinued(t *testing.T) {
	file := storedFile(t)
	s, _ := mustOpen(t, file, "edge-a")
	if written, err := s.Save(storedBeliefs(), storedGeneration()); written != 0 || err != nil {
		t.Errorf("%d entries written although nothing changed: %v", written, err)
	}
	if written, err := s.Save(storedBeliefs()[1:], storedGeneration()); written != 1 || err != nil {
		t.Errorf("%d entries written for one dropped: %v", written, err)
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	beliefs, members, last, err := Dump(file, "edge-a")
	if err != nil || !slices.Equal(beliefs, storedBeliefs()[1:]) || !slices.Equal(members, storedMembers()) || last != storedGeneration() {
		t.Errorf("%v, contents after the save:\n%+v\n%+v\n%+v", err, beliefs, members, last)
	}
}
