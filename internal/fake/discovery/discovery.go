// Package discovery is a stand-in for the list service: it pushes the list of bricks and its changes, or tells them
// when asked, late and by a clock of its own.
package discovery

import (
	"context"
	"fmt"
	"math/rand"
	"net"
	"sync"
	"time"

	"weirhaven/internal/lineproto"
	"weirhaven/internal/pb"
	"weirhaven/internal/record"
)

// Config is what a list service is made of.
type Config struct {
	Address      string // port 0: the kernel chooses
	PollOnly     bool   // tells only when asked
	NotifyDelay  time.Duration
	ClockOffset  time.Duration
	FailureShare float64
	Seed         int64
	Recorder     *record.Recorder
	// GatewayOf is a host's number and incarnation by its name, for the record.
	GatewayOf func(name string) (host, incarnation uint32)
}

// Entry is one brick.
type Entry struct {
	Name, Address, Zone string
	Shard               int
	State               string // serving, draining or gone
	Started             time.Time
}

// Service is a stand-in while it runs.
type Service struct {
	c    Config
	addr string
	ctx  context.Context
	stop context.CancelFunc
	wg   sync.WaitGroup

	mu      sync.Mutex
	rng     *rand.Rand
	entries []Entry
	epoch   string // this service's life
	number  int64
	subs    map[*sub]bool
}

type sub struct {
	conn     net.Conn
	sender   *lineproto.Sender
	name     string
	watching bool
}

// Start brings the service up.
func Start(c Config) (*Service, error) {
	l, err := net.Listen("tcp", c.Address)
	if err != nil {
		return nil, fmt.Errorf("list service: %w", err)
	}
	ctx, stop := context.WithCancel(context.Background())
	s := &Service{c: c, addr: l.Addr().String(), ctx: ctx, stop: stop, rng: rand.New(rand.NewSource(c.Seed)),
		epoch: fmt.Sprint(c.Seed), subs: map[*sub]bool{}}
	s.wg.Add(1)
	go func() {
		defer s.wg.Done()
		s.accept(l)
	}()
	return s, nil
}

// Address is where hosts reach it.
func (s *Service) Address() string { return s.addr }

// Stop ends it with its connections.
func (s *Service) Stop() {
	s.stop()
	s.wg.Wait()
}

// Fault is a way in which the service fails.
type Fault int

// The ways in which the service fails.
const (
	PartialList    Fault = iota // tells only half of the bricks, as a whole list
	EmptyList                   // tells none, as a whole list
	StaleList                   // tells an old number, with a clock that reads later
	ConnectionLoss              // ends all connections
)

// Inject fails once.
func (s *Service) Inject(how Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for x := range s.subs {
		number := s.number
		switch how {
		case PartialList:
			s.number++
			s.tell(x, true, s.entries[:len(s.entries)/2])
		case EmptyList:
			s.number++
			s.tell(x, true, nil)
		case StaleList:
			s.number = 1
			s.tell(x, true, s.entries[:1])
			s.number = number
		case ConnectionLoss:
			_ = x.conn.Close()
		}
	}
}

// SendFullList tells all hosts the whole list.
func (s *Service) SendFullList() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.number++
	for x := range s.subs {
		s.tell(x, true, s.entries)
	}
}

// Set puts a brick's line into the list; watching hosts are told, late.
func (s *Service) Set(e Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.number++
	kept := s.entries[:0]
	for _, x := range s.entries {
		if x.Name != e.Name {
			kept = append(kept, x)
		}
	}
	s.entries = kept
	if e.State != "gone" {
		s.entries = append(s.entries, e)
	}
	for x := range s.subs {
		if x.watching {
			s.later(x, e)
		}
	}
}

// later tells one host of a change after the notice time. Under mu.
func (s *Service) later(x *sub, e Entry) {
	wait := time.Duration(0)
	if s.c.NotifyDelay > 0 {
		wait = s.c.NotifyDelay/2 + time.Duration(s.rng.Int63n(int64(s.c.NotifyDelay)))
	}
	s.wg.Add(1)
	go func() {
		defer s.wg.Done()
		select {
		case <-time.After(wait):
		case <-s.ctx.Done():
			return
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		s.tell(x, false, []Entry{e})
	}()
}

// tell writes a list to one host. Under mu.
func (s *Service) tell(x *sub, whole bool, entries []Entry) {
	clock := time.Now().Add(s.c.ClockOffset)
	var body []byte
	for _, e := range entries {
		started := int64(0)
		if !e.Started.IsZero() {
			started = e.Started.Add(s.c.ClockOffset).UnixMicro()
		}
		body = fmt.Appendf(body, "%s %s %s %d %s %d\n", e.Name, e.Address, e.Zone, e.Shard, e.State, started)
	}
	var o lineproto.Builder
	o.Start(lineproto.VerbEndpointList, 0).Text("Epoch", s.epoch).Int("Number", s.number).Int("Clock", clock.UnixMicro())
	if whole {
		o.Text("Whole", "yes")
	}
	host, inc := uint32(0), uint32(0)
	if s.c.GatewayOf != nil {
		host, inc = s.c.GatewayOf(x.name)
	}
	if _, err := x.sender.Send(o.End(body).Buffer); err != nil {
		return
	}
	for _, e := range entries {
		age := int64(-1)
		if !e.Started.IsZero() {
			age = int64(time.Since(e.Started))
		}
		s.c.Recorder.See(&pb.Seen{What: pb.Seen_LISTED, Host: host, Incarnation: inc, Brick: e.Name, How: e.State, Started: age,
			Cell: int32(e.Shard)})
	}
}

func (s *Service) accept(l net.Listener) {
	unhook := context.AfterFunc(s.ctx, func() { _ = l.Close() })
	defer unhook()
	for {
		nc, err := l.Accept()
		if err != nil {
			return
		}
		s.wg.Add(1)
		go func() {
			defer s.wg.Done()
			s.serve(nc)
		}()
	}
}

func (s *Service) serve(nc net.Conn) {
	defer func() { _ = nc.Close() }()
	unhook := context.AfterFunc(s.ctx, func() { _ = nc.Close() })
	defer unhook()
	r := lineproto.NewConnReader(nc, 1<<16, 0, 10*time.Second)
	hello, err := lineproto.Greet(nc, r, "list", "list", 2*time.Second, nil)
	if err != nil {
		return
	}
	x := &sub{conn: nc, sender: lineproto.NewSender(32<<20, 10*time.Second), name: hello.Get("Name")}
	x.sender.Start(nc)
	s.mu.Lock()
	s.subs[x] = true
	if !s.c.PollOnly {
		x.watching = true
		s.tell(x, true, s.entries)
	}
	s.mu.Unlock()
	for {
		m, err := r.Read()
		if err != nil {
			break
		}
		s.mu.Lock()
		fails := s.c.FailureShare > 0 && s.rng.Float64() < s.c.FailureShare
		var o lineproto.Builder
		switch {
		case fails:
			_, _ = x.sender.Send(o.Start(lineproto.VerbFailed, m.ID).End(nil).Buffer)
		case m.Verb == lineproto.VerbWatchEndpoints:
			x.watching = true
			s.tell(x, true, s.entries)
		case m.Verb == lineproto.VerbGetEndpoints:
			s.tell(x, true, s.entries)
		}
		s.mu.Unlock()
	}
	s.mu.Lock()
	delete(s.subs, x)
	s.mu.Unlock()
	x.sender.Close()
	<-x.sender.Done()
}
