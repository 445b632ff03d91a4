package discovery

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

	"weirhaven/internal/http1"
	"weirhaven/internal/httpgateway/config"
)

// agent hands each watch that comes to the test.
type agent struct {
	t     *testing.T
	l     net.Listener
	came  chan net.Conn
	after chan string
	wg    sync.WaitGroup
}

func newAgent(t *testing.T) *agent {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	a := &agent{t: t, l: l, came: make(chan net.Conn, 100), after: make(chan string, 100)}
	a.wg.Add(1)
	go func() {
		defer a.wg.Done()
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
				a.after <- after
				a.came <- c
			}
		}
	}()
	t.Cleanup(func() { l.Close(); a.wg.Wait() })
	return a
}

func (a *agent) next(after string) net.Conn {
	a.t.Helper()
	select {
	case c := <-a.came:
		if got := <-a.after; got != after {
			a.t.Errorf("asked for what came after %s, wanted %s", got, after)
		}
		a.t.Cleanup(func() { c.Close() })
		return c
	case <-time.After(5 * time.Second):
		a.t.Fatal("nobody asks")
		return nil
	}
}

func begin(c net.Conn, pieces ...string) {
	io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
	for _, p := range pieces {
		chunk(c, p)
	}
}

func chunk(c net.Conn, s string) { fmt.Fprintf(c, "%x\r\n%s\r\n", len(s), s) }

func list(revision int) string {
	return fmt.Sprintf(`{"revision":%d,"complete":false,"members":[]}`, revision)
}

func watching(t *testing.T, a *agent) (*Watch, chan config.List) {
	t.Parallel()
	told := make(chan config.List, 100)
	w := New(Options{Address: a.l.Addr().String(), Revision: 7, Log: slog.New(slog.DiscardHandler), OnList: func(l config.List, _ time.Duration) { told <- l }})
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan bool)
	go func() { w.Run(ctx); close(done) }()
	t.Cleanup(func() { stop(); <-done })
	return w, told
}

func hears(t *testing.T, told chan config.List, revision int64) {
	t.Helper()
	select {
	case l := <-told:
		if l.Revision != revision {
			t.Errorf("list %d, wanted %d", l.Revision, revision)
		}
	case <-time.After(6 * time.Second):
		t.Fatalf("list %d is not heard", revision)
	}
}

// silentAgent has told one list and then nothing.
func silentAgent(t *testing.T) (*agent, chan config.List, net.Conn) {
	a := newAgent(t)
	_, told := watching(t, a)
	first := a.next("7")
	begin(first, list(8))
	hears(t, told, 8)
	return a, told, first
}

// A list may be spread over lines and pieces, empty lines within; one that the end cut is dropped and asked for again.
func TestIndented(t *testing.T) {
	a := newAgent(t)
	_, told := watching(t, a)
	c := a.next("7")
	begin(c, "\n", "{\n  \"revision\": 8,\n\n", "  \"complete\": fal", "se,\n  \"members\": [\n  ]\n}", "\n\n", list(9)+"\n"+list(10)+list(11)[:20])
	for r := range int64(3) {
		hears(t, told, 8+r)
	}
	c.Close()
	begin(a.next("10"), list(11))
	hears(t, told, 11)
	if len(told) > 0 {
		t.Error("half a list was told")
	}
}

// The agent falls silent on the open watch, and stays mute on the next: what a later one hears counts within 6 s of the
// first silence. The older ones stay open until another speaks.
func TestSilent(t *testing.T) {
	a, told, first := silentAgent(t)
	silent := time.Now()
	mute := a.next("8")
	third := a.next("8")
	begin(third, list(9))
	hears(t, told, 9)
	if d := time.Since(silent); d > 5*time.Second {
		t.Errorf("heard %v after the agent fell silent", d)
	}
	for _, c := range []net.Conn{first, mute} {
		c.SetReadDeadline(time.Now().Add(5 * time.Second))
		if _, err := c.Read(make([]byte, 1)); err == nil || err.Error() == "i/o timeout" {
			t.Error("a try that has lost stays open")
		}
	}
}

// The watch that fell silent speaks again before the new one does: it is heard, and the new one's word does not count.
func TestSpeaksAgain(t *testing.T) {
	a, told, first := silentAgent(t)
	second := a.next("8")
	chunk(first, list(9))
	hears(t, told, 9)
	begin(second, list(8))
	chunk(first, list(10))
	hears(t, told, 10)
}

// After a move the old agent's word does not count, and the new one is asked for what came since.
func TestMove(t *testing.T) {
	a, b := newAgent(t), newAgent(t)
	w, told := watching(t, a)
	old := a.next("7")
	begin(old, list(8))
	hears(t, told, 8)
	w.SetAddress(b.l.Addr().String())
	w.SetAddress(b.l.Addr().String())
	c := b.next("8")
	chunk(old, list(20))
	begin(c, list(9))
	hears(t, told, 9)
	if len(b.came) > 0 {
		t.Error("the same address again began another watch")
	}
}

// Refused again and again: it goes on asking, and what the agent then has is heard at once.
func TestRefused(t *testing.T) {
	a := newAgent(t)
	address := a.l.Addr().String()
	a.l.Close()
	a.wg.Wait()
	_, told := watching(t, a)
	time.Sleep(600 * time.Millisecond) // some tries fail
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
	begin(c, list(8))
	hears(t, told, 8)
	if d := time.Since(began); d > time.Second {
		t.Errorf("heard after %v", d)
	}
}

// An agent that takes longer to answer than the watch waits between two tries is heard all the same.
func TestSlowAgent(t *testing.T) {
	a := newAgent(t)
	_, told := watching(t, a)
	done := make(chan bool)
	t.Cleanup(func() { <-done })
	go func() {
		defer close(done)
		for range 3 {
			select {
			case c := <-a.came:
				time.AfterFunc(3500*time.Millisecond, func() { begin(c, list(8)) })
			case <-time.After(5 * time.Second):
				return
			}
		}
	}()
	hears(t, told, 8)
}

// One entry that can't be read does not keep the others of its list from being told.
func TestUnreadableEntry(t *testing.T) {
	a := newAgent(t)
	_, told := watching(t, a)
	begin(a.next("7"), `{"revision":8,"complete":false,"members":[{"id":"odd","host_port":"127.0.0.1:1","cell":0,"phase":"resting"},
		{"host_port":"127.0.0.1:2","cell":0,"phase":"in_service"},{"id":"s","host_port":"127.0.0.1:3","cell":0,"phase":"terminating"}]}`)
	select {
	case l := <-told:
		if len(l.Entries) != 2 || l.Entries[0].Name != "odd" || l.Entries[0].Serving || l.Entries[1].Name != "s" || l.Entries[1].Serving {
			t.Errorf("%+v", l.Entries)
		}
	case <-time.After(3 * time.Second):
		t.Error("the list is not told")
	}
}
