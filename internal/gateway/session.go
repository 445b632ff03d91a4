package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"weirhaven/internal/engine"
	"weirhaven/internal/lineproto"
)

// session is one client connection.
type session struct {
	edge   *Edge
	conn   net.Conn
	sender *lineproto.Sender

	mu    sync.Mutex
	tasks map[uint64]*engine.Request // in flight, by the client's id
}

func newSession(e *Edge, c net.Conn) *session {
	return &session{edge: e, conn: c, sender: lineproto.NewSender(4*e.limits.Body+1<<20, e.limits.Stall),
		tasks: map[uint64]*engine.Request{}}
}

// run reads until the connection ends; what is then in flight has lost its client.
func (s *session) run(ctx context.Context) {
	defer s.conn.Close()
	limits := s.edge.limits
	r := lineproto.NewConnReader(s.conn, limits.Body, limits.Idle, limits.Stall)
	hello, err := lineproto.Greet(s.conn, r, "host", s.edge.conf.Name, limits.Stall, nil)
	s.sender.Start(s.conn)
	if err == nil {
		err = s.read(r)
	}
	s.refuse(0, err)
	s.sender.Finish()
	<-s.sender.Done()
	s.mu.Lock()
	left := s.tasks
	s.tasks = nil
	s.mu.Unlock()
	if !plain(err) {
		s.edge.log.Info("client connection ended", "client", hello.Get("Name"), "in flight", len(left), "err", err)
	}
	for _, t := range left {
		s.edge.loop.PostUrgent(func(c *engine.Core) { c.ClientDisconnected(t) })
	}
}

// plain tells whether a connection ended in a usual way.
func plain(err error) bool {
	var n net.Error
	return err == nil || errors.Is(err, io.EOF) || errors.Is(err, net.ErrClosed) || errors.As(err, &n)
}

func (s *session) read(r *lineproto.Reader) error {
	for {
		m, err := r.Read()
		if err != nil {
			var late net.Error
			if errors.As(err, &late) && late.Timeout() && s.inFlight() > 0 && !errors.Is(err, io.ErrUnexpectedEOF) && !r.Buffered() {
				continue // silent, but waiting for answers
			}
			return err
		}
		switch m.Verb {
		case lineproto.Run:
			if err := s.take(m); err != nil {
				return err
			}
		case lineproto.Cancel:
			s.mu.Lock()
			t := s.tasks[m.ID]
			delete(s.tasks, m.ID)
			s.mu.Unlock()
			if t != nil {
				s.edge.loop.PostUrgent(func(c *engine.Core) { c.ClientDisconnected(t) })
			}
		case lineproto.Fleet, lineproto.Forget, lineproto.Tape:
			s.operate(m)
		default:
			s.refuse(m.ID, fmt.Errorf("unknown verb %s", m.Verb))
		}
	}
}

func (s *session) inFlight() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.tasks)
}

// refuse tells the client of what it did wrong; it had no effect.
func (s *session) refuse(id uint64, err error) {
	if err == nil || id == 0 && plain(err) {
		return
	}
	var o lineproto.Out
	s.sender.Send(o.Start(lineproto.Bad, id).Text("Reason", err.Error()).End(nil).B)
}

// take hands a command to the loop. The connection ends only where its ids can't be told apart any more.
func (s *session) take(m *lineproto.Message) error {
	if m.ID == 0 {
		return errors.New("RUN without an id; give each command on a connection a number of its own, from 1")
	}
	t, err := task(m)
	if err != nil {
		s.refuse(m.ID, err)
		return nil
	}
	s.mu.Lock()
	_, twice := s.tasks[m.ID]
	full := len(s.tasks) >= s.edge.limits.Commands
	if !twice && !full {
		s.tasks[m.ID] = t
	}
	s.mu.Unlock()
	if twice {
		return fmt.Errorf("RUN %d while %d is in flight; its answers could not be told apart", m.ID, m.ID)
	}
	if full {
		s.refuse(m.ID, fmt.Errorf("more than %d commands in flight on one connection", s.edge.limits.Commands))
		return nil
	}
	id := m.ID
	t.Respond = func(a engine.Response) { s.answer(id, t, a) }
	t.ResponseStarted = func() {
		var o lineproto.Out
		s.sender.Send(o.Start(lineproto.Begun, id).End(nil).B)
	}
	// What is not taken is busy-replied at once: it never reached the module, so trying again is harmless.
	if s.edge.stopping.Load() || !s.edge.loop.TryPost(func(c *engine.Core) { c.Submit(t) }) {
		t.Respond(engine.Response{Result: engine.Rejected})
	}
	return nil
}

func task(m *lineproto.Message) (*engine.Request, error) {
	t := &engine.Request{Volume: m.Get("Volume"), Class: m.Get("Queue-Type"), Object: m.Get("Object"),
		Tag: m.Get("Tag"), Trace: m.Get("Trace"), Body: m.Body}
	cell, err1 := m.Whole("Cell", -1)
	units, err2 := m.Number("Units", 1)
	timeout, err3 := m.Micros("Timeout", 0)
	repeat, err4 := m.Whole("Repeat", 0)
	if err := errors.Join(err1, err2, err3, err4); err != nil {
		return nil, err
	}
	if t.Volume == "" || t.Class == "" {
		return nil, errors.New("RUN needs the fields Volume and Queue-Type")
	}
	if units <= 0 || cell < -1 || cell > 1<<30 || timeout < 0 {
		return nil, fmt.Errorf("units %v, cell %d, timeout %v: allowed are units above 0, a cell from 0 or -1, no negative time",
			units, cell, timeout)
	}
	t.Shard, t.Units, t.Timeout, t.Retry = int(cell), units, timeout, repeat != 0
	return t, nil
}

var finals = map[engine.Result]string{engine.Served: lineproto.Done, engine.Rejected: lineproto.Busy,
	engine.Failed: lineproto.Abort}

// answer writes a final answer. It runs in the loop, so it never waits: a client that reads nothing is cut off.
func (s *session) answer(id uint64, t *engine.Request, a engine.Response) {
	s.mu.Lock()
	known := s.tasks[id] == t
	if known {
		delete(s.tasks, id)
	}
	s.mu.Unlock()
	if !known { // the client cancelled it, or is gone
		return
	}
	o := lineproto.Out{B: make([]byte, 0, 64+len(a.Body))}
	o.Start(finals[a.Result], id)
	if a.Result == engine.Rejected && a.RetryAfter > 0 {
		o.Micros("Back", max(a.RetryAfter, time.Microsecond))
	}
	if a.Result == engine.Failed {
		may := "no"
		if a.MayHaveRun {
			may = "yes"
		}
		o.Text("May-Have-Run", may).Text("Reason", a.Reason)
	}
	if _, err := s.sender.Send(o.End(a.Body).B); err != nil {
		s.sender.Close()
	}
}
