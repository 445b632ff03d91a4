package store

import (
	"os"
	"path/filepath"
	"testing"

	"google.golang.org/protobuf/proto"

	"weirhaven/internal/pb"
)

const storedGeneration = 1<<40 + 17

func storedTerm() *pb.Tenure { return &pb.Tenure{Term: 12, Planner: "planner-b"} }

// storedRecords returns the records of the sample file in the order of the file: at least one of each kind, and some tombstones.
func storedRecords() []*pb.Item {
	const started = 1_790_000_000_000_000_000
	return []*pb.Item{
		{Kind: pb.Item_BRICK, Name: "brick-1", Generation: 5, Term: 11,
			Brick: &pb.PlanBrick{Address: "127.0.0.1:7101", Zone: "north", Cell: 3, Serving: true, Started: started}},
		{Kind: pb.Item_BRICK, Name: "brick-2", Generation: 6, Term: 12,
			Brick: &pb.PlanBrick{Address: "[::1]:7102", Zone: "south", Cell: 4, Started: started, Drained: started}},
		{Kind: pb.Item_BRICK, Name: "brick-3", Generation: 7, Term: 12, Gone: true, Brick: &pb.PlanBrick{Cell: -1, Drained: -1}},
		{Kind: pb.Item_VOLUME, Name: "volume-1", Generation: 1<<40 + 16, Term: 12,
			Volume: &pb.PlanVolume{Plan: "basic", Hosts: 3, Cell: []uint32{4, 3, 1_000_000}}},
		{Kind: pb.Item_VOLUME, Name: "volume-2", Generation: 9, Term: 10, Gone: true},
		{Kind: pb.Item_PLAN, Name: "basic", Generation: 2, Term: 1,
			Plan: &pb.Plan{Name: "basic", Nominal: 14, Reservation: 2.5, Limit: 24, Depth: 40, Slack: 8, Weight: 1, Importance: 0.8}},
		{Kind: pb.Item_HOSTS, Generation: 3, Term: 2, Hosts: 65535},
		{Kind: pb.Item_PLACE, Name: "volume-1/drawings/bridge.dwg", Generation: 1<<40 + 17, Term: 12,
			Place: &pb.PlanPlace{Volume: "volume-1", Cell: 4, Edge: "edge-a"}},
	}
}

// storedFile copies the sample file and returns the name of the copy.
func storedFile(t *testing.T) string {
	t.Helper()
	content, err := os.ReadFile(filepath.Join("testdata", "plan.db"))
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(t.TempDir(), "plan.db")
	if err := os.WriteFile(file, content, 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

func mustOpen(t *testing.T, file string) (*Store, Saved) {
	t.Helper()
	s, saved, aside, err := Open(file)
	if err != nil || aside != "" {
		t.Fatalf("%v, set aside: %q", err, aside)
	}
	t.Cleanup(func() { s.Close() })
	return s, saved
}

func sameRecords(t *testing.T, got, want []*pb.Item) {
	t.Helper()
	if len(got) != len(want) {
		t.Fatalf("%d records, wanted %d: %v", len(got), len(want), got)
	}
	for i := range want {
		if !proto.Equal(got[i], want[i]) {
			t.Errorf("record %d: %v\nwanted %v", i, got[i], want[i])
		}
	}
}

// TestStoredDataIsRead checks that the term, generation and records written by a controller of version a32f63c are read unchanged.
// Otherwise the first start after an upgrade would lose placements and drains.
func TestStoredDataIsRead(t *testing.T) {
	_, saved := mustOpen(t, storedFile(t))
	if !proto.Equal(saved.Term, storedTerm()) || saved.Generation != storedGeneration {
		t.Errorf("term %v, generation %d; wanted %v, %d", saved.Term, saved.Generation, storedTerm(), uint64(storedGeneration))
	}
	sameRecords(t, saved.Records, storedRecords())
}

// TestStoredDataIsWrittenTo checks that writing a higher term and a changed record to a file of version a32f63c replaces these and
// leaves all other records unchanged.
func TestStoredDataIsWrittenTo(t *testing.T) {
	file := storedFile(t)
	s, _ := mustOpen(t, file)
	want := storedRecords()
	want[0].Generation, want[0].Brick.Serving = storedGeneration+1, false
	term := &pb.Tenure{Term: 13, Planner: "planner-a"}
	if err := s.Persist(term, storedGeneration+1, want[:1]); err != nil {
		t.Fatal(err)
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	_, saved := mustOpen(t, file)
	if !proto.Equal(saved.Term, term) || saved.Generation != storedGeneration+1 {
		t.Errorf("term %v, generation %d", saved.Term, saved.Generation)
	}
	sameRecords(t, saved.Records, want)
}
