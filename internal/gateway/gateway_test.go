package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"weirhaven/internal/capture"
	"weirhaven/internal/engine"
	"weirhaven/internal/fleet/endpointstate"
	"weirhaven/internal/fleet/store"
	"weirhaven/internal/lineproto"
	"weirhaven/internal/settings"
	"weirhaven/policy"
)

const conf = `name: "h" listen: "127.0.0.1:0" hosts: 2
fleet { max_dispatches: 3 resolution: "10ms" usual_units: 1 most_units: 8 cancel: true max_pause: "1s" }
queue_type { name: "read" service_target: "200ms" command_timeout: "800ms" importance: 1 }
queue_type { name: "post" service_target: "200ms" command_timeout: "800ms" importance: 1 semantics: NON_RETRYABLE }
plan { name: "plain" nominal: 100 weight: 1 }
volume { name: "v" plan: "plain" hosts: 1 }
bounds { commands_a_connection: 4 body: 100000 idle: "1s" stall: "300ms" connect: "200ms" }
`

// scriptedEndpoint is an endpoint whose connections the test controls.
type scriptedEndpoint struct {
	t        testing.TB
	listener net.Listener
	name     string
}

func newEndpoint(t testing.TB, name string) *scriptedEndpoint {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return &scriptedEndpoint{t, l, name}
}

type testConn struct {
	net.Conn
	reader *lineproto.Reader
}

func (p *testConn) read(t testing.TB) *lineproto.Message {
	t.Helper()
	p.SetReadDeadline(time.Now().Add(5 * time.Second))
	m, err := p.reader.Read()
	if err != nil {
		t.Fatal(err)
	}
	return m
}

func (p *testConn) send(verb string, id uint64, f func(*lineproto.Builder)) {
	var o lineproto.Builder
	o.Start(verb, id)
	if f != nil {
		f(&o)
	}
	p.Write(o.End(nil).Buffer)
}

func (p *testConn) submit(id uint64, queue string) {
	p.send(lineproto.VerbRequest, id, func(o *lineproto.Builder) {
		o.Text("Volume", "v").Text("Queue-Type", queue).Text("Object", fmt.Sprint("o", id)).Int("Cell", 0)
	})
}

func greet(t testing.TB, c net.Conn, role, name string) *testConn {
	t.Helper()
	r := lineproto.NewReader(c, 1<<20)
	if _, err := lineproto.Greet(c, r, role, name, 5*time.Second, nil); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return &testConn{c, r}
}

// accept accepts the endpoint's next connection and exchanges greetings on it.
func (b *scriptedEndpoint) accept() *testConn {
	b.t.Helper()
	c, err := b.listener.Accept()
	if err != nil {
		b.t.Fatal(err)
	}
	return greet(b.t, c, "brick", b.name)
}

// startGateway starts a gateway and returns its address; stop waits until it has ended.
func startGateway(t testing.TB, more string, endpoints ...*scriptedEndpoint) (address string, stop func()) {
	t.Helper()
	text := conf + more
	for i, b := range endpoints {
		text += fmt.Sprintf("brick { name: %q address: %q cell: %d }\n", b.name, b.listener.Addr(), i)
	}
	return startGatewayWithSettings(t, text)
}

func startGatewayWithSettings(t testing.TB, text string) (address string, stop func()) {
	t.Helper()
	e, err := settings.ParseGateway("test", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ready, done := make(chan string, 1), make(chan error, 1)
	go func() {
		done <- Run(ctx, e, Options{Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Ready: func(a, _ string) { ready <- a }})
	}()
	stopped := false
	stop = func() {
		if cancel(); !stopped {
			stopped = true
			if err := <-done; err != nil {
				t.Error(err)
			}
		}
	}
	t.Cleanup(stop)
	return <-ready, stop
}

func dial(t testing.TB, address string) *testConn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	return greet(t, c, "client", "test")
}

func expect(t *testing.T, m *lineproto.Message, verb string, id uint64) *lineproto.Message {
	t.Helper()
	if m.Verb != verb || m.ID != id {
		t.Fatalf("got %s %d %v, wanted %s %d", m.Verb, m.ID, m.Fields, verb, id)
	}
	return m
}

// A client has two requests in flight on one connection. The second is served first, and the response to the first is late. The first
// fails at its timeout, since it may have run, and its late response is dropped.
func TestResponsesOutOfOrderAndOneLost(t *testing.T) {
	b := newEndpoint(t, "a")
	address, _ := startGateway(t, "", b)
	c := dial(t, address)
	c.submit(1, "post")
	c.submit(2, "post")
	at := b.accept()
	first, second := at.read(t), at.read(t)
	at.send(lineproto.VerbServed, second.ID, nil)
	expect(t, c.read(t), lineproto.VerbServed, 2)
	expect(t, c.read(t), lineproto.VerbFailed, 1) // timed out: it may have run, so it is not rejected
	if at.read(t).Verb != lineproto.VerbCancel {
		t.Error("the attempt of a request that timed out was not canceled")
	}
	at.send(lineproto.VerbServed, first.ID, nil) // late: dropped
	c.submit(3, "read")
	at.send(lineproto.VerbServed, at.read(t).ID, nil)
	expect(t, c.read(t), lineproto.VerbServed, 3)
}

// An endpoint resets the connection after it has received an attempt and before it responds: the request fails and may have run. Then
// the endpoint refuses connections: the next request has not run and is rejected.
func TestConnectionResetAndRefused(t *testing.T) {
	b := newEndpoint(t, "a")
	address, _ := startGateway(t, "", b)
	c := dial(t, address)
	c.submit(1, "post")
	at := b.accept()
	at.read(t)
	at.Conn.(*net.TCPConn).SetLinger(0)
	at.Close()
	if m := expect(t, c.read(t), lineproto.VerbFailed, 1); m.Get("May-Have-Run") != "yes" {
		t.Error(m.Fields)
	}
	b.listener.Close()
	c.submit(2, "post")
	expect(t, c.read(t), lineproto.VerbRejected, 2) // it never ran, so a retry is safe
}

// An endpoint sends its drain notice while an attempt to it is in transit, and rejects this attempt. No further attempt may be sent
// there.
func TestDrainDuringAttempt(t *testing.T) {
	b := newEndpoint(t, "a")
	address, _ := startGateway(t, "", b)
	c := dial(t, address)
	c.submit(1, "post")
	at := b.accept()
	at.send(lineproto.VerbDraining, 0, nil) // before it has read the attempt
	at.send(lineproto.VerbRejected, at.read(t).ID, nil)
	expect(t, c.read(t), lineproto.VerbRejected, 1)
	c.submit(2, "post")
	expect(t, c.read(t), lineproto.VerbRejected, 2)
	at.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
	if m, err := at.reader.Read(); err == nil {
		t.Errorf("%s was sent to a draining endpoint", m.Verb)
	}
}

// An endpoint sends its drain notice to one gateway only. The other gateway learns of the drain from that one, and bars the endpoint
// too.
func TestDrainFromAnotherGateway(t *testing.T) {
	b := newEndpoint(t, "a")
	ports := make([]string, 2)
	for i := range ports {
		c, err := net.ListenPacket("udp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		ports[i] = c.LocalAddr().String()
		c.Close()
	}
	var at [2]string
	for i := range at {
		at[i], _ = startGatewayWithSettings(t, strings.Replace(conf, `name: "h"`, fmt.Sprintf(`name: "h%d"`, i), 1)+
			fmt.Sprintf("ordinal: %d peer_listen: %q peer { ordinal: %d address: %q } brick { name: \"a\" address: %q }\n", i, ports[i],
				1-i, ports[1-i], b.listener.Addr()))
	}
	c := dial(t, at[0])
	c.submit(1, "read")
	first := b.accept()
	first.send(lineproto.VerbDraining, 0, nil)
	first.send(lineproto.VerbRejected, first.read(t).ID, nil)
	expect(t, c.read(t), lineproto.VerbRejected, 1)
	show := dial(t, at[1])
	for id, end := uint64(1), time.Now().Add(20*time.Second); ; id++ {
		show.send(lineproto.VerbShowFleet, id, nil)
		if m := show.read(t); strings.Contains(string(m.Body), "barred") {
			break
		}
		if time.Now().After(end) {
			t.Fatal("the other gateway did not learn of the drain within 20 s")
		}
		time.Sleep(20 * time.Millisecond)
	}
	for n, verb := range map[string]string{"h0": lineproto.VerbServed, "nobody": lineproto.VerbMalformed} {
		show.send(lineproto.VerbForget, 1<<41, func(o *lineproto.Builder) { o.Text("Host", n) })
		expect(t, show.read(t), verb, 1<<41)
	}
	show.submit(1<<40, "read")
	expect(t, show.read(t), lineproto.VerbRejected, 1<<40) // nothing was sent: no endpoint is available
}

// A gateway starts from its store while the endpoint list service is down, and restores a thousand beliefs. Another endpoint now uses
// one of the saved addresses; it must get no attempt. A second gateway can't start on the same store. A gateway whose store can't be
// opened serves without it.
func TestStartFromStore(t *testing.T) {
	dir := t.TempDir()
	file := filepath.Join(dir, "fleet.db")
	b, other := newEndpoint(t, "b0"), newEndpoint(t, "stranger")
	s, _, err := store.Open(file, "h")
	if err != nil {
		t.Fatal(err)
	}
	now := time.Duration(time.Now().UnixNano())
	var all []endpointstate.Belief
	for i := range 1000 {
		l := endpointstate.Report{Name: fmt.Sprint("b", i), Address: fmt.Sprintf("127.0.0.1:%d", 1+i%900), Shard: i, Serving: true, ObservedAt: now - time.Hour}
		switch i {
		case 0:
			l.Address = b.listener.Addr().String()
		case 1:
			l.Address = other.listener.Addr().String()
		}
		all = append(all, endpointstate.Belief{Source: endpointstate.List, Report: l})
	}
	if _, err := s.Save(all, endpointstate.Generation{Epoch: "e", Number: 3}); err != nil {
		t.Fatal(err)
	}
	s.Close()
	own := fmt.Sprintf("store: %q\n", file)
	address, stop := startGateway(t, own)
	at := b.accept() // the endpoint is doubted, so the gateway connects for its greeting
	c := dial(t, address)
	c.submit(1, "read")
	at.send(lineproto.VerbServed, at.read(t).ID, nil)
	expect(t, c.read(t), lineproto.VerbServed, 1)
	wrong := other.accept()
	wrong.SetReadDeadline(time.Now().Add(5 * time.Second))
	if m, err := wrong.reader.Read(); err == nil {
		t.Errorf("%s was sent to another endpoint at a saved address", m.Verb)
	}
	e, err := settings.ParseGateway("second", []byte(conf+own))
	if err != nil {
		t.Fatal(err)
	}
	if err := Run(context.Background(), e, Options{Log: slog.New(slog.NewTextHandler(io.Discard, nil))}); !errors.Is(err, store.ErrLocked) {
		t.Errorf("a second gateway on the same store did not fail with ErrLocked: %v", err)
	}
	show := dial(t, address)
	show.send(lineproto.VerbShowFleet, 1, nil)
	if m := show.read(t); !strings.Contains(string(m.Body), "b0 ") || !strings.Contains(string(m.Body), "doubted") {
		t.Errorf("%s", m.Body)
	}
	for n, verb := range []string{lineproto.VerbServed, lineproto.VerbMalformed} { // the first removes it, the second finds it unknown
		show.send(lineproto.VerbForget, uint64(n+2), func(o *lineproto.Builder) { o.Text("Brick", "b7") })
		expect(t, show.read(t), verb, uint64(n+2))
	}
	stop()
	if all, _, _, err := store.Dump(file, "h"); err != nil || len(all) != 999 || all[0].Source != endpointstate.SelfReported {
		t.Errorf("%v %d %+v", err, len(all), all[0])
	}
	address, _ = startGateway(t, fmt.Sprintf("store: %q\n", filepath.Join(dir, "none", "fleet.db")), newEndpoint(t, "z"))
	c = dial(t, address)
	c.submit(1, "read")
	c.read(t)
}

// Another endpoint now uses an endpoint's address. No attempt may be sent there.
func TestAddressReusedByAnotherEndpoint(t *testing.T) {
	b := newEndpoint(t, "a")
	b.name = "z"
	address, _ := startGateway(t, fmt.Sprintf("brick { name: \"a\" address: %q }\n", b.listener.Addr()))
	c := dial(t, address)
	c.submit(1, "post")
	at := b.accept()
	at.SetReadDeadline(time.Now().Add(5 * time.Second))
	if m, err := at.reader.Read(); err == nil {
		t.Errorf("%s was sent to the other endpoint", m.Verb)
	}
	expect(t, c.read(t), lineproto.VerbRejected, 1)
}

// An endpoint restarts on the same address and sends a response with an id from the previous connection. The gateway drops it.
func TestLateResponseAfterEndpointRestart(t *testing.T) {
	b := newEndpoint(t, "a")
	address, _ := startGateway(t, "", b)
	c := dial(t, address)
	c.submit(1, "read")
	at := b.accept()
	old := at.read(t).ID
	at.Close()
	at = b.accept() // after a single broken connection the request is sent there again
	at.read(t)
	at.Close()
	expect(t, c.read(t), lineproto.VerbRejected, 1) // after the second broken connection it is not
	c.submit(2, "post")
	at = b.accept()
	id := at.read(t).ID
	at.send(lineproto.VerbServed, old, nil)
	at.send(lineproto.VerbServed, 1<<60, nil)
	at.send(lineproto.VerbFailed, id, nil)
	expect(t, c.read(t), lineproto.VerbFailed, 2)
}

// Clients send malformed messages. The gateway ends their connections or responds with BAD, and continues to serve other clients.
func TestMalformedClientMessages(t *testing.T) {
	b := newEndpoint(t, "a")
	address, _ := startGateway(t, "", b)
	for name, in := range map[string]string{
		"endless line":    "RUN " + strings.Repeat("7", 1<<17),
		"header bomb":     "RUN 1\r\n" + strings.Repeat("A: b\r\n", 1<<13),
		"body too long":   "RUN 1\r\nLength: 999999999\r\n\r\n",
		"no id":           "RUN\r\nVolume: v\r\nQueue-Type: read\r\n\r\n",
		"short body":      "RUN 1\r\nLength: 10\r\n\r\nabc",
		"half a greeting": "HEL",
		"stops midway":    "RUN 1\r\nVolume: v",
	} {
		nc, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		if name != "half a greeting" {
			greet(t, nc, "client", name)
		}
		nc.SetDeadline(time.Now().Add(5 * time.Second))
		go nc.Write([]byte(in))
		if _, err := io.Copy(io.Discard, nc); err != nil && !strings.Contains(err.Error(), "reset") {
			t.Errorf("%s: the connection was not ended: %v", name, err)
		}
		nc.Close()
	}
	good := dial(t, address)
	for in, want := range map[string]string{
		"DANCE 5\r\n\r\n":            "unknown verb",
		"RUN 5\r\nVolume: v\r\n\r\n": "needs the fields",
		"RUN 5\r\nVolume: v\r\nQueue-Type: read\r\nUnits: -1\r\n\r\n":          "allowed are units above 0",
		"RUN 5\r\nVolume: v\r\nQueue-Type: read\r\nTimeout: 1s\r\n\r\n":        "not a whole number",
		"RUN 5\r\nVolume: v\r\nQueue-Type: read\r\nTimeout: -99999\r\n\r\n":    "no negative time",
		"RUN 5\r\nVolume: strange\r\nQueue-Type: read\r\n\r\n":                 "unknown volume",
		"RUN 5\r\nVolume: v\r\nQueue-Type: strange\r\nX-Later: header\r\n\r\n": "unknown queue type",
	} {
		good.Write([]byte(in))
		if m := good.read(t); m.ID != 5 || !strings.Contains(m.Get("Reason"), want) {
			t.Errorf("%q: %s %v", in, m.Verb, m.Fields)
		}
	}
	for id := uint64(1); id <= 5; id++ { // four may be in flight
		good.submit(id, "read")
	}
	if m := expect(t, good.read(t), lineproto.VerbMalformed, 5); !strings.Contains(m.Get("Reason"), "in flight") {
		t.Error(m.Fields)
	}
	good.submit(4, "read")
	if m := good.read(t); m.Verb != lineproto.VerbMalformed || !strings.Contains(m.Get("Reason"), "told apart") {
		t.Error(m.Fields)
	}
}

// A client sends requests and reads no responses. The gateway disconnects it when its queue is full or a write times out, and
// serves other clients meanwhile.
func TestClientNotReadingIsDisconnected(t *testing.T) {
	b := newEndpoint(t, "a")
	address, _ := startGateway(t, "", b)
	silent, good := dial(t, address), dial(t, address)
	silent.Conn.(*net.TCPConn).SetReadBuffer(1 << 10)
	go func() {
		for id := uint64(1); ; id++ {
			var o lineproto.Builder
			o.Start(lineproto.VerbRequest, id).Text("Volume", "v").Text("Queue-Type", "read").Int("Cell", 0)
			if _, err := silent.Write(o.End(make([]byte, 90000)).Buffer); err != nil {
				return
			}
		}
	}()
	at := b.accept()
	served, ended := make(chan bool), make(chan bool)
	go func() { // the endpoint echoes each request's body
		defer close(ended)
		for {
			m, err := at.reader.Read()
			if err != nil {
				return
			}
			if m.Verb == lineproto.VerbRequest {
				var o lineproto.Builder
				if _, err := at.Write(o.Start(lineproto.VerbServed, m.ID).End(m.Body).Buffer); err != nil {
					return
				}
			}
		}
	}()
	go func() {
		defer close(served)
		for id := uint64(1); id <= 20; id++ {
			good.submit(id, "read")
			if m, err := good.reader.Read(); err != nil || m.ID != id {
				t.Errorf("request %d of another client: %v %v", id, m, err)
				return
			}
		}
	}()
	<-served
	for { // repeated writes fail once the silent client is disconnected
		silent.SetWriteDeadline(time.Now().Add(100 * time.Millisecond))
		if _, err := silent.Write(nil); err != nil {
			break
		}
		if _, err := silent.Write([]byte("\r\n")); err != nil {
			var n net.Error
			if ok := asNet(err, &n); !ok || !n.Timeout() {
				break
			}
		}
	}
}

func asNet(err error, n *net.Error) bool { return errors.As(err, n) }

// A gateway that shuts down rejects new requests, completes the open ones, and leaves no goroutine running.
func TestShutdownCompletesRequests(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	b := newEndpoint(t, "a")
	address, stop := startGateway(t, "", b)
	c := dial(t, address)
	c.submit(1, "read")
	at := b.accept()
	held := at.read(t)
	done, ended := make(chan bool), make(chan bool)
	go func() { // the endpoint serves all other requests at once
		defer close(ended)
		at.SetReadDeadline(time.Time{})
		for {
			m, err := at.reader.Read()
			if err != nil {
				return
			}
			at.send(lineproto.VerbServed, m.ID, nil)
		}
	}()
	go func() {
		stop()
		close(done)
	}()
	for id := uint64(2); ; id++ { // until a request is rejected
		c.submit(id, "read")
		m := c.read(t)
		if m.Verb == lineproto.VerbRejected && m.ID == id {
			break
		}
	}
	at.send(lineproto.VerbServed, held.ID, nil)
	expect(t, c.read(t), lineproto.VerbServed, 1)
	<-done
	c.Close()
	at.Close()
	<-ended
	b.listener.Close()
}

// While the loop's queue is full, the gateway rejects requests at once.
func TestLoopQueueFull(t *testing.T) {
	block, blocked := make(chan bool), make(chan bool)
	e, err := settings.ParseGateway("test", []byte(strings.Replace(conf, "commands_a_connection: 4", "loop_queue: 2", 1)))
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ready, done := make(chan string, 1), make(chan error, 1)
	start := func(h policy.Runtime, s policy.Settings) engine.Scheduler {
		return &blockingScheduler{policy.New(h, s), block, blocked}
	}
	go func() {
		done <- Run(ctx, e, Options{Log: slog.New(slog.NewTextHandler(io.Discard, nil)), NewScheduler: start, Ready: func(a, _ string) { ready <- a }})
	}()
	c := dial(t, <-ready)
	c.submit(1, "read")
	<-blocked
	for id := uint64(2); id <= 9; id++ {
		c.submit(id, "read")
	}
	for id := uint64(4); id <= 9; id++ { // two are queued, the others rejected at once
		expect(t, c.read(t), lineproto.VerbRejected, id)
	}
	close(block)
	got := map[uint64]bool{}
	for range 3 {
		got[c.read(t).ID] = true
	}
	if !got[1] || !got[2] || !got[3] {
		t.Errorf("responses received: %v, want 1, 2 and 3", got)
	}
	cancel()
	if err := <-done; err != nil {
		t.Error(err)
	}
}

// blockingScheduler blocks on its first request.
type blockingScheduler struct {
	*policy.Scheduler
	block, blocked chan bool
}

func (s *blockingScheduler) RequestReceived(request *policy.Request, arrival policy.RequestArrival) error {
	if s.blocked != nil {
		close(s.blocked)
		s.blocked = nil
		<-s.block
	}
	return s.Scheduler.RequestReceived(request, arrival)
}

// An operator starts and stops the capture while the gateway serves. All requests that got their responses in between are on disk,
// without object names.
func TestCapture(t *testing.T) {
	b := newEndpoint(t, "b0")
	dir := t.TempDir()
	a, stop := startGateway(t, fmt.Sprintf("capture { folder: %q }\n", dir), b)
	c := dial(t, a)
	checkCapture := func(action, want string) {
		t.Helper()
		c.send(lineproto.VerbControlCapture, 99, func(o *lineproto.Builder) { o.Text("Action", action) })
		if m := c.read(t); !strings.Contains(string(m.Body)+m.Get("Reason"), want) {
			t.Errorf("%s: %s %q %s, want %q", action, m.Verb, m.Body, m.Get("Reason"), want)
		}
	}
	c.submit(1, "read")
	at := b.accept()
	at.send(lineproto.VerbServed, at.read(t).ID, nil)
	expect(t, c.read(t), lineproto.VerbServed, 1)
	checkCapture("info", "capture off")
	checkCapture("start", "capture on since")
	for i := range uint64(3) {
		c.submit(2+i, "read")
		id := at.read(t).ID
		at.send(lineproto.VerbFailed, id, nil)
		at.send(lineproto.VerbServed, at.read(t).ID, nil)
		expect(t, c.read(t), lineproto.VerbServed, 2+i)
	}
	checkCapture("stop", "lines written")
	checkCapture("wind", "allowed: start, stop, info")
	l, err := capture.Read(dir)
	if err != nil {
		t.Fatal(err)
	}
	n, marks := 0, 0
	for _, x := range l.Records {
		if m := x.GetCommand(); m != nil {
			n++
			if m.Volume != "v" || m.Plan != "plain" || m.Object == 0 || len(m.Dispatch) != 2 || m.Dispatch[0].How != int32(policy.ErrorResponse) ||
				m.Dispatch[1].How != int32(policy.Served) || m.Dispatch[1].Brick != "b0" || m.Took <= m.Dispatch[0].Took {
				t.Error(m)
			}
		} else if m := x.GetBrick(); m != nil && m.Name == "b0" {
			marks++
		}
	}
	if n != 3 || marks == 0 || l.Heads[0].QueueType[0].Name != "read" {
		t.Error(n, marks, l.Heads)
	}
	stop()
	a, _ = startGateway(t, "", newEndpoint(t, "b0"))
	c = dial(t, a)
	checkCapture("start", "no capture")
}
