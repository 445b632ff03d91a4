package snapshot

import (
	"errors"
	"testing"

	"google.golang.org/protobuf/proto"

	"weirhaven/internal/pb"
)

var term = &pb.Tenure{Term: 3, Planner: "a#1"}

func volume(name string, generation uint64) *pb.Item {
	return &pb.Item{Kind: pb.Item_VOLUME, Name: name, Generation: generation, Term: 3, Volume: &pb.PlanVolume{Plan: "basic"}}
}

func endpoint(name string, generation uint64, serving bool, started, drained int64) *pb.Item {
	return &pb.Item{Kind: pb.Item_BRICK, Name: name, Generation: generation, Term: 3, Brick: &pb.PlanBrick{Serving: serving, Started: started, Drained: drained}}
}

// fullTransfer returns a full snapshot in one chunk, with its digest.
func fullTransfer(generation uint64, records ...*pb.Item) *pb.ViewPart {
	byKey := map[Key]*pb.Item{}
	for _, record := range records {
		byKey[KeyOf(record)] = record
	}
	return &pb.ViewPart{To: generation, Whole: true, Last: true, Digest: Digest(byKey), Item: records}
}

// newFollowingSnapshot returns a snapshot of generation 5 that follows term.
func newFollowingSnapshot(t *testing.T, records ...*pb.Item) *Snapshot {
	t.Helper()
	s := New(nil, 0, nil, 10)
	if raised, err := s.ObserveTerm(term); !raised || err != nil {
		t.Fatal(raised, err)
	}
	if applied, err := s.ApplyChunk(term, fullTransfer(5, records...)); !applied.Complete || err != nil {
		t.Fatal(applied, err)
	}
	return s
}

// TestHighestTermIsFollowed checks that messages with a lower term, such as those of a controller that stalled while another took
// over, and messages without a term are rejected. The current term is accepted without being raised, and a higher one is raised.
func TestHighestTermIsFollowed(t *testing.T) {
	for _, c := range []struct {
		name   string
		term   *pb.Tenure
		raised bool
		err    error
	}{
		{"the same", &pb.Tenure{Term: 3, Planner: "a#1"}, false, nil},
		{"lower", &pb.Tenure{Term: 2, Planner: "z#9"}, false, ErrNotFollowed},
		{"the same number, a lower controller", &pb.Tenure{Term: 3, Planner: "a#0"}, false, ErrNotFollowed},
		{"the same number, a higher controller", &pb.Tenure{Term: 3, Planner: "b#0"}, true, nil},
		{"higher", &pb.Tenure{Term: 4, Planner: "a#0"}, true, nil},
		{"none", &pb.Tenure{}, false, ErrNoTerm},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newFollowingSnapshot(t, volume("v", 5))
			raised, err := s.ObserveTerm(c.term)
			if raised != c.raised || !errors.Is(err, c.err) {
				t.Errorf("raised %v, %v", raised, err)
			}
			want := term
			if c.raised {
				want = c.term
			}
			if CompareTerms(s.Term(), want) != 0 {
				t.Errorf("%v is followed", s.Term())
			}
		})
	}
}

// TestTransferIsAtomic checks that incomplete, mixed, outdated, non-contiguous and corrupt transfers change nothing. They result
// from lost connections and from controllers that lost their disk. If only the full snapshot can resolve the difference, NeedsFull
// is set.
func TestTransferIsAtomic(t *testing.T) {
	for _, c := range []struct {
		name      string
		chunks    []*pb.ViewPart
		needsFull bool
		err       error // of the last chunk
	}{
		{"incomplete", []*pb.ViewPart{{From: 5, To: 6, Item: []*pb.Item{volume("w", 6)}}}, false, nil},
		{"mixed", []*pb.ViewPart{{From: 5, To: 6, Item: []*pb.Item{volume("w", 6)}}, {From: 5, To: 7, Last: true}}, false, ErrMixedTransfers},
		{"older", []*pb.ViewPart{fullTransfer(4, volume("w", 4))}, false, ErrLowerGeneration},
		{"changes after a gap", []*pb.ViewPart{{From: 6, To: 7, Last: true, Item: []*pb.Item{volume("w", 7)}}}, true, nil},
		{"changes with a wrong digest", []*pb.ViewPart{{From: 5, To: 6, Last: true, Digest: 1, Item: []*pb.Item{volume("w", 6)}}}, true, nil},
		{"full with a wrong digest", []*pb.ViewPart{{To: 6, Whole: true, Last: true, Digest: 1, Item: []*pb.Item{volume("w", 6)}}}, false, ErrDigestMismatch},
		{"too many records", []*pb.ViewPart{{From: 5, To: 6, Item: make([]*pb.Item, 21)}}, false, ErrTooManyRecords},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newFollowingSnapshot(t, volume("v", 5))
			before := s.Digest()
			var applied Applied
			var err error
			for _, chunk := range c.chunks {
				applied, err = s.ApplyChunk(term, chunk)
			}
			if applied.Complete || applied.NeedsFull != c.needsFull || !errors.Is(err, c.err) {
				t.Errorf("%+v, %v", applied, err)
			}
			if s.Generation() != 5 || s.Digest() != before {
				t.Errorf("changed: generation %d, %v", s.Generation(), s.Records())
			}
			s.AbortTransfer()
			applied, err = s.ApplyChunk(term, fullTransfer(6, volume("v", 5), volume("w", 6)))
			if !applied.Complete || len(applied.Changed) != 1 || err != nil || s.Generation() != 6 {
				t.Errorf("the next transfer: %+v, %v, generation %d", applied, err, s.Generation())
			}
		})
	}
}

// TestDrainStaysUntilLaterStart checks that a drain learned by a gateway persists although the controller reports the endpoint as
// serving and later removes it. Only a later start of the endpoint is serving again.
func TestDrainStaysUntilLaterStart(t *testing.T) {
	s := newFollowingSnapshot(t, endpoint("b", 5, true, 10, 0))
	if !s.LearnDrain("b", 10) || s.LearnDrain("b", 10) || s.LearnDrain("b", 9) {
		t.Error("a drain must be reported as new only once and cover earlier starts")
	}
	for _, c := range []struct {
		name    string
		chunk   *pb.ViewPart
		gone    bool
		serving bool
	}{
		{"reported as serving", fullTransfer(6, endpoint("b", 6, true, 10, 0)), false, false},
		{"missing", fullTransfer(7), true, false},
		{"started after the drain", fullTransfer(8, endpoint("b", 8, true, 20, 0)), false, true},
	} {
		if applied, err := s.ApplyChunk(term, c.chunk); !applied.Complete || err != nil {
			t.Fatal(c.name, applied, err)
		}
		record := s.Get(Key{pb.Item_BRICK, "b"})
		if record.GetBrick().GetDrained() != 10 || record.Gone != c.gone || !c.gone && record.Brick.Serving != c.serving {
			t.Errorf("%s: %v", c.name, record)
		}
	}
}

// TestLaterRecordIsKept checks that a snapshot does not replace a later record by an earlier one with the same key. This happens if
// the controller has lost the later record, here a placement, with its disk.
func TestLaterRecordIsKept(t *testing.T) {
	placement := func(generation uint64, shard uint32) *pb.Item {
		return &pb.Item{Kind: pb.Item_PLACE, Name: "v/o", Generation: generation, Term: 3, Place: &pb.PlanPlace{Volume: "v", Cell: shard}}
	}
	s := newFollowingSnapshot(t, volume("v", 5))
	s.AddPlacement(placement(6, 1))
	s.AddPlacement(placement(4, 2))
	if applied, err := s.ApplyChunk(term, fullTransfer(7, volume("v", 5), placement(4, 2))); !applied.Complete || err != nil {
		t.Fatal(applied, err)
	}
	if record := s.Get(Key{pb.Item_PLACE, "v/o"}); !proto.Equal(record, placement(6, 1)) {
		t.Error(record)
	}
}
