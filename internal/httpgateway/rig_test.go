package httpgateway

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"strings"
	"sync"
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

// brick is a scripted brick: it notes what reaches it and does with each request what the test says.
type brick struct {
	l    net.Listener
	wg   sync.WaitGroup
	seen chan string                  // method, target, id and body
	do   func(c net.Conn, n int) bool // the n-th request; false: the connection is done with
	mu   sync.Mutex
	n    int
	open map[net.Conn]bool
}

func newBrick(t *testing.T, do func(c net.Conn, n int) bool) *brick {
	b := &brick{l: listen(t), seen: make(chan string, 1000), do: do, open: map[net.Conn]bool{}}
	b.wg.Add(1)
	go func() {
		defer b.wg.Done()
		for {
			c, err := b.l.Accept()
			if err != nil {
				return
			}
			b.mu.Lock()
			b.open[c] = true
			b.mu.Unlock()
			b.wg.Add(1)
			go b.serve(c)
		}
	}()
	t.Cleanup(func() {
		b.l.Close()
		b.mu.Lock()
		for c := range b.open {
			c.Close()
		}
		b.mu.Unlock()
		b.wg.Wait()
	})
	return b
}

func (b *brick) serve(c net.Conn) {
	defer b.wg.Done()
	defer c.Close()
	r := http1.NewReader(c)
	for r.Await() == nil {
		h, err := r.Request()
		if err != nil {
			return
		}
		body, err := r.Body(h, 1<<20)
		if err != nil {
			return
		}
		b.mu.Lock()
		n := b.n
		b.n++
		b.mu.Unlock()
		b.seen <- fmt.Sprintf("%s %s %s %q", h.Method, h.Target, h.Get("X-Txn"), body)
		if !b.do(c, n) {
			return
		}
	}
}

// oneRequest is a brick that answers one request and hands its head to the test.
func oneRequest(t *testing.T) (*brick, chan *http1.Head) {
	b, heads := &brick{l: listen(t)}, make(chan *http1.Head, 1)
	t.Cleanup(func() { b.l.Close(); b.wg.Wait() })
	b.wg.Add(1)
	go func() {
		defer b.wg.Done()
		c, err := b.l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		if h, err := http1.NewReader(c).Request(); err == nil {
			heads <- h
			say(c, good(""))
		}
	}()
	return b, heads
}

func listen(t *testing.T) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l
}

func say(c net.Conn, s string) bool { _, err := io.WriteString(c, s); return err == nil }

func good(body string) string {
	return string(http1.AppendEnd([]byte("HTTP/1.1 200 OK\r\n"), []byte(body)))
}

func answers(c net.Conn, n int) bool { return say(c, good(fmt.Sprint("answer ", n))) }

// reset ends a connection so that the other side gets an error, not an end.
func reset(c net.Conn) bool { c.(*net.TCPConn).SetLinger(0); return false }

// agent tells lists to one watch after the other.
type agent struct {
	l     net.Listener
	lines chan string
	asked chan string
	hush  chan bool // holds one: the next watch hears no empty line at first
	done  chan bool
}

func newAgent(t *testing.T) *agent {
	a := &agent{l: listen(t), lines: make(chan string, 10), asked: make(chan string, 100), hush: make(chan bool, 1), done: make(chan bool)}
	go func() {
		defer close(a.done)
		for {
			c, err := a.l.Accept()
			if err != nil {
				return
			}
			a.serve(c)
		}
	}()
	t.Cleanup(a.close)
	return a
}

func (a *agent) serve(c net.Conn) {
	defer c.Close()
	r := http1.NewReader(c)
	if r.Await() != nil {
		return
	}
	h, err := r.Request()
	if err != nil {
		return
	}
	a.asked <- h.Target
	say(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
	select {
	case <-a.hush:
	default:
		say(c, "1\r\n\n\r\n")
	}
	gone := make(chan bool)
	go func() {
		defer close(gone)
		r.Await()
	}()
	for {
		select {
		case l, ok := <-a.lines:
			if !ok {
				c.Close()
				<-gone
				return
			}
			say(c, fmt.Sprintf("%x\r\n%s\n\r\n", len(l)+1, l))
		case <-gone:
			return
		}
	}
}

func (a *agent) close() {
	a.l.Close()
	select {
	case <-a.lines:
	default:
	}
	defer func() { recover() }() // closed before
	close(a.lines)
	<-a.done
}

func (a *agent) tell(revision int, whole bool, bricks ...string) {
	a.lines <- fmt.Sprintf(`{"revision":%d,"complete":%v,"members":[%s]}`, revision, whole, strings.Join(bricks, ","))
}

func (b *brick) line(name string, cell int, phase string) string {
	return fmt.Sprintf(`{"id":%q,"host_port":%q,"locality":"a","cell":%d,"phase":%q,"up_since_ms":0}`, name, b.l.Addr(), cell, phase)
}

// watched is the module, with its dispatches' outcomes told to the test.
type watched struct {
	*policy.Scheduler
	ended chan policy.Outcome
}

func (w *watched) AttemptEnded(attempt *policy.Attempt, result policy.AttemptResult) {
	w.ended <- result.Outcome
	w.Scheduler.AttemptEnded(attempt, result)
}

// host is a host of the platform under test.
type host struct {
	t       *testing.T
	address string
	agent   *agent
	ended   chan policy.Outcome
	reloads chan *config.Config
	config  *config.Config
	toBrick func(ctx context.Context, address string) (net.Conn, error)     // to bricks
	faults  bool                                                            // faults of the program are expected in the log
	listen  func(ctx context.Context, address string) (net.Listener, error) // for clients
	stop    context.CancelFunc
	done    chan error
	run     *Host
}

func newHost(t *testing.T, bricks ...*brick) *host {
	t.Parallel()
	h := aHost(t, bricks...)
	h.start()
	return h
}

// aHost is one that has not started.
func aHost(t *testing.T, bricks ...*brick) *host {
	h := &host{t: t, agent: newAgent(t), ended: make(chan policy.Outcome, 1000), reloads: make(chan *config.Config), done: make(chan error, 1)}
	h.config = &config.Config{Name: "h", Listen: "127.0.0.1:0", Discovery: h.agent.l.Addr().String(), ConnectTimeout: 2 * time.Second, EndpointIdleTimeout: 20 * time.Second,
		Limits: config.Limits{Cores: 2, MemoryMB: 64, Sockets: 64}, KnownEndpoints: config.List{Revision: 7, Complete: true},
		Settings: policy.Settings{Seed: 1, Gateways: 1, CanCancel: true, ClientsMarkRetries: true, MaxAttempts: 3, TimerResolution: 2 * ms, TypicalUnits: 1,
			MaxRetryAfter: time.Second, DrainGrace: 250 * ms,
			Classes: []policy.RequestClass{
				{Name: "read", LatencyObjective: 400 * ms, Timeout: time.Second, PriorityWeight: 1},
				{Name: "write", LatencyObjective: 400 * ms, Timeout: time.Second, PriorityWeight: 1, Writes: true,
					Idempotency: policy.NotIdempotent}},
			Plans: []policy.ServicePlan{{Name: "plain", NominalRate: 10, Weight: 1},
				{Name: "capped", NominalRate: 1, Limit: 1, Burst: 1, InitialBurst: 1, Weight: 1}}}}
	for i, b := range bricks {
		h.config.KnownEndpoints.Entries = append(h.config.KnownEndpoints.Entries, engine.EndpointEntry{Name: fmt.Sprint("b", i), Address: b.l.Addr().String(),
			Shard: i, Serving: true})
	}
	return h
}

func (h *host) start() {
	t := h.t
	up := make(chan net.Addr, 1)
	run := &Host{Config: h.config, Log: slog.New(slog.NewTextHandler(h.log(), &slog.HandlerOptions{Level: slog.LevelError})), OnListening: func(a net.Addr) { up <- a }, Dial: h.toBrick, Listen: h.listen,
		NewScheduler: func(p policy.Runtime, s policy.Settings) engine.Scheduler { return &watched{policy.New(p, s), h.ended} }}
	h.run = run
	ctx, stop := context.WithCancel(context.Background())
	h.stop = stop
	go func() { h.done <- run.Run(ctx, h.reloads) }()
	h.address = (<-up).String()
	t.Cleanup(func() {
		stop()
		select {
		case err := <-h.done:
			if err != nil {
				t.Error(err)
			}
		case <-time.After(10 * time.Second):
			t.Error("the host does not end")
			return
		}
		if n := run.recorder.Violations(); n > 0 {
			t.Errorf("%d violations of invariants", n)
		}
	})
}

// log is where errors of the host go.
func (h *host) log() io.Writer {
	if h.faults {
		return io.Discard
	}
	return h.t.Output()
}

func (h *host) dial() net.Conn {
	h.t.Helper()
	c, err := net.Dial("tcp", h.address)
	if err != nil {
		h.t.Fatal(err)
	}
	h.t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(8 * time.Second))
	return c
}

// read and write are requests as the usual clients send them.
func read(id string, more ...string) string {
	return "GET /read/00000000000000aa/00000000000000bb HTTP/1.1\r\nHost: x\r\nX-Lane: read\r\nTier: plain\r\nX-Remaining-Ms: 1000\r\n" +
		"IO-Info: units=1,shard=0,hosts=1\r\nX-Txn: " + id + "\r\n" + strings.Join(more, "") + "\r\n"
}

func write(id, body string) string {
	r := strings.NewReplacer("GET /read", "PUT /write", "Lane: read", "Lane: write").Replace(read(id))
	return strings.TrimSuffix(r, "\r\n") + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
}

// ask sends and returns the answer's status and body; 0: the connection ended without one.
func ask(c net.Conn, text string) (int, string) { say(c, text); return hear(c) }

func hear(c net.Conn) (int, string) {
	r := http1.NewReader(c)
	if r.Await() != nil {
		return 0, ""
	}
	h, err := r.Answer()
	if err != nil {
		return 0, ""
	}
	b, _ := r.Body(h, 1<<20)
	return h.Status, string(b)
}

func want(t *testing.T, c net.Conn, text string, status int, body string) {
	t.Helper()
	if s, b := ask(c, text); s != status || b != body {
		t.Errorf("%.60q: %d %.40q, wanted %d %.40q", text, s, b, status, body)
	}
}

func (h *host) how(want ...policy.Outcome) {
	h.t.Helper()
	for _, w := range want {
		select {
		case got := <-h.ended:
			if got != w {
				h.t.Errorf("a dispatch ended as %d, wanted %d", got, w)
			}
		case <-time.After(5 * time.Second):
			h.t.Fatalf("no dispatch ended, wanted %d", w)
		}
	}
}

func (b *brick) nothing(t *testing.T) {
	t.Helper()
	select {
	case s := <-b.seen:
		t.Errorf("%s reached a brick", s)
	default:
	}
}
