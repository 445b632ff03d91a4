package statemachine

import (
	"errors"
	"testing"
	"time"

	"weirhaven/internal/controlplane/snapshot"
	"weirhaven/internal/pb"
)

// lonely is a controller with one gateway, which acknowledges every heartbeat while the lease is held.
type lonely struct {
	*State
	disk *disk
	now  time.Duration
}

func startWithLease(t *testing.T) *lonely {
	t.Helper()
	config := testConfig
	config.MinGateways = 1
	d := newDisk()
	s, err := New("a", 1, Persisted{}, config, d, discardLog, 0)
	if err != nil {
		t.Fatal(err)
	}
	c := &lonely{State: s, disk: d}
	if _, err := s.Connect(&pb.EdgeHello{Name: "e", Tenure: s.Term(), Generation: s.Generation(), Digest: s.Digest()}, c.now); err != nil {
		t.Fatal(err)
	}
	c.report(t, nil)
	for range 40 {
		c.now += 100 * time.Millisecond
		s.Acknowledge("e", s.Term(), s.Generation(), s.NextHeartbeat(c.now), c.now)
	}
	if s.Tick(c.now) != HoldingLease {
		t.Fatal(s.Phase(), s.WriteBlockedReason(c.now))
	}
	return c
}

func (c *lonely) report(t *testing.T, records []*pb.Item) {
	t.Helper()
	if err := c.MergeReport("e", records, true, c.now); err != nil {
		t.Fatal(err)
	}
}

// write writes what is desired; it must change so many records.
func (c *lonely) write(t *testing.T, changes int) {
	t.Helper()
	if changed, err := c.WriteDesired(c.now); len(changed) != changes || err != nil {
		t.Fatal(changed, err)
	}
}

func endpointRecord(serving bool, started, drained int64) *pb.Item {
	return &pb.Item{Kind: pb.Item_BRICK, Name: "b", Brick: &pb.PlanBrick{Serving: serving, Started: started, Drained: drained}}
}

func volumeRecord(name string, gone bool) *pb.Item {
	return &pb.Item{Kind: pb.Item_VOLUME, Name: name, Gone: gone, Volume: &pb.PlanVolume{}}
}

// An endpoint was told to drain and a gateway knows it; the endpoint list knows nothing of it and goes on listing the endpoint as
// serving. The drain stays until the endpoint starts anew. Then the disk is full: a placement and a write fail, and neither is half
// done. The next write that succeeds also settles the placement that may have reached the disk.
func TestDrainsAndFullDisk(t *testing.T) {
	c := startWithLease(t)
	endpointKey := snapshot.KeyOf(endpointRecord(true, 0, 0))
	c.SetDesired(endpointRecord(true, 10, 0))
	c.write(t, 1)

	c.report(t, []*pb.Item{endpointRecord(false, 10, 10)})
	c.write(t, 1)
	c.SetDesired(endpointRecord(true, 10, 0)) // the list knows nothing of the drain
	c.write(t, 0)
	if b := c.records[endpointKey].Brick; b.Serving || b.Drained != 10 {
		t.Errorf("drained, and the list says serving: %v", b)
	}
	c.SetDesired(endpointRecord(true, 20, 0))
	c.write(t, 1)
	if b := c.records[endpointKey].Brick; !b.Serving || b.Drained != 10 {
		t.Errorf("started after the drain: %v", b)
	}
	c.SetDesired(volumeRecord("v", false))
	c.write(t, 1)

	generation := c.Generation()
	request := &pb.PlaceAsk{Edge: "e", Volume: "v", Name: "o"}
	c.disk.full = true
	if _, err := c.Place(request, c.now); !errors.Is(err, errDiskFull) || c.Generation() != generation || len(c.Records()) != 2 {
		t.Error(err, c.Generation(), generation)
	}
	c.SetDesired(endpointRecord(false, 20, 20))
	if changed, err := c.WriteDesired(c.now); !errors.Is(err, errDiskFull) || len(changed) > 0 || c.Generation() != generation {
		t.Error(changed, err)
	}
	c.disk.full = false
	// The endpoint, and that nothing was placed: the placement that failed may have reached the disk.
	changed, err := c.WriteDesired(c.now)
	if len(changed) != 2 || changed[0].Name != "b" || !changed[1].Gone || changed[1].Kind != pb.Item_PLACE || err != nil || c.disk.generation != generation+1 {
		t.Error(changed, err)
	}
	if _, err := c.Place(request, c.now); !errors.Is(err, ErrNoServingEndpoint) {
		t.Error(err)
	}

	c.now += 2 * time.Second // nobody renews the lease
	c.SetDesired(endpointRecord(true, 30, 0))
	if changed, err := c.WriteDesired(c.now); len(changed) > 0 || err != nil || c.Phase() != WaitingForLease {
		t.Error(changed, err, c.Phase())
	}
}

// The disk reports an I/O error for a write that reached it all the same. The changes are then taken back. The next write must write
// both records again: else the next start would read from disk what was taken back.
func TestFailedWriteIsUnknown(t *testing.T) {
	c := startWithLease(t)
	c.SetDesired(volumeRecord("kept", false))
	c.write(t, 1)

	c.disk.failsLate = true
	c.SetDesired(volumeRecord("kept", true))
	c.SetDesired(volumeRecord("new", false))
	if _, err := c.WriteDesired(c.now); !errors.Is(err, errIO) {
		t.Fatal("a failed write without its error:", err)
	}
	c.disk.failsLate = false
	c.SetDesired(volumeRecord("kept", false))
	c.SetDesired(volumeRecord("new", true))
	if _, err := c.WriteDesired(c.now); err != nil {
		t.Fatal(err)
	}
	for name, gone := range map[string]bool{"kept": false, "new": true} {
		if record := c.disk.records[snapshot.Key{Kind: pb.Item_VOLUME, Name: name}]; record == nil || record.Gone != gone {
			t.Errorf("%s on disk: %v", name, record)
		}
	}
	if len(c.uncertain) > 0 {
		t.Errorf("%v uncertain after a write that succeeded", c.uncertain)
	}
}
