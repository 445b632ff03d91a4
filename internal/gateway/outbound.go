package gateway

import (
	"time"

	"weirhaven/internal/engine"
	"weirhaven/internal/fleet/endpointstate"
	"weirhaven/internal/fleet/membership"
)

// outbound is the engine.Outbound of a gateway: what its loop sends. Its methods are called by the loop and never block.
type outbound struct{ gateway *Gateway }

func (o outbound) Connect(name, address string) engine.EndpointConn {
	return o.gateway.endpoints.Connect(name, address)
}

func (o outbound) RequestEndpointList() { o.gateway.discovery.Watch() }

func (o outbound) SendNote(note []byte) { o.gateway.peers.broadcast(note) }

func (o outbound) SendMembership(address string, m membership.Message) {
	o.gateway.peers.sendMembership(address, m)
}

func (o outbound) SendEndpoints(address string, now time.Duration, reports []endpointstate.Report) {
	o.gateway.peers.sendEndpoints(address, now, reports)
}

func (o outbound) MembersChanged(all []membership.Member) { o.gateway.peers.membersChanged(all) }

func (o outbound) Log(line string) { o.gateway.log.Info(line, "from", "scheduler") }

// listSink passes what the endpoint list service sends on to the loop.
type listSink struct{ loop *engine.Loop }

func (s listSink) List(g endpointstate.Generation, complete bool, entries []engine.EndpointEntry) {
	s.loop.Post(func(c *engine.Core) { c.EndpointList(g, complete, entries) })
}

func (s listSink) ListFailed() { s.loop.Post(func(c *engine.Core) { c.EndpointListFailed() }) }

// ListHolds may be dropped when the loop is busy: it comes again each second.
func (s listSink) ListHolds() { s.loop.TryPost(func(c *engine.Core) { c.EndpointListUnchanged() }) }
