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

// scripted is a brick that does with each connection what the test says.
type scripted struct {
	t    testing.TB
	l    net.Listener
	name string
}

func newBrick(t testing.TB, name string) *scripted {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return &scripted{t, l, name}
}

type peer struct {
	net.Conn
	r *lineproto.Reader
}

func (p *peer) read(t testing.TB) *lineproto.Message {
	t.Helper()
	p.SetReadDeadline(time.Now().Add(5 * time.Second))
	m, err := p.r.Read()
	if err != nil {
		t.Fatal(err)
	}
	return m
}

func (p *peer) say(verb string, id uint64, f func(*lineproto.Out)) {
	var o lineproto.Out
	o.Start(verb, id)
	if f != nil {
		f(&o)
	}
	p.Write(o.End(nil).B)
}

func (p *peer) run(id uint64, queue string) {
	p.say(lineproto.Run, id, func(o *lineproto.Out) {
		o.Text("Volume", "v").Text("Queue-Type", queue).Text("Object", fmt.Sprint("o", id)).Whole("Cell", 0)
	})
}

func greeted(t testing.TB, c net.Conn, role, name string) *peer {
	t.Helper()
	r := lineproto.NewReader(c, 1<<20)
	if _, err := lineproto.Greet(c, r, role, name, 5*time.Second, nil); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return &peer{c, r}
}

// accept is the brick's next connection.
func (b *scripted) accept() *peer {
	b.t.Helper()
	c, err := b.l.Accept()
	if err != nil {
		b.t.Fatal(err)
	}
	return greeted(b.t, c, "brick", b.name)
}

// host starts an edge and returns its address; stop waits until it has ended.
func host(t testing.TB, more string, bricks ...*scripted) (address string, stop func()) {
	t.Helper()
	text := conf + more
	for i, b := range bricks {
		text += fmt.Sprintf("brick { name: %q address: %q cell: %d }\n", b.name, b.l.Addr(), i)
	}
	return hostOf(t, text)
}

func hostOf(t testing.TB, text string) (address string, stop func()) {
	t.Helper()
	e, err := settings.ParseEdge("test", []byte(text))
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

func dial(t testing.TB, address string) *peer {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	return greeted(t, c, "client", "test")
}

func want(t *testing.T, m *lineproto.Message, verb string, id uint64) *lineproto.Message {
	t.Helper()
	if m.Verb != verb || m.ID != id {
		t.Fatalf("got %s %d %v, wanted %s %d", m.Verb, m.ID, m.Field, verb, id)
	}
	return m
}

// Two commands on one connection, answers out of order; the first's answer is lost.
func TestAnswersOutOfOrderAndOneLost(t *testing.T) {
	b := newBrick(t, "a")
	address, _ := host(t, "", b)
	c := dial(t, address)
	c.run(1, "post")
	c.run(2, "post")
	at := b.accept()
	first, second := at.read(t), at.read(t)
	at.say(lineproto.Done, second.ID, nil)
	want(t, c.read(t), lineproto.Done, 2)
	want(t, c.read(t), lineproto.Abort, 1) // at its command timeout: it may have run, so it is no busy reply
	if at.read(t).Verb != lineproto.Cancel {
		t.Error("no cancel for what was given up")
	}
	at.say(lineproto.Done, first.ID, nil) // late: nobody hears of it
	c.run(3, "read")
	at.say(lineproto.Done, at.read(t).ID, nil)
	want(t, c.read(t), lineproto.Done, 3)
}

// A reset between the last byte sent and the answer: the command may have run. A refused connection: it has not.
func TestResetAndRefused(t *testing.T) {
	b := newBrick(t, "a")
	address, _ := host(t, "", b)
	c := dial(t, address)
	c.run(1, "post")
	at := b.accept()
	at.read(t)
	at.Conn.(*net.TCPConn).SetLinger(0)
	at.Close()
	if m := want(t, c.read(t), lineproto.Abort, 1); m.Get("May-Have-Run") != "yes" {
		t.Error(m.Field)
	}
	b.l.Close()
	c.run(2, "post")
	want(t, c.read(t), lineproto.Busy, 2) // never ran: trying again is harmless
}

// A drain notice crosses a dispatch that is still in the kernel's buffer: the brick turns that away, and nothing follows it.
func TestDrainWhileOneIsOnItsWay(t *testing.T) {
	b := newBrick(t, "a")
	address, _ := host(t, "", b)
	c := dial(t, address)
	c.run(1, "post")
	at := b.accept()
	at.say(lineproto.Drain, 0, nil) // before it reads what was sent
	at.say(lineproto.Busy, at.read(t).ID, nil)
	want(t, c.read(t), lineproto.Busy, 1)
	c.run(2, "post")
	want(t, c.read(t), lineproto.Busy, 2)
	at.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
	if m, err := at.r.Read(); err == nil {
		t.Errorf("a draining brick was sent %s", m.Verb)
	}
}

// A drain told to one host only reaches the others from it, and bars the brick there too.
func TestDrainFromAnotherHost(t *testing.T) {
	b := newBrick(t, "a")
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
		at[i], _ = hostOf(t, strings.Replace(conf, `name: "h"`, fmt.Sprintf(`name: "h%d"`, i), 1)+
			fmt.Sprintf("ordinal: %d peer_listen: %q peer { ordinal: %d address: %q } brick { name: \"a\" address: %q }\n", i, ports[i],
				1-i, ports[1-i], b.l.Addr()))
	}
	c := dial(t, at[0])
	c.run(1, "read")
	first := b.accept()
	first.say(lineproto.Drain, 0, nil)
	first.say(lineproto.Busy, first.read(t).ID, nil)
	want(t, c.read(t), lineproto.Busy, 1)
	show := dial(t, at[1])
	for id, end := uint64(1), time.Now().Add(20*time.Second); ; id++ {
		show.say(lineproto.Fleet, id, nil)
		if m := show.read(t); strings.Contains(string(m.Body), "barred") {
			break
		}
		if time.Now().After(end) {
			t.Fatal("the other host never heard of the drain")
		}
		time.Sleep(20 * time.Millisecond)
	}
	for n, verb := range map[string]string{"h0": lineproto.Done, "nobody": lineproto.Bad} {
		show.say(lineproto.Forget, 1<<41, func(o *lineproto.Out) { o.Text("Host", n) })
		want(t, show.read(t), verb, 1<<41)
	}
	show.run(1<<40, "read")
	want(t, show.read(t), lineproto.Busy, 1<<40) // nothing was sent: no brick is left
}

// Starting without discovery: the list is on disk. Hosts can't share it; at a saved address may be another brick; a thousand
// lines are taken back; a disk that takes nothing costs no service.
func TestStore(t *testing.T) {
	dir := t.TempDir()
	file := filepath.Join(dir, "fleet.db")
	b, other := newBrick(t, "b0"), newBrick(t, "stranger")
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
			l.Address = b.l.Addr().String()
		case 1:
			l.Address = other.l.Addr().String()
		}
		all = append(all, endpointstate.Belief{Source: endpointstate.List, Report: l})
	}
	if _, err := s.Save(all, endpointstate.Generation{Epoch: "e", Number: 3}); err != nil {
		t.Fatal(err)
	}
	s.Close()
	own := fmt.Sprintf("store: %q\n", file)
	address, stop := host(t, own)
	at := b.accept() // in doubt, it is asked for its own word
	c := dial(t, address)
	c.run(1, "read")
	at.say(lineproto.Done, at.read(t).ID, nil)
	want(t, c.read(t), lineproto.Done, 1)
	wrong := other.accept()
	wrong.SetReadDeadline(time.Now().Add(5 * time.Second))
	if m, err := wrong.r.Read(); err == nil {
		t.Errorf("another brick at a saved address was sent %s", m.Verb)
	}
	e, err := settings.ParseEdge("second", []byte(conf+own))
	if err != nil {
		t.Fatal(err)
	}
	if err := Run(context.Background(), e, Options{Log: slog.New(slog.NewTextHandler(io.Discard, nil))}); !errors.Is(err, store.ErrLocked) {
		t.Errorf("a second host started on the same store: %v", err)
	}
	show := dial(t, address)
	show.say(lineproto.Fleet, 1, nil)
	if m := show.read(t); !strings.Contains(string(m.Body), "b0 ") || !strings.Contains(string(m.Body), "doubted") {
		t.Errorf("%s", m.Body)
	}
	for n, verb := range []string{lineproto.Done, lineproto.Bad} { // once known, once forgotten
		show.say(lineproto.Forget, uint64(n+2), func(o *lineproto.Out) { o.Text("Brick", "b7") })
		want(t, show.read(t), verb, uint64(n+2))
	}
	stop()
	if all, _, _, err := store.Dump(file, "h"); err != nil || len(all) != 999 || all[0].Source != endpointstate.SelfReported {
		t.Errorf("%v %d %+v", err, len(all), all[0])
	}
	address, _ = host(t, fmt.Sprintf("store: %q\n", filepath.Join(dir, "none", "fleet.db")), newBrick(t, "z"))
	c = dial(t, address)
	c.run(1, "read")
	c.read(t)
}

// At the address of a brick is another one now: nothing is sent there.
func TestAnotherBrickAtTheAddress(t *testing.T) {
	b := newBrick(t, "a")
	b.name = "z"
	address, _ := host(t, fmt.Sprintf("brick { name: \"a\" address: %q }\n", b.l.Addr()))
	c := dial(t, address)
	c.run(1, "post")
	at := b.accept()
	at.SetReadDeadline(time.Now().Add(5 * time.Second))
	if m, err := at.r.Read(); err == nil {
		t.Errorf("it was sent %s", m.Verb)
	}
	want(t, c.read(t), lineproto.Busy, 1)
}

// A brick restarts on its address; an answer with a number of the connection before is thrown away.
func TestOldAnswersAfterARestart(t *testing.T) {
	b := newBrick(t, "a")
	address, _ := host(t, "", b)
	c := dial(t, address)
	c.run(1, "read")
	at := b.accept()
	old := at.read(t).ID
	at.Close()
	at = b.accept() // one broken connection says little: it is sent again
	at.read(t)
	at.Close()
	want(t, c.read(t), lineproto.Busy, 1) // no credit is left there, so it is not sent once more
	c.run(2, "post")
	at = b.accept()
	id := at.read(t).ID
	at.say(lineproto.Done, old, nil)
	at.say(lineproto.Done, 1<<60, nil)
	at.say(lineproto.Abort, id, nil)
	want(t, c.read(t), lineproto.Abort, 2)
}

// What clients do wrong ends their connection or is told to them; nobody else notices.
func TestWrongClients(t *testing.T) {
	b := newBrick(t, "a")
	address, _ := host(t, "", b)
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
			greeted(t, nc, "client", name)
		}
		nc.SetDeadline(time.Now().Add(5 * time.Second))
		go nc.Write([]byte(in))
		if _, err := io.Copy(io.Discard, nc); err != nil && !strings.Contains(err.Error(), "reset") {
			t.Errorf("%s: the connection was not ended: %v", name, err)
		}
		nc.Close()
	}
	good := dial(t, address)
	for in, says := range map[string]string{
		"DANCE 5\r\n\r\n":            "unknown verb",
		"RUN 5\r\nVolume: v\r\n\r\n": "needs the fields",
		"RUN 5\r\nVolume: v\r\nQueue-Type: read\r\nUnits: -1\r\n\r\n":          "allowed are units above 0",
		"RUN 5\r\nVolume: v\r\nQueue-Type: read\r\nTimeout: 1s\r\n\r\n":        "not a whole number",
		"RUN 5\r\nVolume: v\r\nQueue-Type: read\r\nTimeout: -99999\r\n\r\n":    "no negative time",
		"RUN 5\r\nVolume: strange\r\nQueue-Type: read\r\n\r\n":                 "unknown volume",
		"RUN 5\r\nVolume: v\r\nQueue-Type: strange\r\nX-Later: header\r\n\r\n": "unknown queue type",
	} {
		good.Write([]byte(in))
		if m := good.read(t); m.ID != 5 || !strings.Contains(m.Get("Reason"), says) {
			t.Errorf("%q: %s %v", in, m.Verb, m.Field)
		}
	}
	for id := uint64(1); id <= 5; id++ { // four may be in flight
		good.run(id, "read")
	}
	if m := want(t, good.read(t), lineproto.Bad, 5); !strings.Contains(m.Get("Reason"), "in flight") {
		t.Error(m.Field)
	}
	good.run(4, "read")
	if m := good.read(t); m.Verb != lineproto.Bad || !strings.Contains(m.Get("Reason"), "told apart") {
		t.Error(m.Field)
	}
}

// A client that reads nothing is cut off; what it held has lost its client, and others are served meanwhile.
func TestClientThatReadsNothing(t *testing.T) {
	b := newBrick(t, "a")
	address, _ := host(t, "", b)
	deaf, good := dial(t, address), dial(t, address)
	deaf.Conn.(*net.TCPConn).SetReadBuffer(1 << 10)
	go func() {
		for id := uint64(1); ; id++ {
			var o lineproto.Out
			o.Start(lineproto.Run, id).Text("Volume", "v").Text("Queue-Type", "read").Whole("Cell", 0)
			if _, err := deaf.Write(o.End(make([]byte, 90000)).B); err != nil {
				return
			}
		}
	}()
	at := b.accept()
	served, ended := make(chan bool), make(chan bool)
	go func() { // the brick sends back what it got
		defer close(ended)
		for {
			m, err := at.r.Read()
			if err != nil {
				return
			}
			if m.Verb == lineproto.Run {
				var o lineproto.Out
				if _, err := at.Write(o.Start(lineproto.Done, m.ID).End(m.Body).B); err != nil {
					return
				}
			}
		}
	}()
	go func() {
		defer close(served)
		for id := uint64(1); id <= 20; id++ {
			good.run(id, "read")
			if m, err := good.r.Read(); err != nil || m.ID != id {
				t.Errorf("command %d of another client: %v %v", id, m, err)
				return
			}
		}
	}()
	<-served
	for { // written to again and again, the deaf one's connection ends
		deaf.SetWriteDeadline(time.Now().Add(100 * time.Millisecond))
		if _, err := deaf.Write(nil); err != nil {
			break
		}
		if _, err := deaf.Write([]byte("\r\n")); err != nil {
			var n net.Error
			if ok := asNet(err, &n); !ok || !n.Timeout() {
				break
			}
		}
	}
}

func asNet(err error, n *net.Error) bool {
	x, ok := err.(net.Error)
	*n = x
	return ok
}

// Told to stop, a host takes nothing new, ends what it holds, and leaves no goroutine behind.
func TestStop(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	b := newBrick(t, "a")
	address, stop := host(t, "", b)
	c := dial(t, address)
	c.run(1, "read")
	at := b.accept()
	held := at.read(t)
	done, ended := make(chan bool), make(chan bool)
	go func() { // the others are answered at once
		defer close(ended)
		at.SetReadDeadline(time.Time{})
		for {
			m, err := at.r.Read()
			if err != nil {
				return
			}
			at.say(lineproto.Done, m.ID, nil)
		}
	}()
	go func() {
		stop()
		close(done)
	}()
	for id := uint64(2); ; id++ { // until it no longer takes any
		c.run(id, "read")
		m := c.read(t)
		if m.Verb == lineproto.Busy && m.ID == id {
			break
		}
	}
	at.say(lineproto.Done, held.ID, nil)
	want(t, c.read(t), lineproto.Done, 1)
	<-done
	c.Close()
	at.Close()
	<-ended
	b.l.Close()
}

// What the loop can't take in is busy-replied at once.
func TestOverflow(t *testing.T) {
	block, blocked := make(chan bool), make(chan bool)
	e, err := settings.ParseEdge("test", []byte(strings.Replace(conf, "commands_a_connection: 4", "loop_queue: 2", 1)))
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ready, done := make(chan string, 1), make(chan error, 1)
	start := func(h policy.Runtime, s policy.Settings) engine.Scheduler {
		return &stuck{policy.New(h, s), block, blocked}
	}
	go func() {
		done <- Run(ctx, e, Options{Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Start: start, Ready: func(a, _ string) { ready <- a }})
	}()
	c := dial(t, <-ready)
	c.run(1, "read")
	<-blocked
	for id := uint64(2); id <= 9; id++ {
		c.run(id, "read")
	}
	for id := uint64(4); id <= 9; id++ { // two wait, the others are told at once
		want(t, c.read(t), lineproto.Busy, id)
	}
	close(block)
	got := map[uint64]bool{}
	for range 3 {
		got[c.read(t).ID] = true
	}
	if !got[1] || !got[2] || !got[3] {
		t.Errorf("lost: %v", got)
	}
	cancel()
	if err := <-done; err != nil {
		t.Error(err)
	}
}

// stuck is a module that stands still at its first command.
type stuck struct {
	*policy.Scheduler
	block, blocked chan bool
}

func (s *stuck) RequestReceived(request *policy.Request, arrival policy.RequestArrival) error {
	if s.blocked != nil {
		close(s.blocked)
		s.blocked = nil
		<-s.block
	}
	return s.Scheduler.RequestReceived(request, arrival)
}

// An operator turns the capture on while the host serves; what was answered until "stop" came back is on disk, and names no object.
func TestCapture(t *testing.T) {
	b := newBrick(t, "b0")
	dir := t.TempDir()
	a, stop := host(t, fmt.Sprintf("capture { folder: %q }\n", dir), b)
	c := dial(t, a)
	tape := func(action, want string) {
		t.Helper()
		c.say(lineproto.Tape, 99, func(o *lineproto.Out) { o.Text("Action", action) })
		if m := c.read(t); !strings.Contains(string(m.Body)+m.Get("Reason"), want) {
			t.Errorf("%s: %s %q %s, want %q", action, m.Verb, m.Body, m.Get("Reason"), want)
		}
	}
	c.run(1, "read")
	at := b.accept()
	at.say(lineproto.Done, at.read(t).ID, nil)
	want(t, c.read(t), lineproto.Done, 1)
	tape("info", "capture off")
	tape("start", "capture on since")
	for i := range uint64(3) {
		c.run(2+i, "read")
		id := at.read(t).ID
		at.say(lineproto.Abort, id, nil)
		at.say(lineproto.Done, at.read(t).ID, nil)
		want(t, c.read(t), lineproto.Done, 2+i)
	}
	tape("stop", "lines written")
	tape("wind", "allowed: start, stop, info")
	l, err := capture.Read(dir)
	if err != nil {
		t.Fatal(err)
	}
	n, marks := 0, 0
	for _, x := range l.Lines {
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
	a, _ = host(t, "", newBrick(t, "b0"))
	c = dial(t, a)
	tape("start", "no capture")
}
