package downstream

import (
	"errors"
	"io"
	"log/slog"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"weirhaven/internal/engine"
	"weirhaven/internal/httpgateway/membudget"
	"weirhaven/internal/httpgateway/metrics"
	"weirhaven/internal/httpgateway/socket"
)

// newTestConn returns a server's connection and the client's end of it.
func newTestConn(t *testing.T) (c *conn, client net.Conn) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	if client, err = net.Dial("tcp", l.Addr().String()); err != nil {
		t.Fatal(err)
	}
	nc, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { client.Close(); nc.Close() })
	return newConn(newTestServer(), nc), client
}

// newTestServer returns a server that is not started.
func newTestServer() *Server {
	log := slog.New(slog.DiscardHandler)
	return New(Options{Loop: engine.NewLoop(1), MaxConnections: 1, Cores: 1, IDMemory: 1 << 20, RequestMemory: membudget.New(1 << 20), ReadAheadMemory: membudget.New(1 << 20), Log: log, Recorder: metrics.New(log)})
}

// A request arrives just as its connection is evicted or the server shuts down, so the read deadline passes with bytes in the
// receive buffer. Read must return them before the deadline error; otherwise the client gets a reset instead of a response.
func TestReadAfterDeadlineReturnsBufferedBytes(t *testing.T) {
	c, client := newTestConn(t)
	io.WriteString(client, "GET")
	for startedAt := time.Now(); socket.Peek(c.nc) != socket.Unread; time.Sleep(time.Millisecond) {
		if time.Since(startedAt) > 5*time.Second {
			t.Fatal("no bytes arrived within 5 s")
		}
	}
	c.nc.SetReadDeadline(pastDeadline)
	buffer := make([]byte, 10)
	if n, err := c.Read(buffer); err != nil || string(buffer[:n]) != "GET" {
		t.Errorf("%q, %v", buffer[:n], err)
	}
	if _, err := c.Read(buffer); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("got %v, wanted os.ErrDeadlineExceeded", err)
	}
}

// A bug closes a connection with a response pending: the client never gets its response, and the gateway shows no error.
// finish must record a violation if a request that was read, or a pipelined one, has no response. It must not record one if
// the client has disconnected or requested the close.
func TestFinishReportsMissingResponses(t *testing.T) {
	for name, row := range map[string]struct {
		change     func(c *conn)
		violations int64
	}{
		"no pending response": {func(*conn) {}, 0},
		"pending response":    {func(c *conn) { c.pendingID = "id" }, 1},
		"client disconnected": {func(c *conn) { c.pendingID, c.clientGone = "id", true }, 0},
		"pipelined request": {func(c *conn) {
			c.pipeline.buffered, c.closeReason = []byte("GET / HTTP/1.1\r\n\r\n"), metrics.ShuttingDown
		}, 1},
		"pipelined request after Connection: close": {func(c *conn) {
			c.pipeline.buffered, c.closeReason = []byte("GET / HTTP/1.1\r\n\r\n"), metrics.ClientRequestedClose
		}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			c, _ := newTestConn(t)
			row.change(c)
			c.finish()
			if n := c.server.options.Recorder.Violations(); n != row.violations {
				t.Errorf("%d violations, wanted %d", n, row.violations)
			}
		})
	}
}

// A client that closes its connection behind much unread input has left, although the input is there to be read.
func TestCloseBehindUnreadInput(t *testing.T) {
	c, client := newTestConn(t)
	io.WriteString(client, strings.Repeat("GET / HTTP/1.1\r\n", 1000))
	if c.clientClosed() {
		t.Error("the client is there")
	}
	client.Close()
	for deadline := time.Now().Add(2 * time.Second); !c.clientClosed(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the close was not noticed")
		}
	}
	if socket.Peek(c.nc) != socket.Unread {
		t.Error("nothing is left unread")
	}
}

// The same, if the client had left before its connection was accepted.
func TestCloseBeforeAccept(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	client, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	io.WriteString(client, "GET / HTTP/1.1\r\n")
	client.Close()
	time.Sleep(50 * time.Millisecond)
	nc, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	if c := newConn(newTestServer(), nc); !c.clientClosed() {
		t.Error("the client is taken to be there")
	}
}

// A client sends more than the receive window and leaves before its connection is accepted, so that its close can't arrive before what
// it sent is read. Its first request must not begin.
func TestCloseBehindFullWindow(t *testing.T) {
	c, client := newTestConn(t)
	client.(*net.TCPConn).SetWriteBuffer(1 << 20)
	client.SetWriteDeadline(time.Now().Add(time.Second))
	if _, err := io.WriteString(client, strings.Repeat("GET / HTTP/1.1\r\nHost: h\r\n\r\n", 20_000)); err != nil {
		t.Fatal(err)
	}
	client.Close()
	err := c.readReceived()
	if c.pipeline.err == nil && !errors.Is(err, errPipelineLimit) {
		t.Errorf("the client is taken to be there: %v", err)
	}
}
