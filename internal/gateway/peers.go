package gateway

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"

	"go4.org/netipx"

	"weirhaven/internal/engine"
	"weirhaven/internal/fleet/endpointstate"
	"weirhaven/internal/fleet/membership"
	"weirhaven/internal/lineproto"
)

// Bounds of messages between gateways, in bytes. maxDatagram is the size of the read buffer. A body larger than maxBody is not sent,
// so that a datagram has space for the head.
const (
	maxGossip   = 512
	maxDatagram = 16 << 10
	maxBody     = maxDatagram / 2
)

// peers sends and receives messages between gateways. Each message is one datagram, which may be lost.
type peers struct {
	gateway  *Gateway
	networks *netipx.IPSet // allowed addresses of peers; nil: all
	conn     *net.UDPConn  // nil: this gateway has no peers

	mu        sync.Mutex
	addresses map[int]netip.AddrPort // addresses of other gateways by ordinal; guarded by mu
}

// open listens for peers, if the settings give an address.
func (p *peers) open(ctx context.Context) error {
	conf := p.gateway.conf
	if conf.PeerListen == "" {
		return nil
	}
	var config net.ListenConfig
	conn, err := config.ListenPacket(ctx, "udp", conf.PeerListen)
	if err != nil {
		return fmt.Errorf("listen for other gateways (peer_listen): %w", err)
	}
	p.conn, p.addresses = conn.(*net.UDPConn), map[int]netip.AddrPort{}
	for _, peer := range conf.Peer {
		address, err := net.ResolveUDPAddr("udp", peer.Address)
		if err != nil {
			_ = conn.Close() // nothing was sent, so an error has no effect
			return fmt.Errorf("peer %d: %w", peer.Ordinal, err)
		}
		p.addresses[int(peer.Ordinal)] = address.AddrPort()
	}
	return nil
}

// address returns the address on which this gateway listens for peers; empty: it doesn't listen.
func (p *peers) address() string {
	if p.conn == nil {
		return ""
	}
	return p.conn.LocalAddr().String()
}

func (p *peers) isAllowed(address netip.AddrPort) bool {
	return p.networks == nil || p.networks.Contains(address.Addr().Unmap())
}

// membersChanged updates the addresses to which scheduler notes are sent.
func (p *peers) membersChanged(all []membership.Member) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range all {
		address, err := netip.ParseAddrPort(m.Address)
		switch {
		case m.Name == p.gateway.conf.Name:
		case m.State == membership.Departed || m.State == membership.Faulty || err != nil:
			delete(p.addresses, m.Ordinal)
		case p.isAllowed(address):
			p.addresses[m.Ordinal] = address
		}
	}
}

// broadcast sends a note of the scheduler to every other known gateway.
func (p *peers) broadcast(note []byte) {
	if p.conn == nil || len(note) > maxGossip {
		return
	}
	var m lineproto.Builder
	m.Start(lineproto.VerbSchedulerGossip, 0).Int(lineproto.FieldSender, int64(p.gateway.conf.Ordinal)).End(note)
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, address := range p.addresses {
		p.send(address, &m)
	}
}

func (p *peers) sendMembership(address string, m membership.Message) {
	to, err := netip.ParseAddrPort(address)
	if p.conn == nil || err != nil || !p.isAllowed(to) {
		return
	}
	p.sendBody(to, lineproto.VerbMembership, encodeMembership(m))
}

func (p *peers) sendEndpoints(address string, now time.Duration, reports []endpointstate.Report) {
	to, err := netip.ParseAddrPort(address)
	if p.conn == nil || err != nil || len(reports) == 0 {
		return
	}
	p.sendBody(to, lineproto.VerbEndpointReports, encodeReports(reports, now))
}

// sendBody sends a message with that body. It drops a nil body and one larger than maxBody.
func (p *peers) sendBody(to netip.AddrPort, verb string, body []byte) {
	if body == nil || len(body) > maxBody {
		return
	}
	var m lineproto.Builder
	p.send(to, m.Start(verb, 0).End(body))
}

// send sends a datagram. It ignores errors, since any datagram may be lost.
func (p *peers) send(to netip.AddrPort, m *lineproto.Builder) {
	_, _ = p.conn.WriteToUDPAddrPort(m.Buffer, to)
}

// run receives messages until ctx ends. It drops malformed ones.
func (p *peers) run(ctx context.Context) {
	if p.conn == nil {
		return
	}
	defer func() { _ = p.conn.Close() }()
	stopWatching := context.AfterFunc(ctx, func() { _ = p.conn.Close() })
	defer stopWatching()
	buffer := make([]byte, maxDatagram)
	for {
		n, _, err := p.conn.ReadFromUDP(buffer)
		if err != nil {
			return
		}
		m, err := lineproto.NewReader(bytes.NewReader(buffer[:n]), maxDatagram).Read()
		if err == nil {
			p.receive(m)
		}
	}
}

// receive passes a message to the loop, or drops it if the loop's queue is full.
func (p *peers) receive(m *lineproto.Message) {
	loop := p.gateway.loop
	switch m.Verb {
	case lineproto.VerbMembership:
		if message, ok := decodeMembership(m.Body); ok {
			loop.TryPost(func(c *engine.Core) { c.MembershipReceived(message) })
		}
	case lineproto.VerbEndpointReports:
		loop.TryPost(func(c *engine.Core) { c.EndpointsFromPeer(decodeReports(m.Body, c.Now())) })
	case lineproto.VerbSchedulerGossip:
		if sender, err := m.Int(lineproto.FieldSender, -1); err == nil && sender >= 0 {
			loop.TryPost(func(c *engine.Core) { c.GossipReceived(int(sender), m.Body) })
		}
	}
}
