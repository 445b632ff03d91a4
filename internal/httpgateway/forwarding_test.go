package httpgateway

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"
)

// Requests and responses must be forwarded unchanged, and connections must be reused on both sides.
func TestForwarding(t *testing.T) {
	endpoint := newEndpoint(t, respondNumbered)
	gateway := startGateway(t, endpoint)
	c := gateway.dial()
	wantResponse(t, c, readRequest("a1"), 200, "answer 0")
	time.Sleep(reuseDelay)
	wantResponse(t, c, writeRequest("a2", "some bytes"), 200, "answer 1")
	time.Sleep(reuseDelay)
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

// Some customers' requests have a field that is unknown to the gateway. The gateway must forward it to the endpoint, but not
// the hop-by-hop fields.
func TestUnknownFieldsForwarded(t *testing.T) {
	endpoint, heads := oneRequest(t)
	gateway := startGateway(t, endpoint)
	wantResponse(t, gateway.dial(), readRequest("a1", "Idempotency-Key: k7\r\n", "Connection: close\r\n"), 200, "")
	if got := <-heads; got.Get("Idempotency-Key") != "k7" || got.Get("X-Txn") != "a1" || got.Count("Connection") > 0 {
		t.Errorf("%+v", got)
	}
}

// reuseDelay is longer than the delay before a connection to an endpoint is reused after a response.
const reuseDelay = 40 * ms

// The network duplicates a request, and the copy arrives while the first one is in progress or shortly afterwards. The copy
// would take effect a second time, so the gateway must reject the duplicate id.
func TestDuplicateRequestID(t *testing.T) {
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

// A client sends a request for a volume with the wrong service plan. If the volume were bound to the plan of its first request,
// later requests of the volume would be throttled to that plan's limit.
func TestWrongPlan(t *testing.T) {
	endpoint := newEndpoint(t, respondNumbered)
	gateway := startGateway(t, endpoint)
	wantResponse(t, gateway.dial(), strings.Replace(readRequest("bad"), "plain", "capped", 1), 200, "answer 0")
	c := gateway.dial()
	for i := 1; i < 20; i++ {
		wantResponse(t, c, readRequest(fmt.Sprint("a", i)), 200, fmt.Sprint("answer ", i))
	}
}

// Endpoints send responses much larger than the platform documents. They must be forwarded completely, and the memory reserved
// for them must be released even if the client disconnects while its response arrives; otherwise the gateway would stall.
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
