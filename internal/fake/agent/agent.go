// Package agent is a stand-in for the platform's discovery: one list of servers, and for each gateway process an agent on its
// machine that tells it over a watch. Agents fall silent, are cut off, refuse and answer slowly.
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

// Server is one entry of the list.
type Server struct {
	ID       string  `json:"id"`
	Address  string  `json:"host_port"`
	Zone     string  `json:"locality"`
	Shard    int     `json:"cell"`
	Phase    string  `json:"phase"`
	Size     float64 `json:"size"`
	UpSince  int64   `json:"up_since_ms"`
	revision int64
}

// List is a list, or what changed in it, as it goes over the wire.
type List struct {
	Revision int64    `json:"revision"`
	Complete bool     `json:"complete"`
	Members  []Server `json:"members"`
}

// Discovery is the one list that all agents tell.
type Discovery struct {
	mu       sync.Mutex
	servers  map[string]Server
	revision int64
	down     bool
	agents   []*Agent
}

// New returns a Discovery without servers.
func New() *Discovery { return &Discovery{servers: map[string]Server{}} }

// Set changes a server's entry and tells the agents.
func (d *Discovery) Set(s Server) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.revision++
	s.revision = d.revision
	d.servers[s.ID] = s
	d.wake()
}

// Down takes discovery down, or lets it return: meanwhile agents are silent and learn nothing.
func (d *Discovery) Down(down bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.down = down
	d.wake()
}

// Whole is the whole list now.
func (d *Discovery) Whole() List {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.since(0)
}

func (d *Discovery) wake() {
	for _, a := range d.agents {
		a.wake()
	}
}

// since is what changed after a revision. The caller holds mu.
func (d *Discovery) since(revision int64) List {
	l := List{Revision: d.revision, Complete: revision == 0, Members: []Server{}}
	for _, s := range d.servers {
		if s.revision > revision && (!l.Complete || s.Phase != Terminated) {
			l.Members = append(l.Members, s)
		}
	}
	return l
}

// Agent tells one process.
type Agent struct {
	d        *Discovery
	listener net.Listener
	told     func(Server)
	wg       sync.WaitGroup

	mu      sync.Mutex
	closed  bool
	watches map[*watch]bool
	delay   time.Duration // before an answer begins
	refuse  bool
}

type watch struct {
	nc     net.Conn
	silent bool
	wake   chan struct{} // holds one
}

// Listen starts an agent; told hears of each entry as it is written to the process.
func (d *Discovery) Listen(told func(Server)) (*Agent, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("agent: %w", err)
	}
	a := &Agent{d: d, listener: listener, told: told, watches: map[*watch]bool{}}
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

// Address is where its process asks.
func (a *Agent) Address() string { return a.listener.Addr().String() }

// Silence lets the open watches fall silent for good; new ones work.
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
		if tcp, ok := w.nc.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = w.nc.Close()
	}
}

// Slow lets each new watch begin so late.
func (a *Agent) Slow(delay time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.delay = delay
}

// Refuse answers new watches with an error, or no longer.
func (a *Agent) Refuse(refuse bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.refuse = refuse
}

// Close ends the agent.
func (a *Agent) Close() {
	a.mu.Lock()
	a.closed = true
	a.mu.Unlock()
	_ = a.listener.Close()
	a.Reset()
	a.wake()
	a.wg.Wait()
}

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

func (a *Agent) accept() {
	for {
		nc, err := a.listener.Accept()
		if err != nil {
			return
		}
		a.wg.Add(1)
		go func() {
			defer a.wg.Done()
			defer func() { _ = nc.Close() }()
			a.serve(nc)
		}()
	}
}

func (a *Agent) serve(nc net.Conn) {
	reader := http1.NewReader(nc)
	if reader.Await() != nil {
		return
	}
	h, err := reader.Request()
	if err != nil {
		return
	}
	_, after, _ := strings.Cut(h.Target, "after=")
	revision, _ := strconv.ParseInt(after, 10, 64)
	w := &watch{nc: nc, wake: make(chan struct{}, 1)}
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
		_ = nc.Close()
		<-ended
	}()
	if refuse {
		_, _ = io.WriteString(nc, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
		return
	}
	select {
	case <-time.After(delay):
	case <-ended:
		return
	}
	a.tell(w, revision, ended)
}

// heartbeat is how often an empty line says that nothing has changed.
const heartbeat = 2 * time.Second

func (a *Agent) tell(w *watch, revision int64, ended chan struct{}) {
	tick := time.NewTicker(heartbeat)
	defer tick.Stop()
	begun := false
	for due := true; ; {
		l, down := a.next(w, revision)
		switch {
		case down:
		case !begun:
			begun = true
			_, _ = io.WriteString(w.nc, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
			fallthrough
		default:
			if len(l.Members) > 0 {
				a.write(w, l)
				revision = l.Revision
			} else if due {
				_ = chunk(w.nc, "\n")
			}
		}
		due = false
		select {
		case <-ended:
			return
		case <-w.wake:
		case <-tick.C:
			due = true
		}
	}
}

// next is what the watch is to be told; down: nothing may be told now.
func (a *Agent) next(w *watch, revision int64) (l List, down bool) {
	a.d.mu.Lock()
	defer a.d.mu.Unlock()
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.d.down || w.silent || a.closed {
		return List{}, true
	}
	return a.d.since(revision), false
}

func (a *Agent) write(w *watch, l List) {
	text, err := json.Marshal(l)
	if err != nil {
		return
	}
	if chunk(w.nc, string(text)+"\n") != nil {
		return
	}
	for _, s := range l.Members {
		a.told(s)
	}
}

func chunk(w io.Writer, text string) error {
	_, err := fmt.Fprintf(w, "%x\r\n%s\r\n", len(text), text)
	return err
}
