package httpgateway

import (
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"weirhaven/internal/http1"
	"weirhaven/policy"
)

// A client sends many requests at once, and the network splits them anywhere. Each gets its response in order, and one is in
// progress at a time.
func TestPipelined(t *testing.T) {
	var out, most atomic.Int64
	endpoint := newEndpoint(t, func(c net.Conn, n int) bool {
		if now := out.Add(1); now > most.Load() {
			most.Store(now)
		}
		out.Add(-1)
		return respondNumbered(c, n)
	})
	gateway := startGateway(t, endpoint)
	c := gateway.dial()
	var all strings.Builder
	for i := range 40 {
		if i%2 == 0 {
			all.WriteString(readRequest(fmt.Sprint("a", i)))
		} else {
			all.WriteString(writeRequest(fmt.Sprint("a", i), strings.Repeat("x", i)))
		}
	}
	text := all.String()
	send(c, text[:len(text)/2-7]) // a break in the middle of one
	go send(c, text[len(text)/2-7:])
	in := http1.NewReader(c)
	for i := range 40 {
		if in.Await() != nil {
			t.Fatal("the connection ended")
		}
		a, err := in.Response()
		if err != nil {
			t.Fatal(err)
		}
		if body, _ := in.Body(a, 100); a.Status != 200 || string(body) != fmt.Sprint("answer ", i) {
			t.Errorf("%d: %d %q", i, a.Status, body)
		}
		if s := <-endpoint.requests; !strings.Contains(s, fmt.Sprint(" a", i, " ")) {
			t.Errorf("%s, wanted a%d", s, i)
		}
	}
	if most.Load() > 1 {
		t.Errorf("%d at a time", most.Load())
	}
}

// A client pipelines a request behind Connection: close, or bytes that begin no request, or far more than is kept, and
// disconnects. What follows is not served: where a length was wrong it may be a hidden request. A client that has gone is
// noticed also behind what it sent.
func TestPipelinedEnds(t *testing.T) {
	endpoint := newEndpoint(t, respondNumbered)
	gateway := startGateway(t, endpoint)
	wantResponse(t, gateway.dial(), readRequest("a1", "Connection: close\r\n")+readRequest("a2"), 200, "answer 0")
	<-endpoint.requests
	wantResponse(t, gateway.dial(), writeRequest("a3", "abc")+"abc", 400, "")
	wantResponse(t, gateway.dial(), writeRequest("a4", "")+"\x00\x01", 400, "")
	wantResponse(t, gateway.dial(), readRequest("a5"), 200, "answer 1")
	if s := <-endpoint.requests; !strings.Contains(s, "a5") {
		t.Errorf("%s was taken", s)
	}
	release := make(chan bool)
	slowEndpoint := newEndpoint(t, func(c net.Conn, n int) bool {
		if n < 2 {
			<-release
		}
		return respondNumbered(c, n)
	})
	defer close(release)
	slowGateway := newGateway(t, slowEndpoint)
	slowGateway.start()
	c := slowGateway.dial()
	send(c, writeRequest("b1", "abc"))
	<-slowEndpoint.requests
	send(c, "beyond")
	if s, _ := receive(c); s != 400 {
		t.Errorf("%d, wanted 400", s)
	}
	slowGateway.wantOutcomes(policy.Canceled)
	c = slowGateway.dial()
	send(c, readRequest("b2"))
	<-slowEndpoint.requests
	for i := range 4000 { // far more than is kept
		send(c, readRequest(fmt.Sprint("c", i)))
	}
	c.Close()
	slowGateway.wantOutcomes(policy.Canceled)
	wantResponse(t, slowGateway.dial(), readRequest("b3"), 200, "answer 2")
	if s := <-slowEndpoint.requests; !strings.Contains(s, "b3") {
		t.Errorf("%s was sent though its client had disconnected", s)
	}
}

// A client sends more at once than may be kept. What was kept is served, the first that was not is answered 503, and with
// that the connection ends in good order: no request is dropped without a response.
func TestPipelineLimit(t *testing.T) {
	hold := make(chan bool)
	endpoint := newEndpoint(t, func(c net.Conn, n int) bool { <-hold; return respondNumbered(c, n) })
	gateway := startGateway(t, endpoint)
	c := gateway.dial()
	text, n := strings.Repeat("x", 50000), 12
	for i := range n {
		send(c, writeRequest(fmt.Sprint("a", i), text))
	}
	<-endpoint.requests
	close(hold)
	in, got, refused := http1.NewReader(c), 0, 0
	for ; in.Await() == nil; got++ {
		a, err := in.Response()
		if err != nil {
			t.Fatal(err)
		}
		if a.Status == 503 && a.Close && refused == 0 {
			refused++
			continue
		}
		if body, _ := in.Body(a, 100); string(body) != fmt.Sprint("answer ", got) {
			t.Errorf("%d: %d %q", got, a.Status, body)
		}
	}
	if _, err := c.Read(make([]byte, 1)); !errors.Is(err, io.EOF) || got < 3 || got == n || refused != 1 {
		t.Errorf("%v after %d answers, %d of them refusals", err, got, refused)
	}
}

// A request arrives behind a slow one on the same connection. Its timeout counts from when its own bytes arrived; the client
// counts from then, and once the slow one is answered no time is left.
func TestPipelinedTimeout(t *testing.T) {
	endpoint := newEndpoint(t, func(c net.Conn, n int) bool { time.Sleep(300 * ms); return respondNumbered(c, n) })
	gateway := startGateway(t, endpoint)
	c := gateway.dial()
	send(c, readRequest("a1")+strings.Replace(readRequest("a2"), "Ms: 1000", "Ms: 200", 1))
	in := http1.NewReader(c)
	var got []int
	for range 2 {
		if in.Await() != nil {
			break
		}
		a, err := in.Response()
		if err != nil {
			break
		}
		in.Body(a, 100)
		got = append(got, a.Status)
	}
	if !slices.Equal(got, []int{200, 503}) || len(endpoint.requests) != 1 {
		t.Errorf("%v, %d sent", got, len(endpoint.requests))
	}
}
