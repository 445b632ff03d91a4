package httpgateway

import (
	"net"
	"strings"
	"testing"
	"time"

	"weirhaven/policy"
)

// A client sends an invalid request. It must get an error status and nothing may reach the endpoint. The next client must be
// served.
func TestInvalidRequests(t *testing.T) {
	endpoint := newEndpoint(t, respondNumbered)
	gateway := startGateway(t, endpoint)
	hidden := "GET /read/00000000000000aa/00000000000000bb HTTP/1.1\r\nX-Txn: hidden\r\n\r\n"
	for _, row := range []struct {
		text   string
		status int
	}{
		{"\x00\x01\x02 noise\r\n\r\n", 400},
		{strings.Replace(readRequest("i"), "X-Lane: read\r\n", "", 1), 400},
		{strings.Replace(readRequest("i"), "X-Lane: read", "X-Lane: write", 1), 400},
		{strings.Replace(readRequest("i"), "/read/", "/other/", 1), 404},
		{strings.Replace(readRequest("i"), "Tier: plain", "Tier: gold", 1), 400},
		{strings.Replace(readRequest("i"), "Ms: 1000", "Ms: soon", 1), 400},
		{strings.Replace(readRequest("i"), "Ms: 1000", "Ms: -5", 1), 400},
		{strings.Replace(readRequest("i"), "Ms: 1000", "Ms: 99999999999", 1), 400},
		{strings.Replace(readRequest("i"), "units=1", "units=NaN", 1), 400},
		{strings.Replace(readRequest("i"), "units=1", "units=-1", 1), 400},
		{strings.Replace(readRequest("i"), "shard=0", "shard=-2", 1), 400},
		{strings.Replace(readRequest("i"), "hosts=1", "hosts=0", 1), 400},
		{strings.Replace(readRequest("i"), "IO-Info", "Other", 1), 400},
		{strings.Replace(readRequest("i"), "00000000000000bb", "../etc", 1), 404},
		{strings.Replace(readRequest("i"), "GET", "PUT", 1), 405},
		{strings.Replace(readRequest("i"), "GET", "DELETE", 1), 405},
		{readRequest(""), 400},
		{readRequest("i j"), 400},
		{readRequest("i", "X-Txn: j\r\n"), 400},
		{readRequest("i", "Content-Length: 3\r\n") + "abc", 400},
		{readRequest("i", "Content-Length: -1\r\n"), 400},
		{strings.Replace(writeRequest("i", "abc"), "Content-Length: 3\r\n", "", 1), 411},
		{writeRequest("i", "abc") + "def", 400}, // a length that is too short
		{strings.Replace(writeRequest("i", hidden), "\r\n\r\n", "\r\nTransfer-Encoding: chunked\r\n\r\n", 1), 400},
		{strings.Replace(writeRequest("i", "abc"), "Length: 3", "Length: 62914560", 1), 413},
		{readRequest("i", strings.Repeat("X: "+strings.Repeat("y", 1000)+"\r\n", 100)), 431},
	} {
		if s, _ := roundTrip(gateway.dial(), row.text); s != row.status {
			t.Errorf("%.200q: %d, wanted %d", row.text, s, row.status)
		}
	}
	endpoint.wantNoRequest(t)
	wantResponse(t, gateway.dial(), readRequest("good"), 200, "answer 0")
}

// A client sends a Content-Length that is too large, and then the body. The gateway must respond without reading the body into
// memory, and a reset must not destroy the response.
func TestLargeRequestBody(t *testing.T) {
	endpoint := newEndpoint(t, respondNumbered)
	gateway := startGateway(t, endpoint)
	c := gateway.dial()
	go func() {
		send(c, strings.Replace(writeRequest("i", ""), "Length: 0", "Length: 700000", 1))
		send(c, strings.Repeat("x", 700000))
	}()
	if s, _ := receive(c); s != 413 {
		t.Errorf("%d, wanted 413", s)
	}
	endpoint.wantNoRequest(t)
}

// Clients use up all connections and send nothing or an incomplete request. Other clients must still be served, and the silent
// connections must be closed within the platform's limit.
func TestSilentClients(t *testing.T) {
	endpoint := newEndpoint(t, respondNumbered)
	gateway := startGateway(t, endpoint)
	var silent []net.Conn
	for i := range 60 {
		c := gateway.dial()
		if i%2 == 0 {
			send(c, "GET /read/000")
		}
		silent = append(silent, c)
	}
	wantResponse(t, gateway.dial(), readRequest("good"), 200, "answer 0")
	began := time.Now()
	for _, c := range silent {
		if s, _ := receive(c); s != 0 && s != 408 {
			t.Errorf("%d, wanted 408 or no response", s)
		}
	}
	if d := time.Since(began); d > 3*time.Second {
		t.Errorf("the last silent connection was closed after %v, wanted 3 s at most", d)
	}
}

// A client disconnects while its request is in progress. The gateway must detect it at once and cancel the attempt, or the
// endpoint would do useless work.
func TestClientDisconnects(t *testing.T) {
	endpoint := newEndpoint(t, func(c net.Conn, _ int) bool { _, err := c.Read(make([]byte, 1)); return err == nil })
	gateway := startGateway(t, endpoint)
	c := gateway.dial()
	send(c, readRequest("a1"))
	<-endpoint.requests
	c.Close()
	gateway.wantOutcomes(policy.Canceled)
}
