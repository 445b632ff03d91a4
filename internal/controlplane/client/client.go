// Package client is an edge's side of the planner: it follows the planner with the highest tenure, keeps its view on disk, tells the
// planner what it holds and learnt. Nothing here stands in a command's way.
package client

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"

	"weirhaven/internal/controlplane/snapshot"
	"weirhaven/internal/controlplane/store"
	"weirhaven/internal/pb"
	"weirhaven/internal/tlskeys"
)

// Version of the messages; the planner bears one older and one newer.
const Version = 2

const (
	retell    = time.Minute // while a planner is followed its bricks are as fresh as its beats
	mostItems = 400000
	partItems = 512
	mostBytes = 4 << 20
)

// Sink hears what the view says. No call may block for long.
type Sink interface {
	// Changed are things as they are now; fresh: told by a planner that is there, not read from disk.
	Changed(items []*pb.Item, fresh bool)
}

// Config is a follower's.
type Config struct {
	Planner *pb.Planner
	Name    string
	Address string // where clients reach the edge
	File    string // that keeps the view
	Log     *slog.Logger
	Sink    Sink
	Seed    int64
	// Silent is how long a planner may say nothing before it is left; 0: 10 s.
	Silent time.Duration
	// Wait between tries to reach a planner, at the least and at most; 0: 200 ms and 5 s.
	Least, Most time.Duration
}

// Follower is an edge's.
type Follower struct {
	c     Config
	creds credentials.TransportCredentials

	mu        sync.Mutex
	view      *snapshot.Snapshot
	store     *store.Store
	following string             // address of the planner followed; empty: none
	leave     context.CancelFunc // ends that stream
	news      chan bool          // something learnt is to be reported
	conn      *grpc.ClientConn   // to the one followed
	whole     bool               // ask for the whole at the next hello
	rng       *rand.Rand
}

// Open reads the view kept and hands it to the sink.
func Open(c Config) (*Follower, error) {
	f := &Follower{c: c, news: make(chan bool, 1), rng: rand.New(rand.NewSource(c.Seed))}
	if f.c.Least == 0 {
		f.c.Least, f.c.Most = 200*time.Millisecond, 5*time.Second
	}
	if f.c.Silent == 0 {
		f.c.Silent = 10 * time.Second
	}
	switch p := c.Planner; {
	case p.Keys != nil:
		k, err := tlskeys.Load(p.Keys, c.Log)
		if err != nil {
			return nil, err
		}
		server := p.ServerName
		if server == "" {
			server = "weirplan"
		}
		f.creds = credentials.NewTLS(k.Client(server))
	default:
		for _, a := range p.Address {
			if !p.Plain || !tlskeys.Loopback(a) {
				return nil, fmt.Errorf("settings planner give no keys; without them say plain: true and use loopback (address: %s)", a)
			}
		}
		f.creds = insecure.NewCredentials()
	}
	st, saved, aside, err := store.Open(c.File)
	if err != nil {
		return nil, err
	}
	if aside != "" {
		c.Log.Warn("the view kept could not be read and was set aside; the planner tells it anew", "aside", aside)
	}
	f.store, f.view = st, snapshot.New(saved.Term, saved.Generation, saved.Records, mostItems)
	if len(saved.Records) > 0 {
		c.Sink.Changed(saved.Records, false)
	}
	c.Log.Info("took back the planner's view", "term", saved.Term.GetTerm(), "generation", saved.Generation, "things", len(saved.Records))
	return f, nil
}

// Run follows until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for _, a := range f.c.Planner.Address {
		wg.Add(1)
		go func() {
			defer wg.Done()
			f.keep(ctx, a)
		}()
	}
	wg.Wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.store.Close()
	f.store = nil
}

func (f *Follower) keep(ctx context.Context, address string) {
	conn, err := grpc.NewClient("passthrough:///"+address, grpc.WithTransportCredentials(f.creds), grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(mostBytes)),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: 5 * time.Second, Timeout: 5 * time.Second, PermitWithoutStream: true}))
	if err != nil {
		f.c.Log.Warn("planner", "address", address, "err", err)
		return
	}
	defer conn.Close()
	wait, last := f.c.Least, ""
	for ctx.Err() == nil {
		heard, err := f.stream(ctx, conn, address)
		if heard {
			wait = f.c.Least
		}
		if err != nil && ctx.Err() == nil && err.Error() != last {
			last = err.Error()
			f.c.Log.Info("planner left, or not reached; going on with the view held", "address", address, "err", err)
		}
		f.mu.Lock()
		pause := wait/2 + time.Duration(f.rng.Int63n(int64(wait)))
		f.mu.Unlock()
		select {
		case <-time.After(pause):
			wait = min(2*wait, f.c.Most)
		case <-ctx.Done():
		}
	}
}

// stream is one conversation.
func (f *Follower) stream(outer context.Context, conn *grpc.ClientConn, address string) (heard bool, err error) {
	ctx, cancel := context.WithCancel(outer)
	defer cancel()
	s, err := pb.NewPlanningClient(conn).Follow(ctx)
	if err != nil {
		return false, err
	}
	f.mu.Lock()
	hello := &pb.EdgeHello{Version: Version, Name: f.c.Name, Address: f.c.Address, Tenure: f.view.Term(), Generation: f.view.Generation(), Digest: f.view.Digest(),
		Following: f.following != "" && f.following != address, Whole: f.whole}
	f.mu.Unlock()
	if err := s.Send(&pb.EdgeSays{What: &pb.EdgeSays_Hello{Hello: hello}}); err != nil {
		_, rerr := s.Recv() // what the planner said of it
		return false, errors.Join(rerr, err)
	}
	defer f.left(address)
	type told struct {
		m   *pb.PlannerSays
		err error
	}
	in := make(chan told)
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	wg.Add(1)
	go func() { // one message at a time: what is not read waits at the planner
		defer wg.Done()
		for {
			m, err := s.Recv()
			select {
			case in <- told{m, err}:
			case <-ctx.Done():
				return
			}
			if err != nil {
				return
			}
		}
	}()
	beat := uint64(0)
	quiet := time.NewTimer(f.c.Silent)
	defer quiet.Stop()
	again := time.NewTicker(retell)
	defer again.Stop()
	for {
		select {
		case t := <-in:
			if t.err != nil {
				return heard, t.err
			}
			quiet.Reset(f.c.Silent)
			says, err := f.hear(t.m, address, conn, cancel, &beat)
			if err != nil {
				return heard, err
			}
			heard = true
			for _, m := range says {
				if err := s.Send(m); err != nil {
					return heard, err
				}
			}
		case <-f.news:
			if f.follows(address) {
				for _, m := range f.report() {
					if err := s.Send(m); err != nil {
						return heard, err
					}
				}
			}
		case <-again.C:
			if f.follows(address) {
				f.mu.Lock()
				items := f.view.Records()
				f.mu.Unlock()
				f.c.Sink.Changed(items, true)
			}
		case <-quiet.C:
			return heard, fmt.Errorf("the planner said nothing for %v", f.c.Silent)
		case <-ctx.Done():
			return heard, ctx.Err()
		}
	}
}

func (f *Follower) follows(address string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.following == address
}

func (f *Follower) left(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.following == address {
		f.following, f.leave, f.conn = "", nil, nil
		f.view.AbortTransfer()
	}
}

// hear takes one message, and returns what is to be answered. What must be kept is on disk before.
func (f *Follower) hear(m *pb.PlannerSays, address string, conn *grpc.ClientConn, cancel context.CancelFunc, beat *uint64) (says []*pb.EdgeSays, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	raised, err := f.view.ObserveTerm(m.Tenure)
	if err != nil {
		return nil, err
	}
	if raised {
		if err := f.store.Persist(f.view.Term(), f.view.Generation(), nil); err != nil {
			return nil, fmt.Errorf("the planner's term can't be written down, so it is not followed: %w", err)
		}
		f.c.Log.Info("following a planner", "address", address, "planner", m.Tenure.Planner, "term", m.Tenure.Term)
	}
	if f.following != address {
		if f.leave != nil { // one of a lower tenure
			f.leave()
		}
		f.view.AbortTransfer()
		f.following, f.leave, f.conn = address, cancel, conn
	}
	switch x := m.What.(type) {
	case *pb.PlannerSays_Report:
		return f.reported(), nil
	case *pb.PlannerSays_News: // not of the view: used as any other's word, kept only where it drains
		for i, n := range x.News.Item {
			x.News.Item[i] = f.view.WithKnownDrain(n)
			if d := n.GetBrick().GetDrained(); d != 0 && f.view.LearnDrain(n.Name, d) {
				if err := f.store.Persist(f.view.Term(), f.view.Generation(), []*pb.Item{f.view.Get(snapshot.KeyOf(n))}); err != nil {
					f.c.Log.Warn("a drain can't be written down", "brick", n.Name, "err", err)
				}
			}
		}
		f.c.Sink.Changed(x.News.Item, true)
		return nil, nil
	case *pb.PlannerSays_Alive:
		*beat = x.Alive.Beat
	case *pb.PlannerSays_Part:
		t, err := f.view.ApplyChunk(m.Tenure, x.Part)
		if err != nil {
			f.whole = x.Part.Whole == false
			return nil, err
		}
		if t.NeedsFull {
			f.whole = true
			return nil, errors.New("changes don't fit what is held; asking for the whole")
		}
		if !t.Complete {
			return nil, nil
		}
		f.whole = false
		if err := f.store.Persist(f.view.Term(), f.view.Generation(), t.Changed); err != nil {
			f.c.Log.Warn("the planner's view can't be kept; it is used all the same", "err", err)
		}
		if len(t.Changed) > 0 {
			f.c.Sink.Changed(t.Changed, true)
		}
	default:
		return nil, nil
	}
	return []*pb.EdgeSays{{What: &pb.EdgeSays_Ack{Ack: &pb.EdgeAck{Tenure: f.view.Term(), Generation: f.view.Generation(), Beat: *beat}}}}, nil
}

func (f *Follower) report() []*pb.EdgeSays {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reported()
}

// reported is all that is held. Under mu.
func (f *Follower) reported() (says []*pb.EdgeSays) {
	items := f.view.Records()
	for {
		n := min(len(items), partItems)
		says = append(says, &pb.EdgeSays{What: &pb.EdgeSays_Report{Report: &pb.EdgeReport{Item: items[:n], Last: n == len(items)}}})
		if items = items[n:]; len(items) == 0 {
			return says
		}
	}
}

// Learn tells of a drain that the edge learnt elsewhere; the planner hears of it at once, or when it is back.
func (f *Follower) Learn(brick string, drained int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.store == nil || !f.view.LearnDrain(brick, drained) {
		return
	}
	x := f.view.Get(snapshot.Key{Kind: pb.Item_BRICK, Name: brick})
	if err := f.store.Persist(f.view.Term(), f.view.Generation(), []*pb.Item{x}); err != nil {
		f.c.Log.Warn("a drain can't be written down", "brick", brick, "err", err)
	}
	select {
	case f.news <- true:
	default:
	}
}

// Place asks the planner followed for the place of a new object or extent.
func (f *Follower) Place(ctx context.Context, volume, name, butZone string) (cell uint32, err error) {
	f.mu.Lock()
	conn, tenure := f.conn, f.view.Term()
	f.mu.Unlock()
	if conn == nil {
		return 0, errors.New("no planner is followed; new places must wait for one")
	}
	g, err := pb.NewPlanningClient(conn).Place(ctx, &pb.PlaceAsk{Edge: f.c.Name, Volume: volume, Name: name, ButZone: butZone})
	if err != nil {
		return 0, err
	}
	if snapshot.CompareTerms(g.Tenure, tenure) < 0 {
		return 0, fmt.Errorf("a place of planner %q, term %d is refused: term %d is followed", g.Tenure.GetPlanner(), g.Tenure.GetTerm(), tenure.GetTerm())
	}
	x := &pb.Item{Kind: pb.Item_PLACE, Name: volume + "/" + name, Generation: g.Generation, Term: g.Tenure.GetTerm(),
		Place: &pb.PlanPlace{Volume: volume, Cell: g.Cell, Edge: f.c.Name}}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.store == nil {
		return 0, errors.New("the edge stops")
	}
	if err := f.store.Persist(f.view.Term(), f.view.Generation(), []*pb.Item{x}); err != nil {
		return 0, fmt.Errorf("the place can't be written down, so it is not used: %w", err)
	}
	f.view.AddPlacement(x)
	return g.Cell, nil
}

// Get is one thing of the view; nil: it is not there.
func (f *Follower) Get(k snapshot.Key) *pb.Item {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view.Get(k)
}

// State tells what is followed and held.
func (f *Follower) State() (address string, tenure *pb.Tenure, generation uint64, items []*pb.Item) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.following, f.view.Term(), f.view.Generation(), f.view.Records()
}
