package endpointconn

import (
	"log/slog"
	"net"
	"testing"
	"time"

	"weirhaven/internal/engine"
	"weirhaven/internal/lineproto"
	"weirhaven/internal/settings"
)

// droppingLoop takes events and runs none.
type droppingLoop struct{}

func (droppingLoop) Post(func(*engine.Core)) bool { return true }

// schedulingSlack is how long this process may be suspended between reading its clock and writing.
const schedulingSlack = 150 * time.Millisecond

// The connection to an endpoint comes up late. The endpoint is told no more time than the client has left: it would work for
// nobody.
func TestTimeoutAfterSlowConnect(t *testing.T) {
	const greetingDelay = 400 * time.Millisecond
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	limits := settings.Limits{ConnectTimeout: 2 * time.Second, IdleTimeout: 5 * time.Second, StallTimeout: 2 * time.Second, EndpointQueue: 8, MaxBody: 1 << 16}
	connector := New("g", droppingLoop{}, limits, slog.New(slog.DiscardHandler))
	defer connector.Close()
	const timeout = time.Second
	deadline := time.Now().Add(timeout)
	connector.Connect("s", listener.Addr().String()).Send(1, &engine.Request{Volume: "v", Class: "read"}, 0, timeout, 0)
	conn, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	time.Sleep(greetingDelay)
	reader := lineproto.NewConnReader(conn, 1<<16, 0, 2*time.Second)
	if _, err := lineproto.Greet(conn, reader, lineproto.RoleEndpoint, "s", 2*time.Second, nil); err != nil {
		t.Fatal(err)
	}
	m, err := reader.Read()
	if err != nil {
		t.Fatal(err)
	}
	told, err := m.Duration(lineproto.FieldTimeout, 0)
	if err != nil {
		t.Fatal(err)
	}
	if excess := told - time.Until(deadline); excess > schedulingSlack {
		t.Errorf("the endpoint was told %v more than is left", excess)
	}
}
