// Package agent is a fake of the platform's discovery: one list of servers, and for each gateway process a local agent that
// streams the list to it over a watch. On demand, agents fall silent, reset or reject watches and answer late.
package agent

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"weirhaven/internal/http1"
)

// Phases of a server.
const (
	InService   = "in_service"
	Terminating = "terminating"
	Terminated  = "terminated"
)

// Server is one server's entry in the list.
type Server struct {
	ID       string  `json:"id"`
	Address  string  `json:"host_port"`
	Zone     string  `json:"locality"`
	Shard    int     `json:"cell"`
	Phase    string  `json:"phase"`
	Size     float64 `json:"size"`
	UpSince  int64   `json:"up_since_ms"`
	revision int64   // revision of the list in which the entry last changed
}

// List is the complete list, or the entries that changed, in the wire format.
type List struct {
	Revision int64    `json:"revision"`
	Complete bool     `json:"complete"`
	Members  []Server `json:"members"`
}

// Discovery holds the list that all agents send. Its methods may be called from any goroutine.
type Discovery struct {
	mu       sync.Mutex
	servers  map[string]Server
	revision int64
	down     bool
	agents   []*Agent
}

// New returns a Discovery without servers.
func New() *Discovery { return &Discovery{servers: map[string]Server{}} }

// Set sets a server's entry and wakes the agents' watches.
func (d *Discovery) Set(s Server) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.revision++
	s.revision = d.revision
	d.servers[s.ID] = s
	d.wake()
}

// Down takes discovery down or brings it back. While it is down, the agents send nothing.
func (d *Discovery) Down(down bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.down = down
	d.wake()
}

// Whole returns the complete current list.
func (d *Discovery) Whole() List {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.changesSince(0)
}

// wake wakes the watches of all agents. The caller holds mu.
func (d *Discovery) wake() {
	for _, a := range d.agents {
		a.wake()
	}
}

// changesSince returns the entries that changed after a revision; for revision 0, the complete list. The caller holds mu.
func (d *Discovery) changesSince(revision int64) List {
	list := List{Revision: d.revision, Complete: revision == 0, Members: []Server{}}
	for _, s := range d.servers {
		if s.revision > revision && (!list.Complete || s.Phase != Terminated) {
			list.Members = append(list.Members, s)
		}
	}
	return list
}

// Agent serves one gateway process. Its methods may be called from any goroutine.
type Agent struct {
	discovery *Discovery
	listener  net.Listener
	onWritten func(Server) // called for each entry written to the process
	wg        sync.WaitGroup

	mu      sync.Mutex
	closed  bool
	watches map[*watch]bool
	delay   time.Duration // delay before the response to a new watch begins
	refuse  bool          // new watches get an error
}

// watch is one open watch request.
type watch struct {
	conn   net.Conn
	silent bool          // no more data is sent on it
	wake   chan struct{} // has a buffer of one
}

// Listen starts an agent. onWritten is called for each entry after it is written to the process.
func (d *Discovery) Listen(onWritten func(Server)) (*Agent, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("fake discovery agent: %w", err)
	}
	a := &Agent{discovery: d, listener: listener, onWritten: onWritten, watches: map[*watch]bool{}}
	d.mu.Lock()
	d.agents = append(d.agents, a)
	d.mu.Unlock()
	a.wg.Add(1)
	go func() {
		defer a.wg.Done()
		a.accept()
	}()
	return a, nil
}

// Address returns the address on which the process reaches the agent.
func (a *Agent) Address() string { return a.listener.Addr().String() }

// Silence makes the open watches silent for good; new ones work.
func (a *Agent) Silence() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for w := range a.watches {
		w.silent = true
	}
}

// Reset resets the open watches.
func (a *Agent) Reset() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for w := range a.watches {
		if tcp, ok := w.conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = w.conn.Close()
	}
}

// Slow sets the delay before the response to each new watch.
func (a *Agent) Slow(delay time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.delay = delay
}

// Refuse sets whether new watches are answered with an error.
func (a *Agent) Refuse(refuse bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.refuse = refuse
}

// Close resets the open watches, closes the agent and waits for its goroutines.
func (a *Agent) Close() {
	a.mu.Lock()
	a.closed = true
	a.mu.Unlock()
	_ = a.listener.Close()
	a.Reset()
	a.wake()
	a.wg.Wait()
}

// wake lets all watches look for changes.
func (a *Agent) wake() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for w := range a.watches {
		select {
		case w.wake <- struct{}{}:
		default:
		}
	}
}

// accept serves connections until the agent is closed.
func (a *Agent) accept() {
	for {
		conn, err := a.listener.Accept()
		if err != nil {
			return
		}
		a.wg.Add(1)
		go func() {
			defer a.wg.Done()
			defer func() { _ = conn.Close() }()
			a.serve(conn)
		}()
	}
}

// serve reads one watch request and answers it until the connection ends.
func (a *Agent) serve(conn net.Conn) {
	reader := http1.NewReader(conn)
	if reader.Await() != nil {
		return
	}
	head, err := reader.Request()
	if err != nil {
		return
	}
	_, after, _ := strings.Cut(head.Target, "after=")
	revision, _ := strconv.ParseInt(after, 10, 64)
	w := &watch{conn: conn, wake: make(chan struct{}, 1)}
	a.mu.Lock()
	delay, refuse, closed := a.delay, a.refuse, a.closed
	if !closed {
		a.watches[w] = true
	}
	a.mu.Unlock()
	if closed {
		return
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = reader.Await()
	}()
	defer func() {
		a.mu.Lock()
		delete(a.watches, w)
		a.mu.Unlock()
		_ = conn.Close()
		<-ended
	}()
	if refuse {
		_, _ = io.WriteString(conn, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
		return
	}
	select {
	case <-time.After(delay):
	case <-ended:
		return
	}
	a.stream(w, revision, ended)
}

// heartbeatInterval is the time between two empty lines, which are sent while nothing changes.
const heartbeatInterval = 2 * time.Second

// stream writes the list and its changes to a watch until ended is closed. The response begins once there is something to send.
func (a *Agent) stream(w *watch, revision int64, ended chan struct{}) {
	tick := time.NewTicker(heartbeatInterval)
	defer tick.Stop()
	responseStarted := false
	for heartbeatDue := true; ; {
		list, paused := a.pending(w, revision)
		switch {
		case paused:
		case !responseStarted:
			responseStarted = true
			_, _ = io.WriteString(w.conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
			fallthrough
		default:
			if len(list.Members) > 0 {
				a.writeList(w, list)
				revision = list.Revision
			} else if heartbeatDue {
				_ = writeChunk(w.conn, "\n")
			}
		}
		heartbeatDue = false
		select {
		case <-ended:
			return
		case <-w.wake:
		case <-tick.C:
			heartbeatDue = true
		}
	}
}

// pending returns the changes to send on a watch. paused reports that nothing may be sent now.
func (a *Agent) pending(w *watch, revision int64) (list List, paused bool) {
	a.discovery.mu.Lock()
	defer a.discovery.mu.Unlock()
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.discovery.down || w.silent || a.closed {
		return List{}, true
	}
	return a.discovery.changesSince(revision), false
}

// writeList writes a list to a watch and reports each entry to onWritten, unless the write fails.
func (a *Agent) writeList(w *watch, list List) {
	text, err := json.Marshal(list)
	if err != nil {
		return
	}
	if writeChunk(w.conn, string(text)+"\n") != nil {
		return
	}
	for _, s := range list.Members {
		a.onWritten(s)
	}
}

// writeChunk writes text as one chunk of the chunked encoding.
func writeChunk(w io.Writer, text string) error {
	_, err := fmt.Fprintf(w, "%x\r\n%s\r\n", len(text), text)
	return err
}
