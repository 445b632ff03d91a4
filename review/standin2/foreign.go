package main

import (
	"bytes"
	"fmt"
	"net"
	"sync"
	"time"
)

// Case foreign: the path to one of five bricks falls silent in the middle of a long answer.
const (
	foreignBricks  = 5
	foreignRounds  = 3
	foreignSilence = 6 * time.Second
	foreignBegins  = 120 * time.Millisecond // after the read of the long text was sent: a third of it has come then
	foreignRest    = 8 * time.Second        // between two silences
	foreignText    = "support/trace"
)

// storedTrace is a text of 750 KB that yard-1 has stored: a trace of the line protocol, as somebody keeps it for support. It ends with
// answers of an earlier day.
func storedTrace() []byte {
	var b bytes.Buffer
	for b.Len() < 700<<10 {
		fmt.Fprint(&b, "TRACETRACETRACET\n\n")
	}
	for id := 1; id < 2000; id++ {
		fmt.Fprintf(&b, "DONE %d\nLength: 19\n\nyard-1's old answer", id)
	}
	return b.Bytes()
}

// ownAnswer is what the bricks answer for every other object.
func ownAnswer(object string) []byte { return []byte("content of " + object) }

func foreign(s *scene) (breaches []string, err error) {
	addresses, silenced, err := s.foreignBricks()
	if err != nil {
		return nil, err
	}
	h, err := s.startEdge(addresses)
	if err != nil {
		return nil, err
	}
	one, err := dialEdge(h.listen, "yard-1")
	if err != nil {
		return nil, err
	}
	two, err := dialEdge(h.listen, "yard-2")
	if err != nil {
		return nil, err
	}
	var reader sync.WaitGroup
	reader.Go(func() { breaches = s.checkOwnAnswers(two) })
	stop := make(chan struct{})
	var writer sync.WaitGroup
	writer.Go(func() { s.readOwnObjects(two, stop) })
	for i := range foreignRounds {
		time.Sleep(time.Second)
		s.record.line("yard-1 sends RUN %d, a read of %s", i+1, foreignText)
		one.send(run(uint64(i+1), "yard-1", "part-lookup", foreignText, 0, nil))
		if s.trouble {
			time.Sleep(foreignBegins)
			s.record.line("the path to brick-0 is silent for %v", foreignSilence)
			silenced.silence(foreignSilence)
		}
		_ = one.conn.SetReadDeadline(time.Now().Add(10 * time.Second)) // a broken connection fails the read
		m, err := readMessage(one.reader)
		if err != nil {
			return nil, fmt.Errorf("yard-1 waits for an answer: %w", err)
		}
		s.record.line("yard-1 gets %s %d, %d bytes", m.verb, m.id, len(m.body))
		time.Sleep(foreignRest)
	}
	close(stop)
	writer.Wait()
	time.Sleep(time.Second)
	_ = two.conn.Close()
	reader.Wait()
	return breaches, nil
}

// foreignBricks starts the bricks. The path to the first can be silenced.
func (s *scene) foreignBricks() (addresses []string, silenced *link, err error) {
	stored := storedTrace()
	for i := range foreignBricks {
		address, err := startLineBrick(fmt.Sprintf("brick-%d", i), func(conn net.Conn, m *message) {
			s.record.line("brick-%d runs a read of %s", i, m.fields.Get("Object"))
			time.Sleep(20 * time.Millisecond)
			body := ownAnswer(m.fields.Get("Object"))
			if m.fields.Get("Object") == foreignText {
				body = stored
			}
			_, _ = conn.Write(encode("DONE", m.id, body)) // an error ends the connection, which is noticed at the next read
		})
		if err != nil {
			return nil, nil, err
		}
		addresses = append(addresses, address)
	}
	silenced, err = startLink(addresses[0])
	if err != nil {
		return nil, nil, err
	}
	addresses[0] = silenced.address
	return addresses, silenced, nil
}

// readOwnObjects sends a read of an object of yard-2 ten times a second, each at the next brick.
func (s *scene) readOwnObjects(c *lineClient, stop chan struct{}) {
	for id := uint64(1); ; id++ {
		select {
		case <-stop:
			return
		case <-time.After(100 * time.Millisecond):
		}
		c.send(run(id, "yard-2", "ledger-export", yardObject(id), int(id%foreignBricks), nil))
	}
}

func yardObject(id uint64) string { return fmt.Sprintf("ledger/%d", id) }

// checkOwnAnswers reads the answers to yard-2 until its connection ends. It returns a breach for each that is not its own.
func (s *scene) checkOwnAnswers(c *lineClient) (breaches []string) {
	for {
		m, err := readMessage(c.reader)
		if err != nil {
			return breaches
		}
		s.record.line("yard-2 gets %s %d %.40q", m.verb, m.id, m.body)
		if object := yardObject(m.id); m.verb == "DONE" && !bytes.Equal(m.body, ownAnswer(object)) {
			breaches = append(breaches, fmt.Sprintf("yard-2's read of %s is answered DONE with %.40q", object, m.body))
		}
	}
}
