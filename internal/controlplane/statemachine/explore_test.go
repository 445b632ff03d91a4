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

// The exhaustive search explores a small world: two controllers, two gateways, three changes.
var exploreConfig = Config{MinGateways: 2, Lease: time.Second, RecoveryTimeout: time.Second, MaxSnapshotsInFlight: 2, MaxTombstones: 3, MaxRecords: 100}

const (
	exploreStep       = time.Second * 5 / 8 // of the lease; what "time passes" adds
	exploreMaxChanges = 3
	exploreMaxAge     = 8 // steps; what is older is alike
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

// actions is all that may happen, in any order.
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

// violation is an invariant that does not hold.
type violation struct{ text string }

// panicker turns a failure of the world into a panic that replay recovers.
type panicker struct{}

func (panicker) Fatalf(format string, args ...any) { panic(violation{fmt.Sprintf(format, args...)}) }

// smallWorld is a world in which actions are replayed.
type smallWorld struct {
	*world
	running []*controller
	disks   []*disk
	changes int
	before  []Position // of each gateway: its highest term and generation
}

func newSmallWorld() *smallWorld {
	lives := uint64(0)
	w := &smallWorld{
		world:  newWorld(panicker{}, 2, func() uint64 { lives++; return lives }),
		disks:  []*disk{newDisk(), newDisk()},
		before: make([]Position, 2),
	}
	for i, d := range w.disks {
		w.running = append(w.running, w.start(exploreConfig, controllerName(i), d, 1))
	}
	return w
}

func controllerName(i int) string { return []string{"a", "b"}[i] }

// replay replays actions from the beginning and checks the invariants after each: those of world.check; no gateway's generation or
// term falls; two gateways that were sent one generation under one term hold the same. text is the violation; empty: none.
func replay(trace []action) (w *smallWorld, text string) {
	defer func() {
		if p := recover(); p != nil {
			v, ok := p.(violation)
			if !ok {
				panic(p)
			}
			text = v.text
		}
	}()
	w = newSmallWorld()
	for _, a := range trace {
		w.perform(a)
		w.check()
		w.checkNoneWentBack()
		w.checkSameGenerationSameRecords()
	}
	return w, ""
}

func (w *smallWorld) perform(a action) {
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
		w.cut(p, a.gateway)
	}
}

func (w *smallWorld) deliver(p *controller, gateway, messages int) {
	if p.connections[gateway] == nil {
		w.connect(p, gateway)
	}
	for range messages {
		w.step(p, gateway)
	}
}

func (w *smallWorld) checkNoneWentBack() {
	for i, g := range w.gateways {
		generation, term, before := g.snapshot.Generation(), g.snapshot.Term(), w.before[i]
		if generation < before.Generation || snapshot.CompareTerms(term, before.Term) < 0 {
			w.t.Fatalf("gateway %d went back: generation %d after %d, term %v after %v", i, generation, before.Generation, term, before.Term)
		}
		w.before[i] = Position{Generation: generation, Term: term}
	}
}

func (w *smallWorld) checkSameGenerationSameRecords() {
	a, b := w.gateways[0], w.gateways[1]
	sameSource := a.snapshotTerm != nil && snapshot.CompareTerms(a.snapshotTerm, b.snapshotTerm) == 0
	if a.snapshot.Generation() == b.snapshot.Generation() && a.snapshot.Generation() > 0 && sameSource &&
		a.snapshot.Digest() != b.snapshot.Digest() && !w.outOfStep() {
		w.t.Fatalf("two gateways hold generation %d of one term, and not the same", a.snapshot.Generation())
	}
}

// outOfStep tells whether a gateway knows that what it holds does not fit, or has not yet received its controller's snapshot.
func (w *smallWorld) outOfStep() bool {
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

// fingerprint tells states apart: all that the future depends on, times as ages.
func (w *smallWorld) fingerprint() string {
	var b strings.Builder
	for i, p := range w.controllers {
		if p.up {
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

func (w *smallWorld) fingerprintController(b *strings.Builder, i int, p *controller) {
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

// age is the age of a time in the search's steps; -1: never.
func (w *smallWorld) age(at time.Duration) int {
	if at == 0 {
		return -1
	}
	return min(int((w.now-at)/exploreStep), exploreMaxAge)
}

// leaseHeld leads to controller 0 holding the lease and both gateways its snapshot.
func leaseHeld() []action {
	trace := []action{{changeDesired, 0, 0}}
	for range 5 {
		trace = append(trace, action{deliverAll, 0, 0}, action{deliverAll, 0, 1}, action{timePasses, 0, 0})
	}
	return trace
}

// beginnings are where the search starts: at nothing; with the lease held; with its holder come back from nothing; with the other
// controller connected to one of the gateways.
func beginnings() [][]action {
	return [][]action{nil, leaseHeld(), append(leaseHeld(), action{restartFromNothing, 0, 0}), append(leaseHeld(), action{deliverAll, 1, 0})}
}

// exploreStates is how many states the search visits. EXPLORE=n in the environment: n thousand (a run of two minutes: EXPLORE=120).
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

// Restarts, lost disks, lost connections and delays may come in any order, and a fault in the rules of the lease or of terms may need
// one certain order to show. The search goes through all orders up to a depth, and beyond it until the bound of states is reached.
func TestExplore(t *testing.T) {
	limit := exploreStates(t)
	seen := map[string]bool{}
	level := beginnings()
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
		t.Error("the search does not begin where it should")
	}
	t.Logf("%d states, all orders of up to %d actions", states, completeDepth)
	if completeDepth < 2 {
		t.Errorf("only %d deep", completeDepth)
	}
}

// describe lists a trace, an action a line.
func describe(trace []action) string {
	var b strings.Builder
	for i, a := range trace {
		fmt.Fprintf(&b, "%2d. %v\n", i+1, a)
	}
	return b.String()
}
