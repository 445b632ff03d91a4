package httpgateway

import (
	"context"
	"fmt"
	"net"
	"strings"
	"testing"

	"weirhaven/policy"
)

// dialGate holds connections to endpoints back until the test permits one to come up.
type dialGate struct {
	dials   chan bool
	permits chan bool
}

func (g *dialGate) dial(ctx context.Context, address string) (net.Conn, error) {
	g.dials <- true
	select {
	case <-g.permits:
		return new(net.Dialer).DialContext(ctx, "tcp", address)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func startGated(t *testing.T, endpoint *testEndpoint, cancel bool) (*testGateway, *dialGate) {
	t.Parallel()
	g := &dialGate{make(chan bool, 100), make(chan bool, 100)}
	gateway := newGateway(t, endpoint)
	gateway.dialEndpoint, gateway.config.Settings.CanCancel = g.dial, cancel
	gateway.start()
	return gateway, g
}

// A client disconnects while its attempt waits for a connection, and the connection comes up afterwards. Nothing is sent on
// it, whether settings allow attempts to be canceled or not.
func TestClientDisconnectsWhileConnecting(t *testing.T) {
	for _, cancel := range []bool{true, false} {
		t.Run(fmt.Sprint(cancel), func(t *testing.T) {
			endpoint := newEndpoint(t, respondNumbered)
			gateway, g := startGated(t, endpoint, cancel)
			c := gateway.dial()
			send(c, readRequest("a1"))
			<-g.dials
			c.Close()
			gateway.wantOutcomes(policy.NotSent)
			for range 4 {
				g.permits <- true
			}
			wantResponse(t, gateway.dial(), readRequest("a2"), 200, "answer 0")
			if s := <-endpoint.requests; !strings.Contains(s, "a2") {
				t.Errorf("%s was sent though its client had disconnected", s)
			}
		})
	}
}

// Settings don't allow attempts to be canceled, and a request fails at its deadline while its attempt waits for a
// connection. The client got a response that says it did not run, so nothing may be sent when the connection comes up.
func TestRequestFailsWhileConnecting(t *testing.T) {
	endpoint := newEndpoint(t, respondNumbered)
	gateway, g := startGated(t, endpoint, false)
	c := gateway.dial()
	send(c, strings.Replace(readRequest("a1"), "Ms: 1000", "Ms: 150", 1))
	<-g.dials
	if s, _ := receive(c); s != 503 {
		t.Errorf("%d, wanted 503", s)
	}
	gateway.wantOutcomes(policy.NotSent)
	for range 4 {
		g.permits <- true
	}
	wantResponse(t, c, readRequest("a2"), 200, "answer 0")
	if s := <-endpoint.requests; !strings.Contains(s, "a2") {
		t.Errorf("%s was sent after its final answer", s)
	}
}

// An endpoint begins to drain while an attempt waits for its connection there. The attempt never begins, though the
// connection comes up within its time.
func TestDrainBeforeConnected(t *testing.T) {
	endpoint := newEndpoint(t, respondNumbered)
	gateway, g := startGated(t, endpoint, false)
	c := gateway.dial()
	send(c, readRequest("a1"))
	<-g.dials
	<-gateway.agent.requests
	gateway.agent.sendList(8, false, endpoint.entryJSON("b0", 0, "terminating"))
	gateway.wantOutcomes(policy.NotSent)
	for range 4 {
		g.permits <- true
	}
	if s, _ := receive(c); s != 503 {
		t.Errorf("%d, wanted 503", s)
	}
	endpoint.wantNoRequest(t)
}

// The packets of a dial are lost and the connection hangs. Another is opened beside it, so the attempt does not fail with
// the first. The deadline that the endpoint is given is true as of the write, not as of when the attempt was placed.
func TestSlowConnection(t *testing.T) {
	endpoint, heads := oneRequest(t)
	gateway, g := startGated(t, endpoint, true)
	c := gateway.dial()
	send(c, readRequest("a1"))
	<-g.dials // the first hangs
	<-g.dials // opened beside it
	g.permits <- true
	if s, _ := receive(c); s != 200 {
		t.Errorf("%d", s)
	}
	var remainingMs int
	if fmt.Sscan((<-heads).Get("X-Remaining-Ms"), &remainingMs); remainingMs < 500 || remainingMs > 950 {
		t.Errorf("%d ms left, some 62 ms of 1000 had passed", remainingMs)
	}
}
