package capture

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"weirhaven/internal/engine"
	"weirhaven/internal/pb"
	"weirhaven/policy"
)

const (
	storedMoment = 1_790_000_000 * time.Second // when the first stored request was received, since 1970
	storedKey    = "stored data test key"      // key of the hash of object names
	storedDigest = "0c0421bdc1aa25fa"          // digest of storedKey
	storedBridge = 0x405cedf306751f93          // hash of the object "drawings/bridge.dwg"
	storedTunnel = 0xb3f26edb1e34cce5          // hash of the object "drawings/tunnel.dwg"
)

func storedHead() *pb.CaptureHead {
	return &pb.CaptureHead{Version: 1, Host: "edge-a", Ordinal: 2, Zone: "north", Life: int64(storedMoment - time.Hour), Key: storedDigest, Hosts: 3,
		Fleet: &pb.Fleet{Cancel: true, MaxDispatches: 3, Resolution: "10ms", Budget: &pb.Budget{Free: 3, Share: 0.25, Span: "3s"}, UsualUnits: 2, MostUnits: 8},
		QueueType: []*pb.QueueType{{Name: "read", ServiceTarget: "200ms", CommandTimeout: "1s", Importance: 3, LateShare: 0.15},
			{Name: "order", ServiceTarget: "250ms", CommandTimeout: "1200ms", TagWindow: "2s", Semantics: pb.Semantics_TAGGED, Group: pb.Group_CELL, Writes: true}},
		Plan: []*pb.Plan{{Name: "basic", Nominal: 14, Limit: 24, Depth: 40, Slack: 8, Weight: 1, Importance: 0.8}}}
}

// storedEndpoints returns the records of endpoints. They are in the first block, after the head.
func storedEndpoints() []*pb.Captured {
	started := int64(storedMoment - 48*time.Hour)
	endpoint := func(at time.Duration, b *pb.CapturedBrick) *pb.Captured {
		b.Host = "edge-a"
		return &pb.Captured{At: int64(at), What: &pb.Captured_Brick{Brick: b}}
	}
	return []*pb.Captured{
		endpoint(storedMoment-2*time.Second, &pb.CapturedBrick{Name: "brick-1", Zone: "north", Cell: 3, Serving: true, Started: started}),
		endpoint(storedMoment-time.Second, &pb.CapturedBrick{Name: "brick-2", Zone: "south", Cell: 4, Started: started + 5}),
	}
}

// storedRequests returns the requests as the engine passed them to the writer.
func storedRequests() []*engine.RequestRecord {
	return []*engine.RequestRecord{
		{Volume: "volume-1", Plan: "basic", Class: "read", Object: "drawings/bridge.dwg", Shard: 3, BodyBytes: 64, Units: 2.5, ReceivedAt: storedMoment,
			Duration: 12 * time.Millisecond, Timeout: time.Second, Result: engine.Served, Attempts: []engine.AttemptRecord{
				{Endpoint: "brick-2", SentAt: storedMoment + 5, Duration: time.Millisecond, Outcome: policy.ErrorResponse},
				{Endpoint: "brick-1", SentAt: storedMoment + 2_000_000, Duration: 9 * time.Millisecond, Outcome: policy.Served}}},
		{Volume: "volume-2", Plan: "basic", Class: "order", Shard: -1, Units: 1, Retry: true, ReceivedAt: storedMoment + time.Millisecond,
			Duration: time.Second, Timeout: 1200 * time.Millisecond, Result: engine.Rejected, Attempts: []engine.AttemptRecord{
				{Endpoint: "brick-1", SentAt: storedMoment + 2*time.Millisecond, Duration: 3, Outcome: policy.Rejected},
				{Endpoint: "brick-1", SentAt: storedMoment + 3*time.Millisecond, Duration: 4, Outcome: policy.TimedOut},
				{Endpoint: "brick-1", SentAt: storedMoment + 4*time.Millisecond, Duration: 5, Outcome: policy.ConnectFailed}}},
		{Volume: "volume-1", Plan: "basic", Class: "read", Object: "drawings/tunnel.dwg", Shard: 4, Units: 8, ReceivedAt: storedMoment + 2*time.Millisecond,
			Duration: 7, Timeout: time.Second, Result: engine.Failed, Attempts: []engine.AttemptRecord{
				{Endpoint: "brick-2", SentAt: storedMoment + 3*time.Millisecond, Duration: 6, Outcome: policy.ConnectionReset},
				{Endpoint: "brick-2", SentAt: storedMoment + 4*time.Millisecond, Duration: 7, Outcome: policy.Canceled},
				{Endpoint: "brick-2", SentAt: storedMoment + 5*time.Millisecond, Outcome: policy.NotSent}}},
		{Volume: "volume-1", Plan: "basic", Class: "read", Object: "drawings/bridge.dwg", Shard: 3, Units: 1, ReceivedAt: storedMoment + 3*time.Millisecond,
			Duration: 8, Timeout: time.Second, Result: engine.ClientDisconnected},
	}
}

// storedRequestRecords returns the records of the same requests as they are read: two blocks of two.
func storedRequestRecords() []*pb.Captured {
	request := func(at time.Duration, c *pb.CapturedCommand) *pb.Captured {
		c.Host, c.Plan = "edge-a", "basic"
		return &pb.Captured{At: int64(at), What: &pb.Captured_Command{Command: c}}
	}
	return []*pb.Captured{
		request(storedMoment, &pb.CapturedCommand{Volume: "volume-1", QueueType: "read", Units: 2.5, Cell: 3, Object: storedBridge, Timeout: 1_000_000_000,
			Took: 12_000_000, Final: pb.CapturedCommand_COMPLETED, Body: 64, Dispatch: []*pb.CapturedDispatch{
				{Brick: "brick-2", After: 5, Took: 1_000_000, How: 1}, {Brick: "brick-1", After: 2_000_000, Took: 9_000_000, How: 0}}}),
		request(storedMoment+time.Millisecond, &pb.CapturedCommand{Volume: "volume-2", QueueType: "order", Units: 1, Cell: -1, Repeat: true,
			Timeout: 1_200_000_000, Took: 1_000_000_000, Final: pb.CapturedCommand_BUSY_REPLIED, Dispatch: []*pb.CapturedDispatch{
				{Brick: "brick-1", After: 1_000_000, Took: 3, How: 2}, {Brick: "brick-1", After: 2_000_000, Took: 4, How: 3},
				{Brick: "brick-1", After: 3_000_000, Took: 5, How: 4}}}),
		request(storedMoment+2*time.Millisecond, &pb.CapturedCommand{Volume: "volume-1", QueueType: "read", Units: 8, Cell: 4, Object: storedTunnel,
			Timeout: 1_000_000_000, Took: 7, Final: pb.CapturedCommand_ABORTED, Dispatch: []*pb.CapturedDispatch{
				{Brick: "brick-2", After: 1_000_000, Took: 6, How: 5}, {Brick: "brick-2", After: 2_000_000, Took: 7, How: 6},
				{Brick: "brick-2", After: 3_000_000, How: 7}}}),
		request(storedMoment+3*time.Millisecond, &pb.CapturedCommand{Volume: "volume-1", QueueType: "read", Units: 1, Cell: 3, Object: storedBridge,
			Timeout: 1_000_000_000, Took: 8, Final: pb.CapturedCommand_LEFT}),
	}
}

func stored(name string) string { return filepath.Join("testdata", "stored", name) }

func readStored(t *testing.T, paths ...string) *Load {
	t.Helper()
	l, err := Read(paths...)
	if err != nil {
		t.Fatal(err)
	}
	return l
}

func checkEqual(t *testing.T, got, want []*pb.Captured) {
	t.Helper()
	if len(got) != len(want) {
		t.Fatalf("%d records, wanted %d: %v", len(got), len(want), got)
	}
	for i := range want {
		if !proto.Equal(got[i], want[i]) {
			t.Errorf("line %d: %v\nwanted %v", i, got[i], want[i])
		}
	}
}

// A gateway of version a32f63c wrote this capture. Its disk was full at first, so that three records were lost. Every later version must read the
// head and all records in order, report the three lost records, and report nothing torn.
func TestStoredCaptureIsRead(t *testing.T) {
	load := readStored(t, stored("whole"))
	if len(load.Heads) != 1 || !proto.Equal(load.Heads[0], storedHead()) {
		t.Errorf("heads %v\nwanted %v", load.Heads, storedHead())
	}
	if load.Files != 1 || load.Torn != (Torn{}) || load.Lost != 3 {
		t.Errorf("%d files, torn %+v, %d lost", load.Files, load.Torn, load.Lost)
	}
	checkEqual(t, load.Records, append(storedEndpoints(), storedRequestRecords()...))
	if from, to := load.Span(); from != storedMoment || to != storedMoment+3*time.Millisecond {
		t.Errorf("from %v to %v", from, to)
	}
}

// The same capture ends in the middle of its last block, as if the gateway had been killed. Every later version must read all whole blocks and
// count the torn one.
func TestStoredCaptureCutOffIsRead(t *testing.T) {
	load := readStored(t, stored("cut-off.wcap"))
	if load.Torn != (Torn{Blocks: 1, Bytes: 84}) {
		t.Errorf("torn: %+v", load.Torn)
	}
	checkEqual(t, load.Records, append(storedEndpoints(), storedRequestRecords()[:2]...))
}

// The same capture has a flipped byte in the middle of its second block. Every later version must skip only that block and read the blocks before
// and after it.
func TestStoredCorruptedCaptureIsRead(t *testing.T) {
	load := readStored(t, stored("spoilt.wcap"))
	if load.Torn != (Torn{Blocks: 1, Bytes: 228}) {
		t.Errorf("torn: %+v", load.Torn)
	}
	checkEqual(t, load.Records, append(storedEndpoints(), storedRequestRecords()[2:]...))
}

// The command line of version a32f63c merged the capture into one file. Every later version must read the same records from it.
func TestStoredMergedCaptureIsRead(t *testing.T) {
	load := readStored(t, stored("merged.wcap"))
	if len(load.Heads) != 1 || !proto.Equal(load.Heads[0], storedHead()) || load.Torn != (Torn{}) || load.Lost != 3 {
		t.Errorf("heads %v, torn %+v, %d lost", load.Heads, load.Torn, load.Lost)
	}
	checkEqual(t, load.Records, append(storedEndpoints(), storedRequestRecords()...))
}

// A later version that continues the capture in the folder of version a32f63c must give its segment the next number and, with the same key, give
// the same objects the same hashes.
func TestStoredCaptureIsContinued(t *testing.T) {
	dir := t.TempDir()
	if err := os.CopyFS(dir, os.DirFS(stored("whole"))); err != nil {
		t.Fatal(err)
	}
	w := openWriter(t, Config{Folder: dir, Key: []byte(storedKey), Head: storedHead()})
	w.Start()
	for _, request := range storedRequests() {
		w.RequestEnded(request)
	}
	w.Close()
	for _, name := range []string{"edge-a.000002.wcap", "edge-a.000003.wcap"} {
		if _, err := os.Stat(filepath.Join(dir, name)); err != nil {
			t.Error(err)
		}
	}
	load := readStored(t, filepath.Join(dir, "edge-a.000003.wcap"))
	if len(load.Heads) != 1 || !proto.Equal(load.Heads[0], storedHead()) {
		t.Errorf("heads %v\nwanted %v", load.Heads, storedHead())
	}
	checkEqual(t, load.Records, storedRequestRecords())
	if both := readStored(t, dir); both.Files != 2 || len(both.Records) != len(storedEndpoints())+2*len(storedRequestRecords()) {
		t.Errorf("%d files, %d records", both.Files, len(both.Records))
	}
}
