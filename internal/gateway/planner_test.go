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

// planned is a planner that says what the test says.
type planned struct {
	pb.UnimplementedPlanningServer
	say chan *pb.PlannerSays
	ack chan *pb.EdgeAck
}

func (p *planned) Follow(s grpc.BidiStreamingServer[pb.EdgeSays, pb.PlannerSays]) error {
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
		case m := <-p.say:
			if err := s.Send(m); err != nil {
				return err
			}
		case <-s.Context().Done():
			return nil
		}
	}
}

func startPlanned(t *testing.T) (p *planned, address string, stop func()) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := grpc.NewServer()
	p = &planned{say: make(chan *pb.PlannerSays), ack: make(chan *pb.EdgeAck, 100)}
	pb.RegisterPlanningServer(s, p)
	go s.Serve(l)
	t.Cleanup(s.Stop)
	return p, l.Addr().String(), s.Stop
}

// tell sends items as the whole view of a generation, and waits until the host holds it.
func (p *planned) tell(t *testing.T, generation uint64, items ...*pb.Item) {
	t.Helper()
	m := map[snapshot.Key]*pb.Item{}
	for _, x := range items {
		x.Generation, x.Term = generation, 1
		m[snapshot.KeyOf(x)] = x
	}
	p.say <- &pb.PlannerSays{Tenure: &pb.Tenure{Term: 1, Planner: "p"}, What: &pb.PlannerSays_Part{Part: &pb.ViewPart{To: generation, Whole: true, Last: true, Digest: snapshot.Digest(m),
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

// A host that has no list service serves what the planner tells; a drain told by the planner holds though a list would say serving; when
// the planner is gone the host goes on, and after a restart without it too, from the view it kept.
func TestPlannersView(t *testing.T) {
	p, address, stopPlanner := startPlanned(t)
	one, two := newBrick(t, "one"), newBrick(t, "two")
	store := filepath.Join(t.TempDir(), "fleet.db")
	more := fmt.Sprintf("store: %q planner { address: %q plain: true }\n", store, address)
	a, stop := host(t, more)
	item := func(b *scripted, cell int64, serving bool) *pb.Item {
		return &pb.Item{Kind: pb.Item_BRICK, Name: b.name, Brick: &pb.PlanBrick{Address: b.l.Addr().String(), Zone: "n", Cell: cell, Serving: serving}}
	}
	volume := &pb.Item{Kind: pb.Item_VOLUME, Name: "new", Volume: &pb.PlanVolume{Plan: "plain", Hosts: 1}}
	p.tell(t, 1, item(one, 0, true), volume)
	c := dial(t, a)
	run := func(c *peer, id uint64, volume string) {
		c.say(lineproto.Run, id, func(o *lineproto.Out) {
			o.Text("Volume", volume).Text("Queue-Type", "read").Text("Object", fmt.Sprint("o", id)).Whole("Cell", 0)
		})
	}
	answer := func(b *peer) {
		b.say(lineproto.Done, b.read(t).ID, nil)
	}
	run(c, 1, "new")
	atOne := one.accept()
	answer(atOne)
	want(t, c.read(t), lineproto.Done, 1)
	// The planner drains one and lets two serve: nothing new goes to one.
	drained := item(one, 0, false)
	drained.Brick.Drained = time.Now().UnixNano()
	p.tell(t, 2, drained, item(two, 0, true), volume)
	run(c, 2, "new")
	atTwo := two.accept()
	answer(atTwo)
	want(t, c.read(t), lineproto.Done, 2)
	p.tell(t, 3, item(one, 0, true), item(two, 0, true), volume) // as if the list had won
	for id := uint64(3); id < 12; id++ {
		run(c, id, "new")
		answer(atTwo)
		want(t, c.read(t), lineproto.Done, id)
	}
	// The planner goes away; commands don't notice.
	stopPlanner()
	run(c, 20, "new")
	answer(atTwo)
	want(t, c.read(t), lineproto.Done, 20)
	stop()
	// Nor does a host that starts without it: it has the view, old as it is, and asks the bricks themselves.
	a, _ = host(t, more)
	c = dial(t, a)
	run(c, 1, "new")
	go func() { // the doubted are greeted first
		for {
			nc, err := one.l.Accept()
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
			if m, err := at.r.Read(); err == nil && m.Verb == lineproto.Run {
				at.say(lineproto.Done, m.ID, nil)
				done <- true
				return
			}
			done <- false
		}()
		m := c.read(t)
		if m.Verb == lineproto.Done {
			break
		}
		t.Fatalf("%s after a restart without the planner", m.Verb)
	}
}
