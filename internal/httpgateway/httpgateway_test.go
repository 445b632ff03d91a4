package httpgateway

import (
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"weirhaven/internal/httpgateway/config"
	"weirhaven/policy"
)

// A command goes through unchanged and its answer comes back on a connection that is used again, both sides.
func TestThrough(t *testing.T) {
	b := newBrick(t, answers)
	h := newHost(t, b)
	c := h.dial()
	want(t, c, read("a1"), 200, "answer 0")
	time.Sleep(settled)
	want(t, c, write("a2", "some bytes"), 200, "answer 1")
	time.Sleep(settled)
	want(t, c, strings.Replace(read("a3"), "bb HTTP", "bb?q=%20 HTTP", 1), 200, "answer 2")
	for _, s := range []string{`GET /read/00000000000000aa/00000000000000bb a1 ""`, `PUT /write/00000000000000aa/00000000000000bb a2 "some bytes"`,
		`GET /read/00000000000000aa/00000000000000bb?q=%20 a3 ""`} {
		if got := <-b.seen; got != s {
			t.Errorf("%s, wanted %s", got, s)
		}
	}
	if n := len(b.open); n != 1 {
		t.Errorf("%d connections to the brick, wanted 1", n)
	}
}

// Fields that this host knows nothing of reach the brick: one customer's commands carry a mark that another's lack.
func TestFieldsPass(t *testing.T) {
	b, heads := oneRequest(t)
	h := newHost(t, b)
	want(t, h.dial(), read("a1", "Idempotency-Key: k7\r\n", "Connection: close\r\n"), 200, "")
	if got := <-heads; got.Get("Idempotency-Key") != "k7" || got.Get("X-Txn") != "a1" || got.Times("Connection") > 0 {
		t.Errorf("%+v", got)
	}
}

// settled is how long a connection to a brick rests at least until it is used again.
const settled = 40 * ms

// A host is put to use once its agent has told what it has, or stayed silent for a second: a drain told before the start
// counts from the first moment on.
func TestReady(t *testing.T) {
	t.Parallel()
	const ready = "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n"
	wait := func(h *host) time.Duration {
		c, began := h.dial(), time.Now()
		for s := 0; s != 200; s, _ = ask(c, ready) {
			if time.Since(began) > 5*time.Second {
				t.Fatal("never ready")
			}
		}
		return time.Since(began)
	}
	h := aHost(t, newBrick(t, answers))
	h.agent.hush <- true
	h.start()
	<-h.agent.asked
	want(t, h.dial(), ready, 503, "")
	h.agent.tell(8, false)
	if d := wait(h); d > 900*ms {
		t.Errorf("ready %v after the agent spoke", d)
	}
	mute := aHost(t, newBrick(t, answers))
	l := listen(t)
	defer l.Close()
	mute.config.Discovery = l.Addr().String()
	mute.start()
	if d := wait(mute); d < 500*ms {
		t.Errorf("ready after %v though the agent was silent", d)
	}
}

// What can't be a command gets an error and the connection ends; nothing reaches a brick, and the next client is served.
func TestBadClients(t *testing.T) {
	b := newBrick(t, answers)
	h := newHost(t, b)
	hidden := "GET /read/00000000000000aa/00000000000000bb HTTP/1.1\r\nX-Txn: hidden\r\n\r\n"
	for _, x := range []struct {
		text   string
		status int
	}{
		{"\x00\x01\x02 noise\r\n\r\n", 400},
		{strings.Replace(read("i"), "X-Lane: read\r\n", "", 1), 400},
		{strings.Replace(read("i"), "X-Lane: read", "X-Lane: write", 1), 400},
		{strings.Replace(read("i"), "/read/", "/other/", 1), 404},
		{strings.Replace(read("i"), "Tier: plain", "Tier: gold", 1), 400},
		{strings.Replace(read("i"), "Ms: 1000", "Ms: soon", 1), 400},
		{strings.Replace(read("i"), "Ms: 1000", "Ms: -5", 1), 400},
		{strings.Replace(read("i"), "Ms: 1000", "Ms: 99999999999", 1), 400},
		{strings.Replace(read("i"), "units=1", "units=NaN", 1), 400},
		{strings.Replace(read("i"), "units=1", "units=-1", 1), 400},
		{strings.Replace(read("i"), "shard=0", "shard=-2", 1), 400},
		{strings.Replace(read("i"), "hosts=1", "hosts=0", 1), 400},
		{strings.Replace(read("i"), "IO-Info", "Other", 1), 400},
		{strings.Replace(read("i"), "00000000000000bb", "../etc", 1), 404},
		{strings.Replace(read("i"), "GET", "PUT", 1), 405},
		{strings.Replace(read("i"), "GET", "DELETE", 1), 405},
		{read(""), 400},
		{read("i j"), 400},
		{read("i", "X-Txn: j\r\n"), 400},
		{read("i", "Content-Length: 3\r\n") + "abc", 400},
		{read("i", "Content-Length: -1\r\n"), 400},
		{strings.Replace(write("i", "abc"), "Content-Length: 3\r\n", "", 1), 411},
		{write("i", "abc") + "def", 400}, // a length that is too short
		{strings.Replace(write("i", hidden), "\r\n\r\n", "\r\nTransfer-Encoding: chunked\r\n\r\n", 1), 400},
		{strings.Replace(write("i", "abc"), "Length: 3", "Length: 62914560", 1), 413},
		{read("i", strings.Repeat("X: "+strings.Repeat("y", 1000)+"\r\n", 100)), 431},
	} {
		if s, _ := ask(h.dial(), x.text); s != x.status {
			t.Errorf("%.200q: %d, wanted %d", x.text, s, x.status)
		}
	}
	b.nothing(t)
	want(t, h.dial(), read("good"), 200, "answer 0")
}

// A large body is answered without being read, and the answer is not lost to a reset though the client goes on sending.
func TestLargeBody(t *testing.T) {
	b := newBrick(t, answers)
	h := newHost(t, b)
	c := h.dial()
	go func() {
		say(c, strings.Replace(write("i", ""), "Length: 0", "Length: 700000", 1))
		say(c, strings.Repeat("x", 700000))
	}()
	if s, _ := hear(c); s != 413 {
		t.Errorf("%d, wanted 413", s)
	}
	b.nothing(t)
}

// An id in use is refused, and so is one that was a moment ago: a second copy would be a second effect.
func TestIDInUse(t *testing.T) {
	hold := make(chan bool)
	b := newBrick(t, func(c net.Conn, n int) bool { <-hold; return answers(c, n) })
	h := newHost(t, b)
	c := h.dial()
	say(c, write("a1", "x"))
	<-b.seen
	want(t, h.dial(), write("a1", "x"), 409, "")
	close(hold)
	if s, body := hear(c); s != 200 || body != "answer 0" {
		t.Errorf("%d %q", s, body)
	}
	want(t, h.dial(), write("a1", "x"), 409, "")
	b.nothing(t)
}

// A client that names a volume with another plan does not bind the volume for others: the plan of the first would hold
// them under its limit.
func TestOtherPlan(t *testing.T) {
	b := newBrick(t, answers)
	h := newHost(t, b)
	want(t, h.dial(), strings.Replace(read("bad"), "plain", "capped", 1), 200, "answer 0")
	c := h.dial()
	for i := 1; i < 20; i++ {
		want(t, c, read(fmt.Sprint("a", i)), 200, fmt.Sprint("answer ", i))
	}
}

// Silent and half-said clients end within the platform's bound; though they use up all connections, others are served.
func TestSilentClients(t *testing.T) {
	b := newBrick(t, answers)
	h := newHost(t, b)
	var silent []net.Conn
	for i := range 60 {
		c := h.dial()
		if i%2 == 0 {
			say(c, "GET /read/000")
		}
		silent = append(silent, c)
	}
	want(t, h.dial(), read("good"), 200, "answer 0")
	began := time.Now()
	for _, c := range silent {
		if s, _ := hear(c); s != 0 && s != 408 {
			t.Errorf("%d", s)
		}
	}
	if d := time.Since(began); d > 3*time.Second {
		t.Errorf("the last of them ended after %v", d)
	}
}

// A client that has just connected is not the one that makes room, while others have had their answer and stay.
func TestJustConnected(t *testing.T) {
	b := newBrick(t, answers)
	h := newHost(t, b)
	for i := range 21 {
		want(t, h.dial(), read(fmt.Sprint("a", i)), 200, fmt.Sprint("answer ", i))
	}
	just := h.dial()
	want(t, h.dial(), read("b"), 200, "answer 21")
	want(t, h.dial(), read("c"), 200, "answer 22")
	want(t, just, read("d"), 200, "answer 23")
}

// A client that goes away while its command waits is noticed: its dispatch is called off.
func TestClientGone(t *testing.T) {
	b := newBrick(t, func(c net.Conn, n int) bool { _, err := c.Read(make([]byte, 1)); return err == nil })
	h := newHost(t, b)
	c := h.dial()
	say(c, read("a1"))
	<-b.seen
	c.Close()
	h.how(policy.Canceled)
}

// What comes back from a brick, and how the dispatch ended. Nothing but the whole answer to it reaches a client.
func TestOutcomes(t *testing.T) {
	for name, x := range map[string]struct {
		text   string
		end    func(net.Conn) bool // after the text
		how    policy.Outcome
		status int
	}{
		"error":                 {"HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n", nil, policy.ErrorResponse, 504},
		"turned away":           {"HTTP/1.1 503 X\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n", nil, policy.Rejected, 503},
		"unmarked":              {"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n", nil, policy.ErrorResponse, 504},
		"interim before":        {"HTTP/1.1 102 X\r\n\r\n" + good("y"), nil, policy.Served, 200},
		"unreadable figures":    {"HTTP/1.1 200 X\r\nOther-Hosts: NaN\r\nX-Pressure: ,=,\r\nContent-Length: 0\r\n\r\n", nil, policy.Served, 200},
		"noise":                 {"\x00\xff\r\n\r\n", nil, policy.ErrorResponse, 504},
		"endless head":          {"HTTP/1.1 200 OK\r\n" + strings.Repeat("X: y\r\n", 10000), nil, policy.ErrorResponse, 504},
		"said to be huge":       {"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nxxxx", nil, policy.ErrorResponse, 504},
		"no length, reset":      {"HTTP/1.1 200 OK\r\n\r\nxx", reset, policy.ConnectionReset, 504},
		"no length, ended":      {"HTTP/1.1 200 OK\r\n\r\n", func(net.Conn) bool { return false }, policy.Served, 200},
		"both lengths":          {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\nxx", nil, policy.ErrorResponse, 504},
		"cut":                   {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nxx", func(net.Conn) bool { return false }, policy.ConnectionReset, 504},
		"reset after all bytes": {"", reset, policy.ConnectionReset, 504},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBrick(t, func(c net.Conn, n int) bool { say(c, x.text); return x.end == nil || x.end(c) })
			h := newHost(t, b)
			s, _ := ask(h.dial(), write("a1", "x"))
			if s != x.status {
				t.Errorf("%d, wanted %d", s, x.status)
			}
			h.how(x.how)
		})
	}
}

// Answers far longer than the platform's page says pass whole, and what is set aside for them is given back: also where
// the client leaves as its answer comes.
func TestLargeAnswers(t *testing.T) {
	body := strings.Repeat("0123456789", 40000)
	b := newBrick(t, func(c net.Conn, n int) bool { return say(c, good(body)) })
	h := newHost(t, b)
	c := h.dial()
	for i := range 60 {
		want(t, c, read(fmt.Sprint("a", i)), 200, body)
		if i%2 == 0 {
			gone := h.dial()
			say(gone, read(fmt.Sprint("b", i)))
			<-b.seen
			gone.Close()
		}
	}
}

// Bytes after an answer: the answer stands, and what comes next goes on a new connection.
func TestBytesAfterAnAnswer(t *testing.T) {
	b := newBrick(t, func(c net.Conn, n int) bool { return say(c, good(fmt.Sprint("answer ", n))+good("a second copy")) })
	h := newHost(t, b)
	c := h.dial()
	for i := range 5 {
		want(t, c, read(fmt.Sprint("a", i)), 200, fmt.Sprint("answer ", i))
	}
}

// A kept connection that the brick closes before a dispatch is written is found out: the dispatch goes, once, on a new one.
func TestKeptConnectionClosed(t *testing.T) {
	closed := make(chan bool, 100)
	b := newBrick(t, func(c net.Conn, n int) bool { answers(c, n); c.Close(); closed <- true; return false })
	h := newHost(t, b)
	c := h.dial()
	for i := range 20 {
		want(t, c, write(fmt.Sprint("a", i), "x"), 200, fmt.Sprint("answer ", i))
		h.how(policy.Served)
		<-closed
	}
}

// A brick that refuses connections was never reached: a non-retryable command is busy-replied. One whose connection
// breaks under the write of a body too large for the buffers between was not given the last byte either.
func TestNeverWritten(t *testing.T) {
	b := newBrick(t, answers)
	h := newHost(t, b)
	b.l.Close()
	if s, _ := ask(h.dial(), write("a1", "x")); s != 503 {
		t.Errorf("%d, wanted 503", s)
	}
	h.how(policy.ConnectFailed)
}

// A connection that comes up and stays silent: the command is answered in time, its dispatch may run yet.
func TestSilentBrick(t *testing.T) {
	b := newBrick(t, func(c net.Conn, n int) bool { _, err := c.Read(make([]byte, 1)); return err == nil })
	h := newHost(t, b)
	began := time.Now()
	if s, _ := ask(h.dial(), write("a1", "x")); s != 504 || time.Since(began) > 1050*ms {
		t.Errorf("%d after %v, wanted 504 within its time", s, time.Since(began))
	}
}

// An answer that comes after the dispatch was called off goes nowhere: its connection is closed, and the next command
// of the same client gets its own answer.
func TestAnswerAfterCalledOff(t *testing.T) {
	late := make(chan bool)
	b := newBrick(t, func(c net.Conn, n int) bool {
		if n == 0 {
			<-late
			return say(c, good("too late"))
		}
		return answers(c, n)
	})
	h := newHost(t, b)
	c := h.dial()
	say(c, read("a1"))
	<-b.seen
	c.Close()
	h.how(policy.Canceled)
	close(late)
	want(t, h.dial(), read("a2"), 200, "answer 1")
}

// A drain told while a dispatch is out: nothing new goes there; the list's changes count at once.
func TestDrainTold(t *testing.T) {
	hold := make(chan bool)
	b := newBrick(t, func(c net.Conn, n int) bool {
		if n == 0 {
			<-hold
		}
		return answers(c, n)
	})
	h := newHost(t, b)
	c := h.dial()
	say(c, read("a1"))
	<-b.seen
	if asked := <-h.agent.asked; asked != "/api/targets?watch=1&after=7" {
		t.Error(asked)
	}
	h.agent.tell(8, false, b.line("b0", 0, "terminating"))
	other, began := h.dial(), time.Now()
	for i := 0; ; i++ { // served until the list has passed through the loop
		if s, _ := ask(other, read(fmt.Sprint("b", i))); s == 503 {
			break
		}
		if <-b.seen; time.Since(began) > 3*time.Second {
			t.Error("the drain does not count")
			break
		}
	}
	close(hold)
	if s, body := hear(c); s != 200 || body != "answer 0" {
		t.Errorf("%d %q", s, body)
	}
	b.nothing(t)
}

// A reload under load while the new address is still down: the old list holds until the new agent speaks.
func TestReload(t *testing.T) {
	a, b := newBrick(t, answers), newBrick(t, answers)
	h := newHost(t, a)
	<-h.agent.asked
	spare := listen(t)
	address := spare.Addr().String()
	spare.Close()
	next := *h.config
	next.Discovery = address
	h.reloads <- &next
	c := h.dial()
	want(t, c, read("a1"), 200, "answer 0")
	l, err := net.Listen("tcp", address)
	if err != nil {
		t.Skip("another program took the port: ", err)
	}
	second := newAgent(t)
	second.l.Close()
	<-second.done
	second.l, second.done = l, make(chan bool)
	go func() {
		defer close(second.done)
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			second.serve(c)
		}
	}()
	if asked := <-second.asked; asked != "/api/targets?watch=1&after=7" {
		t.Error(asked)
	}
	second.tell(9, true, b.line("b1", 0, "in_service"))
	for i := 0; len(b.seen) == 0 && i < 1000; i++ {
		ask(c, read(fmt.Sprint("c", i)))
	}
	if len(b.seen) == 0 {
		t.Error("the new agent's list does not count")
	}
}

// SIGTERM with commands held and idle connections open: kept connections are served on, all that was taken is answered
// before the time at which the platform may kill, and the host ends.
func TestStop(t *testing.T) {
	hold := make(chan bool)
	b := newBrick(t, func(c net.Conn, n int) bool {
		if n == 0 {
			<-hold
		}
		return answers(c, n)
	})
	h := newHost(t, b)
	idle, held := h.dial(), h.dial()
	say(held, read("a1"))
	<-b.seen
	want(t, idle, read("a2"), 200, "answer 1")
	began := time.Now()
	h.stop()
	want(t, idle, read("a3"), 200, "answer 2")
	close(hold)
	if s, body := hear(held); s != 200 || body != "answer 0" {
		t.Errorf("%d %q", s, body)
	}
	if err := <-h.done; err != nil || time.Since(began) > 1700*ms {
		t.Errorf("%v after %v", err, time.Since(began))
	}
	if _, err := idle.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("the idle connection: %v", err)
	}
	h.done <- nil
}

// A file that can't be read is told with its field.
func TestConfiguration(t *testing.T) {
	file := t.TempDir() + "/c.json"
	if err := os.WriteFile(file, []byte(`{"listen":"127.0.0.1:x","discovery":"127.0.0.1:1"}`), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := config.Load(file); err == nil || !strings.Contains(err.Error(), "listen") {
		t.Error(err)
	}
	c := Command{Config: file + "none"}
	if err := c.Execute(nil); err == nil {
		t.Error("a host without a configuration started")
	}
}
