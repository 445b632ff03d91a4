package httpgateway

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"
)

// A request passes unchanged, and its response comes back, on connections that are used again on both sides.
func TestForwarding(t *testing.T) {
	endpoint := newEndpoint(t, respondNumbered)
	gateway := startGateway(t, endpoint)
	c := gateway.dial()
	wantResponse(t, c, readRequest("a1"), 200, "answer 0")
	time.Sleep(minRest)
	wantResponse(t, c, writeRequest("a2", "some bytes"), 200, "answer 1")
	time.Sleep(minRest)
	wantResponse(t, c, strings.Replace(readRequest("a3"), "bb HTTP", "bb?q=%20 HTTP", 1), 200, "answer 2")
	for _, s := range []string{`GET /read/00000000000000aa/00000000000000bb a1 ""`, `PUT /write/00000000000000aa/00000000000000bb a2 "some bytes"`,
		`GET /read/00000000000000aa/00000000000000bb?q=%20 a3 ""`} {
		if got := <-endpoint.requests; got != s {
			t.Errorf("%s, wanted %s", got, s)
		}
	}
	if n := len(endpoint.conns); n != 1 {
		t.Errorf("%d connections to the endpoint, wanted 1", n)
	}
}

// A customer's requests carry a field that this gateway knows nothing of. It reaches the endpoint; what is for this hop
// alone doesn't.
func TestUnknownFieldsForwarded(t *testing.T) {
	endpoint, heads := oneRequest(t)
	gateway := startGateway(t, endpoint)
	wantResponse(t, gateway.dial(), readRequest("a1", "Idempotency-Key: k7\r\n", "Connection: close\r\n"), 200, "")
	if got := <-heads; got.Get("Idempotency-Key") != "k7" || got.Get("X-Txn") != "a1" || got.Count("Connection") > 0 {
		t.Errorf("%+v", got)
	}
}

// minRest is longer than a connection to an endpoint has to rest after a response before it is used again.
const minRest = 40 * ms

// A network sends a copy of a request, while the first one is in progress or a moment later. The copy would have its effect
// a second time, so an id that is in use or was a moment ago is refused.
func TestIDInUse(t *testing.T) {
	hold := make(chan bool)
	endpoint := newEndpoint(t, func(c net.Conn, n int) bool { <-hold; return respondNumbered(c, n) })
	gateway := startGateway(t, endpoint)
	c := gateway.dial()
	send(c, writeRequest("a1", "x"))
	<-endpoint.requests
	wantResponse(t, gateway.dial(), writeRequest("a1", "x"), 409, "")
	close(hold)
	if s, body := receive(c); s != 200 || body != "answer 0" {
		t.Errorf("%d %q", s, body)
	}
	wantResponse(t, gateway.dial(), writeRequest("a1", "x"), 409, "")
	endpoint.wantNoRequest(t)
}

// A client names a volume with the wrong plan. Were the volume bound to the first plan that was seen, all others would be
// held under that plan's limit.
func TestOtherPlan(t *testing.T) {
	endpoint := newEndpoint(t, respondNumbered)
	gateway := startGateway(t, endpoint)
	wantResponse(t, gateway.dial(), strings.Replace(readRequest("bad"), "plain", "capped", 1), 200, "answer 0")
	c := gateway.dial()
	for i := 1; i < 20; i++ {
		wantResponse(t, c, readRequest(fmt.Sprint("a", i)), 200, fmt.Sprint("answer ", i))
	}
}

// Endpoints send responses far longer than the platform's page says. They pass whole, and the memory that is reserved for
// them is released, also where the client disconnects as its response comes; else the gateway would stall.
func TestLargeResponses(t *testing.T) {
	body := strings.Repeat("0123456789", 40000)
	endpoint := newEndpoint(t, func(c net.Conn, _ int) bool { return send(c, okResponse(body)) })
	gateway := startGateway(t, endpoint)
	c := gateway.dial()
	for i := range 60 {
		wantResponse(t, c, readRequest(fmt.Sprint("a", i)), 200, body)
		if i%2 == 0 {
			disconnecting := gateway.dial()
			send(disconnecting, readRequest(fmt.Sprint("b", i)))
			<-endpoint.requests
			disconnecting.Close()
		}
	}
}
