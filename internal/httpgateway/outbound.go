package httpgateway

import (
	"time"

	"weirhaven/internal/engine"
	"weirhaven/internal/fleet/endpointstate"
	"weirhaven/internal/fleet/membership"
)

// outbound implements the calls of the engine's loop to the outside. Only connections to endpoints and the log are used on
// this platform. The other calls do nothing, since the watch of the endpoint list is always open and gateways don't
// communicate with each other.
type outbound struct{ *Gateway }

// Connect returns a handle for sending attempts to an endpoint. It opens no connection.
func (o outbound) Connect(endpoint, address string) engine.EndpointConn {
	return o.pool.Connect(endpoint, address)
}

// Log logs a line of the scheduler.
func (o outbound) Log(line string) { o.Gateway.Log.Info(line, "from", "scheduler") }

// RequestEndpointList does nothing: the watch is always open.
func (o outbound) RequestEndpointList() {}

// SendGossip does nothing: there are no peers.
func (o outbound) SendGossip([]byte) {}

// SendMembership does nothing: there are no peers.
func (o outbound) SendMembership(string, membership.Message) {}

// SendEndpoints does nothing: there are no peers.
func (o outbound) SendEndpoints(string, time.Duration, []endpointstate.Report) {}

// MembersChanged does nothing: there are no peers.
func (o outbound) MembersChanged([]membership.Member) {}
