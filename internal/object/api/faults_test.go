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

// Requests to the engine fail in every way, in the middle of a write and of a read; then endpoints return flipped bits. The client sees
// whether to retry, when, and whether its request may have run. The object before stays whole, no extent leaks, a read that fails
// late breaks off, and flipped bits are never sent.
func TestFaults(t *testing.T) {
	server := startServer(t)
	body := randomBytes(5000, 2)
	server.put(t, "a", body)
	for _, row := range []struct {
		answer  engine.Response
		status  int
		code    string
		retry   string
		mayHave string
	}{
		{engine.Response{Result: engine.Rejected, RetryAfter: 2500 * time.Millisecond}, 503, "SlowDown", "3", "no"},
		{engine.Response{Result: engine.Rejected}, 503, "SlowDown", "1", "no"},
		{engine.Response{Result: engine.Failed}, 503, "ServiceUnavailable", "1", "no"},
		{engine.Response{Result: engine.Failed, MayHaveRun: true}, 500, "InternalError", "", "yes"},
	} {
		requests := 0
		server.engine.setFailure(func(*engine.Request) *engine.Response {
			if requests++; requests%3 == 0 {
				return &row.answer
			}
			return nil
		})
		response, content := rawRequest(t, server, "PUT", "/yard/a", randomBytes(9000, 3))
		if response.StatusCode != row.status || !strings.Contains(string(content), row.code) || response.Header.Get("Retry-After") != row.retry || response.Header.Get("X-Weirhaven-May-Have-Run") != row.mayHave {
			t.Errorf("%+v: %d %s %v", row.answer, response.StatusCode, content, response.Header)
		}
		server.engine.setFailure(nil)
		if got, _, err := server.get("a", ""); err != nil || !bytes.Equal(got, body) {
			t.Error("the object before is not whole any more", err)
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
	// The extents behind the first one can't be read.
	object, err := server.gate.Index().Get("yard", "a")
	if err != nil {
		t.Fatal(err)
	}
	server.engine.setFailure(func(task *engine.Request) *engine.Response {
		if task.Object != "x/"+object.Extent[0].Id {
			return &engine.Response{Result: engine.Failed}
		}
		return nil
	})
	if _, content := rawRequest(t, server, "GET", "/yard/a", nil); !bytes.HasSuffix(content, []byte("BROKEN OFF")) {
		t.Errorf("%d bytes came as if they were all", len(content))
	}
	server.engine.setFailure(nil)
	server.engine.mu.Lock()
	for k, row := range server.engine.data { // as an endpoint with a broken disk
		if len(row) > 0 {
			server.engine.data[k] = append([]byte{row[0] ^ 1}, row[1:]...)
		}
	}
	server.engine.mu.Unlock()
	if response, content := rawRequest(t, server, "GET", "/yard/a", nil); response.StatusCode != 500 || bytes.Contains(content, body[10:20]) {
		t.Errorf("%d %.80q", response.StatusCode, content)
	}
}

// A client disconnects in the middle of a write. There is no object, and the sweep removes all extents of the write.
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
		out.CloseWithError(errors.New("gone"))
	}()
	close(started)
	r, _ := http.NewRequestWithContext(c, "PUT", httpServer.URL+"/yard/half", in)
	if _, err := http.DefaultClient.Do(r); err == nil {
		t.Error("a response although the client disconnected")
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

// A body is shorter than its Content-Length, or has an impossible one. There is no object then.
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

// One client stops in the middle of its request, one takes no byte of its response. Each is cut off after the stall timeout, so that its
// request's slot is available again. A client that is slow, but sends, is served.
func TestStalledClients(t *testing.T) {
	server := startServer(t)
	server.put(t, "a", randomBytes(8<<20, 1))
	admitted := make(chan struct{}, 1) // Now is read by each request that has got the only slot
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
		select { // of a request before
		case <-admitted:
		default:
		}
		fmt.Fprint(conn, request)
		select {
		case <-admitted: // else its slot would be available because it was never taken
		case <-time.After(10 * time.Second):
			t.Fatalf("%.10s: not served", request)
		}
		available := false
		for deadline := time.Now().Add(10 * time.Second); !available && time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
			a, err := http.Head(httpServer.URL + "/yard")
			available = err == nil && a.StatusCode == 200
		}
		if !available {
			t.Errorf("%.10s: its slot is not available again", request)
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

// Storing a body takes longer than a client may stand still. The client, which waits, gets its answer: the time for which it may
// stand still is over once its body is whole.
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
