package server

import (
	"context"
	"fmt"
	"net"
	"path/filepath"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"weirhaven/internal/controlplane/snapshot"
	"weirhaven/internal/engine"
	"weirhaven/internal/pb"
)

// TestSnapshotsReachGateways checks that three gateways receive the first snapshot, changes of the endpoint list, and a drain
// learned by one of them although the list reports the endpoint as serving. It also checks that two gateways get the same placement
// for the same name, and that Status reports the differences of a gateway.
func TestSnapshotsReachGateways(t *testing.T) {
	c, address, _ := start(t, testConf(t, "a", "127.0.0.1:0", 3, ""), Options{})
	dir := t.TempDir()
	var gateways []*testGateway
	for i := range 3 {
		gateways = append(gateways, startGateway(t, fmt.Sprint("e", i), filepath.Join(dir, fmt.Sprint(i)), address))
	}
	changeList(c, 1, true, endpoint(0, true), endpoint(1, true))
	for _, g := range gateways {
		waitFor(t, "the first snapshot", func() bool { return g.holds(pb.Item_BRICK, "b1") != nil && g.holds(pb.Item_VOLUME, "v") != nil })
		if record := g.holds(pb.Item_HOSTS, ""); record == nil || record.Hosts != 3 {
			t.Error(record)
		}
	}
	changeList(c, 2, false, endpoint(0, false), endpoint(2, true))
	waitFor(t, "a drain and a new endpoint", func() bool {
		record := gateways[1].holds(pb.Item_BRICK, "b0")
		return !record.Brick.Serving && snapshot.Drained(record.Brick) && gateways[1].holds(pb.Item_BRICK, "b2") != nil
	})
	gateways[2].follower.LearnDrain("b2", time.Now().UnixNano())
	changeList(c, 3, false, endpoint(2, true))
	for _, g := range gateways {
		waitFor(t, "the drain that a gateway learned", func() bool {
			record := g.holds(pb.Item_BRICK, "b2")
			return record != nil && !record.Brick.Serving
		})
	}
	checkPlacements(t, gateways)
	gateways[0].stop() // it misses later placements, but the controller still knows the placement that it requested
	checkStatus(t, c)
}

func checkPlacements(t *testing.T, gateways []*testGateway) {
	t.Helper()
	ctx := context.Background()
	shard, err := gateways[0].follower.Place(ctx, "v", "object", "")
	if err != nil || shard != 1 {
		t.Fatal(shard, err)
	}
	if again, err := gateways[1].follower.Place(ctx, "v", "object", ""); err != nil || again != shard {
		t.Error(again, err)
	}
	if _, err := gateways[0].follower.Place(ctx, "nobody's", "object", ""); err == nil {
		t.Error("a placement in an unknown volume")
	}
}

// checkStatus checks the replies of Status after gateway e0 has stopped.
func checkStatus(t *testing.T, c *Controller) {
	t.Helper()
	ctx := context.Background()
	reply, err := c.Status(ctx, &pb.StatusAsk{View: true, Edges: true, Diff: "e2"})
	if err != nil || reply.Phase != "holding the lease" || len(reply.Edge) != 3 || len(reply.Difference) > 0 {
		t.Error(reply.GetPhase(), reply.GetEdge(), reply.GetDifference(), err)
	}
	if reply, err = c.Status(ctx, &pb.StatusAsk{Diff: "e0"}); err != nil || len(reply.Difference) == 0 {
		t.Error(reply, err)
	}
	if _, err = c.Status(ctx, &pb.StatusAsk{Diff: "nobody"}); status.Code(err) != codes.NotFound {
		t.Error(err)
	}
}

// TestFullSnapshotAfterPrunedTombstones disconnects a gateway until the tombstones of removed endpoints have been pruned. With
// changes alone it would keep the removed endpoints permanently. It must receive the full snapshot and then hold the same records
// as a gateway that stayed connected. A second gateway also stays connected, since without two of three gateways the controller
// loses its lease and writes nothing.
func TestFullSnapshotAfterPrunedTombstones(t *testing.T) {
	c, address, _ := start(t, testConf(t, "a", "127.0.0.1:0", 1, ""), Options{})
	connected := startGateway(t, "stays", filepath.Join(t.TempDir(), "s"), address)
	other := startGateway(t, "stays too", filepath.Join(t.TempDir(), "o"), address)
	file := filepath.Join(t.TempDir(), "e")
	cutOff := startGateway(t, "e", file, address)
	changeList(c, 1, true, endpoint(0, true), endpoint(1, true))
	waitFor(t, "the first snapshot", func() bool {
		return cutOff.holds(pb.Item_BRICK, "b1") != nil && connected.holds(pb.Item_BRICK, "b1") != nil && other.holds(pb.Item_BRICK, "b1") != nil
	})
	cutOff.stop()
	for n := range 20 { // replace endpoints one at a time
		number := int64(2 + 2*n)
		changeList(c, number, false, engine.EndpointEntry{Name: fmt.Sprint("b", n), Removed: true, Address: "127.0.0.1:1", Zone: "n"})
		changeList(c, number+1, false, endpoint(n+2, true))
	}
	waitFor(t, "the last endpoint", func() bool { return connected.holds(pb.Item_BRICK, "b21") != nil })
	c.mu.Lock()
	c.state.PruneTombstones(0) // the same effect as exceeding the limit of tombstones
	c.mu.Unlock()
	cutOff = startGateway(t, "e", file, address)
	waitFor(t, "the same snapshot", func() bool {
		_, _, a, _ := cutOff.follower.State()
		_, _, b, _ := connected.follower.State()
		return a == b && cutOff.holds(pb.Item_BRICK, "b21") != nil
	})
	if _, _, _, records := cutOff.follower.State(); snapshot.Digest(byKey(records)) != digestOf(c) {
		t.Errorf("%v", records)
	}
}

// scriptedController sends the same messages on every stream and then keeps it open.
type scriptedController struct {
	pb.UnimplementedPlanningServer
	hellos   chan *pb.EdgeHello
	messages []*pb.PlannerSays
}

func (s *scriptedController) Follow(server followServer) error {
	first, err := server.Recv()
	if err != nil {
		return err
	}
	s.hellos <- first.GetHello()
	for _, message := range s.messages {
		if err := server.Send(message); err != nil {
			return err
		}
	}
	<-server.Context().Done()
	return nil
}

// TestInvalidTransfersAreRejected checks that an incomplete transfer, changes that start after the held generation, changes with a
// wrong digest, an older snapshot and a message with a lower term do not change the gateway's records. The gateway must reconnect
// with its previous generation, and request the full snapshot if the changes could not be applied.
func TestInvalidTransfersAreRejected(t *testing.T) {
	term := &pb.Tenure{Term: 3, Planner: "half"}
	record := func(name string, generation uint64) *pb.Item {
		return &pb.Item{Kind: pb.Item_VOLUME, Name: name, Generation: generation, Term: 3, Volume: &pb.PlanVolume{Plan: "basic"}}
	}
	transfer := func(chunk *pb.ViewPart) *pb.PlannerSays {
		return &pb.PlannerSays{Tenure: term, What: &pb.PlannerSays_Part{Part: chunk}}
	}
	held, change := []*pb.Item{record("a", 5)}, []*pb.Item{record("b", 9)}
	first := transfer(&pb.ViewPart{To: 5, Whole: true, Last: true, Digest: snapshot.Digest(byKey(held)), Item: held})
	for _, c := range []struct {
		name      string
		second    *pb.PlannerSays
		needsFull bool // in the next hello
	}{
		{"incomplete transfer", transfer(&pb.ViewPart{From: 5, To: 9, Item: change}), false},
		{"changes after a gap", transfer(&pb.ViewPart{From: 7, To: 9, Last: true, Item: change}), true},
		{"wrong digest", transfer(&pb.ViewPart{From: 5, To: 9, Last: true, Digest: 77, Item: change}), true},
		{"older snapshot", transfer(&pb.ViewPart{To: 4, Whole: true, Last: true, Item: []*pb.Item{record("b", 4)}}), false},
		{"lower term", &pb.PlannerSays{Tenure: &pb.Tenure{Term: 2, Planner: "z"},
			What: &pb.PlannerSays_Part{Part: &pb.ViewPart{To: 99, Whole: true, Last: true}}}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			server := grpc.NewServer()
			controller := &scriptedController{hellos: make(chan *pb.EdgeHello, 100), messages: []*pb.PlannerSays{first, c.second}}
			pb.RegisterPlanningServer(server, controller)
			go server.Serve(listener) // until Stop
			defer server.Stop()
			g := startGateway(t, "e", filepath.Join(t.TempDir(), "e"), listener.Addr().String())
			if hello := <-controller.hellos; hello.Generation != 0 {
				t.Error(hello)
			}
			if hello := <-controller.hellos; hello.Generation != 5 || hello.Whole != c.needsFull || hello.Tenure.GetTerm() != 3 {
				t.Errorf("%v, expected generation 5, full: %v", hello, c.needsFull)
			}
			if g.holds(pb.Item_VOLUME, "a") == nil || g.holds(pb.Item_VOLUME, "b") != nil {
				t.Error("the rejected transfer changed the records held")
			}
			g.stop()
		})
	}
}
