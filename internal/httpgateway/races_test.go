package httpgateway

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"weirhaven/internal/http1"
	"weirhaven/internal/httpgateway/config"
	"weirhaven/policy"
)

// gate holds connections to bricks back until the test lets them come up.
type gate struct {
	asked chan bool
	let   chan bool
}

func (g *gate) dial(ctx context.Context, address string) (net.Conn, error) {
	g.asked <- true
	select {
	case <-g.let:
		return new(net.Dialer).DialContext(ctx, "tcp", address)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func gated(t *testing.T, b *brick, cancel bool) (*host, *gate) {
	t.Parallel()
	g := &gate{make(chan bool, 100), make(chan bool, 100)}
	h := aHost(t, b)
	h.toBrick, h.config.Settings.CanCancel = g.dial, cancel
	h.start()
	return h, g
}

// A client that leaves while its command waits for a connection: nothing of it is ever written, whether settings let
// dispatches be called off or not, though the connection comes up later.
func TestGoneWhileConnecting(t *testing.T) {
	for _, cancel := range []bool{true, false} {
		t.Run(fmt.Sprint(cancel), func(t *testing.T) {
			b := newBrick(t, answers)
			h, g := gated(t, b, cancel)
			c := h.dial()
			say(c, read("a1"))
			<-g.asked
			c.Close()
			h.how(policy.NotSent)
			for range 4 {
				g.let <- true
			}
			want(t, h.dial(), read("a2"), 200, "answer 0")
			if s := <-b.seen; !strings.Contains(s, "a2") {
				t.Errorf("%s was sent though its client had left", s)
			}
		})
	}
}

// Where settings forbid calling off, a command that is given up while its dispatch waits for a connection: nothing is sent
// after its final answer.
func TestGivenUpWhileConnecting(t *testing.T) {
	b := newBrick(t, answers)
	h, g := gated(t, b, false)
	c := h.dial()
	say(c, strings.Replace(read("a1"), "Ms: 1000", "Ms: 150", 1))
	<-g.asked
	if s, _ := hear(c); s != 503 {
		t.Errorf("%d, wanted 503", s)
	}
	h.how(policy.NotSent)
	for range 4 {
		g.let <- true
	}
	want(t, c, read("a2"), 200, "answer 0")
	if s := <-b.seen; !strings.Contains(s, "a2") {
		t.Errorf("%s was sent after its final answer", s)
	}
}

// A drain told while a dispatch waits for a connection: it never begins there, though the connection comes up after.
func TestDrainBeforeConnected(t *testing.T) {
	b := newBrick(t, answers)
	h, g := gated(t, b, false)
	c := h.dial()
	say(c, read("a1"))
	<-g.asked
	<-h.agent.asked
	h.agent.tell(8, false, b.line("b0", 0, "terminating"))
	h.how(policy.NotSent)
	for range 4 {
		g.let <- true
	}
	if s, _ := hear(c); s != 503 {
		t.Errorf("%d, wanted 503", s)
	}
	b.nothing(t)
}

// A connection that does not come up does not take its dispatch with it: another is opened beside it. What the dispatch
// tells of the time left is true when it is written.
func TestSlowConnection(t *testing.T) {
	b, heads := oneRequest(t)
	h, g := gated(t, b, true)
	c := h.dial()
	say(c, read("a1"))
	<-g.asked // the first hangs
	<-g.asked // opened beside it
	g.let <- true
	if s, _ := hear(c); s != 200 {
		t.Errorf("%d", s)
	}
	var n int
	if fmt.Sscan((<-heads).Get("X-Remaining-Ms"), &n); n < 500 || n > 950 {
		t.Errorf("%d ms left told, some 62 ms of 1000 were over", n)
	}
}

// A connection rests after an answer, so that a copy of it which comes some milliseconds late is not taken for the next
// one: the brick measures how soon it is used again. Commands that come sooner go on another.
func TestRestAfterAnswer(t *testing.T) {
	var mu sync.Mutex
	last := map[net.Conn]time.Time{}
	again := 0
	b := newBrick(t, func(c net.Conn, n int) bool {
		mu.Lock()
		defer mu.Unlock()
		if at, ok := last[c]; ok {
			if again++; time.Since(at) < 10*ms {
				t.Errorf("used again %v after the answer before", time.Since(at))
			}
		}
		last[c] = time.Now() // before the answer leaves: the host can't have it sooner
		return answers(c, n)
	})
	h := newHost(t, b)
	c := h.dial()
	for i := range 100 {
		want(t, c, read(fmt.Sprint("a", i)), 200, fmt.Sprint("answer ", i))
		time.Sleep(time.Duration(i%3) * 6 * ms)
	}
	if mu.Lock(); again < 50 {
		t.Errorf("%d connections for 100 commands", len(last))
	}
	mu.Unlock()
}

// Many requests at once on a connection: each gets its answer in turn, one at a time, and its time-out counts from when its
// own bytes came.
func TestPipelined(t *testing.T) {
	var out, most atomic.Int64
	b := newBrick(t, func(c net.Conn, n int) bool {
		if now := out.Add(1); now > most.Load() {
			most.Store(now)
		}
		out.Add(-1)
		return answers(c, n)
	})
	h := newHost(t, b)
	c := h.dial()
	var all strings.Builder
	for i := range 40 {
		if i%2 == 0 {
			all.WriteString(read(fmt.Sprint("a", i)))
		} else {
			all.WriteString(write(fmt.Sprint("a", i), strings.Repeat("x", i)))
		}
	}
	text := all.String()
	say(c, text[:len(text)/2-7]) // a break in the middle of one
	go say(c, text[len(text)/2-7:])
	in := http1.NewReader(c)
	for i := range 40 {
		if in.Await() != nil {
			t.Fatal("the connection ended")
		}
		a, err := in.Answer()
		if err != nil {
			t.Fatal(err)
		}
		if body, _ := in.Body(a, 100); a.Status != 200 || string(body) != fmt.Sprint("answer ", i) {
			t.Errorf("%d: %d %q", i, a.Status, body)
		}
		if s := <-b.seen; !strings.Contains(s, fmt.Sprint(" a", i, " ")) {
			t.Errorf("%s, wanted a%d", s, i)
		}
	}
	if most.Load() > 1 {
		t.Errorf("%d at a time", most.Load())
	}
}

// Behind a request that says Connection: close nothing is taken; a length that was wrong still ends the connection, also
// where the bytes beyond come while the command waits; a client that leaves behind what it sent is noticed.
func TestPipelinedEnds(t *testing.T) {
	b := newBrick(t, answers)
	h := newHost(t, b)
	want(t, h.dial(), read("a1", "Connection: close\r\n")+read("a2"), 200, "answer 0")
	<-b.seen
	want(t, h.dial(), write("a3", "abc")+"abc", 400, "")
	want(t, h.dial(), write("a4", "")+"\x00\x01", 400, "")
	want(t, h.dial(), read("a5"), 200, "answer 1")
	if s := <-b.seen; !strings.Contains(s, "a5") {
		t.Errorf("%s was taken", s)
	}
	hold := make(chan bool)
	slow := newBrick(t, func(c net.Conn, n int) bool {
		if n < 2 {
			<-hold
		}
		return answers(c, n)
	})
	defer close(hold)
	other := aHost(t, slow)
	other.start()
	c := other.dial()
	say(c, write("b1", "abc"))
	<-slow.seen
	say(c, "beyond")
	if s, _ := hear(c); s != 400 {
		t.Errorf("%d, wanted 400", s)
	}
	other.how(policy.Canceled)
	c = other.dial()
	say(c, read("b2"))
	<-slow.seen
	for i := range 4000 { // far more than is kept
		say(c, read(fmt.Sprint("c", i)))
	}
	c.Close()
	other.how(policy.Canceled)
	want(t, other.dial(), read("b3"), 200, "answer 2")
	if s := <-slow.seen; !strings.Contains(s, "b3") {
		t.Errorf("%s was sent though its client had left", s)
	}
}

// More is sent at once than may be kept: what was kept is served, the first that was not is refused, and with that answer the
// connection ends in good order.
func TestPipelinedTooMuch(t *testing.T) {
	hold := make(chan bool)
	b := newBrick(t, func(c net.Conn, n int) bool { <-hold; return answers(c, n) })
	h := newHost(t, b)
	c := h.dial()
	text, n := strings.Repeat("x", 50000), 12
	for i := range n {
		say(c, write(fmt.Sprint("a", i), text))
	}
	<-b.seen
	close(hold)
	in, got, refused := http1.NewReader(c), 0, 0
	for ; in.Await() == nil; got++ {
		a, err := in.Answer()
		if err != nil {
			t.Fatal(err)
		}
		if a.Status == 503 && a.Close && refused == 0 {
			refused++
			continue
		}
		if body, _ := in.Body(a, 100); string(body) != fmt.Sprint("answer ", got) {
			t.Errorf("%d: %d %q", got, a.Status, body)
		}
	}
	if _, err := c.Read(make([]byte, 1)); err != io.EOF || got < 3 || got == n || refused != 1 {
		t.Errorf("%v after %d answers, %d of them refusals", err, got, refused)
	}
}

// Time-outs of pipelined requests: the second came with the first and has no time left once that is answered.
func TestPipelinedTimeout(t *testing.T) {
	b := newBrick(t, func(c net.Conn, n int) bool { time.Sleep(300 * ms); return answers(c, n) })
	h := newHost(t, b)
	c := h.dial()
	say(c, read("a1")+strings.Replace(read("a2"), "Ms: 1000", "Ms: 200", 1))
	in := http1.NewReader(c)
	var got []int
	for range 2 {
		if in.Await() != nil {
			break
		}
		a, err := in.Answer()
		if err != nil {
			break
		}
		in.Body(a, 100)
		got = append(got, a.Status)
	}
	if !slices.Equal(got, []int{200, 503}) || len(b.seen) != 1 {
		t.Errorf("%v, %d sent", got, len(b.seen))
	}
}

// At the end an idle connection is half-closed: a request that crosses the end is neither taken nor answered by a reset.
func TestRequestAtTheEnd(t *testing.T) {
	t.Parallel()
	for range 5 {
		b := newBrick(t, answers)
		h := aHost(t, b)
		h.start()
		c := h.dial()
		want(t, c, read("a1"), 200, "answer 0")
		<-b.seen
		began := time.Now()
		h.stop()
		if _, err := c.Read(make([]byte, 1)); err != io.EOF {
			t.Fatal(err)
		}
		say(c, read("a2"))
		_, err := c.Write([]byte("x")) // fails where the first was answered by a reset
		if time.Since(began) > 1400*ms {
			continue // the machine was busy: the host may be past its end
		}
		if err != nil {
			t.Errorf("%v, wanted an end in good order", err)
		}
		if _, err := c.Read(make([]byte, 1)); err != io.EOF {
			t.Error(err)
		}
		b.nothing(t)
		return
	}
	t.Error("the machine was too busy to tell, five times")
}

// Discovery moves while the host is stopping: it serves on for a while, so drains at the new address count.
func TestReloadWhileStopping(t *testing.T) {
	h := newHost(t, newBrick(t, answers))
	second := newAgent(t)
	<-h.agent.asked
	h.stop()
	next := *h.config
	next.Discovery = second.l.Addr().String()
	select {
	case h.reloads <- &next:
	case <-time.After(5 * time.Second):
		t.Fatal("nobody takes the reload")
	}
	select {
	case <-second.asked:
	case <-time.After(5 * time.Second):
		t.Fatal("the new agent is not asked")
	}
}

// fewest is a configuration of what must stand in one, and no more.
const fewest = `{"name":"n","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"1","limits":{"cores":1,"memory_mb":16,"sockets":64},
"settings":{"limits":{"max_attempts":1,"conn_idle_us":1000000,"connect_timeout_us":200000},
"classes":[{"name":"read","aim_us":400000,"give_up_us":1000000,"semantics":"once"}],"plans":[{"name":"plain"}]}}`

// Settings that lack all that another customer's have, and the least descriptors, all taken by idle clients while the agent
// refuses connections: the host is ready and serves, and hears the list once the agent is there.
func TestFewest(t *testing.T) {
	t.Parallel()
	b, second := newBrick(t, answers), newBrick(t, answers)
	h := aHost(t, b)
	c, err := config.Parse([]byte(fewest))
	if err != nil {
		t.Fatal(err)
	}
	c.Listen, c.KnownEndpoints, c.Discovery = h.config.Listen, h.config.KnownEndpoints, h.config.Discovery
	h.config = c
	h.agent.close()
	h.start()
	for range 60 {
		h.dial()
	}
	want(t, h.dial(), read("a1"), 200, "answer 0")
	l, err := net.Listen("tcp", c.Discovery)
	if err != nil {
		t.Skip("another program took the port: ", err)
	}
	defer l.Close()
	agent, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer agent.Close()
	list := fmt.Sprintf(`{"revision":9,"complete":true,"members":[%s]}`, second.line("b1", 0, "in_service"))
	say(agent, fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(list), list))
	for i, began := 0, time.Now(); len(second.seen) == 0; i++ {
		if ask(h.dial(), read(fmt.Sprint("c", i))); time.Since(began) > 5*time.Second {
			t.Fatal("the list is not heard")
		}
	}
}

// A configuration that is read while it is being written is read again.
func TestHalfWritten(t *testing.T) {
	file := t.TempDir() + "/c.json"
	os.WriteFile(file, []byte(`{"listen":`), 0o600)
	done := make(chan error, 1)
	var c *config.Config
	go func() {
		var err error
		c, err = loadWithRetry(file)
		done <- err
	}()
	os.WriteFile(file+"2", []byte(fewest), 0o600)
	os.Rename(file+"2", file)
	if err := <-done; err != nil || c.Name != "n" {
		t.Error(err)
	}
}
