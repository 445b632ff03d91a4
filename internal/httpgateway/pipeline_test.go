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

// A client pipelines many requests, and the network splits them at arbitrary positions. Each must get its response in order,
// and only one may be in progress at a time.
func TestPipelined(t *testing.T) {
	var concurrent, maxConcurrent atomic.Int64
	endpoint := newEndpoint(t, func(c net.Conn, n int) bool {
		if now := concurrent.Add(1); now > maxConcurrent.Load() {
			maxConcurrent.Store(now)
		}
		concurrent.Add(-1)
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
	send(c, text[:len(text)/2-7]) // splits a request
	go send(c, text[len(text)/2-7:])
	in := http1.NewReader(c)
	for i := range 40 {
		if in.Await() != nil {
			t.Fatal("the connection was closed")
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
	if maxConcurrent.Load() > 1 {
		t.Errorf("%d requests in progress at a time, wanted 1", maxConcurrent.Load())
	}
}

// A client pipelines a request after Connection: close, or bytes that don't start a request, or far more than the buffer limit,
// and disconnects. The gateway must not serve these bytes, since after a wrong length they may hide a request. It must detect
// the disconnect although the client sent more bytes before it.
func TestPipelinedInvalidBytes(t *testing.T) {
	endpoint := newEndpoint(t, respondNumbered)
	gateway := startGateway(t, endpoint)
	wantResponse(t, gateway.dial(), readRequest("a1", "Connection: close\r\n")+readRequest("a2"), 200, "answer 0")
	<-endpoint.requests
	wantResponse(t, gateway.dial(), writeRequest("a3", "abc")+"abc", 400, "")
	wantResponse(t, gateway.dial(), writeRequest("a4", "")+"\x00\x01", 400, "")
	wantResponse(t, gateway.dial(), readRequest("a5"), 200, "answer 1")
	if s := <-endpoint.requests; !strings.Contains(s, "a5") {
		t.Errorf("%s reached the endpoint", s)
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
	for i := range 4000 { // far more than the buffer limit
		send(c, readRequest(fmt.Sprint("c", i)))
	}
	c.Close()
	slowGateway.wantOutcomes(policy.Canceled)
	wantResponse(t, slowGateway.dial(), readRequest("b3"), 200, "answer 2")
	if s := <-slowEndpoint.requests; !strings.Contains(s, "b3") {
		t.Errorf("%s was sent though its client had disconnected", s)
	}
}

// A client pipelines more than the buffer limit. The gateway must serve the buffered requests, answer the first discarded one
// with 503 and then close the connection normally, so that the client knows which requests were not served.
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
		t.Errorf("%v after %d responses, %d of them 503", err, got, refused)
	}
}

// A request is pipelined after a slow one. Its timeout must start when its bytes arrived, as the client's does; here it has
// expired when the slow request is answered.
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
		t.Errorf("statuses %v, %d requests reached the endpoint; wanted 200 and 503, and 1", got, len(endpoint.requests))
	}
}
