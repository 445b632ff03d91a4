package gateway

import (
	"time"

	"weirhaven/internal/engine"
	"weirhaven/internal/fleet/endpointstate"
	"weirhaven/internal/fleet/membership"
)

// outbound implements engine.Outbound for a gateway. The loop calls its methods; none of them blocks.
type outbound struct{ gateway *Gateway }

// Connect returns the connection to an endpoint, which is established when it is first needed.
func (o outbound) Connect(name, address string) engine.EndpointConn {
	return o.gateway.endpoints.Connect(name, address)
}

// RequestEndpointList requests the endpoint list and its changes.
func (o outbound) RequestEndpointList() { o.gateway.discovery.RequestList() }

// SendGossip sends a note of the scheduler to every other gateway.
func (o outbound) SendGossip(note []byte) { o.gateway.peers.broadcast(note) }

// SendMembership sends a membership message to one gateway.
func (o outbound) SendMembership(address string, m membership.Message) {
	o.gateway.peers.sendMembership(address, m)
}

// SendEndpoints sends endpoint reports to one gateway.
func (o outbound) SendEndpoints(address string, now time.Duration, reports []endpointstate.Report) {
	o.gateway.peers.sendEndpoints(address, now, reports)
}

// MembersChanged updates the addresses to which scheduler notes are sent.
func (o outbound) MembersChanged(all []membership.Member) { o.gateway.peers.membersChanged(all) }

// Log writes a line of the scheduler or the engine to the log.
func (o outbound) Log(line string) { o.gateway.log.Info(line, "from", "scheduler") }

// listSink passes the results of the endpoint list service to the loop.
type listSink struct{ loop *engine.Loop }

// ListReceived passes a list to the loop. It blocks while the loop's queue is full.
func (s listSink) ListReceived(g endpointstate.Generation, complete bool, entries []engine.EndpointEntry) {
	s.loop.Post(func(c *engine.Core) { c.EndpointList(g, complete, entries) })
}

// ListFailed notifies the loop that a request got no list.
func (s listSink) ListFailed() { s.loop.Post(func(c *engine.Core) { c.EndpointListFailed() }) }

// ListUnchanged notifies the loop, but drops the event if the loop's queue is full: it is repeated each second.
func (s listSink) ListUnchanged() { s.loop.TryPost(func(c *engine.Core) { c.EndpointListUnchanged() }) }
