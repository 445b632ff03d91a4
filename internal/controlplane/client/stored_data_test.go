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

func storedTenure() *pb.Tenure { return &pb.Tenure{Term: 12, Planner: "planner-b"} }

const (
	storedGeneration = 21
	storedStart      = 1_790_000_000_000_000_000 // of a brick, ns since 1970
)

// storedItems are the view that the edge held, in the order in which it tells them.
func storedItems() []*pb.Item {
	return []*pb.Item{
		{Kind: pb.Item_BRICK, Name: "brick-1", Generation: 20, Term: 12,
			Brick: &pb.PlanBrick{Address: "127.0.0.1:7101", Zone: "north", Cell: 3, Serving: true, Started: storedStart}},
		{Kind: pb.Item_BRICK, Name: "brick-2", Generation: 20, Term: 12, // serving by the planner's word, until its drain was learnt elsewhere
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

// told is a sink that remembers.
type told struct {
	items []*pb.Item
	fresh bool
}

func (s *told) Changed(items []*pb.Item, fresh bool) {
	s.items, s.fresh = append(s.items, items...), s.fresh || fresh
}

// openStored opens a copy of the sample.
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
	f, err := Open(Config{Planner: &pb.Planner{Address: []string{"127.0.0.1:1"}, Plain: true}, Name: "edge-a", File: file,
		Log: slog.New(slog.DiscardHandler), Sink: sink, Seed: 1})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { // a run that is over at once closes the file
		ended, end := context.WithCancel(context.Background())
		end()
		f.Run(ended)
	})
	return f
}

func sameItems(t *testing.T, got, want []*pb.Item) {
	t.Helper()
	if len(got) != len(want) {
		t.Fatalf("%d items, wanted %d: %v", len(got), len(want), got)
	}
	for i := range want {
		if !proto.Equal(got[i], want[i]) {
			t.Errorf("item %d: %v\nwanted %v", i, got[i], want[i])
		}
	}
}

// An edge of version a32f63c followed a planner, learnt a drain and was given a place; it kept all that. Every later version must
// start from it without any planner.
func TestStoredDataIsRead(t *testing.T) {
	sink := &told{}
	f := openStored(t, sink)
	address, tenure, generation, items := f.State()
	if address != "" || !proto.Equal(tenure, storedTenure()) || generation != storedGeneration {
		t.Errorf("following %q, tenure %v, generation %d", address, tenure, generation)
	}
	sameItems(t, items, storedItems())
	sameItems(t, sink.items, storedItems())
	if sink.fresh {
		t.Error("what was read from disk was told as a planner's word")
	}
	for _, want := range storedItems() {
		if got := f.Get(snapshot.Key{Kind: want.Kind, Name: want.Name}); !proto.Equal(got, want) {
			t.Errorf("%v\nwanted %v", got, want)
		}
	}
}
