package httpgateway

import (
	"context"
	"fmt"
	"net"
	"strings"
	"testing"

	"weirhaven/policy"
)

// dialGate blocks dials of endpoints until the test permits one to succeed.
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

func startWithDialGate(t *testing.T, endpoint *testEndpoint, cancel bool) (*testGateway, *dialGate) {
	t.Parallel()
	g := &dialGate{make(chan bool, 100), make(chan bool, 100)}
	gateway := newGateway(t, endpoint)
	gateway.dialEndpoint, gateway.config.Settings.CanCancel = g.dial, cancel
	gateway.start()
	return gateway, g
}

// A client disconnects while its attempt waits for a connection, which is established afterwards. The attempt must not be sent
// on it, whether settings allow canceling attempts or not.
func TestClientDisconnectsWhileConnecting(t *testing.T) {
	for _, cancel := range []bool{true, false} {
		t.Run(fmt.Sprint(cancel), func(t *testing.T) {
			endpoint := newEndpoint(t, respondNumbered)
			gateway, g := startWithDialGate(t, endpoint, cancel)
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

// Settings don't allow canceling attempts, and a request fails at its deadline while its attempt waits for a connection. The
// client got a response which means that the request did not run, so the attempt must not be sent once the connection is
// established.
func TestRequestFailsWhileConnecting(t *testing.T) {
	endpoint := newEndpoint(t, respondNumbered)
	gateway, g := startWithDialGate(t, endpoint, false)
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
		t.Errorf("%s was sent after its final response", s)
	}
}

// An endpoint begins to drain while an attempt waits for a connection to it. The attempt must not be sent, even if the
// connection is established before the request's deadline.
func TestDrainBeforeConnected(t *testing.T) {
	endpoint := newEndpoint(t, respondNumbered)
	gateway, g := startWithDialGate(t, endpoint, false)
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

// A dial hangs because its packets are lost. The gateway must open another connection beside it, so that the attempt succeeds.
// The remaining time sent to the endpoint must be computed when the attempt is written, not when it is scheduled.
func TestSlowConnection(t *testing.T) {
	endpoint, heads := oneRequest(t)
	gateway, g := startWithDialGate(t, endpoint, true)
	c := gateway.dial()
	send(c, readRequest("a1"))
	<-g.dials // the first hangs
	<-g.dials // the second is opened beside it
	g.permits <- true
	if s, _ := receive(c); s != 200 {
		t.Errorf("%d", s)
	}
	var remainingMs int
	if fmt.Sscan((<-heads).Get("X-Remaining-Ms"), &remainingMs); remainingMs < 500 || remainingMs > 950 {
		t.Errorf("remaining time %d ms, wanted 500 to 950 ms: about 62 of 1000 ms had passed", remainingMs)
	}
}
