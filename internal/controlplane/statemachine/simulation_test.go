package statemachine

import (
	"errors"
	"fmt"
	"log/slog"
	"time"

	"google.golang.org/protobuf/proto"

	"weirhaven/internal/controlplane/snapshot"
	"weirhaven/internal/pb"
)

// This file simulates controllers and gateways that exchange messages over connections that can break between any two messages.

var (
	testConfig = Config{MinGateways: 5, Lease: time.Second, RecoveryTimeout: 2 * time.Second, MaxSnapshotsInFlight: 2, MaxTombstones: 3, MaxRecords: 1000}
	discardLog = slog.New(slog.DiscardHandler)

	errDiskFull = errors.New("no space left on device")
	errIO       = errors.New("input/output error")
)

// disk is an in-memory Persister that can be full and can be copied.
type disk struct {
	term            *pb.Tenure
	generation      uint64
	records         map[snapshot.Key]*pb.Item
	full            bool
	failsAfterWrite bool // writes are stored but return an error
}

func newDisk() *disk { return &disk{records: map[snapshot.Key]*pb.Item{}} }

func (d *disk) Persist(term *pb.Tenure, generation uint64, changed []*pb.Item) error {
	if d.full {
		return errDiskFull
	}
	d.term, d.generation = proto.Clone(term).(*pb.Tenure), generation
	for _, record := range changed {
		d.records[snapshot.KeyOf(record)] = proto.Clone(record).(*pb.Item)
	}
	if d.failsAfterWrite {
		return errIO
	}
	return nil
}

func (d *disk) copy() *disk {
	c := &disk{term: d.term, generation: d.generation, records: map[snapshot.Key]*pb.Item{}}
	for key, record := range d.records {
		c.records[key] = proto.Clone(record).(*pb.Item)
	}
	return c
}

// controller is a simulated controller from its start until it is killed. Its clock may run fast or slow.
type controller struct {
	*State
	disk        *disk
	clockRate   float64
	running     bool
	connections map[int]*connection // connections by index of the gateway
}

// connection is a gateway's stream to a controller, with the messages in flight.
type connection struct {
	toGateway    []*pb.PlannerSays
	toController []any
	held         Position
}

func (c *connection) sendToGateway(message *pb.PlannerSays, p *controller) {
	message.Tenure = proto.Clone(p.Term()).(*pb.Tenure)
	c.toGateway = append(c.toGateway, message)
}

type simulatedGateway struct {
	snapshot     *snapshot.Snapshot
	following    *controller
	snapshotTerm *pb.Tenure // term under which the snapshot was received
	needsFull    bool
	drained      map[string]int64 // every drain that the gateway has held, by endpoint
}

// failer is the subset of testing.TB that the simulation uses.
type failer interface {
	Fatalf(format string, args ...any)
}

type simulation struct {
	t               failer
	nextIncarnation func() uint64 // returns the incarnation of the next started controller
	now             time.Duration
	controllers     []*controller // including killed ones
	gateways        []*simulatedGateway
	placements      map[string]uint32 // shards of placed objects, by name
	lostDisk        bool              // a controller was restarted from an older or an empty disk
}

func newSimulation(t failer, gateways int, nextIncarnation func() uint64) *simulation {
	w := &simulation{t: t, now: 100 * time.Hour, placements: map[string]uint32{}, nextIncarnation: nextIncarnation}
	for range gateways {
		w.gateways = append(w.gateways, &simulatedGateway{snapshot: snapshot.New(nil, 0, nil, 1000), drained: map[string]int64{}})
	}
	return w
}

func gatewayName(i int) string { return fmt.Sprint("e", i) }

// clock returns the time on a controller's clock.
func (w *simulation) clock(p *controller) time.Duration {
	return time.Duration(float64(w.now) * p.clockRate)
}

func (w *simulation) start(config Config, name string, d *disk, clockRate float64) *controller {
	p := &controller{disk: d, clockRate: clockRate, running: true, connections: map[int]*connection{}}
	persisted := Persisted{Term: d.term, Generation: d.generation}
	for _, record := range d.records {
		persisted.Records = append(persisted.Records, record)
	}
	s, err := New(name, w.nextIncarnation(), persisted, config, d, discardLog, w.clock(p))
	if err != nil {
		w.t.Fatalf("%v", err)
	}
	p.State = s
	w.controllers = append(w.controllers, p)
	return p
}

// kill stops a controller and closes all its connections.
func (w *simulation) kill(p *controller) {
	p.running = false
	for i := range w.gateways {
		w.disconnect(p, i)
	}
}

func (w *simulation) connect(p *controller, i int) {
	g := w.gateways[i]
	held := Position{Term: g.snapshot.Term(), Generation: g.snapshot.Generation(), Digest: g.snapshot.Digest(), NeedsFull: g.needsFull}
	reportNeeded, err := p.Connect(&pb.EdgeHello{
		Name:       gatewayName(i),
		Address:    "a",
		Tenure:     held.Term,
		Generation: held.Generation,
		Digest:     held.Digest,
		Following:  g.following != nil && g.following != p && g.following.running,
		Whole:      held.NeedsFull,
	}, w.clock(p))
	if err != nil {
		return
	}
	c := &connection{held: held}
	p.connections[i] = c
	c.sendToGateway(&pb.PlannerSays{}, p)
	if reportNeeded {
		c.sendToGateway(&pb.PlannerSays{What: &pb.PlannerSays_Report{Report: &pb.ReportAsk{}}}, p)
	}
}

func (w *simulation) disconnect(p *controller, i int) {
	if p.connections[i] == nil {
		return
	}
	delete(p.connections, i)
	if p.running {
		p.Disconnected(gatewayName(i), w.clock(p))
	}
	if w.gateways[i].following == p {
		w.gateways[i].following = nil
		w.gateways[i].snapshot.AbortTransfer()
	}
}

// step delivers one message of a connection. If none is in flight, the controller sends its next message.
func (w *simulation) step(p *controller, i int) {
	c := p.connections[i]
	switch {
	case c == nil || !p.running:
	case len(c.toController) > 0:
		message := c.toController[0]
		c.toController = c.toController[1:]
		w.deliverToController(p, i, message)
	case len(c.toGateway) > 0:
		message := c.toGateway[0]
		c.toGateway = c.toGateway[1:]
		w.deliverToGateway(p, i, message)
	default:
		w.sendDue(p, i)
	}
}

func (w *simulation) deliverToController(p *controller, i int, message any) {
	switch message := message.(type) {
	case *pb.EdgeAck:
		p.Acknowledge(gatewayName(i), message.Tenure, message.Generation, message.Beat, w.clock(p))
	case *pb.EdgeReport:
		if err := p.MergeReport(gatewayName(i), message.Item, message.Last, w.clock(p)); err != nil {
			w.disconnect(p, i)
		}
	}
}

// sendDue sends the transfer that the gateway needs, in chunks of one record, or otherwise a heartbeat.
func (w *simulation) sendDue(p *controller, i int) {
	c := p.connections[i]
	if phase := p.Tick(w.clock(p)); phase != Recovering && phase != Superseded {
		if transfer, due := p.SnapshotFor(gatewayName(i), c.held); due {
			if admitted, _ := p.AdmitSnapshot(gatewayName(i), w.clock(p)); admitted {
				for _, record := range transfer.Item {
					c.sendToGateway(&pb.PlannerSays{What: &pb.PlannerSays_Part{Part: &pb.ViewPart{
						From: transfer.From, To: transfer.To, Whole: transfer.Whole, Item: []*pb.Item{proto.Clone(record).(*pb.Item)}}}}, p)
				}
				c.sendToGateway(&pb.PlannerSays{What: &pb.PlannerSays_Part{Part: &pb.ViewPart{
					From: transfer.From, To: transfer.To, Whole: transfer.Whole, Last: true, Digest: transfer.Digest}}}, p)
				c.held = Position{Term: p.Term(), Generation: transfer.To, Digest: transfer.Digest}
				return
			}
		}
	}
	c.sendToGateway(&pb.PlannerSays{What: &pb.PlannerSays_Alive{Alive: &pb.Alive{Beat: p.LatestHeartbeat()}}}, p)
}

func (w *simulation) deliverToGateway(p *controller, i int, message *pb.PlannerSays) {
	c, g := p.connections[i], w.gateways[i]
	before := g.snapshot.Generation()
	if _, err := g.snapshot.ObserveTerm(message.Tenure); err != nil {
		w.disconnect(p, i)
		return
	}
	if g.following != p {
		if g.following != nil {
			w.disconnect(g.following, i)
		}
		g.following = p
	}
	switch content := message.What.(type) {
	case *pb.PlannerSays_Report:
		c.toController = append(c.toController, &pb.EdgeReport{Item: g.snapshot.Records(), Last: true})
	case *pb.PlannerSays_Alive:
		c.toController = append(c.toController, &pb.EdgeAck{Tenure: g.snapshot.Term(), Generation: g.snapshot.Generation(), Beat: content.Alive.Beat})
	case *pb.PlannerSays_Part:
		applied, err := g.snapshot.ApplyChunk(message.Tenure, content.Part)
		if err != nil || applied.NeedsFull {
			g.needsFull = !content.Part.Whole
			w.disconnect(p, i)
			return
		}
		if applied.Complete {
			g.needsFull, g.snapshotTerm = false, proto.Clone(message.Tenure).(*pb.Tenure)
			p.SnapshotSent(gatewayName(i), w.clock(p))
			c.toController = append(c.toController, &pb.EdgeAck{Tenure: g.snapshot.Term(), Generation: g.snapshot.Generation()})
		}
	}
	if g.snapshot.Generation() < before {
		w.t.Fatalf("the generation of gateway %d decreased from %d to %d", i, before, g.snapshot.Generation())
	}
}

// check verifies the invariants that hold at any time: at most one controller holds the lease, no gateway loses a drain, and no
// drained endpoint is serving.
func (w *simulation) check() {
	holders := 0
	for _, p := range w.controllers {
		if p.running && p.Tick(w.clock(p)) == HoldingLease {
			holders++
		}
	}
	if holders > 1 {
		w.t.Fatalf("%d controllers hold the lease at %v", holders, w.now)
	}
	for i, g := range w.gateways {
		for endpoint, drain := range g.drained {
			record := g.snapshot.Get(snapshot.Key{Kind: pb.Item_BRICK, Name: endpoint})
			if snapshot.MergeDrains(record.GetBrick().GetDrained(), drain) != record.GetBrick().GetDrained() {
				w.t.Fatalf("gateway %d lost the drain of %s at %d: %v", i, endpoint, drain, record)
			}
		}
		for _, record := range g.snapshot.Records() {
			drain := record.GetBrick().GetDrained()
			if drain == 0 {
				continue
			}
			g.drained[record.Name] = snapshot.MergeDrains(g.drained[record.Name], drain)
			if record.Brick.Serving && snapshot.Drained(record.Brick) {
				w.t.Fatalf("gateway %d: %s is serving although it is drained: %v", i, record.Name, record)
			}
		}
	}
}
