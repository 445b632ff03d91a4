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

// An endpoint responds with an error, with noise, in part or not at all. Each attempt ends with its outcome, and nothing but
// a whole response reaches a client: with part of one it would get damaged data.
func TestOutcomes(t *testing.T) {
	for name, row := range map[string]struct {
		text    string
		end     func(net.Conn) bool // after the text
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

// An endpoint sends its response twice. The first stands, and the next request goes on another connection: on this one it
// would get the copy for its own response.
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

// An endpoint closes an idle connection in the moment in which an attempt is handed to it. That is noticed before anything
// is written, and the attempt is sent, once, on a new connection.
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

// An endpoint's port refuses connections. The attempt never reached it, so a request that isn't idempotent is rejected with
// 503, after which the client may retry.
func TestConnectionRefused(t *testing.T) {
	endpoint := newEndpoint(t, respondNumbered)
	gateway := startGateway(t, endpoint)
	endpoint.listener.Close()
	if s, _ := roundTrip(gateway.dial(), writeRequest("a1", "x")); s != 503 {
		t.Errorf("%d, wanted 503", s)
	}
	gateway.wantOutcomes(policy.ConnectFailed)
}

// An endpoint accepts a connection and never responds. The client is answered within its time with 504: the request may
// still run.
func TestSilentEndpoint(t *testing.T) {
	endpoint := newEndpoint(t, func(c net.Conn, _ int) bool { _, err := c.Read(make([]byte, 1)); return err == nil })
	gateway := startGateway(t, endpoint)
	began := time.Now()
	if s, _ := roundTrip(gateway.dial(), writeRequest("a1", "x")); s != 504 || time.Since(began) > 1050*ms {
		t.Errorf("%d after %v, wanted 504 within its time", s, time.Since(began))
	}
}

// An endpoint responds after its attempt was canceled. The response goes nowhere, and the next request gets its own.
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

// An endpoint sends a duplicate of its response some milliseconds late. A connection rests after a response, so that the
// duplicate isn't taken for the response to the next request; requests that come sooner go on another connection. The
// endpoint measures the rest.
func TestRestAfterResponse(t *testing.T) {
	var mu sync.Mutex
	last := map[net.Conn]time.Time{}
	again := 0
	endpoint := newEndpoint(t, func(c net.Conn, n int) bool {
		mu.Lock()
		defer mu.Unlock()
		if at, ok := last[c]; ok {
			if again++; time.Since(at) < 10*ms {
				t.Errorf("used again %v after the answer before", time.Since(at))
			}
		}
		last[c] = time.Now() // before the response leaves: the gateway can't have it sooner
		return respondNumbered(c, n)
	})
	gateway := startGateway(t, endpoint)
	c := gateway.dial()
	for i := range 100 {
		wantResponse(t, c, readRequest(fmt.Sprint("a", i)), 200, fmt.Sprint("answer ", i))
		time.Sleep(time.Duration(i%3) * 6 * ms)
	}
	if mu.Lock(); again < 50 {
		t.Errorf("%d connections for 100 requests", len(last))
	}
	mu.Unlock()
}

// A connection breaks after some bytes of an attempt and before its last. The endpoint never had all of it, so it did not
// run, and a request that isn't idempotent is rejected rather than failed as one that may have run.
func TestWriteCut(t *testing.T) {
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
			Body: make([]byte, 16<<20), Respond: func(a engine.Response) { answered <- a }}) // more than all buffers between hold
	})
	gateway.wantOutcomes(policy.ConnectFailed)
	if a := <-answered; a.Result != engine.Rejected {
		t.Errorf("%v, wanted a rejection", a.Result)
	}
	stop()
	<-loop.Done()
	p.Close()
}
