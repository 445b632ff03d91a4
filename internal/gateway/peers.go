package gateway

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"weirhaven/internal/engine"
	"weirhaven/internal/fleet/endpointstate"
	"weirhaven/internal/fleet/membership"
	"weirhaven/internal/lineproto"
	"weirhaven/internal/pb"
)

// peers carries short messages between hosts: one datagram each, which may be lost.
type peers struct {
	edge *Edge
	conn *net.UDPConn
	mu   sync.Mutex
	to   map[int]netip.AddrPort
}

// A datagram holds one message: news of the module, or gossip of up to some dozen hosts.
const maxNews, maxDatagram = 512, 16 << 10

func (p *peers) open(ctx context.Context) error {
	if p.edge.conf.PeerListen == "" {
		return nil
	}
	var config net.ListenConfig
	c, err := config.ListenPacket(ctx, "udp", p.edge.conf.PeerListen)
	if err != nil {
		return fmt.Errorf("listen for other hosts (peer_listen): %w", err)
	}
	p.conn, p.to = c.(*net.UDPConn), map[int]netip.AddrPort{}
	for _, x := range p.edge.conf.Peer {
		a, err := net.ResolveUDPAddr("udp", x.Address)
		if err != nil {
			c.Close()
			return fmt.Errorf("peer %d: %w", x.Ordinal, err)
		}
		p.to[int(x.Ordinal)] = a.AddrPort()
	}
	return nil
}

func (p *peers) address() string {
	if p.conn == nil {
		return ""
	}
	return p.conn.LocalAddr().String()
}

// broadcast sends a short message of the scheduler to every other gateway that is known. What the kernel does not take is
// lost, as any datagram may be.
func (p *peers) broadcast(note []byte) {
	if p.conn == nil || len(note) > maxNews {
		return
	}
	var o lineproto.Out
	o.Start(lineproto.News, 0).Whole("From", int64(p.edge.conf.Ordinal)).End(note)
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, a := range p.to {
		p.conn.WriteToUDPAddrPort(o.B, a)
	}
}

// Members are where the module's news goes from now on.
func (e *Edge) MembersChanged(all []membership.Member) {
	p := e.peers
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range all {
		a, err := netip.ParseAddrPort(m.Address)
		switch {
		case m.Name == e.conf.Name:
		case m.State == membership.Departed || m.State == membership.Faulty || err != nil:
			delete(p.to, m.Ordinal)
		case e.peerNetworks == nil || e.peerNetworks.Contains(a.Addr().Unmap()):
			p.to[m.Ordinal] = a
		}
	}
}

// Gossip sends one message of the membership.
func (e *Edge) SendMembership(address string, m membership.Message) {
	a, err := netip.ParseAddrPort(address)
	if e.peers.conn == nil || err != nil || e.peerNetworks != nil && !e.peerNetworks.Contains(a.Addr().Unmap()) {
		return
	}
	g := &pb.Gossip{Kind: int32(m.Kind), Seq: m.Seq, From: gossipHost(m.From), About: m.Target, Total: int64(m.Total), Sums: m.Checksums}
	for _, n := range m.Updates {
		g.News = append(g.News, gossipHost(n))
	}
	body, err := proto.Marshal(g)
	if err != nil || len(body) > maxDatagram/2 {
		return
	}
	var o lineproto.Out
	e.peers.conn.WriteToUDPAddrPort(o.Start(lineproto.Gossip, 0).End(body).B, a)
}

// Share tells another host lines about bricks; times go as ages.
func (e *Edge) SendEndpoints(address string, now time.Duration, lines []endpointstate.Report) {
	a, err := netip.ParseAddrPort(address)
	if e.peers.conn == nil || err != nil || len(lines) == 0 {
		return
	}
	m := &pb.Lines{}
	for _, l := range lines {
		x := &pb.Lines_Line{Name: l.Name, Address: l.Address, Zone: l.Zone, Cell: int64(l.Shard), Serving: l.Serving, Gone: l.Gone, Up: -1,
			Age: int64(now - l.ObservedAt)}
		if l.Started != 0 {
			x.Up = int64(now - l.Started)
		}
		m.Line = append(m.Line, x)
	}
	body, err := proto.Marshal(m)
	if err != nil || len(body) > maxDatagram/2 {
		return
	}
	var o lineproto.Out
	e.peers.conn.WriteToUDPAddrPort(o.Start(lineproto.Lines, 0).End(body).B, a)
}

// linesOf puts another host's lines on this host's clock. What no host would tell is left out.
func linesOf(body []byte, now time.Duration) (lines []endpointstate.Report) {
	m := &pb.Lines{}
	if proto.Unmarshal(body, m) != nil {
		return nil
	}
	for _, x := range m.Line {
		_, err := netip.ParseAddrPort(x.Address)
		if err != nil || x.Name == "" || len(x.Name) > 64 || x.Cell < 0 || x.Cell > 1<<30 || x.Age < 0 {
			continue
		}
		l := endpointstate.Report{Name: x.Name, Address: x.Address, Zone: x.Zone, Shard: int(x.Cell), Serving: x.Serving && !x.Gone, Gone: x.Gone,
			ObservedAt: max(now-time.Duration(x.Age), 1)}
		if x.Up >= 0 {
			l.Started = max(now-time.Duration(x.Up), 1)
		}
		lines = append(lines, l)
	}
	return lines
}

func gossipHost(m membership.Member) *pb.Gossip_Host {
	return &pb.Gossip_Host{Name: m.Name, Ordinal: int64(m.Ordinal), Address: m.Address, Planned: int64(m.Planned),
		Incarnation: m.Incarnation, State: int32(m.State)}
}

// memberOf is a host as told; ok is false for what no host would tell.
func memberOf(h *pb.Gossip_Host) (membership.Member, bool) {
	m := membership.Member{Name: h.GetName(), Ordinal: int(h.GetOrdinal()), Address: h.GetAddress(), Planned: int(h.GetPlanned()),
		Incarnation: h.GetIncarnation(), State: membership.State(h.GetState())}
	_, err := netip.ParseAddrPort(m.Address)
	return m, err == nil && m.Name != "" && len(m.Name) <= 64 && m.Ordinal >= 0 && m.Ordinal < 1<<16 && m.Planned >= 0 &&
		m.Planned < 1<<16 && m.State >= membership.Alive && m.State <= membership.Departed
}

func messageOf(body []byte) (m membership.Message, ok bool) {
	g := &pb.Gossip{}
	if proto.Unmarshal(body, g) != nil || g.Kind < 0 || g.Kind > int32(membership.Sync) {
		return m, false
	}
	m = membership.Message{Kind: membership.Kind(g.Kind), Seq: g.Seq, Target: g.About, Total: int(g.Total), Checksums: g.Sums}
	if m.From, ok = memberOf(g.From); !ok {
		return m, false
	}
	for _, n := range g.News {
		if x, ok := memberOf(n); ok {
			m.Updates = append(m.Updates, x)
		}
	}
	return m, true
}

func (p *peers) run(ctx context.Context) {
	if p.conn == nil {
		return
	}
	defer p.conn.Close()
	unhook := context.AfterFunc(ctx, func() { p.conn.Close() })
	defer unhook()
	buf := make([]byte, maxDatagram)
	for {
		n, _, err := p.conn.ReadFromUDP(buf)
		if err != nil {
			return
		}
		m, err := lineproto.NewReader(bytes.NewReader(buf[:n]), maxDatagram).Read()
		if err != nil {
			continue
		}
		if m.Verb == lineproto.Gossip {
			if g, ok := messageOf(m.Body); ok {
				p.edge.loop.TryPost(func(c *engine.Core) { c.MembershipReceived(g) })
			}
			continue
		}
		if m.Verb == lineproto.Lines {
			p.edge.loop.TryPost(func(c *engine.Core) { c.EndpointsFromPeer(linesOf(m.Body, c.Now())) })
			continue
		}
		if m.Verb != lineproto.News {
			continue
		}
		from, err := m.Whole("From", -1)
		if err != nil || from < 0 {
			continue
		}
		p.edge.loop.TryPost(func(c *engine.Core) { c.GossipReceived(int(from), m.Body) })
	}
}
