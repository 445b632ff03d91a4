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

// connected returns a connection of a server, and the client's side of it.
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

// A request arrives in the moment in which its connection is evicted or the process shuts down: the read deadline has passed,
// and the bytes lie in the receive buffer. They must be read, or the client gets a reset in place of a response. The deadline
// ends the connection only once the buffer is empty.
func TestDeadlineSparesWhatCame(t *testing.T) {
	c, client := connected(t)
	io.WriteString(client, "GET")
	for startedAt := time.Now(); socket.Peek(c.nc) != socket.Unread; time.Sleep(time.Millisecond) {
		if time.Since(startedAt) > 5*time.Second {
			t.Fatal("nothing arrives")
		}
	}
	c.nc.SetReadDeadline(longAgo)
	buffer := make([]byte, 10)
	if n, err := c.Read(buffer); err != nil || string(buffer[:n]) != "GET" {
		t.Errorf("%q, %v", buffer[:n], err)
	}
	if _, err := c.Read(buffer); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("%v, wanted the deadline", err)
	}
}

// A fault of this program closes a connection on which a response is owed: the client waits in vain, and nothing shows here.
// So the one place that closes connections counts a violation where it closes over a request that was read, or over a
// pipelined one; not where the client has gone, or asked to close.
func TestFinishChecks(t *testing.T) {
	for name, row := range map[string]struct {
		change   func(c *conn)
		violated int64
	}{
		"nothing owed":                 {func(*conn) {}, 0},
		"a request without a response": {func(c *conn) { c.pendingID = "id" }, 1},
		"its client has gone":          {func(c *conn) { c.pendingID, c.clientGone = "id", true }, 0},
		"a pipelined request that was read": {func(c *conn) {
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
