package server

import (
	"bufio"
	"context"
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

	"weirhaven/internal/controlplane/client"
	"weirhaven/internal/controlplane/snapshot"
	"weirhaven/internal/controlplane/statemachine"
	"weirhaven/internal/engine"
	"weirhaven/internal/fleet/endpointstate"
	"weirhaven/internal/pb"
	"weirhaven/internal/settings"
)

const (
	controllerArgument = "controller"             // first argument that makes the test binary run a controller
	killAfterVariable  = "TEST_KILL_AFTER_WRITES" // environment variable: number of writes after which the controller is killed; 0: never
)

var discardLog = slog.New(slog.DiscardHandler)

func TestMain(m *testing.M) {
	if len(os.Args) > 2 && os.Args[1] == controllerArgument {
		runAsController(os.Args[2])
	}
	os.Exit(m.Run())
}

// runAsController runs a controller with a settings file until standard input is closed, which happens when the test process exits.
func runAsController(file string) {
	conf := &pb.PlannerConf{}
	if err := settings.Load(file, conf); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	go func() {
		_, _ = io.Copy(io.Discard, os.Stdin)
		os.Exit(0)
	}()
	writes, _ := strconv.Atoi(os.Getenv(killAfterVariable))
	err := Run(context.Background(), conf, Options{
		Log:           discardLog,
		Ready:         func(address string) { fmt.Println("READY", address) },
		WrapPersister: func(p statemachine.Persister) statemachine.Persister { return &killAfterWrites{p, writes} },
	})
	fmt.Fprintln(os.Stderr, err)
	os.Exit(1)
}

// killAfterWrites is a Persister that kills the process after a write of records, before they are sent.
type killAfterWrites struct {
	statemachine.Persister
	writesLeft int // number of writes until the process is killed; 0: never
}

func (k *killAfterWrites) Persist(term *pb.Tenure, generation uint64, changed []*pb.Item) error {
	err := k.Persister.Persist(term, generation, changed)
	if len(changed) > 0 && k.writesLeft > 0 {
		if k.writesLeft--; k.writesLeft == 0 {
			syscall.Kill(os.Getpid(), syscall.SIGKILL)
		}
	}
	return err
}

// testConf returns the settings of a controller with a short lease.
func testConf(t testing.TB, name, listen string, gateways int, extraSettings string) *pb.PlannerConf {
	t.Helper()
	conf := &pb.PlannerConf{}
	text := fmt.Sprintf(`name: %q listen: %q store: %q plain: true edges: %d lease: "400ms" recover: "300ms"
fleet { max_dispatches: 3 resolution: "10ms" usual_units: 1 most_units: 8 }
plan { name: "basic" nominal: 10 weight: 1 }
volume { name: "v" plan: "basic" hosts: 2 }
%s`, name, listen, filepath.Join(t.TempDir(), name+".db"), gateways, extraSettings)
	if err := settings.Parse("test", []byte(text), conf); err != nil {
		t.Fatal(err)
	}
	return conf
}

// start runs a controller in this process.
func start(t testing.TB, conf *pb.PlannerConf, options Options) (c *Controller, address string, stop func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	ready, done, created := make(chan string, 1), make(chan error, 1), make(chan *Controller, 1)
	options.Log, options.Ready = discardLog, func(address string) { ready <- address }
	go func() { done <- run(ctx, conf, options, func(c *Controller) { created <- c }) }()
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
	return <-created, address, stop
}

// startProcess runs a controller in its own process, which is killed after killAfter writes or, if that is 0, at the end of the
// test.
func startProcess(t testing.TB, conf *pb.PlannerConf, killAfter int) (process *exec.Cmd, address string) {
	t.Helper()
	text, err := settings.Text(conf)
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(t.TempDir(), "controller.txtpb")
	if err := os.WriteFile(file, text, 0o600); err != nil {
		t.Fatal(err)
	}
	process = exec.Command(os.Args[0], controllerArgument, file)
	process.Env = append(os.Environ(), fmt.Sprint(killAfterVariable, "=", killAfter))
	process.Stderr = os.Stderr
	stdin, _ := process.StdinPipe()
	stdout, _ := process.StdoutPipe()
	if err := process.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		stdin.Close()
		process.Process.Signal(syscall.SIGCONT)
		process.Process.Kill()
		process.Wait()
	})
	line, err := bufio.NewReader(stdout).ReadString('\n')
	address, ok := strings.CutPrefix(strings.TrimSpace(line), "READY ")
	if !ok {
		t.Fatal(line, err)
	}
	return process, address
}

// testGateway is a follower that checks that its term and generation never decrease and that no drain is lost.
type testGateway struct {
	t                 testing.TB
	follower          *client.Follower
	stop              func()
	highestGeneration uint64
	highestTerm       uint64

	mu       sync.Mutex
	received map[snapshot.Key]*pb.Item // latest records received in a snapshot or as evidence
	drained  map[string]bool           // drained endpoints
}

func newTestGateway(t testing.TB) *testGateway {
	return &testGateway{t: t, received: map[snapshot.Key]*pb.Item{}, drained: map[string]bool{}}
}

// Changed implements client.Sink.
func (g *testGateway) Changed(records []*pb.Item, _ bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, record := range records {
		g.received[snapshot.KeyOf(record)] = record
		endpoint := record.GetBrick()
		if endpoint == nil {
			continue
		}
		if g.drained[record.Name] && !snapshot.Drained(endpoint) {
			g.t.Errorf("the drain of %s was lost: %v", record.Name, record)
		}
		g.drained[record.Name] = snapshot.Drained(endpoint)
	}
}

func startGateway(t testing.TB, name, file string, addresses ...string) *testGateway {
	t.Helper()
	return startGatewayWith(t, name, file, &pb.Planner{Address: addresses, Plain: true})
}

func startGatewayWith(t testing.TB, name, file string, controllers *pb.Planner) *testGateway {
	t.Helper()
	g := newTestGateway(t)
	follower, err := client.Open(client.Config{Controllers: controllers, Gateway: name, ClientAddress: "127.0.0.1:1", SnapshotFile: file, Log: discardLog, Sink: g, Seed: 1,
		MinBackoff: 10 * time.Millisecond, MaxBackoff: 100 * time.Millisecond, SilenceTimeout: 700 * time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	g.follower = follower
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { follower.Run(ctx); close(done) }()
	var once sync.Once
	g.stop = func() { once.Do(func() { cancel(); <-done }) }
	t.Cleanup(g.stop)
	return g
}

// holds returns a record of the gateway's snapshot, or nil if there is none or only a tombstone.
func (g *testGateway) holds(kind pb.Item_Kind, name string) *pb.Item {
	_, _, _, records := g.follower.State()
	for _, record := range records {
		if record.Kind == kind && record.Name == name && !record.Gone && record.Generation > 0 {
			return record
		}
	}
	return nil
}

// lastReceived returns the version of a record that the gateway received last, in the snapshot or as evidence.
func (g *testGateway) lastReceived(kind pb.Item_Kind, name string) *pb.Item {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.received[snapshot.Key{Kind: kind, Name: name}]
}

// checkMonotonic fails if the gateway's generation or term has decreased since the last call.
func (g *testGateway) checkMonotonic() {
	g.t.Helper()
	_, term, generation, _ := g.follower.State()
	if generation < g.highestGeneration || term.GetTerm() < g.highestTerm {
		g.t.Errorf("the generation or term decreased: generation %d after %d, term %d after %d", generation, g.highestGeneration, term.GetTerm(), g.highestTerm)
	}
	g.highestGeneration, g.highestTerm = generation, term.GetTerm()
}

// waitFor waits until a condition is true, and fails after 15 s.
func waitFor(t testing.TB, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(15 * time.Second); !condition(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("timed out waiting for: ", what)
		}
	}
}

// changeList passes a full endpoint list (whole) or changes of it to the controller.
func changeList(c *Controller, number int64, whole bool, entries ...engine.EndpointEntry) {
	c.ListReceived(endpointstate.Generation{Epoch: "list", Number: number}, whole, entries)
}

// endpoint returns the list entry of endpoint b<i> in shard i, in alternating zones.
func endpoint(i int, serving bool) engine.EndpointEntry {
	return engine.EndpointEntry{Name: fmt.Sprint("b", i), Address: fmt.Sprint("127.0.0.1:", 1000+i), Zone: []string{"n", "s"}[i%2], Shard: i, Serving: serving}
}

// freeAddress returns an address on which no process is listening.
func freeAddress(t testing.TB) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

// digestOf returns the digest of the records that gateways should hold.
func digestOf(c *Controller) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state.Digest()
}

func byKey(records []*pb.Item) map[snapshot.Key]*pb.Item {
	all := map[snapshot.Key]*pb.Item{}
	for _, record := range records {
		all[snapshot.KeyOf(record)] = record
	}
	return all
}
