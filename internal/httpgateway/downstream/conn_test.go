package downstream

import (
	"errors"
	"io"
	"log/slog"
	"net"
	"os"
	"testing"
	"time"

	"weirhaven/internal/engine"
	"weirhaven/internal/httpgateway/metrics"
	"weirhaven/internal/httpgateway/socket"
)

// connected is a connection of a front, and its client's side.
func connected(t *testing.T) (c *conn, client net.Conn) {
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
	log := slog.New(slog.DiscardHandler)
	return newConn(New(Options{Loop: engine.NewLoop(1), MaxConnections: 1, Log: log, Recorder: metrics.New(log)}), nc), client
}

// A deadline that has passed ends a connection only where nothing lies in its receive buffer: what has come is read first.
func TestDeadlineSparesWhatCame(t *testing.T) {
	c, client := connected(t)
	io.WriteString(client, "GET")
	for began := time.Now(); socket.Peek(c.nc) != socket.Unread; time.Sleep(time.Millisecond) {
		if time.Since(began) > 5*time.Second {
			t.Fatal("nothing arrives")
		}
	}
	c.nc.SetReadDeadline(longAgo)
	b := make([]byte, 10)
	if n, err := c.Read(b); err != nil || string(b[:n]) != "GET" {
		t.Errorf("%q, %v", b[:n], err)
	}
	if _, err := c.Read(b); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("%v, wanted the deadline", err)
	}
}

// A connection that is closed over a request that was read, or over a pipelined one, counts as a violation; one whose client
// has gone does not.
func TestFinishChecks(t *testing.T) {
	for name, row := range map[string]struct {
		change   func(c *conn)
		violated int64
	}{
		"nothing owed":             {func(c *conn) {}, 0},
		"a request without answer": {func(c *conn) { c.pendingID = "id" }, 1},
		"its client has gone":      {func(c *conn) { c.pendingID, c.clientGone = "id", true }, 0},
		"a follower that was read": {func(c *conn) {
			c.pipeline.buffered, c.closeReason = []byte("GET / HTTP/1.1\r\n\r\n"), metrics.ShuttingDown
		}, 1},
		"behind Connection: close": {func(c *conn) {
			c.pipeline.buffered, c.closeReason = []byte("GET / HTTP/1.1\r\n\r\n"), metrics.ClientRequestedClose
		}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			c, _ := connected(t)
			row.change(c)
			c.finish()
			if n := c.server.options.Recorder.Violations(); n != row.violated {
				t.Errorf("%d violations, wanted %d", n, row.violated)
			}
		})
	}
}
