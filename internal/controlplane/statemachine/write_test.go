package statemachine

import (
	"errors"
	"testing"
	"time"

	"weirhaven/internal/controlplane/snapshot"
	"weirhaven/internal/pb"
)

// singleGatewayController is a controller that has acquired the lease with a single gateway.
type singleGatewayController struct {
	*State
	disk *disk
	now  time.Duration
}

func startWithLease(t *testing.T) *singleGatewayController {
	t.Helper()
	config := testConfig
	config.MinGateways = 1
	d := newDisk()
	s, err := New("a", 1, Persisted{}, config, d, discardLog, 0)
	if err != nil {
		t.Fatal(err)
	}
	c := &singleGatewayController{State: s, disk: d}
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

func (c *singleGatewayController) report(t *testing.T, records []*pb.Item) {
	t.Helper()
	if err := c.MergeReport("e", records, true, c.now); err != nil {
		t.Fatal(err)
	}
}

// write writes the desired records and checks the number of changed ones.
func (c *singleGatewayController) write(t *testing.T, changes int) {
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

// TestDrainsAndFullDisk checks that a drain reported by a gateway persists until the endpoint restarts, although the endpoint list
// still lists the endpoint as serving. It then checks that a placement and a write to a full disk fail without any partial change,
// and that the next successful write also writes a tombstone for the placement, which may have reached the disk.
func TestDrainsAndFullDisk(t *testing.T) {
	c := startWithLease(t)
	endpointKey := snapshot.KeyOf(endpointRecord(true, 0, 0))
	c.SetDesired(endpointRecord(true, 10, 0))
	c.write(t, 1)

	c.report(t, []*pb.Item{endpointRecord(false, 10, 10)})
	c.write(t, 1)
	c.SetDesired(endpointRecord(true, 10, 0)) // the list does not contain the drain
	c.write(t, 0)
	if b := c.records[endpointKey].Brick; b.Serving || b.Drained != 10 {
		t.Errorf("drained endpoint that the list reports as serving: %v", b)
	}
	c.SetDesired(endpointRecord(true, 20, 0))
	c.write(t, 1)
	if b := c.records[endpointKey].Brick; !b.Serving || b.Drained != 10 {
		t.Errorf("endpoint started after the drain: %v", b)
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
	// The changes are the endpoint and a tombstone for the failed placement, which may have reached the disk.
	changed, err := c.WriteDesired(c.now)
	if len(changed) != 2 || changed[0].Name != "b" || !changed[1].Gone || changed[1].Kind != pb.Item_PLACE || err != nil || c.disk.generation != generation+1 {
		t.Error(changed, err)
	}
	if _, err := c.Place(request, c.now); !errors.Is(err, ErrNoServingEndpoint) {
		t.Error(err)
	}

	c.now += 2 * time.Second // the lease expires
	c.SetDesired(endpointRecord(true, 30, 0))
	if changed, err := c.WriteDesired(c.now); len(changed) > 0 || err != nil || c.Phase() != WaitingForLease {
		t.Error(changed, err, c.Phase())
	}
}

// TestFailedWriteIsWrittenAgain covers a write that reaches the disk but returns an I/O error, after which its changes are
// reverted. The next write must write both records again. Otherwise the next start would read the reverted changes from the disk.
func TestFailedWriteIsWrittenAgain(t *testing.T) {
	c := startWithLease(t)
	c.SetDesired(volumeRecord("kept", false))
	c.write(t, 1)

	c.disk.failsAfterWrite = true
	c.SetDesired(volumeRecord("kept", true))
	c.SetDesired(volumeRecord("new", false))
	if _, err := c.WriteDesired(c.now); !errors.Is(err, errIO) {
		t.Fatal("wrong error of the failed write:", err)
	}
	c.disk.failsAfterWrite = false
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
		t.Errorf("%v still uncertain after a successful write", c.uncertain)
	}
}
