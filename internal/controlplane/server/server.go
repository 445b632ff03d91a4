// Package server is the planner's program: gRPC round the decisions of internal/plan/decide. A stream for each edge; what an edge
// does not take is never piled up, since its changes are worked out anew when it can take some.
package server

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand"
	randv2 "math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/peer"
	"google.golang.org/grpc/status"

	"weirhaven/internal/clock"
	"weirhaven/internal/controlplane/snapshot"
	"weirhaven/internal/controlplane/statemachine"
	"weirhaven/internal/controlplane/store"
	"weirhaven/internal/discovery"
	"weirhaven/internal/engine"
	fleetdecide "weirhaven/internal/fleet/endpointstate"
	"weirhaven/internal/pb"
	"weirhaven/internal/settings"
	"weirhaven/internal/tlskeys"
)

// Version of the messages. One older and one newer are borne: fields not known are kept out of the way by protobuf.
const Version = 2

// Figures that are no one's choice yet.
const (
	partItems  = 512 // of a view, in one message
	mostItems  = 400000
	tombstones = 4096
	mostBytes  = 4 << 20
)

// Options are what a planner may be given besides its settings.
type Options struct {
	Log   *slog.Logger
	Ready func(address string)
	// Keep wraps the store, so that tests can fail it or stop in the middle; nil: not.
	Keep func(statemachine.Keeper) statemachine.Keeper
	// Stall is how long an edge may take nothing before it is cut off; 0: 5 s.
	Stall time.Duration
}

// Planner is one while it runs.
type Planner struct {
	pb.UnimplementedPlanningServer
	conf  *pb.PlannerConf
	log   *slog.Logger
	store *store.Store

	mu      sync.Mutex
	state   *statemachine.State
	beliefs *fleetdecide.Fleet
	streams map[string]*stream
	reports map[string][]*pb.Item // the latest of each edge, for diff
	told    map[string]int        // how many each edge has made
	lists   int                   // heard so far
	lease   time.Duration
	stall   time.Duration
	stop    context.CancelFunc
	wg      sync.WaitGroup // of streams: they end once their handler has returned
}

type stream struct {
	wake chan bool
	ask  bool // an operator wants to know what it holds
	name string
	end  context.CancelFunc
}

var processClock = clock.New()

// now is a clock that hosts would agree on, but for what their clocks differ. Leases are spans on it: a step of the wall clock
// neither ends nor prolongs one.
func now() time.Duration { return processClock.Now() }

// Run serves until ctx ends.
func Run(ctx context.Context, conf *pb.PlannerConf, o Options) error { return run(ctx, conf, o, nil) }

func run(ctx context.Context, conf *pb.PlannerConf, o Options, made func(p *Planner)) error {
	if o.Log == nil {
		o.Log = slog.Default()
	}
	if o.Stall == 0 {
		o.Stall = 5 * time.Second
	}
	log := o.Log.With("planner", conf.Name)
	p := &Planner{conf: conf, log: log, streams: map[string]*stream{}, reports: map[string][]*pb.Item{}, told: map[string]int{}, lease: settings.Duration(conf.Lease, 3*time.Second), stall: o.Stall}
	var creds []grpc.ServerOption
	switch {
	case conf.Keys != nil:
		k, err := tlskeys.Load(conf.Keys, log)
		if err != nil {
			return err
		}
		creds = append(creds, grpc.Creds(credentials.NewTLS(k.Server())))
	case !conf.Plain || !tlskeys.Loopback(conf.Listen):
		return fmt.Errorf("settings give no keys; without them say plain: true and listen on loopback (listen: %s)", conf.Listen)
	}
	st, saved, aside, err := store.Open(conf.Store)
	if err != nil {
		return err
	}
	defer st.Close()
	if aside != "" {
		log.Warn("the store could not be read and was set aside; what it held is learnt from the edges", "aside", aside)
	}
	p.store = st
	keeper := statemachine.Keeper(st)
	if o.Keep != nil {
		keeper = o.Keep(st)
	}
	most := int(conf.AtOnce)
	if most == 0 {
		most = 16
	}
	rules := statemachine.Rules{Edges: int(conf.Edges), Lease: p.lease, Recover: settings.Duration(conf.Recover, 5*time.Second), AtOnce: most, Tombstones: tombstones,
		Items: mostItems}
	p.state, err = statemachine.New(conf.Name, randv2.Uint64(), saved.Tenure, saved.Generation, saved.Items, rules, keeper, func(line string) { log.Info(line) }, now())
	if err != nil {
		return err
	}
	r, err := settings.Beliefs(&pb.Edge{})
	if err != nil {
		return err
	}
	p.beliefs = fleetdecide.New(r, (*wants)(p), func(line string) { log.Info(line) })
	p.restore(saved.Items)
	for _, x := range conf.Plan {
		p.state.Want(&pb.Item{Kind: pb.Item_PLAN, Name: x.Name, Plan: x})
	}
	for _, v := range conf.Volume {
		p.state.Want(&pb.Item{Kind: pb.Item_VOLUME, Name: v.Name, Volume: &pb.PlanVolume{Plan: v.Plan, Hosts: v.Hosts, Cell: v.Cell}})
	}
	p.state.Want(&pb.Item{Kind: pb.Item_HOSTS, Hosts: conf.Edges})

	var config net.ListenConfig
	l, err := config.Listen(ctx, "tcp", conf.Listen)
	if err != nil {
		return fmt.Errorf("listen for edges; is another planner on this address? %w", err)
	}
	inner, stop := context.WithCancel(ctx)
	defer stop()
	p.stop = stop
	server := grpc.NewServer(append(creds, grpc.WaitForHandlers(true), grpc.MaxRecvMsgSize(mostBytes), grpc.KeepaliveParams(keepalive.ServerParameters{Time: 10 * time.Second, Timeout: o.Stall}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: time.Second, PermitWithoutStream: true}))...)
	pb.RegisterPlanningServer(server, p)
	var wg sync.WaitGroup
	defer p.wg.Wait()
	defer wg.Wait()
	wg.Add(2)
	go func() { defer wg.Done(); p.beat(inner) }()
	lister := discovery.New(discovery.Config{Address: conf.ListService, Name: conf.Name, Asked: conf.Fleet.ListAsked, Limits: settings.Bounds(nil), Seed: time.Now().UnixNano(),
		Log: log, Sink: p})
	lister.Watch()
	go func() { defer wg.Done(); lister.Run(inner) }()
	wg.Add(1)
	go func() {
		defer wg.Done()
		<-inner.Done()
		server.Stop()
	}()
	log.Info("serving", "address", l.Addr().String(), "term", p.state.Tenure().Term, "generation", saved.Generation, "things", len(saved.Items))
	if made != nil {
		made(p)
	}
	if o.Ready != nil {
		o.Ready(l.Addr().String())
	}
	err = server.Serve(l)
	stop()
	if ctx.Err() != nil || errors.Is(err, grpc.ErrServerStopped) {
		return nil
	}
	return err
}

// restore lets the beliefs know what was written before.
func (p *Planner) restore(items []*pb.Item) {
	var all []fleetdecide.Belief
	for _, x := range items {
		b := x.GetBrick()
		if x.Kind != pb.Item_BRICK || b == nil {
			continue
		}
		drained := time.Duration(b.Drained)
		if b.Drained == -1 {
			drained = now()
		}
		all = append(all, fleetdecide.Belief{Source: fleetdecide.Saved, DrainedUpTo: drained, Reason: "as written", Report: fleetdecide.Report{Name: x.Name, Address: b.Address,
			Zone: b.Zone, Shard: int(b.Cell), Serving: b.Serving, Gone: x.Gone, Started: time.Duration(b.Started), ObservedAt: now()}})
	}
	p.beliefs.Restore(all, fleetdecide.Generation{}, now())
}

// wants is the planner as its beliefs see it: what they tell becomes what it wants to write.
type wants Planner

func (w *wants) EndpointChanged(name, address, zone string, cell int, serving, gone bool, boot time.Duration) {
	b := &pb.PlanBrick{Address: address, Zone: zone, Cell: int64(cell), Serving: serving && !gone}
	if x, ok := w.beliefs.Belief(name); ok {
		b.Started, b.Drained = int64(x.Started), int64(x.DrainedUpTo)
	}
	w.state.Want(&pb.Item{Kind: pb.Item_BRICK, Name: name, Gone: gone, Brick: b})
}

// List, ListFailed and ListHolds are what the list service says.
func (p *Planner) List(g fleetdecide.Generation, whole bool, lines []engine.EndpointEntry) {
	p.mu.Lock()
	defer p.mu.Unlock()
	at := now()
	all := make([]fleetdecide.Report, len(lines))
	for i, l := range lines {
		all[i] = fleetdecide.Report{Name: l.Name, Address: l.Address, Zone: l.Zone, Shard: l.Shard, Serving: l.Serving && !l.Gone, Gone: l.Gone, ObservedAt: at}
		if l.HasStart {
			all[i].Started = at - max(l.Age, 0)
		}
	}
	p.beliefs.ListReceived(g, whole, all, at)
	p.lists++
	p.write()
	p.wake()
}
func (p *Planner) ListFailed() {}
func (p *Planner) ListHolds() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.beliefs.ListUnchanged(now())
}

// write writes what is wanted, if it may, and wakes all streams. Under mu.
func (p *Planner) write() {
	changed, err := p.state.Write(now())
	if err != nil {
		p.log.Warn("nothing new is given out: it can't be written down; trying on", "err", err)
	}
	if len(changed) > 0 {
		p.wake()
	}
}

func (p *Planner) wake() {
	for _, s := range p.streams {
		select {
		case s.wake <- true:
		default:
		}
	}
}

// beat lets all edges renew the lease.
func (p *Planner) beat(ctx context.Context) {
	tick := time.NewTicker(p.lease / 5)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		p.mu.Lock()
		p.state.Beat(now())
		p.beliefs.Tick(now())
		p.write()
		p.wake()
		p.mu.Unlock()
	}
}

// who checks that an edge goes by the name in its certificate.
func who(ctx context.Context, name string) error {
	pr, ok := peer.FromContext(ctx)
	if !ok {
		return nil
	}
	t, ok := pr.AuthInfo.(credentials.TLSInfo)
	if !ok || len(t.State.PeerCertificates) == 0 {
		return nil
	}
	if c := t.State.PeerCertificates[0]; c.Subject.CommonName != name && !slices.Contains(c.DNSNames, name) {
		return status.Errorf(codes.PermissionDenied, "the certificate of %q does not let it speak for %q", c.Subject.CommonName, name)
	}
	return nil
}

// Follow is an edge's stream.
func (p *Planner) Follow(s grpc.BidiStreamingServer[pb.EdgeSays, pb.PlannerSays]) error {
	ctx, end := context.WithCancel(s.Context())
	defer end()
	first, err := s.Recv()
	if err != nil {
		return err
	}
	h := first.GetHello()
	if h == nil || h.Name == "" {
		return status.Error(codes.InvalidArgument, "an edge says hello first, with its name")
	}
	if h.Version+1 < Version {
		return status.Errorf(codes.FailedPrecondition, "edge %s speaks version %d, this planner %d: at most one apart", h.Name, h.Version, Version)
	}
	if err := who(ctx, h.Name); err != nil {
		return err
	}
	me := &stream{wake: make(chan bool, 1), name: h.Name, end: end}
	p.mu.Lock()
	if old := p.streams[h.Name]; old != nil {
		old.end() // its connection is another one now
	}
	p.streams[h.Name] = me
	ask, err := p.state.Hello(h.Name, h.Address, h.Tenure, h.Generation, h.Digest, h.Following, h.Whole, now())
	tenure := p.state.Tenure()
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.streams[h.Name] == me {
			delete(p.streams, h.Name)
			p.state.Gone(h.Name, now())
		}
	}()
	if err != nil {
		p.log.Info("edge sent back", "edge", h.Name, "why", err)
		return status.Error(codes.Unavailable, err.Error())
	}
	out := make(chan *pb.PlannerSays) // one message at a time: what waits, waits in the state
	failed := make(chan error, 2)
	p.wg.Add(2)
	go func() { // ends with the stream: a Send that hangs is let go when this handler returns
		defer p.wg.Done()
		for {
			select {
			case m := <-out:
				if err := s.Send(m); err != nil {
					failed <- err
					return
				}
			case <-ctx.Done():
				return
			}
		}
	}()
	go func() {
		defer p.wg.Done()
		failed <- p.read(s, h.Name)
	}()
	send := func(m *pb.PlannerSays) error {
		m.Tenure = tenure
		t := time.NewTimer(p.stall)
		defer t.Stop()
		select {
		case out <- m:
			return nil
		case err := <-failed:
			return err
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
			return status.Errorf(codes.DeadlineExceeded, "edge %s took nothing for %v", h.Name, p.stall)
		}
	}
	if ask {
		if err := send(&pb.PlannerSays{What: &pb.PlannerSays_Report{Report: &pb.ReportAsk{}}}); err != nil {
			return err
		}
	}
	return p.follow(ctx, me, h, tenure, send, failed)
}

// follow sends an edge its view, then what changes, and beats between.
func (p *Planner) follow(ctx context.Context, me *stream, h *pb.EdgeHello, tenure *pb.Tenure, send func(*pb.PlannerSays) error, failed chan error) error {
	at, digest, held, whole := h.Generation, h.Digest, h.Tenure, h.Whole
	rng := rand.New(rand.NewSource(time.Now().UnixNano()))
	beat, told, lists := uint64(0), false, 0
	for {
		p.mu.Lock()
		if snapshot.Compare(p.state.Tenure(), tenure) != 0 { // raised since: it must hear that first
			p.mu.Unlock()
			return status.Error(codes.Unavailable, "the planner's term was raised; come again")
		}
		phase, latest := p.state.Phase(), p.state.BeatNow()
		var part *pb.ViewPart
		var later time.Duration
		if phase != statemachine.Recovering && phase != statemachine.Outranked {
			var due bool
			if part, due = p.state.View(me.name, held, at, digest, whole); due {
				var ok bool
				if ok, later = p.state.Admit(me.name, now()); !ok {
					part = nil
				}
			} else {
				part = nil
			}
		}
		generation, ask := p.state.Generation(), me.ask
		me.ask = false
		var news []*pb.Item
		if lists != p.lists && phase != statemachine.Outranked {
			if lists = p.lists; phase != statemachine.Holding { // else it is written, and comes with the view
				news = p.evidence()
			}
		}
		p.mu.Unlock()
		if ask {
			if err := send(&pb.PlannerSays{What: &pb.PlannerSays_Report{Report: &pb.ReportAsk{}}}); err != nil {
				return err
			}
		}
		for piece := range slices.Chunk(news, partItems) {
			if err := send(&pb.PlannerSays{What: &pb.PlannerSays_News{News: &pb.PlannerNews{Item: piece}}}); err != nil {
				return err
			}
		}
		switch {
		case part != nil:
			for _, piece := range pieces(part) {
				if err := send(&pb.PlannerSays{What: &pb.PlannerSays_Part{Part: piece}}); err != nil {
					return err
				}
			}
			at, digest, held, told, whole = part.To, part.Digest, tenure, false, false
			p.mu.Lock()
			p.state.Sent(me.name, now())
			p.mu.Unlock()
			continue
		case later > 0 && !told:
			if err := send(&pb.PlannerSays{What: &pb.PlannerSays_Later{Later: &pb.Later{After: int64(later)}}}); err != nil {
				return err
			}
			told = true
		}
		if latest != beat {
			if err := send(&pb.PlannerSays{What: &pb.PlannerSays_Alive{Alive: &pb.Alive{Generation: generation, Beat: latest}}}); err != nil {
				return err
			}
			beat = latest
		}
		var again <-chan time.Time
		if later > 0 {
			again = time.After(later + time.Duration(rng.Int63n(int64(later)/4+1)))
		}
		select {
		case <-me.wake:
		case <-again:
		case err := <-failed:
			if errors.Is(err, io.EOF) {
				return nil
			}
			return err
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// evidence is what is believed of bricks, as items of no generation. Under mu.
func (p *Planner) evidence() (all []*pb.Item) {
	for _, b := range p.beliefs.Beliefs() {
		if b.Source == fleetdecide.Saved { // what it held itself is no news
			continue
		}
		all = append(all, &pb.Item{Kind: pb.Item_BRICK, Name: b.Name, Gone: b.Gone, Brick: &pb.PlanBrick{Address: b.Address, Zone: b.Zone, Cell: int64(b.Shard),
			Serving: b.Serving && !b.Gone, Started: int64(b.Started), Drained: int64(b.DrainedUpTo)}})
	}
	return all
}

// pieces cuts a view into messages; only the last one has its digest.
func pieces(p *pb.ViewPart) []*pb.ViewPart {
	var all []*pb.ViewPart
	for items := range slices.Chunk(p.Item, partItems) {
		all = append(all, &pb.ViewPart{From: p.From, To: p.To, Whole: p.Whole, Item: items})
	}
	if len(all) == 0 {
		all = []*pb.ViewPart{{From: p.From, To: p.To, Whole: p.Whole}}
	}
	all[len(all)-1].Last, all[len(all)-1].Digest = true, p.Digest
	return all
}

// read takes what an edge says until its stream ends.
func (p *Planner) read(s grpc.BidiStreamingServer[pb.EdgeSays, pb.PlannerSays], name string) error {
	var report []*pb.Item
	for {
		m, err := s.Recv()
		if err != nil {
			return err
		}
		p.mu.Lock()
		switch x := m.What.(type) {
		case *pb.EdgeSays_Ack:
			p.state.Ack(name, x.Ack.GetTenure(), x.Ack.Generation, x.Ack.Beat, now())
		case *pb.EdgeSays_Report:
			if report = append(report, x.Report.Item...); len(report) > mostItems {
				err = fmt.Errorf("a report of more than %d things", mostItems)
			} else if err = p.state.Report(name, x.Report.Item, x.Report.Last, now()); err == nil && x.Report.Last {
				p.reports[name], report = report, nil
				p.told[name]++
				p.heard(p.reports[name])
				p.wake()
			}
		}
		p.mu.Unlock()
		if err != nil {
			return status.Error(codes.ResourceExhausted, err.Error())
		}
	}
}

// heard lets the beliefs know what an edge told of bricks; its drains count, whatever the list says. Under mu.
func (p *Planner) heard(items []*pb.Item) {
	var lines []fleetdecide.Report
	for _, x := range items {
		b := x.GetBrick()
		if b == nil || !snapshot.Drained(b) {
			continue
		}
		lines = append(lines, fleetdecide.Report{Name: x.Name, Address: b.Address, Zone: b.Zone, Shard: int(b.Cell), Started: max(time.Duration(b.Started), time.Duration(b.Drained)),
			ObservedAt: now()})
	}
	if len(lines) > 0 {
		p.beliefs.PeerReported(lines, now())
		p.write()
	}
}

// Place gives the place of a new object or extent; it is written down before it is given.
func (p *Planner) Place(ctx context.Context, a *pb.PlaceAsk) (*pb.PlaceGiven, error) {
	if err := who(ctx, a.Edge); err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	x, err := p.state.Place(a.Edge, a.Volume, a.Name, a.ButZone, now())
	if err != nil {
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	return &pb.PlaceGiven{Tenure: p.state.Tenure(), Cell: x.Place.Cell, Generation: x.Generation}, nil
}

// Status tells an operator what it is doing.
func (p *Planner) Status(ctx context.Context, a *pb.StatusAsk) (*pb.StatusTold, error) {
	if a.Diff != "" {
		p.refresh(ctx, a.Diff)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	t := &pb.StatusTold{Tenure: p.state.Tenure(), Generation: p.state.Generation(), Phase: p.state.Phase().String(), Why: p.state.Why(now())}
	if a.View {
		t.Item = p.state.Items()
	}
	if a.Edges {
		t.Edge = p.state.Edges(now())
	}
	if a.Diff != "" {
		held, ok := p.reports[a.Diff]
		if !ok {
			return nil, status.Errorf(codes.NotFound, "edge %q has not reported to this planner", a.Diff)
		}
		t.Difference = statemachine.Difference(p.state.Items(), held, a.Diff)
	}
	return t, nil
}

// refresh asks an edge what it holds now. One that is away, or silent, is judged by what it said last.
func (p *Planner) refresh(ctx context.Context, name string) {
	p.mu.Lock()
	s, before := p.streams[name], p.told[name]
	if s != nil {
		s.ask = true
		select {
		case s.wake <- true:
		default:
		}
	}
	p.mu.Unlock()
	tick := time.NewTicker(5 * time.Millisecond)
	defer tick.Stop()
	for end := time.Now().Add(2 * time.Second); s != nil && time.Now().Before(end); {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		p.mu.Lock()
		now := p.told[name]
		p.mu.Unlock()
		if now > before {
			return
		}
	}
}

// Digest is that of the view that edges should hold.
func (p *Planner) Digest() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state.Digest()
}
