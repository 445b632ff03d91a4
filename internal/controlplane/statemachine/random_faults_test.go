package statemachine

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"weirhaven/internal/pb"
)

// TestInvariantsUnderRandomFaults kills and disconnects controllers, restarts them from their disk, an older copy of it or an empty
// one, starts a second controller by mistake, fills disks, adds, removes and drains endpoints and places objects, in random order.
// No gateway's generation may decrease, no drain may be lost, no two controllers may hold the lease, and no name may be placed
// twice unless a disk was lost. After the faults have ended, one controller must hold the lease and all gateways must hold its
// snapshot.
func TestInvariantsUnderRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newRandomFaults(t)
		for range rapid.IntRange(3, 25).Draw(t, "events") {
			f.event(t)
			f.advance(t, time.Duration(rapid.IntRange(0, 8).Draw(t, "wait"))*100*time.Millisecond)
		}
		f.quiesce(t)
	})
}

type randomFaults struct {
	*simulation
	main      *controller
	disk      *disk
	olderDisk *disk // older copy of disk
}

func newRandomFaults(t *rapid.T) *randomFaults {
	f := &randomFaults{simulation: newSimulation(t, 5, distinctIncarnations(t)), disk: newDisk()}
	f.main = f.startWithVolume(t, "a", f.disk)
	f.olderDisk = f.disk.copy()
	return f
}

// distinctIncarnations returns a function that draws an incarnation that no other controller of this run has. Controllers draw 64
// random bits, which practically never collide, whereas rapid favors small numbers and would draw the same one twice. A number that
// is taken is replaced by the next free one.
func distinctIncarnations(t *rapid.T) func() uint64 {
	taken := map[uint64]bool{}
	return func() uint64 {
		incarnation := rapid.Uint64().Draw(t, "life")
		for taken[incarnation] {
			incarnation++
		}
		taken[incarnation] = true
		return incarnation
	}
}

func (f *randomFaults) startWithVolume(t *rapid.T, name string, d *disk) *controller {
	clockRate := rapid.SampledFrom([]float64{0.95, 1, 1.05}).Draw(t, "speed")
	d.full = false // a controller cannot start with a full disk
	p := f.start(testConfig, name, d, clockRate)
	p.SetDesired(&pb.Item{Kind: pb.Item_VOLUME, Name: "v", Volume: &pb.PlanVolume{Plan: "p", Hosts: 2}})
	return p
}

// restart kills the main controller and starts it from a disk.
func (f *randomFaults) restart(t *rapid.T, d *disk) {
	f.kill(f.main)
	f.disk = d
	f.main = f.startWithVolume(t, "a", d)
}

func (f *randomFaults) event(t *rapid.T) {
	i := rapid.IntRange(0, 4).Draw(t, "edge")
	endpoint := fmt.Sprint("b", rapid.IntRange(0, 3).Draw(t, "brick"))
	switch rapid.IntRange(0, 11).Draw(t, "what") {
	case 0, 1: // the endpoint list changes
		f.main.SetDesired(&pb.Item{Kind: pb.Item_BRICK, Name: endpoint, Brick: &pb.PlanBrick{Cell: int64(endpoint[1] - '0'), Serving: true,
			Started: rapid.Int64Range(0, 5).Draw(t, "start"), Address: "x"}})
	case 2:
		f.main.SetDesired(&pb.Item{Kind: pb.Item_BRICK, Name: endpoint, Gone: true})
	case 3:
		f.learnDrain(i, endpoint, rapid.Int64Range(1, 6).Draw(t, "drained"))
	case 4:
		for _, p := range f.controllers {
			f.disconnect(p, i)
		}
	case 5: // the controller is killed and restarted from its disk
		f.restart(t, f.disk)
	case 6:
		f.restart(t, f.olderDisk.copy())
		f.lostDisk = true
	case 7:
		f.restart(t, newDisk())
		f.lostDisk = true
	case 8: // a second controller is started by mistake, with its own disk
		f.startWithVolume(t, "b", newDisk())
	case 9:
		f.olderDisk = f.disk.copy()
	case 10:
		f.place(t, i, fmt.Sprint("o", rapid.IntRange(0, 3).Draw(t, "object")))
	case 11:
		f.disk.full = !f.disk.full
	}
}

func (f *randomFaults) learnDrain(i int, endpoint string, drain int64) {
	g := f.gateways[i]
	if !g.snapshot.LearnDrain(endpoint, drain) {
		return
	}
	if p := g.following; p != nil && p.connections[i] != nil {
		p.connections[i].toController = append(p.connections[i].toController, &pb.EdgeReport{Item: g.snapshot.Records(), Last: true})
	}
}

// place requests a placement from every running controller.
func (f *randomFaults) place(t *rapid.T, i int, name string) {
	for _, p := range f.controllers {
		if !p.running {
			continue
		}
		placement, err := p.Place(&pb.PlaceAsk{Edge: gatewayName(i), Volume: "v", Name: name}, f.clock(p))
		if err != nil {
			continue
		}
		f.gateways[i].snapshot.AddPlacement(proto.Clone(placement).(*pb.Item))
		shard := placement.Place.Cell
		if before, ok := f.placements[name]; ok && before != shard && !f.lostDisk && len(f.controllers) == 1 {
			t.Fatalf("object %s was placed in shards %d and %d", name, before, shard)
		}
		f.placements[name] = shard
	}
}

// advance advances the time, with heartbeats, writes and messages every 50 ms.
func (f *randomFaults) advance(t *rapid.T, span time.Duration) {
	const interval = 50 * time.Millisecond
	for range int(span / interval) {
		f.now += interval
		for _, p := range f.controllers {
			if !p.running {
				continue
			}
			p.NextHeartbeat(f.clock(p))
			if _, err := p.WriteDesired(f.clock(p)); err != nil && !p.disk.full {
				t.Fatal(err)
			}
			for i := range f.gateways {
				if p.connections[i] == nil {
					f.connect(p, i)
				}
				for range 12 {
					f.step(p, i)
				}
			}
		}
		f.check()
	}
}

// quiesce ends all faults and checks that the main controller and the gateways hold the same records 12 s later.
func (f *randomFaults) quiesce(t *rapid.T) {
	f.disk.full = false
	for _, p := range f.controllers {
		if p != f.main {
			f.kill(p)
		}
	}
	f.advance(t, 12*time.Second)
	if f.main.Phase() != HoldingLease {
		t.Fatalf("the only controller is %v: %s", f.main.Phase(), f.main.WriteBlockedReason(f.clock(f.main)))
	}
	for i, g := range f.gateways {
		if g.snapshot.Generation() != f.main.Generation() || g.snapshot.Digest() != f.main.Digest() {
			t.Fatalf("gateway %d holds generation %d, the controller %d: %v", i, g.snapshot.Generation(), f.main.Generation(),
				Difference(f.main.Records(), g.snapshot.Records(), gatewayName(i)))
		}
	}
}
