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

// greetingDelay is how late the endpoint of these tests greets.
const greetingDelay = 400 * time.Millisecond

// startLateEndpoint returns the way to an endpoint, and a function that greets late and returns a reader of what comes.
func startLateEndpoint(t *testing.T) (engine.EndpointConn, func() *lineproto.Reader) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	limits := settings.Limits{ConnectTimeout: 2 * time.Second, IdleTimeout: 5 * time.Second, StallTimeout: 2 * time.Second, EndpointQueue: 8, MaxBody: 1 << 16}
	connector := New("g", droppingLoop{}, limits, slog.New(slog.DiscardHandler))
	t.Cleanup(func() { listener.Close(); connector.Close() })
	return connector.Connect("s", listener.Addr().String()), func() *lineproto.Reader {
		conn, err := listener.Accept()
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { conn.Close() })
		time.Sleep(greetingDelay)
		reader := lineproto.NewConnReader(conn, 1<<16, 0, 2*time.Second)
		if _, err := lineproto.Greet(conn, reader, lineproto.RoleEndpoint, "s", 2*time.Second, nil); err != nil {
			t.Fatal(err)
		}
		return reader
	}
}

// The connection to an endpoint comes up late. The endpoint is told no more time than the client has left: it would work for
// nobody.
func TestTimeoutAfterSlowConnect(t *testing.T) {
	const timeout = time.Second
	endpoint, greet := startLateEndpoint(t)
	deadline := time.Now().Add(timeout)
	endpoint.Send(1, &engine.Request{Volume: "v", Class: "read"}, 0, timeout, 0)
	m, err := greet().Read()
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

// Attempts wait for their connection. One that is canceled meanwhile is not sent, and one whose request drops its body, as a request
// does that has its response, is sent whole.
func TestCanceledBeforeConnect(t *testing.T) {
	endpoint, greet := startLateEndpoint(t)
	endpoint.Send(1, &engine.Request{Volume: "v", Class: "write", Body: []byte("one")}, 0, time.Second, 0)
	request := &engine.Request{Volume: "v", Class: "write", Body: []byte("two")}
	endpoint.Send(2, request, 0, time.Second, 0)
	endpoint.Cancel(1)
	request.Body = nil
	m, err := greet().Read()
	if err != nil {
		t.Fatal(err)
	}
	if m.Verb != lineproto.VerbRequest || m.ID != 2 || string(m.Body) != "two" {
		t.Errorf("got %s %d %q, wanted attempt 2 whole", m.Verb, m.ID, m.Body)
	}
}
