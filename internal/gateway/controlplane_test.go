package gateway

import (
	"fmt"
	"net"
	"path/filepath"
	"testing"
	"time"

	"google.golang.org/grpc"

	"weirhaven/internal/controlplane/snapshot"
	"weirhaven/internal/lineproto"
	"weirhaven/internal/pb"
)

// scriptedControlPlane is a control plane that sends the messages that the test gives it.
type scriptedControlPlane struct {
	pb.UnimplementedPlanningServer
	send chan *pb.PlannerSays
	ack  chan *pb.EdgeAck
}

func (p *scriptedControlPlane) Follow(s grpc.BidiStreamingServer[pb.EdgeSays, pb.PlannerSays]) error {
	go func() {
		for {
			m, err := s.Recv()
			if err != nil {
				return
			}
			if a := m.GetAck(); a != nil {
				select {
				case p.ack <- a:
				default:
				}
			}
		}
	}()
	for {
		select {
		case m := <-p.send:
			if err := s.Send(m); err != nil {
				return err
			}
		case <-s.Context().Done():
			return nil
		}
	}
}

func startControlPlane(t *testing.T) (p *scriptedControlPlane, address string, stop func()) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := grpc.NewServer()
	p = &scriptedControlPlane{send: make(chan *pb.PlannerSays), ack: make(chan *pb.EdgeAck, 100)}
	pb.RegisterPlanningServer(s, p)
	go s.Serve(l)
	t.Cleanup(s.Stop)
	return p, l.Addr().String(), s.Stop
}

// sendSnapshot sends items as the complete snapshot of a generation, and waits until the gateway acknowledges it.
func (p *scriptedControlPlane) sendSnapshot(t *testing.T, generation uint64, items ...*pb.Item) {
	t.Helper()
	m := map[snapshot.Key]*pb.Item{}
	for _, x := range items {
		x.Generation, x.Term = generation, 1
		m[snapshot.KeyOf(x)] = x
	}
	p.send <- &pb.PlannerSays{Tenure: &pb.Tenure{Term: 1, Planner: "p"}, What: &pb.PlannerSays_Part{Part: &pb.ViewPart{To: generation, Whole: true, Last: true, Digest: snapshot.Digest(m),
		Item: items}}}
	for {
		select {
		case a := <-p.ack:
			if a.Generation == generation {
				return
			}
		case <-time.After(5 * time.Second):
			t.Fatal("no acknowledgement")
		}
	}
}

// A gateway without an endpoint list service uses the endpoints of the control plane. A drain from the control plane stays in force even
// if the endpoint is later reported as serving. Without the control plane the gateway continues to serve, and after a restart it
// serves from the saved snapshot.
func TestControlPlaneSnapshot(t *testing.T) {
	p, address, stopControlPlane := startControlPlane(t)
	one, two := newEndpoint(t, "one"), newEndpoint(t, "two")
	store := filepath.Join(t.TempDir(), "fleet.db")
	more := fmt.Sprintf("store: %q planner { address: %q plain: true }\n", store, address)
	a, stop := startGateway(t, more)
	item := func(b *scriptedEndpoint, cell int64, serving bool) *pb.Item {
		return &pb.Item{Kind: pb.Item_BRICK, Name: b.name, Brick: &pb.PlanBrick{Address: b.listener.Addr().String(), Zone: "n", Cell: cell, Serving: serving}}
	}
	volume := &pb.Item{Kind: pb.Item_VOLUME, Name: "new", Volume: &pb.PlanVolume{Plan: "plain", Hosts: 1}}
	p.sendSnapshot(t, 1, item(one, 0, true), volume)
	c := dial(t, a)
	run := func(c *testConn, id uint64, volume string) {
		c.send(lineproto.VerbRequest, id, func(o *lineproto.Builder) {
			o.Text("Volume", volume).Text("Queue-Type", "read").Text("Object", fmt.Sprint("o", id)).Int("Cell", 0)
		})
	}
	answer := func(b *testConn) {
		b.send(lineproto.VerbServed, b.read(t).ID, nil)
	}
	run(c, 1, "new")
	atOne := one.accept()
	answer(atOne)
	expect(t, c.read(t), lineproto.VerbServed, 1)
	// The control plane drains one, and two serves: new requests go to two only.
	drained := item(one, 0, false)
	drained.Brick.Drained = time.Now().UnixNano()
	p.sendSnapshot(t, 2, drained, item(two, 0, true), volume)
	run(c, 2, "new")
	atTwo := two.accept()
	answer(atTwo)
	expect(t, c.read(t), lineproto.VerbServed, 2)
	p.sendSnapshot(t, 3, item(one, 0, true), item(two, 0, true), volume) // reports one as serving in spite of its drain
	for id := uint64(3); id < 12; id++ {
		run(c, id, "new")
		answer(atTwo)
		expect(t, c.read(t), lineproto.VerbServed, id)
	}
	// The control plane stops; requests are still served.
	stopControlPlane()
	run(c, 20, "new")
	answer(atTwo)
	expect(t, c.read(t), lineproto.VerbServed, 20)
	stop()
	// A gateway that starts without the control plane uses the saved snapshot: it is too old to be trusted, so the gateway connects to
	// the endpoints for their greetings.
	a, _ = startGateway(t, more)
	c = dial(t, a)
	run(c, 1, "new")
	go func() { // the gateway connects to doubted endpoints first
		for {
			nc, err := one.listener.Accept()
			if err != nil {
				return
			}
			nc.Close()
		}
	}()
	for {
		at := two.accept()
		done := make(chan bool, 1)
		go func() {
			at.SetReadDeadline(time.Now().Add(3 * time.Second))
			if m, err := at.reader.Read(); err == nil && m.Verb == lineproto.VerbRequest {
				at.send(lineproto.VerbServed, m.ID, nil)
				done <- true
				return
			}
			done <- false
		}()
		m := c.read(t)
		if m.Verb == lineproto.VerbServed {
			break
		}
		t.Fatalf("%s after a restart without the control plane", m.Verb)
	}
}
