package httpgateway

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"

	"weirhaven/internal/http1"
)

// testEndpoint is a scripted endpoint. It records the requests that it receives and calls respond for each.
type testEndpoint struct {
	listener net.Listener
	tasks    sync.WaitGroup
	requests chan string                  // method, target, id and body of each request
	respond  func(c net.Conn, n int) bool // responds to request n; false closes the connection
	mu       sync.Mutex
	count    int
	conns    map[net.Conn]bool
}

// newEndpoint starts an endpoint that calls respond for each request with its number, from 0; false closes the connection.
func newEndpoint(t *testing.T, respond func(c net.Conn, n int) bool) *testEndpoint {
	endpoint := &testEndpoint{listener: listen(t), requests: make(chan string, 1000), respond: respond, conns: map[net.Conn]bool{}}
	endpoint.tasks.Add(1)
	go func() {
		defer endpoint.tasks.Done()
		for {
			c, err := endpoint.listener.Accept()
			if err != nil {
				return
			}
			endpoint.mu.Lock()
			endpoint.conns[c] = true
			endpoint.mu.Unlock()
			endpoint.tasks.Add(1)
			go endpoint.serve(c)
		}
	}()
	t.Cleanup(func() {
		endpoint.listener.Close()
		endpoint.mu.Lock()
		for c := range endpoint.conns {
			c.Close()
		}
		endpoint.mu.Unlock()
		endpoint.tasks.Wait()
	})
	return endpoint
}

func (e *testEndpoint) serve(c net.Conn) {
	defer e.tasks.Done()
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
		e.mu.Lock()
		n := e.count
		e.count++
		e.mu.Unlock()
		e.requests <- fmt.Sprintf("%s %s %s %q", h.Method, h.Target, h.Get("X-Txn"), body)
		if !e.respond(c, n) {
			return
		}
	}
}

// oneRequest starts an endpoint that responds to one request and sends its head to the test.
func oneRequest(t *testing.T) (*testEndpoint, chan *http1.Head) {
	b, heads := &testEndpoint{listener: listen(t)}, make(chan *http1.Head, 1)
	t.Cleanup(func() { b.listener.Close(); b.tasks.Wait() })
	b.tasks.Add(1)
	go func() {
		defer b.tasks.Done()
		c, err := b.listener.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		if h, err := http1.NewReader(c).Request(); err == nil {
			heads <- h
			send(c, okResponse(""))
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

// send writes text and reports whether that succeeded.
func send(c net.Conn, s string) bool { _, err := io.WriteString(c, s); return err == nil }

// okResponse returns a response with status 200.
func okResponse(body string) string {
	return string(http1.AppendBody([]byte("HTTP/1.1 200 OK\r\n"), []byte(body)))
}

// respondNumbered responds with "answer" and the number of the request.
func respondNumbered(c net.Conn, n int) bool { return send(c, okResponse(fmt.Sprint("answer ", n))) }

// reset makes the following close of a connection send a reset. It returns false, which closes the connection.
func reset(c net.Conn) bool { c.(*net.TCPConn).SetLinger(0); return false }

// testAgent serves one stream at a time and sends lists on it.
type testAgent struct {
	listener    net.Listener
	lists       chan string
	requests    chan string
	silentStart chan bool // signal, with a buffer of one: the next stream starts without an empty line
	done        chan bool
	closeOnce   sync.Once
}

// newAgent starts an agent that is closed at the end of the test.
func newAgent(t *testing.T) *testAgent {
	a := &testAgent{listener: listen(t), lists: make(chan string, 10), requests: make(chan string, 100), silentStart: make(chan bool, 1), done: make(chan bool)}
	go func() {
		defer close(a.done)
		for {
			c, err := a.listener.Accept()
			if err != nil {
				return
			}
			a.serve(c)
		}
	}()
	t.Cleanup(a.close)
	return a
}

func (a *testAgent) serve(c net.Conn) {
	defer c.Close()
	r := http1.NewReader(c)
	if r.Await() != nil {
		return
	}
	h, err := r.Request()
	if err != nil {
		return
	}
	a.requests <- h.Target
	send(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
	select {
	case <-a.silentStart:
	default:
		send(c, "1\r\n\n\r\n")
	}
	clientClosed := make(chan bool)
	go func() {
		defer close(clientClosed)
		r.Await()
	}()
	for {
		select {
		case l, ok := <-a.lists:
			if !ok {
				c.Close()
				<-clientClosed
				return
			}
			send(c, fmt.Sprintf("%x\r\n%s\n\r\n", len(l)+1, l))
		case <-clientClosed:
			return
		}
	}
}

// close closes the listener and the open stream; a second call has no effect.
func (a *testAgent) close() {
	a.closeOnce.Do(func() {
		a.listener.Close()
		select {
		case <-a.lists:
		default:
		}
		close(a.lists)
		<-a.done
	})
}

// sendList sends a list of entries, each as returned by entryJSON.
func (a *testAgent) sendList(revision int, complete bool, entries ...string) {
	a.lists <- fmt.Sprintf(`{"revision":%d,"complete":%v,"members":[%s]}`, revision, complete, strings.Join(entries, ","))
}

// entryJSON returns the endpoint's entry in a list.
func (e *testEndpoint) entryJSON(name string, shard int, phase string) string {
	return fmt.Sprintf(`{"id":%q,"host_port":%q,"locality":"a","cell":%d,"phase":%q,"up_since_ms":0}`, name, e.listener.Addr(), shard, phase)
}

// wantNoRequest fails the test if the endpoint has received a request that the test has not taken from requests.
func (e *testEndpoint) wantNoRequest(t *testing.T) {
	t.Helper()
	select {
	case s := <-e.requests:
		t.Errorf("%s reached the endpoint", s)
	default:
	}
}
