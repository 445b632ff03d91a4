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

// recordingScheduler is the scheduler. It also sends the outcomes of its attempts to the test.
type recordingScheduler struct {
	*policy.Scheduler
	outcomes chan policy.Outcome
}

func (s *recordingScheduler) AttemptEnded(attempt *policy.Attempt, result policy.AttemptResult) {
	s.outcomes <- result.Outcome
	s.Scheduler.AttemptEnded(attempt, result)
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
	expectPanics  bool                                                            // true: the log is discarded
	listenClients func(ctx context.Context, address string) (net.Listener, error) // nil: TCP
	stop          context.CancelFunc
	done          chan error
	gateway       *Gateway
}

// startGateway starts a gateway with the endpoints in its configuration. They are named b0, b1 and so on, and each has its own
// shard.
func startGateway(t *testing.T, endpoints ...*testEndpoint) *testGateway {
	t.Parallel()
	gateway := newGateway(t, endpoints...)
	gateway.start()
	return gateway
}

// newGateway returns a gateway that is not started yet, so that a test may change its configuration.
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

// start runs the gateway until the test ends. Then the gateway must stop within 10 s and have no invariant violations.
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
			t.Error("the gateway did not stop within 10 s")
			return
		}
		if n := started.recorder.Violations(); n > 0 {
			t.Errorf("%d invariant violations", n)
		}
	})
}

// log returns the destination of the gateway's log.
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

// readRequest returns a read request as typical clients send it, with additional fields.
func readRequest(id string, more ...string) string {
	return "GET /read/00000000000000aa/00000000000000bb HTTP/1.1\r\nHost: x\r\nX-Lane: read\r\nTier: plain\r\nX-Remaining-Ms: 1000\r\n" +
		"IO-Info: units=1,shard=0,hosts=1\r\nX-Txn: " + id + "\r\n" + strings.Join(more, "") + "\r\n"
}

// writeRequest returns a write request as typical clients send it.
func writeRequest(id, body string) string {
	r := strings.NewReplacer("GET /read", "PUT /write", "Lane: read", "Lane: write").Replace(readRequest(id))
	return strings.TrimSuffix(r, "\r\n") + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
}

// roundTrip sends a request and returns the status and body of its response; status 0: the connection closed without a response.
func roundTrip(c net.Conn, text string) (int, string) { send(c, text); return receive(c) }

// receive reads a response and returns its status and body; status 0: the connection closed without a response.
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

// wantResponse fails the test if the response to a request doesn't have this status and body.
func wantResponse(t *testing.T, c net.Conn, text string, status int, body string) {
	t.Helper()
	if gotStatus, gotBody := roundTrip(c, text); gotStatus != status || gotBody != body {
		t.Errorf("%.60q: %d %.40q, wanted %d %.40q", text, gotStatus, gotBody, status, body)
	}
}

// wantOutcomes fails the test if the next attempts don't end with these outcomes.
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
