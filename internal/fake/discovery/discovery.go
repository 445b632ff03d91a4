// Package discovery is a fake discovery service. It pushes the endpoint list and its changes to gateways, or answers their
// polls, after a delay and with a clock offset.
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

// Config configures a service.
type Config struct {
	Address      string        // address to listen on; port 0: the kernel chooses
	PollOnly     bool          // the service answers polls only and pushes nothing
	NotifyDelay  time.Duration // mean delay of a notification; each is delayed by 0.5 to 1.5 times as much
	ClockOffset  time.Duration // offset of the service's clock from the machine's
	FailureShare float64       // share of the requests that fail, 0 to 1
	Seed         int64
	Recorder     *record.Recorder
	// GatewayOf returns a gateway's number and incarnation by its name, for the record. It may be nil.
	GatewayOf func(name string) (gateway, incarnation uint32)
}

// Entry is one endpoint of the list.
type Entry struct {
	Name, Address, Zone string
	Shard               int
	State               string // serving, draining or gone
	Started             time.Time
}

// Service is a running fake discovery service. Its methods may be called from any goroutine.
type Service struct {
	config  Config
	address string
	ctx     context.Context
	stop    context.CancelFunc
	wg      sync.WaitGroup

	mu       sync.Mutex
	rng      *rand.Rand
	entries  []Entry
	epoch    string // identifies this start of the service
	revision int64  // current revision of the list
	clients  map[*client]bool
}

// client is the connection of one gateway.
type client struct {
	conn     net.Conn
	sender   *lineproto.Sender
	name     string // name of the gateway, from its greeting
	watching bool   // whether the gateway is notified of changes
}

// Start starts a service. It returns an error if it can't listen on the address.
func Start(config Config) (*Service, error) {
	listener, err := net.Listen("tcp", config.Address)
	if err != nil {
		return nil, fmt.Errorf("fake discovery service: %w", err)
	}
	ctx, stop := context.WithCancel(context.Background())
	s := &Service{config: config, address: listener.Addr().String(), ctx: ctx, stop: stop, rng: rand.New(rand.NewSource(config.Seed)),
		epoch: fmt.Sprint(config.Seed), clients: map[*client]bool{}}
	s.wg.Add(1)
	go func() {
		defer s.wg.Done()
		s.accept(listener)
	}()
	return s, nil
}

// Address returns the address on which gateways reach the service.
func (s *Service) Address() string { return s.address }

// Stop ends the service and its connections, and waits for its goroutines.
func (s *Service) Stop() {
	s.stop()
	s.wg.Wait()
}

// Fault is a fault of the service.
type Fault int

// Faults of the service.
const (
	PartialList    Fault = iota // sends half of the endpoints as if the list were complete
	EmptyList                   // sends an empty list as if it were complete
	StaleList                   // sends one endpoint as a complete list, under an old revision but with the current time
	ConnectionLoss              // closes all connections
)

// Inject injects a fault once, on each connection.
func (s *Service) Inject(fault Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.clients {
		revision := s.revision
		switch fault {
		case PartialList:
			s.revision++
			s.sendList(c, true, s.entries[:len(s.entries)/2])
		case EmptyList:
			s.revision++
			s.sendList(c, true, nil)
		case StaleList:
			s.revision = 1
			s.sendList(c, true, s.entries[:1])
			s.revision = revision
		case ConnectionLoss:
			_ = c.conn.Close()
		}
	}
}

// SendFullList sends the complete list to all gateways under a new revision.
func (s *Service) SendFullList() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	for c := range s.clients {
		s.sendList(c, true, s.entries)
	}
}

// Set adds, replaces or removes an endpoint's entry. Gateways that watch the list are notified after a delay.
func (s *Service) Set(e Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
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
	for c := range s.clients {
		if c.watching {
			s.notifyLater(c, e)
		}
	}
}

// notifyLater sends a change to one gateway after the notification delay. The caller holds mu.
func (s *Service) notifyLater(c *client, e Entry) {
	wait := time.Duration(0)
	if s.config.NotifyDelay > 0 {
		wait = s.config.NotifyDelay/2 + time.Duration(s.rng.Int63n(int64(s.config.NotifyDelay)))
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
		s.sendList(c, false, []Entry{e})
	}()
}

// sendList sends entries to one gateway: the complete list, or what changed in it. The caller holds mu.
func (s *Service) sendList(c *client, complete bool, entries []Entry) {
	clock := time.Now().Add(s.config.ClockOffset)
	var body []byte
	for _, e := range entries {
		started := int64(0)
		if !e.Started.IsZero() {
			started = e.Started.Add(s.config.ClockOffset).UnixMicro()
		}
		body = fmt.Appendf(body, "%s %s %s %d %s %d\n", e.Name, e.Address, e.Zone, e.Shard, e.State, started)
	}
	var message lineproto.Builder
	message.Start(lineproto.VerbEndpointList, 0).Text("Epoch", s.epoch).Int("Number", s.revision).Int("Clock", clock.UnixMicro())
	if complete {
		message.Text("Whole", "yes")
	}
	gateway, incarnation := uint32(0), uint32(0)
	if s.config.GatewayOf != nil {
		gateway, incarnation = s.config.GatewayOf(c.name)
	}
	if _, err := c.sender.Send(message.End(body).Buffer); err != nil {
		return
	}
	for _, e := range entries {
		age := int64(-1)
		if !e.Started.IsZero() {
			age = int64(time.Since(e.Started))
		}
		s.config.Recorder.See(&pb.Seen{What: pb.Seen_LISTED, Host: gateway, Incarnation: incarnation, Brick: e.Name, How: e.State, Started: age,
			Cell: int32(e.Shard)})
	}
}

// accept serves connections until the service stops.
func (s *Service) accept(listener net.Listener) {
	unhook := context.AfterFunc(s.ctx, func() { _ = listener.Close() })
	defer unhook()
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		s.wg.Add(1)
		go func() {
			defer s.wg.Done()
			s.serve(conn)
		}()
	}
}

// serve serves one gateway until its connection ends.
func (s *Service) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	unhook := context.AfterFunc(s.ctx, func() { _ = conn.Close() })
	defer unhook()
	reader := lineproto.NewConnReader(conn, 1<<16, 0, 10*time.Second)
	hello, err := lineproto.Greet(conn, reader, "list", "list", 2*time.Second, nil)
	if err != nil {
		return
	}
	c := &client{conn: conn, sender: lineproto.NewSender(32<<20, 10*time.Second), name: hello.Get("Name")}
	c.sender.Start(conn)
	s.mu.Lock()
	s.clients[c] = true
	if !s.config.PollOnly {
		c.watching = true
		s.sendList(c, true, s.entries)
	}
	s.mu.Unlock()
	for {
		request, err := reader.Read()
		if err != nil {
			break
		}
		s.mu.Lock()
		failed := s.config.FailureShare > 0 && s.rng.Float64() < s.config.FailureShare
		var message lineproto.Builder
		switch {
		case failed:
			_, _ = c.sender.Send(message.Start(lineproto.VerbFailed, request.ID).End(nil).Buffer)
		case request.Verb == lineproto.VerbWatchEndpoints:
			c.watching = true
			s.sendList(c, true, s.entries)
		case request.Verb == lineproto.VerbGetEndpoints:
			s.sendList(c, true, s.entries)
		}
		s.mu.Unlock()
	}
	s.mu.Lock()
	delete(s.clients, c)
	s.mu.Unlock()
	c.sender.Close()
	<-c.sender.Done()
}
