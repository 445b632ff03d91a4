package server

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	"weirhaven/internal/controlplane/client"
	"weirhaven/internal/controlplane/protocol"
	"weirhaven/internal/controlplane/snapshot"
	"weirhaven/internal/controlplane/statemachine"
	"weirhaven/internal/engine"
	fleetdecide "weirhaven/internal/fleet/endpointstate"
	"weirhaven/internal/pb"
	"weirhaven/internal/settings"
	"weirhaven/internal/tlskeys"
)

// The test binary is a planner, too. DIE=n lets it be killed between its n-th write and what it would have sent of it.
func TestMain(m *testing.M) {
	if len(os.Args) > 2 && os.Args[1] == "planner" {
		conf := &pb.PlannerConf{}
		if err := settings.Load(os.Args[2], conf); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		go func() { // it ends with the test that started it
			io.Copy(io.Discard, os.Stdin)
			os.Exit(0)
		}()
		die, _ := strconv.Atoi(os.Getenv("DIE"))
		err := Run(context.Background(), conf, Options{Log: quiet, Ready: func(a string) { fmt.Println("READY", a) }, WrapPersister: func(k statemachine.Persister) statemachine.Persister {
			return &deadly{k, die}
		}})
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	os.Exit(m.Run())
}

type deadly struct {
	statemachine.Persister
	left int
}

func (d *deadly) Persist(t *pb.Tenure, g uint64, changed []*pb.Item) error {
	err := d.Persister.Persist(t, g, changed)
	if len(changed) > 0 && d.left > 0 {
		if d.left--; d.left == 0 {
			syscall.Kill(os.Getpid(), syscall.SIGKILL)
		}
	}
	return err
}

var quiet = slog.New(slog.NewTextHandler(io.Discard, nil))

func conf(t testing.TB, name, listen string, edges int, more string) *pb.PlannerConf {
	t.Helper()
	c := &pb.PlannerConf{}
	text := fmt.Sprintf(`name: %q listen: %q store: %q plain: true edges: %d lease: "400ms" recover: "300ms"
fleet { max_dispatches: 3 resolution: "10ms" usual_units: 1 most_units: 8 }
plan { name: "basic" nominal: 10 weight: 1 }
volume { name: "v" plan: "basic" hosts: 2 }
%s`, name, listen, filepath.Join(t.TempDir(), name+".db"), edges, more)
	if err := settings.Parse("test", []byte(text), c); err != nil {
		t.Fatal(err)
	}
	return c
}

// start runs a planner in this process.
func start(t testing.TB, c *pb.PlannerConf, o Options) (p *Controller, address string, stop func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	ready, done := make(chan string, 1), make(chan error, 1)
	o.Log, o.Ready = quiet, func(a string) { ready <- a }
	got := make(chan *Controller, 1)
	o.WrapPersister = wrap(o.WrapPersister)
	go func() { done <- run(ctx, c, o, func(p *Controller) { got <- p }) }()
	select {
	case address = <-ready:
	case err := <-done:
		t.Fatal(err)
	}
	var once sync.Once
	stop = func() {
		once.Do(func() {
			cancel()
			if err := <-done; err != nil {
				t.Error(err)
			}
		})
	}
	t.Cleanup(stop)
	return <-got, address, stop
}

func wrap(f func(statemachine.Persister) statemachine.Persister) func(statemachine.Persister) statemachine.Persister {
	if f == nil {
		return func(k statemachine.Persister) statemachine.Persister { return k }
	}
	return f
}

// child runs a planner as a process.
func child(t testing.TB, c *pb.PlannerConf, die int) (cmd *exec.Cmd, address string) {
	t.Helper()
	text, err := settings.Text(c)
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(t.TempDir(), "planner.txtpb")
	if err := os.WriteFile(file, text, 0o600); err != nil {
		t.Fatal(err)
	}
	cmd = exec.Command(os.Args[0], "planner", file)
	cmd.Env = append(os.Environ(), fmt.Sprint("DIE=", die))
	cmd.Stderr = os.Stderr
	in, _ := cmd.StdinPipe()
	out, _ := cmd.StdoutPipe()
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { in.Close(); cmd.Process.Signal(syscall.SIGCONT); cmd.Process.Kill(); cmd.Wait() })
	line, err := bufio.NewReader(out).ReadString('\n')
	address, ok := strings.CutPrefix(strings.TrimSpace(line), "READY ")
	if !ok {
		t.Fatal(line, err)
	}
	return cmd, address
}

// edge is a follower whose view never may go back.
type edge struct {
	t       testing.TB
	f       *client.Follower
	mu      sync.Mutex
	items   map[snapshot.Key]*pb.Item
	last    uint64
	term    uint64
	drained map[string]bool
	stop    func()
}

func (e *edge) Changed(items []*pb.Item, fresh bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, x := range items {
		e.items[snapshot.KeyOf(x)] = x
		if b := x.GetBrick(); b != nil {
			if e.drained[x.Name] && !snapshot.Drained(b) {
				e.t.Errorf("the drain of %s was forgotten: %v", x.Name, x)
			}
			e.drained[x.Name] = snapshot.Drained(b)
		}
	}
}

func follower(t testing.TB, name, file string, addresses ...string) *edge {
	return followerWith(t, name, file, &pb.Planner{Address: addresses, Plain: true})
}

func followerWith(t testing.TB, name, file string, p *pb.Planner) *edge {
	t.Helper()
	e := &edge{t: t, items: map[snapshot.Key]*pb.Item{}, drained: map[string]bool{}}
	f, err := client.Open(client.Config{Planner: p, Name: name, Address: "127.0.0.1:1", File: file, Log: quiet, Sink: e, Seed: 1, MinBackoff: 10 * time.Millisecond,
		MaxBackoff: 100 * time.Millisecond, SilenceTimeout: 700 * time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	e.f = f
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan bool)
	go func() { f.Run(ctx); close(done) }()
	var once sync.Once
	e.stop = func() { once.Do(func() { cancel(); <-done }) }
	t.Cleanup(e.stop)
	return e
}

// holds is what stands in its view.
func (e *edge) holds(k pb.Item_Kind, name string) *pb.Item {
	_, _, _, items := e.f.State()
	for _, x := range items {
		if x.Kind == k && x.Name == name && !x.Gone && x.Generation > 0 {
			return x
		}
	}
	return nil
}

// heard is what it was told last, by the view or as evidence.
func (e *edge) heard(k pb.Item_Kind, name string) *pb.Item {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.items[snapshot.Key{Kind: k, Name: name}]
}

// until waits for something to become true, and fails where it does not.
func until(t testing.TB, what string, f func() bool) {
	t.Helper()
	for end := time.Now().Add(15 * time.Second); !f(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("did not come: ", what)
		}
	}
}

// back fails where an edge's view went back since it was last looked at.
func (e *edge) back() {
	e.t.Helper()
	_, tenure, g, _ := e.f.State()
	if g < e.last || tenure.GetTerm() < e.term {
		e.t.Errorf("the edge went back: generation %d after %d, term %d after %d", g, e.last, tenure.GetTerm(), e.term)
	}
	e.last, e.term = g, tenure.GetTerm()
}

func list(p *Controller, number int64, whole bool, lines ...engine.EndpointEntry) {
	p.ListReceived(fleetdecide.Generation{Epoch: "list", Number: number}, whole, lines)
}

func brick(i int, serving bool) engine.EndpointEntry {
	return engine.EndpointEntry{Name: fmt.Sprint("b", i), Address: fmt.Sprint("127.0.0.1:", 1000+i), Zone: []string{"n", "s"}[i%2], Shard: i, Serving: serving}
}

func TestViews(t *testing.T) {
	c := conf(t, "a", "127.0.0.1:0", 3, "")
	p, address, _ := start(t, c, Options{})
	dir := t.TempDir()
	var edges []*edge
	for i := range 3 {
		edges = append(edges, follower(t, fmt.Sprint("e", i), filepath.Join(dir, fmt.Sprint(i)), address))
	}
	list(p, 1, true, brick(0, true), brick(1, true))
	for _, e := range edges {
		until(t, "the first view", func() bool { return e.holds(pb.Item_BRICK, "b1") != nil && e.holds(pb.Item_VOLUME, "v") != nil })
		if x := e.holds(pb.Item_HOSTS, ""); x == nil || x.Hosts != 3 {
			t.Error(x)
		}
	}
	list(p, 2, false, brick(0, false), brick(2, true)) // changes
	until(t, "a drain and a new brick", func() bool {
		x := edges[1].holds(pb.Item_BRICK, "b0")
		return !x.Brick.Serving && snapshot.Drained(x.Brick) && edges[1].holds(pb.Item_BRICK, "b2") != nil
	})
	// A drain that an edge learnt itself reaches the others, though the list says that the brick serves.
	edges[2].f.Learn("b2", time.Now().UnixNano())
	list(p, 3, false, brick(2, true))
	for _, e := range edges {
		until(t, "the drain an edge told", func() bool { x := e.holds(pb.Item_BRICK, "b2"); return x != nil && !x.Brick.Serving })
	}
	ctx := context.Background()
	cell, err := edges[0].f.Place(ctx, "v", "object", "")
	if err != nil || cell != 1 {
		t.Fatal(cell, err)
	}
	if again, err := edges[1].f.Place(ctx, "v", "object", ""); err != nil || again != cell {
		t.Error(again, err)
	}
	if _, err := edges[0].f.Place(ctx, "nobody's", "object", ""); err == nil {
		t.Error("a place in a volume that is not there")
	}
	edges[0].stop() // and its place is still known
	told, err := p.Status(ctx, &pb.StatusAsk{View: true, Edges: true, Diff: "e2"})
	if err != nil || told.Phase != "holding the lease" || len(told.Edge) != 3 || len(told.Difference) > 0 {
		t.Error(told.GetPhase(), told.GetEdge(), told.GetDifference(), err)
	}
	if told, err = p.Status(ctx, &pb.StatusAsk{Diff: "e0"}); err != nil || len(told.Difference) == 0 { // away since before it got the others' places
		t.Error(told, err)
	}
	if _, err = p.Status(ctx, &pb.StatusAsk{Diff: "nobody"}); status.Code(err) != codes.NotFound {
		t.Error(err)
	}
}

// The planner is killed between writing a change and sending it, again and again, and comes back from its disk: edges never go back, and
// end at what was written.
func TestKilledBetweenWritingAndSending(t *testing.T) {
	l, _ := net.Listen("tcp", "127.0.0.1:0")
	address := l.Addr().String()
	l.Close()
	c := conf(t, "a", address, 1, "")
	for i := range 6 {
		c.Volume = append(c.Volume, &pb.PlannedVolume{Name: fmt.Sprint("w", i), Plan: "basic", Hosts: 1})
	}
	e := follower(t, "e", filepath.Join(t.TempDir(), "e"), address)
	for life := range 4 {
		c.Volume = append(c.Volume, &pb.PlannedVolume{Name: fmt.Sprint("x", life), Plan: "basic", Hosts: 1})
		cmd, _ := child(t, c, 1)
		cmd.Wait() // it dies of its own write
		e.back()
		if e.holds(pb.Item_VOLUME, fmt.Sprint("x", life)) != nil {
			t.Error("it was sent before it was killed: the test does not test")
		}
	}
	child(t, c, 0)
	until(t, "all that was written", func() bool {
		e.back()
		return e.holds(pb.Item_VOLUME, "x3") != nil && e.holds(pb.Item_VOLUME, "w0") != nil && e.holds(pb.Item_VOLUME, "x0") != nil
	})
	if e.last < 4 {
		t.Errorf("generation %d", e.last)
	}
}

// It comes back with a copy of its disk from long ago, and with none: it learns from the edges what it forgot, above all drains and
// places, and goes on above their generation.
func TestOlderDiskAndNone(t *testing.T) {
	c := conf(t, "a", "127.0.0.1:0", 2, "")
	p, address, stop := start(t, c, Options{})
	c.Listen = address
	dir := t.TempDir()
	edges := []*edge{follower(t, "e0", filepath.Join(dir, "0"), address), follower(t, "e1", filepath.Join(dir, "1"), address)}
	list(p, 1, true, brick(0, true), brick(1, true))
	until(t, "the first view", func() bool {
		return edges[0].holds(pb.Item_BRICK, "b1") != nil && edges[1].holds(pb.Item_BRICK, "b1") != nil
	})
	p.mu.Lock()
	old := filepath.Join(dir, "old.db")
	if err := p.store.Copy(old); err != nil {
		t.Fatal(err)
	}
	p.mu.Unlock()
	list(p, 2, false, brick(0, false))
	cell, err := edges[0].f.Place(context.Background(), "v", "object", "")
	if err != nil {
		t.Fatal(err)
	}
	drained := func() bool {
		for _, e := range edges {
			e.back()
			if x := e.holds(pb.Item_BRICK, "b0"); x == nil || x.Brick.Serving {
				return false
			}
		}
		return true
	}
	until(t, "the drain", drained)
	for _, disk := range []string{old, ""} {
		stop()
		os.Remove(c.Store)
		if disk != "" {
			if err := os.Rename(disk, c.Store); err != nil {
				t.Fatal(err)
			}
		}
		p, _, stop = start(t, c, Options{})
		list(p, 9, true, brick(0, true), brick(1, true)) // the list knows nothing of the drain
		until(t, "the lease", func() bool {
			p.mu.Lock()
			defer p.mu.Unlock()
			return p.state.Phase() == statemachine.HoldingLease
		})
		until(t, "a view that both hold", func() bool {
			_, _, a, _ := edges[0].f.State()
			_, _, b, _ := edges[1].f.State()
			p.mu.Lock()
			defer p.mu.Unlock()
			return a == b && a == p.state.Generation()
		})
		if !drained() {
			t.Errorf("disk %q: the drain is forgotten", disk)
		}
		if again, err := edges[1].f.Place(context.Background(), "v", "object", ""); err != nil || again != cell {
			t.Errorf("disk %q: object at cell %d, was %d: %v", disk, again, cell, err)
		}
	}
}

// A planner stalls for longer than every time-out; another takes over; the first goes on and says its old words. Nobody heeds them.
func TestStalledPlanner(t *testing.T) {
	free := func() string {
		l, _ := net.Listen("tcp", "127.0.0.1:0")
		defer l.Close()
		return l.Addr().String()
	}
	a, b := conf(t, "a", free(), 1, ""), conf(t, "b", free(), 1, "")
	a.Volume = append(a.Volume, &pb.PlannedVolume{Name: "of-a", Plan: "basic", Hosts: 1})
	b.Volume = append(b.Volume, &pb.PlannedVolume{Name: "of-b", Plan: "basic", Hosts: 1})
	e := follower(t, "e", filepath.Join(t.TempDir(), "e"), a.Listen, b.Listen)
	first, _ := child(t, a, 0)
	until(t, "the view of a", func() bool { return e.holds(pb.Item_VOLUME, "of-a") != nil })
	first.Process.Signal(syscall.SIGSTOP)
	child(t, b, 0)
	until(t, "the view of b", func() bool { e.back(); return e.holds(pb.Item_VOLUME, "of-b") != nil })
	at, tenure, g, _ := e.f.State()
	first.Process.Signal(syscall.SIGCONT)
	for end := time.Now().Add(1500 * time.Millisecond); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		e.back()
	}
	if x, y, z, _ := e.f.State(); x != at || snapshot.CompareTerms(y, tenure) != 0 || z != g || at != b.Listen {
		t.Errorf("followed %s %v at %d, now %s %v at %d", at, tenure, g, x, y, z)
	}
}

// half is a planner that says half of something.
type half struct {
	pb.UnimplementedPlanningServer
	hellos chan *pb.EdgeHello
	say    []*pb.PlannerSays
}

func (h *half) Follow(s grpc.BidiStreamingServer[pb.EdgeSays, pb.PlannerSays]) error {
	m, err := s.Recv()
	if err != nil {
		return err
	}
	h.hellos <- m.GetHello()
	for _, x := range h.say {
		if err := s.Send(x); err != nil {
			return err
		}
	}
	<-s.Context().Done()
	return nil
}

// Half a view and then silence changes nothing: the edge leaves and asks again from where it was. Changes that begin too late, and a
// view that does not add up, are not taken, and the whole is asked for.
func TestHalfAStream(t *testing.T) {
	tenure := &pb.Tenure{Term: 3, Planner: "half"}
	item := func(name string, g uint64) *pb.Item {
		return &pb.Item{Kind: pb.Item_VOLUME, Name: name, Generation: g, Term: 3, Volume: &pb.PlanVolume{Plan: "basic"}}
	}
	part := func(from, to uint64, whole, last bool, digest uint64, items ...*pb.Item) *pb.PlannerSays {
		return &pb.PlannerSays{Tenure: tenure, What: &pb.PlannerSays_Part{Part: &pb.ViewPart{From: from, To: to, Whole: whole, Last: last, Digest: digest, Item: items}}}
	}
	first := []*pb.Item{item("a", 5)}
	sum := snapshot.Digest(map[snapshot.Key]*pb.Item{snapshot.KeyOf(first[0]): first[0]})
	for _, c := range []struct {
		name string
		say  []*pb.PlannerSays
		want uint64 // generation of the next hello, and whether it asks for the whole
		all  bool
	}{
		{"half a view", []*pb.PlannerSays{part(0, 5, true, true, sum, first...), part(5, 9, false, false, 0, item("b", 9))}, 5, false},
		{"changes from too late", []*pb.PlannerSays{part(0, 5, true, true, sum, first...), part(7, 9, false, true, 0, item("b", 9))}, 5, true},
		{"does not add up", []*pb.PlannerSays{part(0, 5, true, true, sum, first...), part(5, 9, false, true, 77, item("b", 9))}, 5, true},
		{"older", []*pb.PlannerSays{part(0, 5, true, true, sum, first...), part(0, 4, true, true, 0, item("b", 4))}, 5, false},
		{"lower term", []*pb.PlannerSays{part(0, 5, true, true, sum, first...), {Tenure: &pb.Tenure{Term: 2, Planner: "z"},
			What: &pb.PlannerSays_Part{Part: &pb.ViewPart{To: 99, Whole: true, Last: true}}}}, 5, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			l, _ := net.Listen("tcp", "127.0.0.1:0")
			s := grpc.NewServer()
			h := &half{hellos: make(chan *pb.EdgeHello, 100), say: c.say}
			pb.RegisterPlanningServer(s, h)
			go s.Serve(l)
			defer s.Stop()
			e := follower(t, "e", filepath.Join(t.TempDir(), "e"), l.Addr().String())
			if x := <-h.hellos; x.Generation != 0 {
				t.Error(x)
			}
			if x := <-h.hellos; x.Generation != c.want || x.Whole != c.all || x.Tenure.GetTerm() != 3 {
				t.Errorf("%v, wanted from generation %d", x, c.want)
			}
			if e.holds(pb.Item_VOLUME, "a") == nil || e.holds(pb.Item_VOLUME, "b") != nil {
				t.Error("something of the half was taken")
			}
			e.stop()
		})
	}
}

// An edge cut off for so long that changes can't be told any more gets the whole, and forgets what is gone.
func TestLongCutOff(t *testing.T) {
	c := conf(t, "a", "127.0.0.1:0", 1, "")
	p, address, _ := start(t, c, Options{})
	stays := follower(t, "stays", filepath.Join(t.TempDir(), "s"), address)
	file := filepath.Join(t.TempDir(), "e")
	e := follower(t, "e", file, address)
	list(p, 1, true, brick(0, true), brick(1, true))
	until(t, "the first view", func() bool { return e.holds(pb.Item_BRICK, "b1") != nil })
	e.stop()
	p.mu.Lock()
	r := p.state
	p.mu.Unlock()
	for n := range 20 { // bricks are replaced one after the other
		at := int64(2 + 2*n)
		list(p, at, false, engine.EndpointEntry{Name: fmt.Sprint("b", n), Gone: true, Address: "127.0.0.1:1", Zone: "n"})
		list(p, at+1, false, brick(n+2, true))
	}
	until(t, "the last brick", func() bool { return stays.holds(pb.Item_BRICK, "b21") != nil })
	p.mu.Lock()
	r.PruneTombstones(0) // as after thousands of them
	p.mu.Unlock()
	e = follower(t, "e", file, address)
	until(t, "the same view", func() bool {
		_, _, a, _ := e.f.State()
		_, _, b, _ := stays.f.State()
		return a == b && e.holds(pb.Item_BRICK, "b21") != nil
	})
	if _, _, _, items := e.f.State(); snapshot.Digest(asMap(items)) != digestOf(p) {
		t.Errorf("%v", items)
	}
}

// digestOf is the digest of the records that gateways should hold.
func digestOf(p *Controller) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state.Digest()
}

func asMap(items []*pb.Item) map[snapshot.Key]*pb.Item {
	m := map[snapshot.Key]*pb.Item{}
	for _, x := range items {
		m[snapshot.KeyOf(x)] = x
	}
	return m
}

// full fails writes while it is on.
type full struct {
	statemachine.Persister
	mu sync.Mutex
	on bool
}

func (f *full) set(on bool) { f.mu.Lock(); f.on = on; f.mu.Unlock() }
func (f *full) Persist(t *pb.Tenure, g uint64, changed []*pb.Item) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.on {
		return syscall.ENOSPC
	}
	return f.Persister.Persist(t, g, changed)
}

// The planner's disk is full: nothing new is given out, no place either; edges keep what they have; once there is room it goes on.
func TestPlannersDiskFull(t *testing.T) {
	disk := &full{}
	p, address, _ := start(t, conf(t, "a", "127.0.0.1:0", 1, ""), Options{WrapPersister: func(k statemachine.Persister) statemachine.Persister { disk.Persister = k; return disk }})
	e := follower(t, "e", filepath.Join(t.TempDir(), "e"), address)
	list(p, 1, true, brick(0, true))
	until(t, "the first view", func() bool { return e.holds(pb.Item_BRICK, "b0") != nil })
	disk.set(true)
	list(p, 2, false, brick(1, true))
	if _, err := e.f.Place(context.Background(), "v", "object", ""); err == nil || !strings.Contains(err.Error(), "no space left") {
		t.Error(err)
	}
	if e.holds(pb.Item_BRICK, "b1") != nil {
		t.Error("given out though not written")
	}
	disk.set(false)
	until(t, "the change", func() bool { return e.holds(pb.Item_BRICK, "b1") != nil })
	if _, err := e.f.Place(context.Background(), "v", "object", ""); err != nil {
		t.Error(err)
	}
}

// raw speaks as an edge of some version.
func raw(t testing.TB, address string, h *pb.EdgeHello) error {
	t.Helper()
	conn, err := grpc.NewClient("passthrough:///"+address, grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	ctx, stop := context.WithTimeout(context.Background(), 5*time.Second)
	defer stop()
	s, err := pb.NewPlanningClient(conn).Follow(ctx)
	if err != nil {
		t.Fatal(err)
	}
	if err := s.Send(&pb.EdgeSays{What: &pb.EdgeSays_Hello{Hello: h}}); err != nil {
		t.Fatal(err)
	}
	_, err = s.Recv()
	return err
}

func TestVersionsApart(t *testing.T) {
	_, address, _ := start(t, conf(t, "a", "127.0.0.1:0", 1, ""), Options{})
	for version, ok := range map[uint32]bool{protocol.Version - 2: false, protocol.Version - 1: true, protocol.Version: true, protocol.Version + 1: true} {
		err := raw(t, address, &pb.EdgeHello{Version: version, Name: "e"})
		if (err == nil) != ok || !ok && status.Code(err) != codes.FailedPrecondition {
			t.Errorf("version %d: %v", version, err)
		}
	}
	if err := raw(t, address, &pb.EdgeHello{Version: protocol.Version}); status.Code(err) != codes.InvalidArgument {
		t.Error(err)
	}
}

// A planner that never lives long enough to hold the lease still tells what it hears of bricks: as evidence, no part of the view.
func TestEvidenceWithoutLease(t *testing.T) {
	p, address, _ := start(t, conf(t, "a", "127.0.0.1:0", 9, ""), Options{}) // one edge of nine: never a majority
	e := follower(t, "e", filepath.Join(t.TempDir(), "e"), address)
	list(p, 1, true, brick(0, true), brick(1, false))
	until(t, "evidence", func() bool { return e.heard(pb.Item_BRICK, "b0") != nil && e.heard(pb.Item_BRICK, "b1") != nil })
	if e.holds(pb.Item_BRICK, "b0") != nil || e.holds(pb.Item_VOLUME, "v") != nil {
		t.Error("something was written without the lease")
	}
	if _, err := e.f.Place(context.Background(), "v", "object", ""); err == nil {
		t.Error("a place without the lease")
	}
	list(p, 2, false, brick(0, false))
	until(t, "a drain", func() bool { return snapshot.Drained(e.heard(pb.Item_BRICK, "b0").Brick) })
}

// An edge that reads nothing holds no other up, piles nothing up, and is cut off; when it reads again it is served.
func TestSlowEdge(t *testing.T) {
	p, address, _ := start(t, conf(t, "a", "127.0.0.1:0", 3, "at_once: 1"), Options{StallTimeout: 500 * time.Millisecond})
	e := follower(t, "e", filepath.Join(t.TempDir(), "e"), address)
	follower(t, "f", filepath.Join(t.TempDir(), "f"), address) // a majority without the slow one, whatever it does
	follower(t, "g", filepath.Join(t.TempDir(), "g"), address)
	lines := make([]engine.EndpointEntry, 6000) // a view of hundreds of KB: more than a stream takes unread
	for i := range lines {
		lines[i] = brick(i, true)
	}
	list(p, 1, true, lines...)
	until(t, "the view", func() bool { return e.holds(pb.Item_BRICK, "b5999") != nil })
	conn, err := grpc.NewClient("passthrough:///"+address, grpc.WithTransportCredentials(insecure.NewCredentials()), grpc.WithInitialWindowSize(1<<16))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	s, err := pb.NewPlanningClient(conn).Follow(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	s.Send(&pb.EdgeSays{What: &pb.EdgeSays_Hello{Hello: &pb.EdgeHello{Version: protocol.Version, Name: "slow"}}})
	s.Send(&pb.EdgeSays{What: &pb.EdgeSays_Report{Report: &pb.EdgeReport{Last: true}}})
	stands := func() (connected, known bool) {
		told, err := p.Status(context.Background(), &pb.StatusAsk{Edges: true})
		if err != nil {
			t.Fatal(err)
		}
		for _, x := range told.Edge {
			if x.Name == "slow" {
				return x.Connected, true
			}
		}
		return false, false
	}
	until(t, "the slow edge comes", func() bool { c, _ := stands(); return c })
	for n := range 5 { // it holds the one place at which views are sent; changes reach the other all the same, once it is cut off
		list(p, int64(2+n), false, brick(30000+n, true))
	}
	until(t, "the slow edge is cut off", func() bool { c, known := stands(); return known && !c })
	until(t, "the changes", func() bool { return e.holds(pb.Item_BRICK, "b30004") != nil })
}

// Keys: both sides show theirs, names are checked, what is out of date or not trusted is refused with its reason, and changed files are
// used without a restart.
func TestKeys(t *testing.T) {
	dir, other := t.TempDir(), t.TempDir()
	if err := errors.Join(tlskeys.Make(dir, []string{"weirplan", "e0", "e1"}, time.Hour), tlskeys.Make(other, []string{"weirplan", "e0"}, time.Hour)); err != nil {
		t.Fatal(err)
	}
	of := func(dir, name string, peers ...string) *pb.Keys {
		return &pb.Keys{Certificate: filepath.Join(dir, name+".pem"), Key: filepath.Join(dir, name+".key"), Trusted: filepath.Join(dir, "trusted.pem"), Peer: peers}
	}
	c := conf(t, "a", "127.0.0.1:0", 1, "")
	c.Plain, c.Keys = false, of(dir, "weirplan", "e*")
	_, address, _ := start(t, c, Options{})
	good := followerWith(t, "e0", filepath.Join(t.TempDir(), "e"), &pb.Planner{Address: []string{address}, Keys: of(dir, "e0")})
	until(t, "a view under keys", func() bool { return good.holds(pb.Item_VOLUME, "v") != nil })
	good.stop()
	refused := func(name string, p *pb.Planner, why string) {
		t.Helper()
		var log strings.Builder
		var mu sync.Mutex
		f, err := client.Open(client.Config{Planner: p, Name: name, Address: "x", File: filepath.Join(t.TempDir(), "e"), Sink: &edge{t: t, items: map[snapshot.Key]*pb.Item{},
			drained: map[string]bool{}}, Seed: 1, MinBackoff: 5 * time.Millisecond, MaxBackoff: 20 * time.Millisecond, Log: slog.New(slog.NewTextHandler(&locked{&mu, &log}, nil))})
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan bool)
		go func() { f.Run(ctx); close(done) }()
		until(t, why, func() bool { mu.Lock(); defer mu.Unlock(); return strings.Contains(log.String(), why) })
		cancel()
		<-done
	}
	p := func(k *pb.Keys) *pb.Planner { return &pb.Planner{Address: []string{address}, Keys: k} }
	refused("e0", p(of(other, "e0")), "not trusted")
	refused("e1", p(of(dir, "e0")), "does not let it speak for")
	wrong := p(of(dir, "e0"))
	wrong.ServerName = "somebody"
	refused("e0", wrong, "somebody")
	if err := tlskeys.Make(dir, []string{"e1"}, -30*time.Second); err != nil {
		t.Fatal(err)
	}
	if _, err := tlskeys.Load(of(dir, "e1"), quiet); err == nil || !strings.Contains(err.Error(), "out of date") {
		t.Error(err)
	}
	// The planner gets keys of another signer while it runs; an edge that trusts that signer comes in.
	for _, f := range []string{"weirplan.key", "weirplan.pem", "trusted.pem"} {
		b, err := os.ReadFile(filepath.Join(other, f))
		if err == nil {
			err = os.WriteFile(filepath.Join(dir, f), b, 0o600)
		}
		if err != nil {
			t.Fatal(err)
		}
	}
	changed := followerWith(t, "e0", filepath.Join(t.TempDir(), "e"), p(of(other, "e0")))
	until(t, "a view under changed keys", func() bool { return changed.holds(pb.Item_VOLUME, "v") != nil })
	c = conf(t, "a", "0.0.0.0:0", 1, "")
	if err := Run(context.Background(), c, Options{Log: quiet}); err == nil || !strings.Contains(err.Error(), "loopback") {
		t.Error(err)
	}
}

type locked struct {
	mu *sync.Mutex
	b  *strings.Builder
}

func (l *locked) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(b)
}
