package api

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"weirhaven/internal/engine"
)

// Checks the responses to failures of engine requests, in the middle of a write and of a read, and to corrupt data from endpoints. The
// response to a failed write must say whether and when to retry, and whether the request may have run. The existing object must stay
// intact, no extent may leak, a read that fails after the response has started must cut it short, and corrupt data must never be sent.
func TestFaults(t *testing.T) {
	server := startServer(t)
	body := randomBytes(5000, 2)
	server.put(t, "a", body)
	for _, row := range []struct {
		response engine.Response
		status   int
		code     string
		retry    string
		mayHave  string
	}{
		{engine.Response{Result: engine.Rejected, RetryAfter: 2500 * time.Millisecond}, 503, "SlowDown", "3", "no"},
		{engine.Response{Result: engine.Rejected}, 503, "SlowDown", "1", "no"},
		{engine.Response{Result: engine.Failed}, 503, "ServiceUnavailable", "1", "no"},
		{engine.Response{Result: engine.Failed, MayHaveRun: true}, 500, "InternalError", "", "yes"},
	} {
		requests := 0
		server.engine.setFailure(func(*engine.Request) *engine.Response {
			if requests++; requests%3 == 0 {
				return &row.response
			}
			return nil
		})
		response, content := rawRequest(t, server, "PUT", "/yard/a", randomBytes(9000, 3))
		if response.StatusCode != row.status || !strings.Contains(string(content), row.code) || response.Header.Get("Retry-After") != row.retry || response.Header.Get("X-Weirhaven-May-Have-Run") != row.mayHave {
			t.Errorf("%+v: %d %s %v", row.response, response.StatusCode, content, response.Header)
		}
		server.engine.setFailure(nil)
		if got, _, err := server.get("a", ""); err != nil || !bytes.Equal(got, body) {
			t.Error("the existing object is no longer intact", err)
		}
	}
	for {
		requests, _, err := server.gate.Sweep(ctx)
		if err != nil {
			t.Fatal(err)
		}
		if requests == 0 {
			break
		}
	}
	if server.engine.storedExtents() != 5 {
		t.Errorf("%d extents have bytes, the object has 5", server.engine.storedExtents())
	}
	// All extents after the first can't be read.
	object, err := server.gate.Index().Get("yard", "a")
	if err != nil {
		t.Fatal(err)
	}
	server.engine.setFailure(func(request *engine.Request) *engine.Response {
		if request.Object != "x/"+object.Extent[0].Id {
			return &engine.Response{Result: engine.Failed}
		}
		return nil
	})
	if _, content := rawRequest(t, server, "GET", "/yard/a", nil); !bytes.HasSuffix(content, []byte("BROKEN OFF")) {
		t.Errorf("a truncated response of %d bytes looks complete", len(content))
	}
	server.engine.setFailure(nil)
	server.engine.mu.Lock()
	for k, row := range server.engine.data { // flip a bit in each extent, as a failing disk would
		if len(row) > 0 {
			server.engine.data[k] = append([]byte{row[0] ^ 1}, row[1:]...)
		}
	}
	server.engine.mu.Unlock()
	if response, content := rawRequest(t, server, "GET", "/yard/a", nil); response.StatusCode != 500 || bytes.Contains(content, body[10:20]) {
		t.Errorf("%d %.80q", response.StatusCode, content)
	}
}

// Guards against leaked extents after a client disconnects in the middle of a write. No object must exist, and the sweep must remove all
// extents of the write.
func TestClientDisconnects(t *testing.T) {
	server := startServer(t)
	server.put(t, "a", randomBytes(64<<10, 4))
	started := make(chan bool)
	server.engine.setFailure(nil)
	httpServer := httptest.NewServer(Handler(Config{Gate: server.gate, MaxRequests: 4, Log: slog.New(slog.NewTextHandler(io.Discard, nil))}))
	defer httpServer.Close()
	in, out := io.Pipe()
	c, cancel := context.WithCancel(ctx)
	go func() {
		out.Write(randomBytes(10<<10, 5))
		<-started
		cancel()
		out.CloseWithError(errors.New("client disconnected"))
	}()
	close(started)
	r, _ := http.NewRequestWithContext(c, "PUT", httpServer.URL+"/yard/half", in)
	if _, err := http.DefaultClient.Do(r); err == nil {
		t.Error("got a response although the client disconnected")
	}
	httpServer.Close() // waits for the handler
	if _, _, err := server.get("half", ""); errorCode(err) != "NoSuchKey" {
		t.Error(err)
	}
	server.clockOffset = 2 * time.Minute
	for {
		n, remaining, err := server.gate.Sweep(ctx)
		if err != nil {
			t.Fatal(err)
		}
		if n == 0 {
			if remaining != 0 {
				t.Errorf("%d extents are never removed", remaining)
			}
			break
		}
	}
	if server.engine.storedExtents() != 64 {
		t.Errorf("%d extents have bytes", server.engine.storedExtents())
	}
}

// Guards against storing a body that is shorter than its Content-Length, or whose Content-Length or chunked encoding is invalid.
func TestWrongContentLength(t *testing.T) {
	server := startServer(t)
	httpServer := httptest.NewServer(Handler(Config{Gate: server.gate, MaxRequests: 4, Log: slog.New(slog.NewTextHandler(io.Discard, nil))}))
	for _, head := range []string{"Content-Length: 5000\r\n", "Content-Length: -1\r\n", "Content-Length: 5\r\nContent-Length: 6\r\n", "Transfer-Encoding: chunked\r\n"} {
		conn, err := net.Dial("tcp", httpServer.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(conn, "PUT /yard/lie HTTP/1.1\r\nHost: x\r\n%s\r\n%s", head, "bytes that are too few")
		conn.(*net.TCPConn).CloseWrite()
		answer, _ := io.ReadAll(conn)
		if bytes.Contains(answer, []byte(" 200 ")) {
			t.Errorf("%q: %s", head, answer)
		}
		conn.Close()
	}
	httpServer.Close()
	if _, _, err := server.get("lie", ""); errorCode(err) != "NoSuchKey" {
		t.Error(err)
	}
}

// Guards against stalled clients that occupy request slots for ever: one client stops sending in the middle of its request, another one
// reads nothing of its response. Both must be disconnected after the stall timeout, so that the slot becomes available again. A slow
// client that keeps sending must be served.
func TestStalledClients(t *testing.T) {
	server := startServer(t)
	server.put(t, "a", randomBytes(8<<20, 1))
	admitted := make(chan struct{}, 1) // receives a value when a request has acquired the only slot, which is when it calls Now
	now := func() time.Time {
		select {
		case admitted <- struct{}{}:
		default:
		}
		return time.Now()
	}
	httpServer := httptest.NewServer(Handler(Config{Gate: server.gate, MaxRequests: 1, StallTimeout: 300 * time.Millisecond, Now: now,
		Log: slog.New(slog.NewTextHandler(io.Discard, nil))}))
	defer httpServer.Close()
	for _, request := range []string{"PUT /yard/b HTTP/1.1\r\nHost: x\r\nContent-Length: 100000\r\n\r\nsome", "GET /yard/a HTTP/1.1\r\nHost: x\r\n\r\n"} {
		conn, err := net.Dial("tcp", httpServer.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		conn.(*net.TCPConn).SetReadBuffer(4096)
		select { // discard the value of an earlier request
		case <-admitted:
		default:
		}
		fmt.Fprint(conn, request)
		select {
		case <-admitted: // before this, the slot would be available because the request has not acquired it yet
		case <-time.After(10 * time.Second):
			t.Fatalf("%.10s: not served", request)
		}
		available := false
		for deadline := time.Now().Add(10 * time.Second); !available && time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
			a, err := http.Head(httpServer.URL + "/yard")
			available = err == nil && a.StatusCode == 200
		}
		if !available {
			t.Errorf("%.10s: the slot did not become available again", request)
		}
	}
	slow, out := io.Pipe()
	go func() {
		for range 10 {
			out.Write(make([]byte, 100))
			time.Sleep(50 * time.Millisecond)
		}
		out.Close()
	}()
	r, _ := http.NewRequest("PUT", httpServer.URL+"/yard/slow", slow)
	if a, err := http.DefaultClient.Do(r); err != nil || a.StatusCode != 200 {
		t.Error(err, a)
	}
}

// Guards against disconnecting a client that waits for its response: storing the body takes longer than the stall timeout, which must not
// apply once the body has been received completely.
func TestSlowStorage(t *testing.T) {
	const stallTimeout = 200 * time.Millisecond
	server := startServer(t)
	httpServer := httptest.NewServer(Handler(Config{Gate: server.gate, MaxRequests: 1, StallTimeout: stallTimeout,
		Log: slog.New(slog.NewTextHandler(io.Discard, nil))}))
	defer httpServer.Close()
	server.engine.setFailure(func(*engine.Request) *engine.Response {
		time.Sleep(3 * stallTimeout)
		return nil
	})
	for name, body := range map[string]io.Reader{"of known length": bytes.NewReader(randomBytes(900, 1)), "chunked": io.MultiReader(bytes.NewReader(randomBytes(900, 2)))} {
		request, err := http.NewRequest("PUT", httpServer.URL+"/yard/a", body)
		if err != nil {
			t.Fatal(err)
		}
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			t.Fatal(err)
		}
		text, _ := io.ReadAll(response.Body)
		response.Body.Close()
		if response.StatusCode != http.StatusOK {
			t.Errorf("a body %s: %d %s", name, response.StatusCode, text)
		}
	}
}
