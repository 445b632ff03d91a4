package httpgateway

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"weirhaven/internal/engine"
	"weirhaven/internal/http1"
	"weirhaven/internal/httpgateway/config"
	"weirhaven/policy"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const ms = time.Millisecond

// recordingScheduler is the scheduler, with the outcomes of its attempts handed to the test.
type recordingScheduler struct {
	*policy.Scheduler
	outcomes chan policy.Outcome
}

func (w *recordingScheduler) AttemptEnded(attempt *policy.Attempt, result policy.AttemptResult) {
	w.outcomes <- result.Outcome
	w.Scheduler.AttemptEnded(attempt, result)
}

// testGateway is a gateway under test, with its agent.
type testGateway struct {
	t             *testing.T
	address       string
	agent         *testAgent
	outcomes      chan policy.Outcome
	reloads       chan *config.Config
	config        *config.Config
	dialEndpoint  func(ctx context.Context, address string) (net.Conn, error)     // nil: TCP
	expectPanics  bool                                                            // in its log
	listenClients func(ctx context.Context, address string) (net.Listener, error) // nil: TCP
	stop          context.CancelFunc
	done          chan error
	gateway       *Gateway
}

// startGateway starts a gateway whose configuration holds the endpoints, b0 and on, each in a shard of its own.
func startGateway(t *testing.T, endpoints ...*testEndpoint) *testGateway {
	t.Parallel()
	gateway := newGateway(t, endpoints...)
	gateway.start()
	return gateway
}

// newGateway makes a gateway that has not started, so that a test may change its configuration.
func newGateway(t *testing.T, endpoints ...*testEndpoint) *testGateway {
	gateway := &testGateway{t: t, agent: newAgent(t), outcomes: make(chan policy.Outcome, 1000), reloads: make(chan *config.Config), done: make(chan error, 1)}
	gateway.config = &config.Config{Name: "h", Listen: "127.0.0.1:0", Discovery: gateway.agent.listener.Addr().String(), ConnectTimeout: 2 * time.Second, EndpointIdleTimeout: 20 * time.Second,
		Limits: config.Limits{Cores: 2, MemoryMB: 64, Sockets: 64}, KnownEndpoints: config.List{Revision: 7, Complete: true},
		Settings: policy.Settings{Seed: 1, Gateways: 1, CanCancel: true, ClientsMarkRetries: true, MaxAttempts: 3, TimerResolution: 2 * ms, TypicalUnits: 1,
			MaxRetryAfter: time.Second, DrainGrace: 250 * ms,
			Classes: []policy.RequestClass{
				{Name: "read", LatencyObjective: 400 * ms, Timeout: time.Second, PriorityWeight: 1},
				{Name: "write", LatencyObjective: 400 * ms, Timeout: time.Second, PriorityWeight: 1, Writes: true,
					Idempotency: policy.NotIdempotent}},
			Plans: []policy.ServicePlan{{Name: "plain", NominalRate: 10, Weight: 1},
				{Name: "capped", NominalRate: 1, Limit: 1, Burst: 1, InitialBurst: 1, Weight: 1}}}}
	for i, endpoint := range endpoints {
		gateway.config.KnownEndpoints.Entries = append(gateway.config.KnownEndpoints.Entries, engine.EndpointEntry{Name: fmt.Sprint("b", i), Address: endpoint.listener.Addr().String(),
			Shard: i, Serving: true})
	}
	return gateway
}

// start runs the gateway until the test ends; then the gateway must end within its time and have violated no invariant.
func (gateway *testGateway) start() {
	t := gateway.t
	listening := make(chan net.Addr, 1)
	started := &Gateway{Config: gateway.config, Log: slog.New(slog.NewTextHandler(gateway.log(), &slog.HandlerOptions{Level: slog.LevelError})), OnListening: func(a net.Addr) { listening <- a }, Dial: gateway.dialEndpoint, Listen: gateway.listenClients,
		NewScheduler: func(p policy.Runtime, s policy.Settings) engine.Scheduler {
			return &recordingScheduler{policy.New(p, s), gateway.outcomes}
		}}
	gateway.gateway = started
	ctx, stop := context.WithCancel(context.Background())
	gateway.stop = stop
	go func() { gateway.done <- started.Run(ctx, gateway.reloads) }()
	gateway.address = (<-listening).String()
	t.Cleanup(func() {
		stop()
		select {
		case err := <-gateway.done:
			if err != nil {
				t.Error(err)
			}
		case <-time.After(10 * time.Second):
			t.Error("the gateway does not end")
			return
		}
		if n := started.recorder.Violations(); n > 0 {
			t.Errorf("%d violations of invariants", n)
		}
	})
}

// log is where the gateway logs errors.
func (gateway *testGateway) log() io.Writer {
	if gateway.expectPanics {
		return io.Discard
	}
	return gateway.t.Output()
}

// dial opens a client connection.
func (gateway *testGateway) dial() net.Conn {
	gateway.t.Helper()
	c, err := net.Dial("tcp", gateway.address)
	if err != nil {
		gateway.t.Fatal(err)
	}
	gateway.t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(8 * time.Second))
	return c
}

// readRequest is a read as the usual clients send it, with more fields.
func readRequest(id string, more ...string) string {
	return "GET /read/00000000000000aa/00000000000000bb HTTP/1.1\r\nHost: x\r\nX-Lane: read\r\nTier: plain\r\nX-Remaining-Ms: 1000\r\n" +
		"IO-Info: units=1,shard=0,hosts=1\r\nX-Txn: " + id + "\r\n" + strings.Join(more, "") + "\r\n"
}

// writeRequest is a write as the usual clients send it.
func writeRequest(id, body string) string {
	r := strings.NewReplacer("GET /read", "PUT /write", "Lane: read", "Lane: write").Replace(readRequest(id))
	return strings.TrimSuffix(r, "\r\n") + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
}

// roundTrip sends a request and returns its response's status and body; 0: the connection ended without one.
func roundTrip(c net.Conn, text string) (int, string) { send(c, text); return receive(c) }

// receive reads a response and returns its status and body; 0: the connection ended without one.
func receive(c net.Conn) (int, string) {
	r := http1.NewReader(c)
	if r.Await() != nil {
		return 0, ""
	}
	h, err := r.Response()
	if err != nil {
		return 0, ""
	}
	b, _ := r.Body(h, 1<<20)
	return h.Status, string(b)
}

// wantResponse fails the test if a request does not get this status and body.
func wantResponse(t *testing.T, c net.Conn, text string, status int, body string) {
	t.Helper()
	if gotStatus, gotBody := roundTrip(c, text); gotStatus != status || gotBody != body {
		t.Errorf("%.60q: %d %.40q, wanted %d %.40q", text, gotStatus, gotBody, status, body)
	}
}

// wantOutcomes fails the test if the next attempts do not end with these outcomes.
func (gateway *testGateway) wantOutcomes(want ...policy.Outcome) {
	gateway.t.Helper()
	for _, w := range want {
		select {
		case got := <-gateway.outcomes:
			if got != w {
				gateway.t.Errorf("an attempt ended as %d, wanted %d", got, w)
			}
		case <-time.After(5 * time.Second):
			gateway.t.Fatalf("no attempt ended, wanted %d", w)
		}
	}
}
