package client

import (
	"context"
	"log/slog"
	"os"
	"path/filepath"
	"testing"

	"google.golang.org/protobuf/proto"

	"weirhaven/internal/controlplane/snapshot"
	"weirhaven/internal/pb"
)

func storedTerm() *pb.Tenure { return &pb.Tenure{Term: 12, Planner: "planner-b"} }

const (
	storedGeneration = 21
	storedStart      = 1_790_000_000_000_000_000 // start time of an endpoint, in ns since 1970
)

// storedRecords returns the records of the sample file, in the order of the snapshot.
func storedRecords() []*pb.Item {
	return []*pb.Item{
		{Kind: pb.Item_BRICK, Name: "brick-1", Generation: 20, Term: 12,
			Brick: &pb.PlanBrick{Address: "127.0.0.1:7101", Zone: "north", Cell: 3, Serving: true, Started: storedStart}},
		{Kind: pb.Item_BRICK, Name: "brick-2", Generation: 20, Term: 12, // serving according to the controller, but the gateway learned a drain
			Brick: &pb.PlanBrick{Address: "127.0.0.1:7102", Zone: "south", Cell: 4, Started: storedStart, Drained: storedStart}},
		{Kind: pb.Item_BRICK, Name: "brick-3", Generation: 21, Term: 12, Gone: true, Brick: &pb.PlanBrick{Cell: 5, Drained: -1}},
		{Kind: pb.Item_VOLUME, Name: "volume-1", Generation: 20, Term: 12,
			Volume: &pb.PlanVolume{Plan: "basic", Hosts: 3, Cell: []uint32{4, 3}}},
		{Kind: pb.Item_PLAN, Name: "basic", Generation: 2, Term: 1,
			Plan: &pb.Plan{Name: "basic", Nominal: 14, Reservation: 2.5, Limit: 24, Depth: 40, Slack: 8, Weight: 1, Importance: 0.8}},
		{Kind: pb.Item_HOSTS, Generation: 3, Term: 2, Hosts: 4},
		{Kind: pb.Item_PLACE, Name: "volume-1/drawings/bridge.dwg", Generation: 21, Term: 12,
			Place: &pb.PlanPlace{Volume: "volume-1", Cell: 4, Edge: "edge-a"}},
	}
}

// recordingSink stores the records passed to it.
type recordingSink struct {
	records []*pb.Item
	fresh   bool
}

func (s *recordingSink) Changed(records []*pb.Item, fresh bool) {
	s.records, s.fresh = append(s.records, records...), s.fresh || fresh
}

// openStored opens a Follower with a copy of the sample file.
func openStored(t *testing.T, sink Sink) *Follower {
	t.Helper()
	content, err := os.ReadFile(filepath.Join("testdata", "view.db"))
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(t.TempDir(), "view.db")
	if err := os.WriteFile(file, content, 0o600); err != nil {
		t.Fatal(err)
	}
	f, err := Open(Config{Controllers: &pb.Planner{Address: []string{"127.0.0.1:1"}, Plain: true}, Gateway: "edge-a", SnapshotFile: file,
		Log: slog.New(slog.DiscardHandler), Sink: sink, Seed: 1})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { // Run with an ended context closes the file
		ended, end := context.WithCancel(context.Background())
		end()
		f.Run(ended)
	})
	return f
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

// TestStoredDataIsRead checks that a file written by a gateway of version a32f63c is loaded while no controller is reachable,
// including a learned drain and a placement. Otherwise the gateway would send requests to a drained endpoint after an upgrade.
func TestStoredDataIsRead(t *testing.T) {
	sink := &recordingSink{}
	f := openStored(t, sink)
	address, term, generation, records := f.State()
	if address != "" || !proto.Equal(term, storedTerm()) || generation != storedGeneration {
		t.Errorf("following %q, term %v, generation %d", address, term, generation)
	}
	sameRecords(t, records, storedRecords())
	sameRecords(t, sink.records, storedRecords())
	if sink.fresh {
		t.Error("records read from disk were passed to the sink as fresh")
	}
	for _, want := range storedRecords() {
		if got := f.Get(snapshot.Key{Kind: want.Kind, Name: want.Name}); !proto.Equal(got, want) {
			t.Errorf("%v\nwanted %v", got, want)
		}
	}
}
