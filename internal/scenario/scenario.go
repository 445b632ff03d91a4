// Package scenario plays a scripted day on loopback: stand-in bricks, list service and clients in this process, hosts
// as processes of their own, troubles by script. What crossed the sockets is recorded and judged by the audit.
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
var own embed.FS

// Names are the drills that come with the program.
func Names() []string {
	var names []string
	entries, _ := own.ReadDir("days")
	for _, e := range entries {
		names = append(names, strings.TrimSuffix(e.Name(), ".txtpb"))
	}
	return names
}

// Load reads a drill by its name, or a file.
func Load(name string) (*pb.Drill, error) {
	d := &pb.Drill{}
	if strings.ContainsAny(name, "/.") {
		return d, settings.Load(name, d)
	}
	text, err := own.ReadFile("days/" + name + ".txtpb")
	if err != nil {
		return nil, fmt.Errorf("no drill %q; there are %s, or a file", name, strings.Join(Names(), ", "))
	}
	return d, settings.Parse(name+".txtpb", text, d)
}

// Options say how a drill is run.
type Options struct {
	Seed int64
	// Gateway is the command that runs a host; "--config FILE" is added.
	Gateway []string
	Env     []string
	// Arm names what decides in the hosts.
	Arm string
	// Logs takes what the hosts log; nil: nowhere.
	Logs io.Writer
	// StateInterval lets hosts log what they hold this often, as JSON; 0: not.
	StateInterval time.Duration
	// Controller is the command that runs a planner; "--config FILE" is added. Drills with a planner need it.
	Controller []string
	// Capture lets hosts record their load into this folder.
	Capture string
	// ObservationTolerance is how late the observer may read; 0: 50 ms.
	ObservationTolerance time.Duration
}

// Result is a drill's record and verdict.
type Result struct {
	Header       *pb.Header
	Observations []*pb.Seen
	Verdict      *audit.Verdict
	FailedExits  []string // of hosts told to stop that did not end well
	Controller   ControllerFaults
	Objects      ObjectCounts
}

// ControllerFaults counts what a planner went through.
type ControllerFaults struct{ Kills, Rollbacks, Stalls int }

type hostProcess struct {
	no          int
	incarnation atomic.Uint32
	mu          sync.Mutex
	cmd         *exec.Cmd
	stdin       io.WriteCloser
	exited      chan struct{}
	err         error
	address     string
	peers       string
	objects     string // address of its object API
	killed      bool
}

type runner struct {
	d     *pb.Drill
	o     Options
	rng   *rand.Rand
	rec   *record.Recorder
	dir   string
	ip    string
	hosts []*hostProcess
	list  *discovery.Service
	plan  *plannerProcess // nil: none
	load  *client.Load
	meter *storagenode.Meter
	tags  map[string]*storagenode.IdempotencyKeys
	data  map[int]*storagenode.Data // by cell: what replaces a brick holds what it held
	works *objectWorks              // nil: none

	mu     sync.Mutex
	bricks []*storagenode.Node // by cell; the one there now
	slots  []slot
	serial int
	old    []*storagenode.Node
	exits  []string
	wg     sync.WaitGroup
}

type slot struct {
	kind  *pb.BrickKind
	zone  string
	speed float64
}

// Run plays a drill to its end.
func Run(ctx context.Context, d *pb.Drill, o Options) (*Result, error) {
	if o.ObservationTolerance == 0 {
		o.ObservationTolerance = 50 * time.Millisecond
	}
	dir, err := os.MkdirTemp("", "weirhaven-drill-")
	if err != nil {
		return nil, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	r := &runner{d: d, o: o, rng: rand.New(rand.NewSource(o.Seed)), rec: record.New(), dir: dir, tags: map[string]*storagenode.IdempotencyKeys{}, data: map[int]*storagenode.Data{}}
	if o.Capture != "" { // one key for all hosts, gone with the run
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
	seen := r.rec.All()
	return &Result{Header: h, Observations: seen, Verdict: audit.Judge(h, seen), FailedExits: r.exits, Controller: r.plan.went(), Objects: r.works.counts()}, nil
}

func (r *runner) run(ctx context.Context) (err error) {
	defer func() {
		r.killAll()
		r.plan.kill()
		r.wg.Wait()
		r.mu.Lock()
		all := append(slices.Clone(r.bricks), r.old...)
		r.mu.Unlock()
		for _, b := range all {
			b.Stop()
		}
		if r.list != nil {
			r.list.Stop()
		}
	}()
	if err := r.startBricks(); err != nil {
		return err
	}
	if r.d.Planner {
		if err := r.startPlanner(ctx); err != nil {
			return err
		}
	}
	if err := r.startHosts(ctx); err != nil {
		return err
	}
	if err := r.plan.settled(ctx, len(r.hosts)); err != nil {
		return err
	}
	volumes := r.volumes()
	h := r.d.Fleet
	r.load = client.Start(client.Config{AddressOf: func(i int) string { return r.hosts[i].address }, Gateways: len(r.hosts),
		QueueTypes: r.d.QueueType, Volumes: volumes, Load: r.d.Load, MeanUnits: h.UsualUnits, MaxUnits: h.MostUnits,
		MaxRetryAfter: settings.Duration(h.MaxPause, 0), MarkRetries: h.ClientsMarkRepeats, Seed: r.rng.Int63(), Recorder: r.rec,
		Incarnation: func(i int) uint32 { return r.hosts[i].incarnation.Load() }})
	defer r.load.Stop()
	select { // hosts greet their clients and read their first list
	case <-time.After(300 * time.Millisecond):
	case <-ctx.Done():
		return ctx.Err()
	}
	script, stop := context.WithCancel(ctx)
	defer stop()
	start := time.Now()
	for _, t := range r.d.Trouble {
		seed := r.rng.Int63()
		r.wg.Add(1)
		go func() {
			defer r.wg.Done()
			r.play(script, t, start, rand.New(rand.NewSource(seed)))
		}()
	}
	if r.d.Objects != nil {
		r.works = r.startObjects(ctx)
	}
	r.load.Run(ctx, settings.Duration(r.d.Length, 0))
	stop()
	r.wg.Wait()
	r.works.finish(ctx)
	for _, p := range r.hosts {
		r.stopHost(p)
	}
	r.load.Stop()
	return ctx.Err()
}

func (r *runner) startBricks() error {
	kinds := map[string]*pb.BrickKind{}
	for _, k := range r.d.Kind {
		kinds[k.Name] = k
	}
	for _, g := range r.d.Bricks {
		if kinds[g.Kind] == nil {
			return fmt.Errorf("drill %s: bricks of kind %q, which it does not describe", r.d.Name, g.Kind)
		}
		for range g.Count {
			zone := g.Zone
			if zone == "" {
				zone = "hall"
			}
			r.slots = append(r.slots, slot{kinds[g.Kind], zone, max(g.Speed, 0)})
		}
	}
	f := r.d.Fleet
	if m := settings.Duration(f.Meter, 0); m > 0 {
		r.meter = storagenode.NewMeter(m, m/2, r.nominal)
	}
	l := r.d.List
	if l == nil {
		l = &pb.ListHabits{}
	}
	var err error
	r.list, err = discovery.Start(discovery.Config{Address: r.ip + ":0", PollOnly: f.ListAsked, NotifyDelay: settings.Duration(l.Notice, 0),
		ClockOffset: settings.Duration(l.ClockOff, 0), FailureShare: l.Fails, Seed: r.rng.Int63(), Recorder: r.rec, GatewayOf: r.hostOf})
	if err != nil {
		return err
	}
	r.bricks = make([]*storagenode.Node, len(r.slots))
	for cell := range r.slots {
		b, err := r.startBrick(cell, "", slices.Contains(l.Cold, uint32(cell)), "127.0.0.1:0")
		if err != nil {
			return err
		}
		if slices.Contains(l.Drained, uint32(cell)) {
			r.unlist(b, cell, "draining")
			b.AnnounceDraining()
		}
	}
	return nil
}

// keepLists writes the hosts' stores: what a list said so long ago, when every brick served and had been up for long.
func (r *runner) keepLists() error {
	at := time.Duration(time.Now().UnixNano()) - settings.Duration(r.d.List.SavedAge, 0)
	var all []endpointstate.Belief
	for cell, b := range r.bricks {
		all = append(all, endpointstate.Belief{Source: endpointstate.List, Report: endpointstate.Report{Name: b.Name(), Address: b.Address(), Zone: r.slots[cell].zone,
			Shard: cell, Serving: true, ObservedAt: at}})
	}
	for _, p := range r.hosts {
		s, _, err := store.Open(r.storeOf(p), fmt.Sprintf("host-%d", p.no))
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

func (r *runner) storeOf(p *hostProcess) string {
	return filepath.Join(r.dir, fmt.Sprintf("host-%d.db", p.no))
}

func (r *runner) hostOf(name string) (uint32, uint32) {
	var no int
	if _, err := fmt.Sscanf(name, "host-%d", &no); err != nil || no < 0 || no >= len(r.hosts) {
		return 1 << 31, 0
	}
	return uint32(no), r.hosts[no].incarnation.Load()
}

func (r *runner) nominal(volume string) float64 {
	name, _, _ := strings.Cut(volume, "-")
	for _, p := range r.d.Plan {
		if p.Name == name {
			return p.Nominal
		}
	}
	return 1
}

// startBrick puts a brick into a cell and lists it. An empty name makes a new one.
func (r *runner) startBrick(cell int, name string, cold bool, address string) (*storagenode.Node, error) {
	s, f := r.slots[cell], r.d.Fleet
	r.mu.Lock()
	defer r.mu.Unlock()
	if name == "" {
		r.serial++
		name = fmt.Sprintf("brick-%d", r.serial)
	}
	c := storagenode.Config{Name: name, Zone: s.zone, Address: strings.Replace(address, "127.0.0.1", r.ip, 1), Shard: cell, Kind: s.kind,
		Speed: s.speed, Seed: r.rng.Int63(), SlowStart: cold, CollapseMultiple: f.FallMultiple,
		CollapseAfter: settings.Duration(f.FallAfter, 0), WriteClasses: map[string]bool{}, Recorder: r.rec, Meter: r.meter,
		ReportOtherGateways: f.TellsElsewhere, GatewayOf: r.hostOf}
	group := "all"
	for _, q := range r.d.QueueType {
		c.WriteClasses[q.Name] = q.Writes
		c.IdempotencyWindow = max(c.IdempotencyWindow, settings.Duration(q.TagWindow, 0))
		switch q.Group {
		case pb.Group_ZONE:
			group = "zone " + s.zone
		case pb.Group_CELL:
			group = fmt.Sprint("cell ", cell)
		}
	}
	if r.tags[group] == nil {
		r.tags[group] = storagenode.NewIdempotencyKeys()
	}
	c.Keys = r.tags[group]
	if r.d.Objects != nil {
		if r.data[cell] == nil {
			r.data[cell] = storagenode.NewData()
		}
		c.Data = r.data[cell]
	}
	b, err := storagenode.Start(c)
	if err != nil {
		return nil, err
	}
	r.bricks[cell] = b
	e := discovery.Entry{Name: name, Address: b.Address(), Zone: s.zone, Shard: cell, State: "serving"}
	if cold {
		e.Started = b.Started()
	}
	r.list.Set(e)
	return b, nil
}

// unlist tells the list that a brick drains or is gone.
func (r *runner) unlist(b *storagenode.Node, cell int, state string) {
	r.list.Set(discovery.Entry{Name: b.Name(), Address: b.Address(), Zone: r.slots[cell].zone, Shard: cell, State: state})
}

func (r *runner) volumes() []client.Volume {
	var all []client.Volume
	for _, g := range r.d.Volumes {
		plan := slices.IndexFunc(r.d.Plan, func(p *pb.Plan) bool { return p.Name == g.Plan })
		if plan < 0 {
			continue
		}
		for range g.Count {
			all = append(all, client.Volume{Name: volumeName(g.Plan, len(all)), Plan: uint32(plan),
				Shards:   r.rng.Perm(len(r.slots))[:min(int(g.Cells), len(r.slots))],
				Gateways: r.rng.Perm(len(r.hosts))[:min(int(g.Hosts), len(r.hosts))], Demand: g.Demand * r.d.Plan[plan].Nominal})
		}
	}
	return all
}

func volumeName(plan string, n int) string { return fmt.Sprintf("%s-%d", plan, n) }

// freePorts asks the kernel for UDP ports on this run's own address.
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

func (r *runner) startHosts(ctx context.Context) error {
	peers, err := r.freePorts(int(r.d.Hosts))
	if err != nil {
		return err
	}
	for i := range int(r.d.Hosts) {
		r.hosts = append(r.hosts, &hostProcess{no: i, address: r.ip + ":0", peers: peers[i]})
	}
	if r.d.Objects != nil {
		if err := r.objectPorts(); err != nil {
			return err
		}
	}
	if r.d.GetList().GetAbsent() {
		if err := r.keepLists(); err != nil {
			return err
		}
	}
	errs := make([]error, len(r.hosts))
	var wg sync.WaitGroup
	for i, p := range r.hosts {
		wg.Add(1)
		go func() {
			defer wg.Done()
			errs[i] = r.startHost(ctx, p)
		}()
	}
	wg.Wait()
	return errors.Join(errs...)
}

func (r *runner) config(p *hostProcess) *pb.Edge {
	e := &pb.Edge{Name: fmt.Sprintf("host-%d", p.no), Listen: p.address, ListService: r.list.Address(), PeerListen: p.peers,
		Ordinal: uint32(p.no), Hosts: r.d.Hosts, Zone: r.slots[0].zone, Seed: r.o.Seed*1000 + int64(p.no)*16 + int64(p.incarnation.Load()) + 1,
		Fleet: r.d.Fleet, QueueType: r.d.QueueType, Plan: r.d.Plan, Bounds: r.d.Bounds}
	e.Store, e.Network = r.storeOf(p), []string{"127.0.0.0/8"}
	if r.d.GetList().GetAbsent() || r.d.Planner {
		e.ListService = ""
	}
	if o := r.d.Objects; o != nil {
		e.Objects = &pb.ObjectApi{Listen: p.objects, Index: filepath.Join(r.dir, fmt.Sprintf("objects-%d.db", p.no)), ReadType: o.ReadType, WriteType: o.WriteType,
			Extent: o.Extent, Unit: o.Unit, LooseAge: "2s"}
	}
	if r.d.Planner {
		e.Planner = &pb.Planner{Address: []string{r.plan.address}, Plain: true}
	}
	for _, x := range r.hosts {
		if x != p {
			e.Peer = append(e.Peer, &pb.Peer{Ordinal: uint32(x.no), Address: x.peers})
		}
	}
	if r.o.Capture != "" {
		e.Capture = &pb.Capture{Folder: r.o.Capture, Key: filepath.Join(r.dir, "key"), On: true}
	}
	if r.o.StateInterval > 0 {
		e.Log = &pb.Log{Form: "json", State: r.o.StateInterval.String()}
	}
	n := 0
	for _, g := range r.d.Volumes {
		for range g.Count {
			e.Volume = append(e.Volume, &pb.Volume{Name: volumeName(g.Plan, n), Plan: g.Plan, Hosts: min(g.Hosts, r.d.Hosts)})
			n++
		}
	}
	return e
}

// startHost starts a host's process and waits until it serves.
func (r *runner) startHost(ctx context.Context, p *hostProcess) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.incarnation.Add(1)
	text, err := settings.Text(r.config(p))
	if err != nil {
		return err
	}
	file := filepath.Join(r.dir, fmt.Sprintf("host-%d.txtpb", p.no))
	if err := os.WriteFile(file, text, 0o600); err != nil {
		return err
	}
	cmd := exec.Command(r.o.Gateway[0], append(slices.Clone(r.o.Gateway[1:]), "--config", file)...)
	cmd.Env = append(os.Environ(), r.o.Env...)
	tail := &tail{to: r.o.Logs}
	cmd.Stderr = tail
	out, err := cmd.StdoutPipe()
	if err != nil {
		return err
	}
	// A host ends by itself when this pipe does: none is left over if the drill is killed.
	in, err := cmd.StdinPipe()
	if err != nil {
		return err
	}
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start host %d: %w", p.no, err)
	}
	p.cmd, p.stdin, p.killed, p.exited = cmd, in, false, make(chan struct{})
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
		if strings.HasSuffix(p.address, ":0") { // from then on it keeps the port, and clients read it
			p.address = strings.Fields(a)[0]
		}
		r.rec.See(&pb.Seen{What: pb.Seen_HOST_UP, Host: uint32(p.no), Incarnation: p.incarnation.Load()})
		return nil
	case <-p.exited:
		return fmt.Errorf("host %d ended at its start: %w\n%s", p.no, exitError(p.err), tail.last())
	case <-time.After(20 * time.Second):
		_ = cmd.Process.Kill()
		return fmt.Errorf("host %d did not serve within 20 s\n%s", p.no, tail.last())
	case <-ctx.Done():
		_ = cmd.Process.Kill()
		return ctx.Err()
	}
}

// killHost is SIGKILL.
func (r *runner) killHost(p *hostProcess) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil || p.killed {
		return
	}
	p.killed = true
	r.rec.See(&pb.Seen{What: pb.Seen_HOST_DOWN, Host: uint32(p.no), Incarnation: p.incarnation.Load(), How: "killed"})
	_ = p.cmd.Process.Kill()
	<-p.exited
}

// stopHost is SIGTERM: the host must end what it holds and exit with 0.
func (r *runner) stopHost(p *hostProcess) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil || p.killed {
		return
	}
	p.killed = true
	r.rec.See(&pb.Seen{What: pb.Seen_HOST_DOWN, Host: uint32(p.no), Incarnation: p.incarnation.Load(), How: "stopping"})
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
	longest := 5 * time.Second
	for _, q := range r.d.QueueType {
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
		r.exits = append(r.exits, fmt.Sprintf("host %d told to stop: %v", p.no, p.err))
		r.mu.Unlock()
	}
}

func (r *runner) killAll() {
	for _, p := range r.hosts {
		p.mu.Lock()
		if p.cmd != nil && !p.killed {
			p.killed = true
			_ = p.cmd.Process.Kill()
			<-p.exited
		}
		p.mu.Unlock()
	}
}

// tail keeps the last of what a host logs, for the case that it fails to start.
type tail struct {
	mu  sync.Mutex
	to  io.Writer
	buf []byte
}

func (t *tail) Write(b []byte) (int, error) {
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

func (t *tail) last() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return string(t.buf)
}

// Describe is a drill's fleet as an operator would describe it: names, places, queues, where volumes lie. How its bricks work is
// left to be learnt.
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
	// The draws before the volumes' own: the list service's and one for each brick.
	r := &runner{d: d, rng: rand.New(rand.NewSource(seed)), hosts: make([]*hostProcess, d.Hosts), slots: make([]slot, len(f.Brick))}
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

// Extend makes a drill that is so long, its troubles played again and again.
func Extend(d *pb.Drill, length time.Duration) *pb.Drill {
	long := proto.Clone(d).(*pb.Drill)
	long.Length, long.Trouble = length.String(), nil
	once := settings.Duration(d.Length, length)
	for at := time.Duration(0); at < length; at += once {
		for _, t := range d.Trouble {
			t = proto.Clone(t).(*pb.Trouble)
			t.At = (at + settings.Duration(t.At, 0)).String()
			long.Trouble = append(long.Trouble, t)
		}
	}
	return long
}

// errExitedCleanly stands for the end of a process with exit status 0, which exec reports as no error.
var errExitedCleanly = errors.New("exit status 0")

// exitError returns the error with which a process ended; it is never nil.
func exitError(err error) error {
	if err == nil {
		return errExitedCleanly
	}
	return err
}
