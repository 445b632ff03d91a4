package gateway

import (
	"time"

	"weirhaven/internal/engine"
	"weirhaven/internal/fleet/endpointstate"
	"weirhaven/internal/fleet/membership"
)

// outbound is the engine.Outbound of a gateway: what its loop sends. Its methods are called by the loop and never block.
type outbound struct{ gateway *Gateway }

// Connect returns the connection to an endpoint, made when it is needed.
func (o outbound) Connect(name, address string) engine.EndpointConn {
	return o.gateway.endpoints.Connect(name, address)
}

// RequestEndpointList requests the endpoint list and its changes.
func (o outbound) RequestEndpointList() { o.gateway.discovery.RequestList() }

// SendGossip sends a message of the scheduler to every other gateway.
func (o outbound) SendGossip(note []byte) { o.gateway.peers.broadcast(note) }

// SendMembership sends a membership message to one gateway.
func (o outbound) SendMembership(address string, m membership.Message) {
	o.gateway.peers.sendMembership(address, m)
}

// SendEndpoints sends endpoint reports to one gateway.
func (o outbound) SendEndpoints(address string, now time.Duration, reports []endpointstate.Report) {
	o.gateway.peers.sendEndpoints(address, now, reports)
}

// MembersChanged sets where notes go from now on.
func (o outbound) MembersChanged(all []membership.Member) { o.gateway.peers.membersChanged(all) }

// Log writes a line of the scheduler or the engine to the log.
func (o outbound) Log(line string) { o.gateway.log.Info(line, "from", "scheduler") }

// listSink passes what the endpoint list service sends on to the loop.
type listSink struct{ loop *engine.Loop }

// ListReceived passes a list on; it waits while the loop is busy.
func (s listSink) ListReceived(g endpointstate.Generation, complete bool, entries []engine.EndpointEntry) {
	s.loop.Post(func(c *engine.Core) { c.EndpointList(g, complete, entries) })
}

// ListFailed passes on that a request got no list.
func (s listSink) ListFailed() { s.loop.Post(func(c *engine.Core) { c.EndpointListFailed() }) }

// ListUnchanged may be dropped when the loop is busy: it comes again each second.
func (s listSink) ListUnchanged() { s.loop.TryPost(func(c *engine.Core) { c.EndpointListUnchanged() }) }
