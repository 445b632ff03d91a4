package httpgateway

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"weirhaven/internal/engine"
	"weirhaven/internal/fleet/endpointstate"
	"weirhaven/internal/httpgateway/upstream"
	"weirhaven/policy"
)

// An endpoint sends an error, random bytes, an incomplete response or none. Each attempt must end with the right outcome, and
// only a complete response may reach the client; otherwise the client would get truncated data.
func TestOutcomes(t *testing.T) {
	for name, row := range map[string]struct {
		text    string
		end     func(net.Conn) bool // called after the text was sent; false: the connection is closed
		outcome policy.Outcome
		status  int
	}{
		"error":                 {"HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n", nil, policy.ErrorResponse, 504},
		"rejected":              {"HTTP/1.1 503 X\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n", nil, policy.Rejected, 503},
		"unmarked":              {"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n", nil, policy.ErrorResponse, 504},
		"interim before":        {"HTTP/1.1 102 X\r\n\r\n" + okResponse("y"), nil, policy.Served, 200},
		"unreadable figures":    {"HTTP/1.1 200 X\r\nOther-Hosts: NaN\r\nX-Pressure: ,=,\r\nContent-Length: 0\r\n\r\n", nil, policy.Served, 200},
		"noise":                 {"\x00\xff\r\n\r\n", nil, policy.ErrorResponse, 504},
		"endless head":          {"HTTP/1.1 200 OK\r\n" + strings.Repeat("X: y\r\n", 10000), nil, policy.ErrorResponse, 504},
		"huge length":           {"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nxxxx", nil, policy.ErrorResponse, 504},
		"no length, reset":      {"HTTP/1.1 200 OK\r\n\r\nxx", reset, policy.ConnectionReset, 504},
		"no length, ended":      {"HTTP/1.1 200 OK\r\n\r\n", func(net.Conn) bool { return false }, policy.Served, 200},
		"both lengths":          {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\nxx", nil, policy.ErrorResponse, 504},
		"cut":                   {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nxx", func(net.Conn) bool { return false }, policy.ConnectionReset, 504},
		"reset after all bytes": {"", reset, policy.ConnectionReset, 504},
	} {
		t.Run(name, func(t *testing.T) {
			endpoint := newEndpoint(t, func(c net.Conn, _ int) bool { send(c, row.text); return row.end == nil || row.end(c) })
			gateway := startGateway(t, endpoint)
			s, _ := roundTrip(gateway.dial(), writeRequest("a1", "x"))
			if s != row.status {
				t.Errorf("%d, wanted %d", s, row.status)
			}
			gateway.wantOutcomes(row.outcome)
		})
	}
}

// An endpoint sends its response twice. The gateway must use the first and must not reuse the connection; otherwise the next
// request would get the duplicate as its response.
func TestDuplicateResponse(t *testing.T) {
	endpoint := newEndpoint(t, func(c net.Conn, n int) bool {
		return send(c, okResponse(fmt.Sprint("answer ", n))+okResponse("a second copy"))
	})
	gateway := startGateway(t, endpoint)
	c := gateway.dial()
	for i := range 5 {
		wantResponse(t, c, readRequest(fmt.Sprint("a", i)), 200, fmt.Sprint("answer ", i))
	}
}

// An endpoint closes an idle connection just as the gateway is about to use it for an attempt. The gateway must detect the close
// before it writes, and send the attempt once on a new connection.
func TestIdleConnectionClosed(t *testing.T) {
	closed := make(chan bool, 100)
	endpoint := newEndpoint(t, func(c net.Conn, n int) bool { respondNumbered(c, n); c.Close(); closed <- true; return false })
	gateway := startGateway(t, endpoint)
	c := gateway.dial()
	for i := range 20 {
		wantResponse(t, c, writeRequest(fmt.Sprint("a", i), "x"), 200, fmt.Sprint("answer ", i))
		gateway.wantOutcomes(policy.Served)
		<-closed
	}
}

// An endpoint's port refuses connections. The attempt never reached the endpoint, so a non-idempotent request must be rejected
// with 503, after which the client may retry.
func TestConnectionRefused(t *testing.T) {
	endpoint := newEndpoint(t, respondNumbered)
	gateway := startGateway(t, endpoint)
	endpoint.listener.Close()
	if s, _ := roundTrip(gateway.dial(), writeRequest("a1", "x")); s != 503 {
		t.Errorf("%d, wanted 503", s)
	}
	gateway.wantOutcomes(policy.ConnectFailed)
}

// An endpoint accepts a connection and never responds. The client must get 504 within its timeout, since the request may still
// run.
func TestSilentEndpoint(t *testing.T) {
	endpoint := newEndpoint(t, func(c net.Conn, _ int) bool { _, err := c.Read(make([]byte, 1)); return err == nil })
	gateway := startGateway(t, endpoint)
	began := time.Now()
	if s, _ := roundTrip(gateway.dial(), writeRequest("a1", "x")); s != 504 || time.Since(began) > 1050*ms {
		t.Errorf("%d after %v, wanted 504 within 1.05 s", s, time.Since(began))
	}
}

// An endpoint responds after its attempt was canceled. The response must be dropped, and the next request must get its own
// response.
func TestResponseAfterCancel(t *testing.T) {
	late := make(chan bool)
	endpoint := newEndpoint(t, func(c net.Conn, n int) bool {
		if n == 0 {
			<-late
			return send(c, okResponse("too late"))
		}
		return respondNumbered(c, n)
	})
	gateway := startGateway(t, endpoint)
	c := gateway.dial()
	send(c, readRequest("a1"))
	<-endpoint.requests
	c.Close()
	gateway.wantOutcomes(policy.Canceled)
	close(late)
	wantResponse(t, gateway.dial(), readRequest("a2"), 200, "answer 1")
}

// An endpoint may send a duplicate of its response some milliseconds late. The gateway must not reuse a connection for some
// time after a response, or it would forward the duplicate as the response to the next request. The endpoint measures the time
// between a response and the next request on the same connection.
func TestReuseDelay(t *testing.T) {
	var mu sync.Mutex
	last := map[net.Conn]time.Time{}
	reuses := 0
	endpoint := newEndpoint(t, func(c net.Conn, n int) bool {
		mu.Lock()
		defer mu.Unlock()
		if at, ok := last[c]; ok {
			if reuses++; time.Since(at) < 10*ms {
				t.Errorf("connection reused %v after its last response, wanted 10 ms at least", time.Since(at))
			}
		}
		last[c] = time.Now() // before the response is sent, so that the measured delay is not too short
		return respondNumbered(c, n)
	})
	gateway := startGateway(t, endpoint)
	c := gateway.dial()
	for i := range 100 {
		wantResponse(t, c, readRequest(fmt.Sprint("a", i)), 200, fmt.Sprint("answer ", i))
		time.Sleep(time.Duration(i%3) * 6 * ms)
	}
	if mu.Lock(); reuses < 50 {
		t.Errorf("%d connections for 100 requests", len(last))
	}
	mu.Unlock()
}

// A connection breaks after part of an attempt was written. The endpoint never received the complete attempt, so it did not run.
// A non-idempotent request must be rejected, not failed as one that may have run.
func TestPartialWrite(t *testing.T) {
	lc := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) { syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 1) })
	}}
	l, err := lc.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan bool)
	go func() {
		defer close(done)
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			c.Read(make([]byte, 1))
			reset(c)
			c.Close()
		}
	}()
	t.Cleanup(func() { l.Close(); <-done })
	gateway := startGateway(t, &testEndpoint{listener: l})
	loop := engine.NewLoop(10)
	p := upstream.New(upstream.Options{Loop: loop, MaxConnections: 4, ConnectTimeout: time.Second, IdleTimeout: time.Second, Log: slog.New(slog.DiscardHandler)})
	core := engine.New(gateway.config.Settings, endpointstate.Rules{}, func(p policy.Runtime, s policy.Settings) engine.Scheduler {
		return &recordingScheduler{policy.New(p, s), gateway.outcomes}
	}, outbound{&Gateway{pool: p, Log: slog.New(slog.DiscardHandler)}}, nil, time.Second, loop.Now())
	ctx, stop := context.WithCancel(context.Background())
	go loop.Run(ctx, core)
	answered := make(chan engine.Response, 1)
	loop.Post(func(c *engine.Core) {
		c.AuthoritativeList(true, gateway.config.KnownEndpoints.Entries)
		c.Submit(&engine.Request{Volume: "v", Plan: "plain", Gateways: 1, Class: "write", Units: 1, Header: []byte("PUT / HTTP/1.1\r\n"),
			Body: make([]byte, 16<<20), Respond: func(a engine.Response) { answered <- a }}) // larger than all socket buffers together
	})
	gateway.wantOutcomes(policy.ConnectFailed)
	if a := <-answered; a.Result != engine.Rejected {
		t.Errorf("%v, wanted a rejection", a.Result)
	}
	stop()
	<-loop.Done()
	p.Close()
}
