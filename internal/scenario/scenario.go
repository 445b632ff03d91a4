// Package scenario runs a scripted scenario on loopback addresses: fake storage nodes, a fake discovery service and fake
// clients in this process, gateways as processes of their own, and faults injected at scripted times. It records the
// traffic at the clients and endpoints, and package audit checks the record.
package scenario

import (
	"bufio"
	"context"
	"embed"
	"errors"
	"fmt"
	"io"
	"math/rand"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"google.golang.org/protobuf/proto"

	"weirhaven/internal/audit"
	"weirhaven/internal/fake/client"
	"weirhaven/internal/fake/discovery"
	"weirhaven/internal/fake/loopback"
	"weirhaven/internal/fake/storagenode"
	"weirhaven/internal/fleet/endpointstate"
	"weirhaven/internal/fleet/store"
	"weirhaven/internal/pb"
	"weirhaven/internal/record"
	"weirhaven/internal/settings"
)

//go:embed days/*.txtpb
var builtin embed.FS

// Names returns the names of the built-in scenarios.
func Names() []string {
	var names []string
	entries, _ := builtin.ReadDir("days")
	for _, e := range entries {
		names = append(names, strings.TrimSuffix(e.Name(), ".txtpb"))
	}
	return names
}

// Load reads a built-in scenario by its name, or a scenario file by its path, which contains a slash or a dot.
func Load(name string) (*pb.Drill, error) {
	d := &pb.Drill{}
	if strings.ContainsAny(name, "/.") {
		return d, settings.Load(name, d)
	}
	text, err := builtin.ReadFile("days/" + name + ".txtpb")
	if err != nil {
		return nil, fmt.Errorf("no scenario %q; built-in scenarios are %s; for a file, give a path", name, strings.Join(Names(), ", "))
	}
	return d, settings.Parse(name+".txtpb", text, d)
}

// Options are the settings of a run.
type Options struct {
	Seed int64
	// Gateway is the command line that runs a gateway; "--config FILE" is appended.
	Gateway []string
	Env     []string
	// Arm is the run's name in a comparison, such as that of its scheduler. The record's header carries it.
	Arm string
	// Logs receives the logs of the gateways and the controller; nil discards them.
	Logs io.Writer
	// StateInterval is the interval at which gateways log their state as JSON; 0 disables it.
	StateInterval time.Duration
	// Controller is the command line that runs the controller; "--config FILE" is appended. Scenarios with a controller
	// need it.
	Controller []string
	// Capture is the folder into which gateways capture their load; empty disables it.
	Capture string
	// ObservationTolerance is the delay that the audit allows between an event and its observation; 0 means 50 ms.
	ObservationTolerance time.Duration
}

// Result is the record of a run and the audit's verdict on it.
type Result struct {
	Header       *pb.Header
	Observations []*pb.Seen
	Verdict      *audit.Verdict
	FailedExits  []string // one message for each gateway that exited with an error after SIGTERM
	Controller   ControllerFaults
	Objects      ObjectCounts
}

// ControllerFaults counts the faults injected into the controller. Rollbacks are kills after which it restarted with an older
// copy of its store, or with none.
type ControllerFaults struct{ Kills, Rollbacks, Stalls int }

// gatewayProcess is a gateway's process, which may be restarted during a run.
type gatewayProcess struct {
	ordinal       int
	incarnation   atomic.Uint32
	mu            sync.Mutex
	cmd           *exec.Cmd
	stdin         io.WriteCloser
	exited        chan struct{}
	err           error
	address       string
	peerAddress   string
	objectAddress string // listen address of the object API
	stopped       bool   // killed or told to stop by this package
}

// runner holds the state of one run.
type runner struct {
	scenario        *pb.Drill
	options         Options
	rng             *rand.Rand
	recorder        *record.Recorder
	directory       string
	ip              string
	gateways        []*gatewayProcess
	discovery       *discovery.Service
	controller      *controllerProcess // nil without a controller
	load            *client.Load
	meter           *storagenode.Meter
	idempotencyKeys map[string]*storagenode.IdempotencyKeys
	dataByShard     map[int]*storagenode.Data // the replacement of an endpoint gets the same data
	objects         *objectClients            // nil without object requests

	mu               sync.Mutex
	endpoints        []*storagenode.Node // current endpoint of each shard
	placements       []placement
	endpointsStarted int
	replaced         []*storagenode.Node
	failedExits      []string
	wg               sync.WaitGroup
}

// placement describes the endpoints of a shard.
type placement struct {
	kind  *pb.BrickKind
	zone  string
	speed float64
}

// Run runs a scenario to its end.
func Run(ctx context.Context, d *pb.Drill, o Options) (*Result, error) {
	if o.ObservationTolerance == 0 {
		o.ObservationTolerance = 50 * time.Millisecond
	}
	dir, err := os.MkdirTemp("", "weirhaven-drill-")
	if err != nil {
		return nil, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	r := &runner{scenario: d, options: o, rng: rand.New(rand.NewSource(o.Seed)), recorder: record.New(), directory: dir, idempotencyKeys: map[string]*storagenode.IdempotencyKeys{}, dataByShard: map[int]*storagenode.Data{}}
	if o.Capture != "" { // one key for all gateways; removed with the run's directory
		if err := os.WriteFile(filepath.Join(dir, "key"), fmt.Appendf(nil, "capture key of drill seed %d", o.Seed), 0o600); err != nil {
			return nil, err
		}
	}
	r.ip = loopback.IP()
	if err := r.run(ctx); err != nil {
		return nil, err
	}
	h := &pb.Header{Seed: o.Seed, Drill: d.Name, Fleet: d.Fleet, QueueType: d.QueueType, Plan: d.Plan, Hosts: d.Hosts,
		Blur: int64(o.ObservationTolerance), Arm: o.Arm}
	seen := r.recorder.All()
	return &Result{Header: h, Observations: seen, Verdict: audit.Judge(h, seen), FailedExits: r.failedExits, Controller: r.controller.faultCounts(), Objects: r.objects.counts()}, nil
}

func (r *runner) run(ctx context.Context) (err error) {
	defer func() {
		r.killAll()
		r.controller.kill()
		r.wg.Wait()
		r.mu.Lock()
		all := append(slices.Clone(r.endpoints), r.replaced...)
		r.mu.Unlock()
		for _, endpoint := range all {
			endpoint.Stop()
		}
		if r.discovery != nil {
			r.discovery.Stop()
		}
	}()
	if err := r.startEndpoints(); err != nil {
		return err
	}
	if r.scenario.Planner {
		if err := r.startController(ctx); err != nil {
			return err
		}
	}
	if err := r.startGateways(ctx); err != nil {
		return err
	}
	if err := r.controller.waitUpToDate(ctx, len(r.gateways)); err != nil {
		return err
	}
	volumes := r.volumes()
	fleet := r.scenario.Fleet
	r.load = client.Start(client.Config{AddressOf: func(i int) string { return r.gateways[i].address }, Gateways: len(r.gateways),
		QueueTypes: r.scenario.QueueType, Volumes: volumes, Load: r.scenario.Load, MeanUnits: fleet.UsualUnits, MaxUnits: fleet.MostUnits,
		MaxRetryAfter: settings.Duration(fleet.MaxPause, 0), MarkRetries: fleet.ClientsMarkRepeats, Seed: r.rng.Int63(), Recorder: r.recorder,
		Incarnation: func(i int) uint32 { return r.gateways[i].incarnation.Load() }})
	defer r.load.Stop()
	select { // gateways accept the clients' connections and read their first endpoint list
	case <-time.After(300 * time.Millisecond):
	case <-ctx.Done():
		return ctx.Err()
	}
	script, stop := context.WithCancel(ctx)
	defer stop()
	start := time.Now()
	for _, t := range r.scenario.Trouble {
		seed := r.rng.Int63()
		r.wg.Add(1)
		go func() {
			defer r.wg.Done()
			r.playFault(script, t, start, rand.New(rand.NewSource(seed)))
		}()
	}
	if r.scenario.Objects != nil {
		r.objects = r.startObjectClients(ctx)
	}
	r.load.Run(ctx, settings.Duration(r.scenario.Length, 0))
	stop()
	r.wg.Wait()
	r.objects.finish(ctx)
	for _, p := range r.gateways {
		r.stopGateway(p)
	}
	r.load.Stop()
	return ctx.Err()
}

func (r *runner) startEndpoints() error {
	kinds := map[string]*pb.BrickKind{}
	for _, k := range r.scenario.Kind {
		kinds[k.Name] = k
	}
	for _, g := range r.scenario.Bricks {
		if kinds[g.Kind] == nil {
			return fmt.Errorf("scenario %s: endpoints of kind %q, which is not defined", r.scenario.Name, g.Kind)
		}
		for range g.Count {
			zone := g.Zone
			if zone == "" {
				zone = "hall"
			}
			r.placements = append(r.placements, placement{kinds[g.Kind], zone, max(g.Speed, 0)})
		}
	}
	f := r.scenario.Fleet
	if m := settings.Duration(f.Meter, 0); m > 0 {
		r.meter = storagenode.NewMeter(m, m/2, r.nominalRate)
	}
	l := r.scenario.List
	if l == nil {
		l = &pb.ListHabits{}
	}
	var err error
	r.discovery, err = discovery.Start(discovery.Config{Address: r.ip + ":0", PollOnly: f.ListAsked, NotifyDelay: settings.Duration(l.Notice, 0),
		ClockOffset: settings.Duration(l.ClockOff, 0), FailureShare: l.Fails, Seed: r.rng.Int63(), Recorder: r.recorder, GatewayOf: r.gatewayByName})
	if err != nil {
		return err
	}
	r.endpoints = make([]*storagenode.Node, len(r.placements))
	for shard := range r.placements {
		endpoint, err := r.startEndpoint(shard, "", slices.Contains(l.Cold, uint32(shard)), "127.0.0.1:0")
		if err != nil {
			return err
		}
		if slices.Contains(l.Drained, uint32(shard)) {
			r.listAs(endpoint, shard, "draining")
			endpoint.AnnounceDraining()
		}
	}
	return nil
}

// writeStores writes the gateways' stores as they were saved SavedAge ago, when every endpoint was serving and none was in slow
// start.
func (r *runner) writeStores() error {
	at := time.Duration(time.Now().UnixNano()) - settings.Duration(r.scenario.List.SavedAge, 0)
	var all []endpointstate.Belief
	for shard, endpoint := range r.endpoints {
		all = append(all, endpointstate.Belief{Source: endpointstate.List, Report: endpointstate.Report{Name: endpoint.Name(), Address: endpoint.Address(), Zone: r.placements[shard].zone,
			Shard: shard, Serving: true, ObservedAt: at}})
	}
	for _, p := range r.gateways {
		s, _, err := store.Open(r.storePath(p), fmt.Sprintf("host-%d", p.ordinal))
		if err != nil {
			return err
		}
		_, err = s.Save(all, endpointstate.Generation{Epoch: "before", Number: 1})
		if err = errors.Join(err, s.Close()); err != nil {
			return err
		}
	}
	return nil
}

func (r *runner) storePath(p *gatewayProcess) string {
	return filepath.Join(r.directory, fmt.Sprintf("host-%d.db", p.ordinal))
}

func (r *runner) gatewayByName(name string) (uint32, uint32) {
	var number int
	if _, err := fmt.Sscanf(name, "host-%d", &number); err != nil || number < 0 || number >= len(r.gateways) {
		return 1 << 31, 0
	}
	return uint32(number), r.gateways[number].incarnation.Load()
}

func (r *runner) nominalRate(volume string) float64 {
	name, _, _ := strings.Cut(volume, "-")
	for _, p := range r.scenario.Plan {
		if p.Name == name {
			return p.Nominal
		}
	}
	return 1
}

// startEndpoint starts an endpoint of a shard and adds it to discovery. With an empty name it gets a new one.
func (r *runner) startEndpoint(shard int, name string, cold bool, address string) (*storagenode.Node, error) {
	s, f := r.placements[shard], r.scenario.Fleet
	r.mu.Lock()
	defer r.mu.Unlock()
	if name == "" {
		r.endpointsStarted++
		name = fmt.Sprintf("brick-%d", r.endpointsStarted)
	}
	c := storagenode.Config{Name: name, Zone: s.zone, Address: strings.Replace(address, "127.0.0.1", r.ip, 1), Shard: shard, Kind: s.kind,
		Speed: s.speed, Seed: r.rng.Int63(), SlowStart: cold, CollapseMultiple: f.FallMultiple,
		CollapseAfter: settings.Duration(f.FallAfter, 0), WriteClasses: map[string]bool{}, Recorder: r.recorder, Meter: r.meter,
		ReportOtherGateways: f.TellsElsewhere, GatewayOf: r.gatewayByName}
	group := "all"
	for _, q := range r.scenario.QueueType {
		c.WriteClasses[q.Name] = q.Writes
		c.IdempotencyWindow = max(c.IdempotencyWindow, settings.Duration(q.TagWindow, 0))
		switch q.Group {
		case pb.Group_ZONE:
			group = "zone " + s.zone
		case pb.Group_CELL:
			group = fmt.Sprint("cell ", shard)
		}
	}
	if r.idempotencyKeys[group] == nil {
		r.idempotencyKeys[group] = storagenode.NewIdempotencyKeys()
	}
	c.Keys = r.idempotencyKeys[group]
	if r.scenario.Objects != nil {
		if r.dataByShard[shard] == nil {
			r.dataByShard[shard] = storagenode.NewData()
		}
		c.Data = r.dataByShard[shard]
	}
	endpoint, err := storagenode.Start(c)
	if err != nil {
		return nil, err
	}
	r.endpoints[shard] = endpoint
	e := discovery.Entry{Name: name, Address: endpoint.Address(), Zone: s.zone, Shard: shard, State: "serving"}
	if cold {
		e.Started = endpoint.Started()
	}
	r.discovery.Set(e)
	return endpoint, nil
}

// listAs sets the state that discovery reports for an endpoint.
func (r *runner) listAs(endpoint *storagenode.Node, shard int, state string) {
	r.discovery.Set(discovery.Entry{Name: endpoint.Name(), Address: endpoint.Address(), Zone: r.placements[shard].zone, Shard: shard, State: state})
}

func (r *runner) volumes() []client.Volume {
	var all []client.Volume
	for _, g := range r.scenario.Volumes {
		plan := slices.IndexFunc(r.scenario.Plan, func(p *pb.Plan) bool { return p.Name == g.Plan })
		if plan < 0 {
			continue
		}
		for range g.Count {
			all = append(all, client.Volume{Name: volumeName(g.Plan, len(all)), Plan: uint32(plan),
				Shards:   r.rng.Perm(len(r.placements))[:min(int(g.Cells), len(r.placements))],
				Gateways: r.rng.Perm(len(r.gateways))[:min(int(g.Hosts), len(r.gateways))], Demand: g.Demand * r.scenario.Plan[plan].Nominal})
		}
	}
	return all
}

func volumeName(plan string, n int) string { return fmt.Sprintf("%s-%d", plan, n) }

// freePorts returns UDP addresses with ports that are free on this run's own IP address.
func (r *runner) freePorts(n int) ([]string, error) {
	var found []string
	for range n {
		c, err := net.ListenPacket("udp", r.ip+":0")
		if err != nil {
			return nil, err
		}
		defer func() { _ = c.Close() }()
		found = append(found, c.LocalAddr().String())
	}
	return found, nil
}

func (r *runner) startGateways(ctx context.Context) error {
	peers, err := r.freePorts(int(r.scenario.Hosts))
	if err != nil {
		return err
	}
	for i := range int(r.scenario.Hosts) {
		r.gateways = append(r.gateways, &gatewayProcess{ordinal: i, address: r.ip + ":0", peerAddress: peers[i]})
	}
	if r.scenario.Objects != nil {
		if err := r.reserveObjectPorts(); err != nil {
			return err
		}
	}
	if r.scenario.GetList().GetAbsent() {
		if err := r.writeStores(); err != nil {
			return err
		}
	}
	errs := make([]error, len(r.gateways))
	var wg sync.WaitGroup
	for i, p := range r.gateways {
		wg.Add(1)
		go func() {
			defer wg.Done()
			errs[i] = r.startGateway(ctx, p)
		}()
	}
	wg.Wait()
	return errors.Join(errs...)
}

func (r *runner) gatewaySettings(p *gatewayProcess) *pb.Edge {
	e := &pb.Edge{Name: fmt.Sprintf("host-%d", p.ordinal), Listen: p.address, ListService: r.discovery.Address(), PeerListen: p.peerAddress,
		Ordinal: uint32(p.ordinal), Hosts: r.scenario.Hosts, Zone: r.placements[0].zone, Seed: r.options.Seed*1000 + int64(p.ordinal)*16 + int64(p.incarnation.Load()) + 1,
		Fleet: r.scenario.Fleet, QueueType: r.scenario.QueueType, Plan: r.scenario.Plan, Bounds: r.scenario.Bounds}
	e.Store, e.Network = r.storePath(p), []string{"127.0.0.0/8"}
	if r.scenario.GetList().GetAbsent() || r.scenario.Planner {
		e.ListService = ""
	}
	if o := r.scenario.Objects; o != nil {
		e.Objects = &pb.ObjectApi{Listen: p.objectAddress, Index: filepath.Join(r.directory, fmt.Sprintf("objects-%d.db", p.ordinal)), ReadType: o.ReadType, WriteType: o.WriteType,
			Extent: o.Extent, Unit: o.Unit, LooseAge: "2s"}
	}
	if r.scenario.Planner {
		e.Planner = &pb.Planner{Address: []string{r.controller.address}, Plain: true}
	}
	for _, x := range r.gateways {
		if x != p {
			e.Peer = append(e.Peer, &pb.Peer{Ordinal: uint32(x.ordinal), Address: x.peerAddress})
		}
	}
	if r.options.Capture != "" {
		e.Capture = &pb.Capture{Folder: r.options.Capture, Key: filepath.Join(r.directory, "key"), On: true}
	}
	if r.options.StateInterval > 0 {
		e.Log = &pb.Log{Form: "json", State: r.options.StateInterval.String()}
	}
	n := 0
	for _, g := range r.scenario.Volumes {
		for range g.Count {
			e.Volume = append(e.Volume, &pb.Volume{Name: volumeName(g.Plan, n), Plan: g.Plan, Hosts: min(g.Hosts, r.scenario.Hosts)})
			n++
		}
	}
	return e
}

// startGateway starts a gateway's process and waits until it serves.
func (r *runner) startGateway(ctx context.Context, p *gatewayProcess) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.incarnation.Add(1)
	text, err := settings.Text(r.gatewaySettings(p))
	if err != nil {
		return err
	}
	file := filepath.Join(r.directory, fmt.Sprintf("host-%d.txtpb", p.ordinal))
	if err := os.WriteFile(file, text, 0o600); err != nil {
		return err
	}
	cmd := exec.Command(r.options.Gateway[0], append(slices.Clone(r.options.Gateway[1:]), "--config", file)...)
	cmd.Env = append(os.Environ(), r.options.Env...)
	tail := &logTail{to: r.options.Logs}
	cmd.Stderr = tail
	out, err := cmd.StdoutPipe()
	if err != nil {
		return err
	}
	// A gateway exits when this pipe is closed, so that none is left over if this process is killed.
	in, err := cmd.StdinPipe()
	if err != nil {
		return err
	}
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start gateway %d: %w", p.ordinal, err)
	}
	p.cmd, p.stdin, p.stopped, p.exited = cmd, in, false, make(chan struct{})
	ready := make(chan string, 1)
	go func() {
		lines := bufio.NewScanner(out)
		for lines.Scan() {
			if rest, ok := strings.CutPrefix(lines.Text(), "READY "); ok {
				ready <- rest
			}
		}
		p.err = cmd.Wait()
		close(p.exited)
	}()
	select {
	case a := <-ready:
		if strings.HasSuffix(p.address, ":0") { // a restarted gateway listens on the same port
			p.address = strings.Fields(a)[0]
		}
		r.recorder.See(&pb.Seen{What: pb.Seen_HOST_UP, Host: uint32(p.ordinal), Incarnation: p.incarnation.Load()})
		return nil
	case <-p.exited:
		return fmt.Errorf("gateway %d exited before it served: %w\n%s", p.ordinal, exitError(p.err), tail.last())
	case <-time.After(20 * time.Second):
		_ = cmd.Process.Kill()
		return fmt.Errorf("gateway %d did not serve within 20 s\n%s", p.ordinal, tail.last())
	case <-ctx.Done():
		_ = cmd.Process.Kill()
		return ctx.Err()
	}
}

// killGateway ends a gateway with SIGKILL.
func (r *runner) killGateway(p *gatewayProcess) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil || p.stopped {
		return
	}
	p.stopped = true
	r.recorder.See(&pb.Seen{What: pb.Seen_HOST_DOWN, Host: uint32(p.ordinal), Incarnation: p.incarnation.Load(), How: "killed"})
	_ = p.cmd.Process.Kill()
	<-p.exited
}

// stopGateway sends SIGTERM to a gateway, which must finish its open requests and exit with status 0.
func (r *runner) stopGateway(p *gatewayProcess) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil || p.stopped {
		return
	}
	p.stopped = true
	r.recorder.See(&pb.Seen{What: pb.Seen_HOST_DOWN, Host: uint32(p.ordinal), Incarnation: p.incarnation.Load(), How: "stopping"})
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
	longest := 5 * time.Second
	for _, q := range r.scenario.QueueType {
		longest = max(longest, settings.Duration(q.CommandTimeout, 0)+5*time.Second)
	}
	select {
	case <-p.exited:
	case <-time.After(longest):
		_ = p.cmd.Process.Kill()
		<-p.exited
	}
	if p.err != nil {
		r.mu.Lock()
		r.failedExits = append(r.failedExits, fmt.Sprintf("gateway %d after SIGTERM: %v", p.ordinal, p.err))
		r.mu.Unlock()
	}
}

func (r *runner) killAll() {
	for _, p := range r.gateways {
		p.mu.Lock()
		if p.cmd != nil && !p.stopped {
			p.stopped = true
			_ = p.cmd.Process.Kill()
			<-p.exited
		}
		p.mu.Unlock()
	}
}

// logTail forwards a process's log and keeps its last part for the error message when the process fails to start.
type logTail struct {
	mu  sync.Mutex
	to  io.Writer
	buf []byte
}

func (t *logTail) Write(b []byte) (int, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.buf = append(t.buf, b...)
	if len(t.buf) > 8<<10 {
		t.buf = t.buf[len(t.buf)-4<<10:]
	}
	if t.to != nil {
		_, _ = t.to.Write(b)
	}
	return len(b), nil
}

func (t *logTail) last() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return string(t.buf)
}

// Describe returns a scenario's fleet as an operator would describe it: names, zones, queue lengths and the shards of each volume.
// It leaves out the endpoints' service times, which are learned from captures.
func Describe(d *pb.Drill, seed int64) *pb.CapacityFleet {
	f := &pb.CapacityFleet{Rules: d.Fleet, QueueType: d.QueueType, Plan: d.Plan, Bounds: d.Bounds}
	for _, k := range d.Kind {
		f.Kind = append(f.Kind, &pb.ServerKind{Name: k.Name, Cores: 1, Queue: k.Queue, DropsExpired: k.DropsExpired, Cancel: pb.BrickCancel(k.Cancel)})
	}
	for _, g := range d.Bricks {
		for range g.Count {
			n := len(f.Brick)
			f.Brick = append(f.Brick, &pb.Server{Name: fmt.Sprintf("brick-%d", n+1), Kind: g.Kind, Zone: g.Zone, Cell: uint32(n)})
		}
	}
	for i := range d.Hosts {
		f.Host = append(f.Host, &pb.HostLine{Name: fmt.Sprintf("host-%d", i), Zone: d.Bricks[0].Zone})
	}
	l := d.Load
	f.Client = &pb.CapacityModel_ClientModel{Repeats: float64(min(l.Repeats, 1)), Most: l.Repeats, Wait: settings.Duration(l.RepeatAfter, 0).Seconds(), Stays: true}
	// Skip the random draws that Run makes before those of the volumes: one for the discovery service, one for each endpoint.
	r := &runner{scenario: d, rng: rand.New(rand.NewSource(seed)), gateways: make([]*gatewayProcess, d.Hosts), placements: make([]placement, len(f.Brick))}
	for range 1 + len(f.Brick) {
		r.rng.Int63()
	}
	for _, v := range r.volumes() {
		x := &pb.PlacedVolume{Name: v.Name, Plan: d.Plan[v.Plan].Name, Hosts: uint32(len(v.Gateways))}
		for _, c := range v.Shards {
			x.Cell = append(x.Cell, uint32(c))
		}
		f.Volume = append(f.Volume, x)
	}
	return f
}

// Extend returns a copy of a scenario with another length, over which its faults are repeated.
func Extend(d *pb.Drill, length time.Duration) *pb.Drill {
	extended := proto.Clone(d).(*pb.Drill)
	extended.Length, extended.Trouble = length.String(), nil
	once := settings.Duration(d.Length, length)
	for at := time.Duration(0); at < length; at += once {
		for _, t := range d.Trouble {
			t = proto.Clone(t).(*pb.Trouble)
			t.At = (at + settings.Duration(t.At, 0)).String()
			extended.Trouble = append(extended.Trouble, t)
		}
	}
	return extended
}

// errExitedCleanly reports that a process exited with status 0, for which exec returns no error.
var errExitedCleanly = errors.New("exit status 0")

// exitError returns the error with which a process ended; it is never nil.
func exitError(err error) error {
	if err == nil {
		return errExitedCleanly
	}
	return err
}
