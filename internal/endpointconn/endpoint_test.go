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

// droppingLoop accepts events and runs none.
type droppingLoop struct{}

func (droppingLoop) Post(func(*engine.Core)) bool { return true }

// schedulingSlack is the tolerated suspension of this process between reading its clock and writing.
const schedulingSlack = 150 * time.Millisecond

// greetingDelay is the delay before the tests' endpoint sends its greeting.
const greetingDelay = 400 * time.Millisecond

// startSlowEndpoint returns a connection to an endpoint, and a function that accepts it, greets after greetingDelay and
// returns a reader of the gateway's messages.
func startSlowEndpoint(t *testing.T) (engine.EndpointConn, func() *lineproto.Reader) {
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

// Guards against a timeout in the message that ignores the time spent on connecting: the endpoint would go on working after the
// client's deadline.
func TestTimeoutAfterSlowConnect(t *testing.T) {
	const timeout = time.Second
	endpoint, greet := startSlowEndpoint(t)
	deadline := time.Now().Add(timeout)
	endpoint.Send(1, &engine.Request{Volume: "v", Class: "read"}, 0, timeout, 0)
	m, err := greet().Read()
	if err != nil {
		t.Fatal(err)
	}
	sent, err := m.Duration(lineproto.FieldTimeout, 0)
	if err != nil {
		t.Fatal(err)
	}
	if excess := sent - time.Until(deadline); excess > schedulingSlack {
		t.Errorf("the timeout sent is %v longer than the time left", excess)
	}
}

// Attempts wait for their connection to be established. An attempt canceled during the wait must not be sent. An attempt whose
// request drops its body meanwhile, as a request does with its final response, must be sent with the body.
func TestCanceledBeforeConnect(t *testing.T) {
	endpoint, greet := startSlowEndpoint(t)
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
		t.Errorf("got %s %d %q, wanted attempt 2 with its body", m.Verb, m.ID, m.Body)
	}
}
