package main

import (
	"bytes"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"
)

// Case hidden: a client stops for a while in the middle of a write while the answer to another of its commands streams.
const (
	hiddenStop   = 6 * time.Second
	hiddenStream = 9 * time.Second // time that the streamed answer takes
	hiddenWait   = 15 * time.Second
)

// writes are the writes that a brick ran: objects and contents.
type writes struct {
	mu  sync.Mutex
	all map[string][]byte
}

func hidden(s *scene) (breaches []string, err error) {
	ran := &writes{all: map[string][]byte{}}
	address, err := startLineBrick("brick-0", func(conn net.Conn, m *message) { s.serveHidden(conn, m, ran) })
	if err != nil {
		return nil, err
	}
	h, err := s.startEdge([]string{address})
	if err != nil {
		return nil, err
	}
	c, err := dialEdge(h.listen, "yard")
	if err != nil {
		return nil, err
	}
	c.send(run(1, "yard-1", "ledger-stream", "ledger", 0, nil))
	s.record.line("the client sends RUN 1, a streamed read of ledger")
	time.Sleep(200 * time.Millisecond)
	logText := strings.Repeat("engine log 2026-12-05 no fault\n", 40)
	logged := run(9, "yard-2", "order-update", "order/1", 0, []byte("from a trace in the log"))
	content := append([]byte(logText), logged...) // a log that quotes a message
	write := run(2, "yard-1", "order-update", "log/5", 0, content)
	firstPart := write[:len(write)-len(logged)]
	c.send(firstPart)
	s.record.line("the client has sent %d of %d bytes of RUN 2, a write of log/5", len(firstPart), len(write))
	go func() {
		if s.trouble {
			time.Sleep(hiddenStop)
		}
		c.send(logged)
		s.record.line("the client has sent the rest of RUN 2")
	}()
	s.awaitHidden(c)
	ran.mu.Lock()
	defer ran.mu.Unlock()
	for object, got := range ran.all {
		if object != "log/5" || !bytes.Equal(got, content) {
			breaches = append(breaches, fmt.Sprintf("the brick was sent a write of %s with %.40q; the client sent one write, of log/5", object, got))
		}
	}
	return breaches, nil
}

// serveHidden answers a read with a stream and a write at once.
func (s *scene) serveHidden(conn net.Conn, m *message, ran *writes) {
	object := m.fields.Get("Object")
	s.record.line("the brick runs %s of %s, %d bytes", m.fields.Get("Queue-Type"), object, len(m.body))
	if m.fields.Get("Queue-Type") == "ledger-stream" {
		_, _ = conn.Write(encode("BEGUN", m.id, nil)) // errors end the connection, which is noticed at the next read
		time.AfterFunc(hiddenStream, func() { _, _ = conn.Write(encode("DONE", m.id, []byte("the ledger"))) })
		return
	}
	ran.mu.Lock()
	ran.all[object] = m.body
	ran.mu.Unlock()
	_, _ = conn.Write(encode("DONE", m.id, nil))
}

// awaitHidden reads answers until both commands have theirs, the connection ends or hiddenWait is over.
func (s *scene) awaitHidden(c *lineClient) {
	_ = c.conn.SetReadDeadline(time.Now().Add(hiddenWait)) // a broken connection fails the read
	answered := map[uint64]bool{}
	for !answered[1] || !answered[2] {
		m, err := readMessage(c.reader)
		if err != nil {
			s.record.line("the client: %v", err)
			return
		}
		s.record.line("the client gets %s %d %q %s", m.verb, m.id, m.body, m.fields.Get("Reason"))
		answered[m.id] = answered[m.id] || m.verb != "BEGUN"
	}
}
