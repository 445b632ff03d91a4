package record

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"weirhaven/internal/pb"
)

func storedHeader() *pb.Header {
	return &pb.Header{Version: 1, Seed: -17, Drill: "bad-day", Hosts: 3, Blur: 50_000_000, Arm: "module",
		Fleet: &pb.Fleet{ListAsked: true, AskWithin: "5s", SecondCopies: true, Cancel: true, Probe: true, Peers: true, MaxPause: "500ms",
			ClientsMarkRepeats: true, MaxDispatches: 3, AnswerSlack: "30ms", Resolution: "10ms", DrainGrace: "250ms", ColdFrom: 0.2, ColdFor: "4s",
			ColdUnits: 40, FallMultiple: 2, FallAfter: "1s", Budget: &pb.Budget{Free: 3, Share: 0.25, Span: "3s"}, KeyRest: "200ms",
			Meter: "500ms", TellsElsewhere: true, UsualUnits: 2, MostUnits: 8},
		QueueType: []*pb.QueueType{
			{Name: "read", ServiceTarget: "200ms", CommandTimeout: "1s", Importance: 3, LateShare: 0.15},
			{Name: "order", ServiceTarget: "250ms", CommandTimeout: "1200ms", TagWindow: "2s", Importance: 4, LateShare: 0.1,
				Semantics: pb.Semantics_TAGGED, Group: pb.Group_CELL, Writes: true},
			{Name: "log", ServiceTarget: "400ms", CommandTimeout: "1500ms", Importance: 2, LateShare: 0.2,
				Semantics: pb.Semantics_NON_RETRYABLE, Group: pb.Group_ZONE, Streaming: true, InOrder: true, Writes: true}},
		Plan: []*pb.Plan{{Name: "basic", Nominal: 14, Reservation: 1, Limit: 24, Depth: 40, Slack: 8, Weight: 1, Importance: 0.8}}}
}

// storedSeen returns one observation of each kind, in the order of their times.
func storedSeen() []*pb.Seen {
	return []*pb.Seen{
		{What: pb.Seen_HOST_UP, At: 1, Host: 1, Incarnation: 2},
		{What: pb.Seen_BRICK_UP, At: 2, Brick: "brick-1", Cell: 3, Zone: "north", Capacity: 1.3, ColdFrom: 0.2, ColdFor: 4_000_000_000},
		{What: pb.Seen_LISTED, At: 3, Host: 1, Incarnation: 2, Brick: "brick-1", How: "serving", Started: -1},
		{What: pb.Seen_ASKED, At: 1_000_000_000, Host: 1, Incarnation: 2, Command: 8, First: 7, Volume: "volume-1", Plan: 1, QueueType: 2, Units: 2.5,
			Object: "drawings/bridge.dwg", Cell: -1, Timeout: 1_200_000_000, Tag: "tag-8"},
		{What: pb.Seen_REACHED, At: 1_000_000_001, Host: 1, Brick: "brick-1", Command: 8, Dispatch: 1, Cell: 3, Zone: "north", Work: 0.004, Connection: 9},
		{What: pb.Seen_EFFECT, At: 1_000_000_002, Brick: "brick-1", Command: 8},
		{What: pb.Seen_REPLIED, At: 1_000_000_002, Brick: "brick-1", Command: 8, Dispatch: 1, How: "DONE", Connection: 9},
		{What: pb.Seen_ANSWERED, At: 1_000_000_003, Command: 8, How: "ABORTED", MayHaveRun: true},
		{What: pb.Seen_UNANSWERED, At: 1_000_000_004, Command: 9},
		{What: pb.Seen_GIVEN_UP, At: 1_000_000_005, Command: 10},
		{What: pb.Seen_CALLED_OFF, At: 1_000_000_006, Brick: "brick-1", Command: 11, Dispatch: 2},
		{What: pb.Seen_CUT, At: 1_000_000_007, Host: 1, Brick: "brick-1", Connection: 9},
		{What: pb.Seen_BRICK_FELL, At: 1_000_000_008, Brick: "brick-1"},
		{What: pb.Seen_BRICK_DOWN, At: 1_000_000_009, Brick: "brick-1"},
		{What: pb.Seen_HOST_DOWN, At: 1 << 60, Host: 1, Incarnation: 2},
	}
}

// Every later version must read a record that version a32f63c wrote, so that it can be audited again.
func TestStoredRecordIsRead(t *testing.T) {
	header, seen, err := Read("testdata")
	if err != nil {
		t.Fatal(err)
	}
	if !proto.Equal(header, storedHeader()) {
		t.Errorf("header = %v\nwant %v", header, storedHeader())
	}
	want := storedSeen()
	if len(seen) != len(want) {
		t.Fatalf("%d observations, want %d", len(seen), len(want))
	}
	for i := range want {
		if !proto.Equal(seen[i], want[i]) {
			t.Errorf("observation %d = %v\nwant %v", i, seen[i], want[i])
		}
	}
}
