package gateway

import (
	"fmt"
	"os"
	"strings"

	"weirhaven/internal/engine"
	"weirhaven/internal/lineproto"
	"weirhaven/internal/settings"
)

// operate handles operator commands on a client connection. They are accepted only from this machine.
func (c *clientConn) operate(m *lineproto.Message) {
	if !c.isLocal() {
		c.sendBad(m.ID, os.ErrPermission)
		return
	}
	switch m.Verb {
	case lineproto.VerbShowFleet:
		c.showFleet(m)
	case lineproto.VerbControlCapture:
		status, err := c.gateway.controlCapture(m.Get(lineproto.FieldAction))
		c.sendResult(m.ID, []byte(status), err)
	case lineproto.VerbForget:
		c.forget(m)
	}
}

// isLocal reports whether the client is on this machine. RemoteAddr formats ::1 as [::1].
func (c *clientConn) isLocal() bool {
	host, _, _ := strings.Cut(c.conn.RemoteAddr().String(), ":")
	return strings.HasPrefix(host, "127.") || host == "["
}

// sendResult sends the result of an operator command, or its error.
func (c *clientConn) sendResult(id uint64, body []byte, err error) {
	if err != nil {
		c.sendBad(id, err)
		return
	}
	var m lineproto.Builder
	c.send(m.Start(lineproto.VerbServed, id).End(body))
}

// showFleet sends the beliefs about the fleet as a table, or as settings of the capacity planner (Form: txtpb).
func (c *clientConn) showFleet(m *lineproto.Message) {
	view, _ := c.gateway.fleetView()
	if m.Get(lineproto.FieldForm) == "txtpb" {
		text, err := settings.Text(c.gateway.describeFleet(view))
		c.sendResult(m.ID, text, err)
		return
	}
	table := FormatFleet(view.beliefs, view.members, view.generation, c.gateway.loop.Now())
	c.sendResult(m.ID, []byte(table), nil)
}

// forget removes the beliefs about an endpoint (Brick), or the membership of a gateway (Host).
func (c *clientConn) forget(m *lineproto.Message) {
	endpoint, member := m.Get(lineproto.FieldEndpoint), m.Get(lineproto.FieldGateway)
	known := make(chan bool, 1)
	event := func(core *engine.Core) { known <- core.ForgetEndpoint(endpoint) }
	if member != "" {
		event = func(core *engine.Core) { known <- core.ForgetGateway(member) }
	}
	if !c.gateway.loop.Post(event) {
		return
	}
	select {
	case ok := <-known:
		if !ok {
			c.sendBad(m.ID, fmt.Errorf("nothing is known of %q", endpoint+member))
			return
		}
		c.gateway.log.Warn("forgot an endpoint with its drain, or a gateway with its part, by an operator's order",
			"endpoint", endpoint, "member", member)
		c.sendResult(m.ID, nil, nil)
	case <-c.gateway.loop.Done():
	}
}
