package server

import (
	"context"
	"path/filepath"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	"weirhaven/internal/controlplane/protocol"
	"weirhaven/internal/controlplane/snapshot"
	"weirhaven/internal/engine"
	"weirhaven/internal/pb"
)

// sayHello sends a hello on a stream of its own and returns why no message comes back; nil: one does.
func sayHello(t testing.TB, address string, hello *pb.EdgeHello) error {
	t.Helper()
	conn, err := grpc.NewClient("passthrough:///"+address, grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	ctx, stop := context.WithTimeout(context.Background(), 5*time.Second)
	defer stop()
	stream, err := pb.NewPlanningClient(conn).Follow(ctx)
	if err != nil {
		t.Fatal(err)
	}
	if err := stream.Send(&pb.EdgeSays{What: &pb.EdgeSays_Hello{Hello: hello}}); err != nil {
		t.Fatal(err)
	}
	_, err = stream.Recv()
	return err
}

// During an upgrade gateways of the version before and after are served; one that is two versions behind, and one without a name, are
// refused with the reason.
func TestProtocolVersions(t *testing.T) {
	_, address, _ := start(t, testConf(t, "a", "127.0.0.1:0", 1, ""), Options{})
	for version, served := range map[uint32]bool{protocol.Version - 2: false, protocol.Version - 1: true, protocol.Version: true, protocol.Version + 1: true} {
		err := sayHello(t, address, &pb.EdgeHello{Version: version, Name: "e"})
		if (err == nil) != served || !served && status.Code(err) != codes.FailedPrecondition {
			t.Errorf("version %d: %v", version, err)
		}
	}
	if err := sayHello(t, address, &pb.EdgeHello{Version: protocol.Version}); status.Code(err) != codes.InvalidArgument {
		t.Error(err)
	}
}

// A controller is killed so often that it never holds the lease, or most gateways are away. It still sends what it learns of endpoints, as
// evidence outside the snapshot: else a replaced endpoint would stay unknown for as long as that lasts.
func TestEvidenceWithoutLease(t *testing.T) {
	c, address, _ := start(t, testConf(t, "a", "127.0.0.1:0", 9, ""), Options{}) // one gateway of nine: never a majority
	g := startGateway(t, "e", filepath.Join(t.TempDir(), "e"), address)
	changeList(c, 1, true, endpoint(0, true), endpoint(1, false))
	waitFor(t, "evidence", func() bool {
		return g.lastReceived(pb.Item_BRICK, "b0") != nil && g.lastReceived(pb.Item_BRICK, "b1") != nil
	})
	if g.holds(pb.Item_BRICK, "b0") != nil || g.holds(pb.Item_VOLUME, "v") != nil {
		t.Error("something was written without the lease")
	}
	if _, err := g.follower.Place(context.Background(), "v", "object", ""); err == nil {
		t.Error("a placement without the lease")
	}
	changeList(c, 2, false, endpoint(0, false))
	waitFor(t, "a drain", func() bool { return snapshot.Drained(g.lastReceived(pb.Item_BRICK, "b0").Brick) })
}

// A gateway reads nothing from its stream, and holds the only place at which snapshots are sent. It is cut off, and then the others receive
// what changed meanwhile.
func TestSlowGateway(t *testing.T) {
	c, address, _ := start(t, testConf(t, "a", "127.0.0.1:0", 3, "at_once: 1"), Options{StallTimeout: 500 * time.Millisecond})
	g := startGateway(t, "e", filepath.Join(t.TempDir(), "e"), address)
	startGateway(t, "f", filepath.Join(t.TempDir(), "f"), address) // a majority without the slow one, whatever it does
	startGateway(t, "g", filepath.Join(t.TempDir(), "g"), address)
	entries := make([]engine.EndpointEntry, 6000) // a snapshot of hundreds of KB: more than a stream takes unread
	for i := range entries {
		entries[i] = endpoint(i, true)
	}
	changeList(c, 1, true, entries...)
	waitFor(t, "the snapshot", func() bool { return g.holds(pb.Item_BRICK, "b5999") != nil })
	openUnreadStream(t, address, "slow")
	waitFor(t, "the slow gateway connects", func() bool { connected, _ := connection(t, c, "slow"); return connected })
	for n := range 5 {
		changeList(c, int64(2+n), false, endpoint(30000+n, true))
	}
	waitFor(t, "the slow gateway is cut off", func() bool { connected, known := connection(t, c, "slow"); return known && !connected })
	waitFor(t, "the changes", func() bool { return g.holds(pb.Item_BRICK, "b30004") != nil })
}

// openUnreadStream connects a gateway that has reported, and reads nothing.
func openUnreadStream(t *testing.T, address, name string) {
	t.Helper()
	conn, err := grpc.NewClient("passthrough:///"+address, grpc.WithTransportCredentials(insecure.NewCredentials()), grpc.WithInitialWindowSize(1<<16))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	stream, err := pb.NewPlanningClient(conn).Follow(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	for _, message := range []*pb.EdgeSays{
		{What: &pb.EdgeSays_Hello{Hello: &pb.EdgeHello{Version: protocol.Version, Name: name}}},
		{What: &pb.EdgeSays_Report{Report: &pb.EdgeReport{Last: true}}},
	} {
		if err := stream.Send(message); err != nil {
			t.Fatal(err)
		}
	}
}

// connection tells whether the controller knows a gateway, and has a stream of it.
func connection(t *testing.T, c *Controller, name string) (connected, known bool) {
	t.Helper()
	reply, err := c.Status(context.Background(), &pb.StatusAsk{Edges: true})
	if err != nil {
		t.Fatal(err)
	}
	for _, g := range reply.Edge {
		if g.Name == name {
			return g.Connected, true
		}
	}
	return false, false
}
