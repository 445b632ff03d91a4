package discovery

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"weirhaven/internal/http1"
	"weirhaven/internal/httpgateway/config"
)

// fakeAgent passes the connection of each stream to the test, which writes the response.
type fakeAgent struct {
	t         *testing.T
	listener  net.Listener
	conns     chan net.Conn
	revisions chan string
	tasks     sync.WaitGroup
}

func newAgent(t *testing.T) *fakeAgent {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	a := &fakeAgent{t: t, listener: l, conns: make(chan net.Conn, 100), revisions: make(chan string, 100)}
	a.tasks.Add(1)
	go func() {
		defer a.tasks.Done()
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			r := http1.NewReader(c)
			if r.Await() != nil {
				continue
			}
			if h, err := r.Request(); err == nil {
				_, after, _ := strings.Cut(h.Target, "after=")
				a.revisions <- after
				a.conns <- c
			}
		}
	}()
	t.Cleanup(func() { l.Close(); a.tasks.Wait() })
	return a
}

func (a *fakeAgent) nextStream(after string) net.Conn {
	a.t.Helper()
	select {
	case c := <-a.conns:
		if got := <-a.revisions; got != after {
			a.t.Errorf("requested the changes after revision %s, wanted %s", got, after)
		}
		a.t.Cleanup(func() { c.Close() })
		return c
	case <-time.After(5 * time.Second):
		a.t.Fatal("no stream was opened within 5 s")
		return nil
	}
}

func respond(c net.Conn, pieces ...string) {
	io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
	for _, p := range pieces {
		writeChunk(c, p)
	}
}

func writeChunk(c net.Conn, s string) { fmt.Fprintf(c, "%x\r\n%s\r\n", len(s), s) }

func listText(revision int) string {
	return fmt.Sprintf(`{"revision":%d,"complete":false,"members":[]}`, revision)
}

func startWatch(t *testing.T, a *fakeAgent) (*Watch, chan config.List) {
	t.Parallel()
	lists := make(chan config.List, 100)
	w := New(Options{Address: a.listener.Addr().String(), Revision: 7, Log: slog.New(slog.DiscardHandler), OnList: func(l config.List, _ time.Duration) { lists <- l }})
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan bool)
	go func() { w.Run(ctx); close(done) }()
	t.Cleanup(func() { stop(); <-done })
	return w, lists
}

func wantList(t *testing.T, lists chan config.List, revision int64) {
	t.Helper()
	select {
	case l := <-lists:
		if l.Revision != revision {
			t.Errorf("got list revision %d, wanted %d", l.Revision, revision)
		}
	case <-time.After(6 * time.Second):
		t.Fatalf("list revision %d was not delivered within 6 s", revision)
	}
}

// silentAgent starts an agent and a watch. The agent sends the list with revision 8 and then nothing more on its open connection.
func silentAgent(t *testing.T) (*fakeAgent, chan config.List, net.Conn) {
	a := newAgent(t)
	_, lists := startWatch(t, a)
	first := a.nextStream("7")
	respond(first, listText(8))
	wantList(t, lists, 8)
	return a, lists, first
}

// An agent sends a list in several lines and chunks, with empty lines in it, and its connection closes in the middle of a
// later list. The complete lists must be delivered. The incomplete one must be dropped and requested again on the next stream.
func TestListOverSeveralLines(t *testing.T) {
	a := newAgent(t)
	_, lists := startWatch(t, a)
	c := a.nextStream("7")
	respond(c, "\n", "{\n  \"revision\": 8,\n\n", "  \"complete\": fal", "se,\n  \"members\": [\n  ]\n}", "\n\n", listText(9)+"\n"+listText(10)+listText(11)[:20])
	for r := range int64(3) {
		wantList(t, lists, 8+r)
	}
	c.Close()
	respond(a.nextStream("10"), listText(11))
	wantList(t, lists, 11)
	if len(lists) > 0 {
		t.Error("an incomplete list was delivered")
	}
}

// The agent's machine stalls: the open stream falls silent without being closed, and the next one is accepted but gets no data
// either. If the watch waited for the connection to close, it would miss drains while the connection hangs. A list on a third
// stream must be delivered within 6 s after the first stream fell silent, and only then may the older streams be closed.
func TestSilentAgent(t *testing.T) {
	a, lists, first := silentAgent(t)
	silent := time.Now()
	silentStream := a.nextStream("8")
	third := a.nextStream("8")
	respond(third, listText(9))
	wantList(t, lists, 9)
	if d := time.Since(silent); d > 5*time.Second {
		t.Errorf("list delivered %v after the agent fell silent", d)
	}
	for _, c := range []net.Conn{first, silentStream} {
		c.SetReadDeadline(time.Now().Add(5 * time.Second))
		if _, err := c.Read(make([]byte, 1)); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
			t.Error("an older stream stays open after another one delivered")
		}
	}
}

// A stream that had fallen silent delivers before the stream that was opened beside it. The watch must use the older stream and
// drop the data of the other one, which could be an older list.
func TestSilentStreamDeliversAgain(t *testing.T) {
	a, lists, first := silentAgent(t)
	second := a.nextStream("8")
	writeChunk(first, listText(9))
	wantList(t, lists, 9)
	respond(second, listText(8))
	writeChunk(first, listText(10))
	wantList(t, lists, 10)
}

// A reload sets the address of another agent. The watch must drop further data of the old agent and request the changes after
// the last list from the new one. Setting the same address again must not open a second stream.
func TestSetAddress(t *testing.T) {
	a, b := newAgent(t), newAgent(t)
	w, lists := startWatch(t, a)
	old := a.nextStream("7")
	respond(old, listText(8))
	wantList(t, lists, 8)
	w.SetAddress(b.listener.Addr().String())
	w.SetAddress(b.listener.Addr().String())
	c := b.nextStream("8")
	writeChunk(old, listText(20))
	respond(c, listText(9))
	wantList(t, lists, 9)
	if len(b.conns) > 0 {
		t.Error("setting the same address again opened another stream")
	}
}

// The agent is down and its port refuses connections. The watch must retry with a short backoff, so that the list is delivered
// at once when the agent is available again.
func TestAgentRefusesConnections(t *testing.T) {
	a := newAgent(t)
	address := a.listener.Addr().String()
	a.listener.Close()
	a.tasks.Wait()
	_, lists := startWatch(t, a)
	time.Sleep(600 * time.Millisecond) // some streams fail
	l, err := net.Listen("tcp", address)
	if err != nil {
		t.Skip("another program took the port: ", err)
	}
	defer l.Close()
	began := time.Now()
	c, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	respond(c, listText(8))
	wantList(t, lists, 8)
	if d := time.Since(began); d > time.Second {
		t.Errorf("list delivered after %v, wanted 1 s at most", d)
	}
}

// An overloaded agent takes longer to respond than the interval after which the watch opens another stream. If the watch closed
// the older stream then, it would never receive a list from such an agent.
func TestSlowAgent(t *testing.T) {
	a := newAgent(t)
	_, lists := startWatch(t, a)
	done := make(chan bool)
	t.Cleanup(func() { <-done })
	go func() {
		defer close(done)
		for range 3 {
			select {
			case c := <-a.conns:
				time.AfterFunc(3500*time.Millisecond, func() { respond(c, listText(8)) })
			case <-time.After(5 * time.Second):
				return
			}
		}
	}()
	wantList(t, lists, 8)
}

// A list contains an invalid entry. If the whole list were dropped, a drain in another entry would be missed. The entry must be
// marked Unreadable, or omitted if it has no name, and the other entries must be delivered.
func TestUnreadableEntry(t *testing.T) {
	a := newAgent(t)
	_, lists := startWatch(t, a)
	respond(a.nextStream("7"), `{"revision":8,"complete":false,"members":[{"id":"odd","host_port":"127.0.0.1:1","cell":0,"phase":"resting"},
		{"host_port":"127.0.0.1:2","cell":0,"phase":"in_service"},{"id":"s","host_port":"127.0.0.1:3","cell":0,"phase":"terminating"}]}`)
	select {
	case l := <-lists:
		if len(l.Entries) != 2 || l.Entries[0].Name != "odd" || l.Entries[0].Serving || l.Entries[1].Name != "s" || l.Entries[1].Serving {
			t.Errorf("%+v", l.Entries)
		}
	case <-time.After(3 * time.Second):
		t.Error("the list was not delivered within 3 s")
	}
}
