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

// sendHello sends a hello on a new stream and returns the error of receiving the first reply.
func sendHello(t testing.TB, address string, hello *pb.EdgeHello) error {
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

// TestProtocolVersions checks that gateways of the previous and the next protocol version are served, as needed during an upgrade.
// A gateway two versions behind and one without a name must be rejected with the appropriate status code.
func TestProtocolVersions(t *testing.T) {
	_, address, _ := start(t, testConf(t, "a", "127.0.0.1:0", 1, ""), Options{})
	for version, served := range map[uint32]bool{protocol.Version - 2: false, protocol.Version - 1: true, protocol.Version: true, protocol.Version + 1: true} {
		err := sendHello(t, address, &pb.EdgeHello{Version: version, Name: "e"})
		if (err == nil) != served || !served && status.Code(err) != codes.FailedPrecondition {
			t.Errorf("version %d: %v", version, err)
		}
	}
	if err := sendHello(t, address, &pb.EdgeHello{Version: protocol.Version}); status.Code(err) != codes.InvalidArgument {
		t.Error(err)
	}
}

// TestEvidenceWithoutLease checks that a controller that never holds the lease, because it restarts too often or most gateways are
// not connected, still sends information about endpoints as evidence outside the snapshot. Otherwise gateways would not learn of
// replaced endpoints during that time.
func TestEvidenceWithoutLease(t *testing.T) {
	c, address, _ := start(t, testConf(t, "a", "127.0.0.1:0", 9, ""), Options{}) // one of nine gateways is not a majority
	g := startGateway(t, "e", filepath.Join(t.TempDir(), "e"), address)
	changeList(c, 1, true, endpoint(0, true), endpoint(1, false))
	waitFor(t, "evidence", func() bool {
		return g.lastReceived(pb.Item_BRICK, "b0") != nil && g.lastReceived(pb.Item_BRICK, "b1") != nil
	})
	if g.holds(pb.Item_BRICK, "b0") != nil || g.holds(pb.Item_VOLUME, "v") != nil {
		t.Error("records were written without the lease")
	}
	if _, err := g.follower.Place(context.Background(), "v", "object", ""); err == nil {
		t.Error("a placement without the lease")
	}
	changeList(c, 2, false, endpoint(0, false))
	waitFor(t, "a drain", func() bool { return snapshot.Drained(g.lastReceived(pb.Item_BRICK, "b0").Brick) })
}

// TestStalledGatewayIsDisconnected checks that a gateway that reads nothing from its stream while it occupies the only snapshot
// slot is disconnected, and that the other gateways then receive the changes made in the meantime.
func TestStalledGatewayIsDisconnected(t *testing.T) {
	c, address, _ := start(t, testConf(t, "a", "127.0.0.1:0", 3, "at_once: 1"), Options{StallTimeout: 500 * time.Millisecond})
	g := startGateway(t, "e", filepath.Join(t.TempDir(), "e"), address)
	startGateway(t, "f", filepath.Join(t.TempDir(), "f"), address) // a majority without the stalled gateway
	startGateway(t, "g", filepath.Join(t.TempDir(), "g"), address)
	entries := make([]engine.EndpointEntry, 6000) // a snapshot of hundreds of KB, which exceeds the flow control window of a stream
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
	waitFor(t, "the slow gateway is disconnected", func() bool { connected, known := connection(t, c, "slow"); return known && !connected })
	waitFor(t, "the changes", func() bool { return g.holds(pb.Item_BRICK, "b30004") != nil })
}

// openUnreadStream connects a gateway that sends its report but reads no messages.
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

// connection reports whether a gateway is connected to the controller, and whether the controller knows it.
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
