package statemachine

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"weirhaven/internal/controlplane/snapshot"
	"weirhaven/internal/pb"
)

// exploreConfig configures the controllers of the exhaustive search, which simulates two controllers, two gateways and three
// changes.
var exploreConfig = Config{MinGateways: 2, Lease: time.Second, RecoveryTimeout: time.Second, MaxSnapshotsInFlight: 2, MaxTombstones: 3, MaxRecords: 100}

const (
	exploreStep       = time.Second * 5 / 8 // time added by timePasses, in relation to a lease of 1 s
	exploreMaxChanges = 3
	exploreMaxAge     = 8 // in steps; greater ages are treated as equal
)

type actionKind int

const (
	timePasses actionKind = iota
	restartFromDisk
	restartFromNothing
	changeDesired
	deliverAll
	deliverOne
	connectionLost
)

func (k actionKind) String() string {
	return [...]string{"time passes", "restart from disk", "restart from nothing", "change desired", "deliver all", "deliver one", "connection lost"}[k]
}

type action struct {
	kind       actionKind
	controller int
	gateway    int
}

func (a action) String() string {
	return fmt.Sprintf("%v: controller %d gateway %d", a.kind, a.controller, a.gateway)
}

// actions returns all actions that can be taken in any state.
func actions() []action {
	all := []action{{timePasses, 0, 0}}
	for c := range 2 {
		all = append(all, action{restartFromDisk, c, 0}, action{restartFromNothing, c, 0}, action{changeDesired, c, 0})
		for g := range 2 {
			all = append(all, action{deliverAll, c, g}, action{deliverOne, c, g}, action{connectionLost, c, g})
		}
	}
	return all
}

// invariantViolation is the panic value for a violated invariant.
type invariantViolation struct{ text string }

// panicker turns a failure of the simulation into a panic that replay recovers.
type panicker struct{}

func (panicker) Fatalf(format string, args ...any) {
	panic(invariantViolation{fmt.Sprintf(format, args...)})
}

// smallSimulation is a simulation in which actions are replayed.
type smallSimulation struct {
	*simulation
	running  []*controller
	disks    []*disk
	changes  int
	previous []Position // highest term and generation of each gateway so far
}

func newSmallSimulation() *smallSimulation {
	incarnations := uint64(0)
	w := &smallSimulation{
		simulation: newSimulation(panicker{}, 2, func() uint64 { incarnations++; return incarnations }),
		disks:      []*disk{newDisk(), newDisk()},
		previous:   make([]Position, 2),
	}
	for i, d := range w.disks {
		w.running = append(w.running, w.start(exploreConfig, controllerName(i), d, 1))
	}
	return w
}

func controllerName(i int) string { return []string{"a", "b"}[i] }

// replay replays actions in a new simulation and checks the invariants after each one: those of simulation.check, that no gateway's
// generation or term decreases, and that two gateways that received the same generation under the same term hold the same records.
// text describes the violation; it is empty if there is none.
func replay(trace []action) (w *smallSimulation, text string) {
	defer func() {
		if p := recover(); p != nil {
			v, ok := p.(invariantViolation)
			if !ok {
				panic(p)
			}
			text = v.text
		}
	}()
	w = newSmallSimulation()
	for _, a := range trace {
		w.perform(a)
		w.check()
		w.checkMonotonic()
		w.checkSameGenerationSameRecords()
	}
	return w, ""
}

func (w *smallSimulation) perform(a action) {
	p := w.running[a.controller]
	switch a.kind {
	case timePasses:
		w.now += exploreStep
		for _, p := range w.running {
			p.NextHeartbeat(w.clock(p))
			p.WriteDesired(w.clock(p))
		}
	case restartFromDisk, restartFromNothing:
		w.kill(p)
		if a.kind == restartFromNothing {
			w.disks[a.controller] = newDisk()
		}
		w.running[a.controller] = w.start(exploreConfig, controllerName(a.controller), w.disks[a.controller], 1)
	case changeDesired:
		if w.changes++; w.changes <= exploreMaxChanges {
			p.SetDesired(&pb.Item{Kind: pb.Item_BRICK, Name: "x",
				Brick: &pb.PlanBrick{Address: "x", Serving: w.changes != 2, Started: 1, Drained: int64(w.changes % 3 / 2)}})
			p.WriteDesired(w.clock(p))
		}
	case deliverAll:
		w.deliver(p, a.gateway, 10)
	case deliverOne:
		w.deliver(p, a.gateway, 1)
	case connectionLost:
		w.disconnect(p, a.gateway)
	}
}

func (w *smallSimulation) deliver(p *controller, gateway, messages int) {
	if p.connections[gateway] == nil {
		w.connect(p, gateway)
	}
	for range messages {
		w.step(p, gateway)
	}
}

func (w *smallSimulation) checkMonotonic() {
	for i, g := range w.gateways {
		generation, term, before := g.snapshot.Generation(), g.snapshot.Term(), w.previous[i]
		if generation < before.Generation || snapshot.CompareTerms(term, before.Term) < 0 {
			w.t.Fatalf("gateway %d: generation %d after %d, term %v after %v", i, generation, before.Generation, term, before.Term)
		}
		w.previous[i] = Position{Generation: generation, Term: term}
	}
}

func (w *smallSimulation) checkSameGenerationSameRecords() {
	a, b := w.gateways[0], w.gateways[1]
	sameSource := a.snapshotTerm != nil && snapshot.CompareTerms(a.snapshotTerm, b.snapshotTerm) == 0
	if a.snapshot.Generation() == b.snapshot.Generation() && a.snapshot.Generation() > 0 && sameSource &&
		a.snapshot.Digest() != b.snapshot.Digest() && !w.outOfSync() {
		w.t.Fatalf("two gateways hold different records at generation %d of the same term", a.snapshot.Generation())
	}
}

// outOfSync reports whether a gateway needs the full snapshot or has not yet received the current snapshot of its controller.
func (w *smallSimulation) outOfSync() bool {
	for i, g := range w.gateways {
		if g.needsFull || g.following == nil {
			return true
		}
		c := g.following.connections[i]
		if c == nil || c.held.Generation != g.snapshot.Generation() || c.held.Digest != g.snapshot.Digest() || len(c.toGateway) > 0 {
			return true
		}
	}
	return false
}

// fingerprint identifies a state of the simulation. It contains everything that affects later states, with times given as ages.
func (w *smallSimulation) fingerprint() string {
	var b strings.Builder
	for i, p := range w.controllers {
		if p.running {
			w.fingerprintController(&b, i, p)
		}
	}
	for _, g := range w.gateways {
		fmt.Fprint(&b, g.snapshot.Term(), g.snapshot.Generation(), g.snapshot.Records(), g.needsFull, g.snapshotTerm, g.following == nil, g.drained, "/")
		if g.following != nil {
			fmt.Fprint(&b, g.following.term)
		}
	}
	return b.String()
}

func (w *smallSimulation) fingerprintController(b *strings.Builder, i int, p *controller) {
	fmt.Fprint(b, i%2, p.term, p.generation, p.changesKnownSince, p.Records(), p.phase, p.recovered, w.age(p.startedAt), w.age(p.majoritySince),
		w.age(p.supersededAt), p.lastHeartbeat, "|")
	for e := range w.gateways {
		if g := p.gateways[gatewayName(e)]; g != nil {
			fmt.Fprint(b, g.connected, g.reported, g.acknowledgedTerm, g.acknowledgedGeneration, w.age(g.leaseRenewedAt), g.snapshotInFlight, g.queuePosition)
		}
		if c := p.connections[e]; c != nil {
			fmt.Fprint(b, c.toGateway, c.toController, c.held.Generation, c.held.Digest, c.held.Term, c.held.NeedsFull)
		}
	}
	desired := make([]string, 0, len(p.desired))
	for key, record := range p.desired {
		desired = append(desired, fmt.Sprint(key, record))
	}
	slices.Sort(desired)
	fmt.Fprint(b, desired)
}

// age returns the age of a time in steps of the search, or -1 for the zero time.
func (w *smallSimulation) age(at time.Duration) int {
	if at == 0 {
		return -1
	}
	return min(int((w.now-at)/exploreStep), exploreMaxAge)
}

// leaseHeld returns a trace after which controller 0 holds the lease and both gateways hold its snapshot.
func leaseHeld() []action {
	trace := []action{{changeDesired, 0, 0}}
	for range 5 {
		trace = append(trace, action{deliverAll, 0, 0}, action{deliverAll, 0, 1}, action{timePasses, 0, 0})
	}
	return trace
}

// initialTraces returns the traces from which the search starts: no actions; the lease held; its holder restarted without its disk;
// the other controller connected to one of the gateways.
func initialTraces() [][]action {
	return [][]action{nil, leaseHeld(), append(leaseHeld(), action{restartFromNothing, 0, 0}), append(leaseHeld(), action{deliverAll, 1, 0})}
}

// exploreStates returns the number of states that the search visits: 4000, or n thousand with EXPLORE=n in the environment. A run
// with EXPLORE=120 takes two minutes.
func exploreStates(t *testing.T) int {
	text := os.Getenv("EXPLORE")
	if text == "" {
		return 4000
	}
	thousands, err := strconv.Atoi(text)
	if err != nil {
		t.Fatalf("EXPLORE: %v", err)
	}
	return thousands * 1000
}

// TestExplore checks the invariants for all orders of restarts, lost disks, lost connections and delays up to a certain depth,
// since a fault in the rules for leases or terms may only appear in one specific order. It continues beyond that depth up to the
// state limit.
func TestExplore(t *testing.T) {
	limit := exploreStates(t)
	seen := map[string]bool{}
	level := initialTraces()
	states, completeDepth := 0, 0
	for depth := 1; len(level) > 0 && states < limit; depth++ {
		var next [][]action
		for _, trace := range level {
			for _, a := range actions() {
				longer := append(slices.Clone(trace), a)
				w, text := replay(longer)
				if text != "" {
					t.Fatalf("%s\n%s", text, describe(longer))
				}
				if fingerprint := w.fingerprint(); !seen[fingerprint] {
					seen[fingerprint] = true
					states++
					next = append(next, longer)
				}
			}
			if states >= limit {
				break
			}
		}
		if states < limit {
			completeDepth = depth
		}
		level = next
	}
	if w, _ := replay(leaseHeld()); w.controllers[0].Phase() != HoldingLease || w.gateways[1].snapshot.Generation() == 0 {
		t.Error("in the initial trace, controller 0 does not hold the lease or gateway 1 has no snapshot")
	}
	t.Logf("%d states, all orders of up to %d actions", states, completeDepth)
	if completeDepth < 2 {
		t.Errorf("the search covered only %d levels completely", completeDepth)
	}
}

// describe lists the actions of a trace, one per line.
func describe(trace []action) string {
	var b strings.Builder
	for i, a := range trace {
		fmt.Fprintf(&b, "%2d. %v\n", i+1, a)
	}
	return b.String()
}
