package main

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"io"
	"net"
	"net/http"
	"path/filepath"
	"sync"
	"time"
)

// Case surge: yard programs read an object again and again while the traffic of the plan's other yard stores surges.
const (
	surgeBricks  = 4
	surgeObject  = 16 << 20 // bytes
	surgeWork    = 15 * time.Millisecond
	surgeUsual   = 80               // commands of yard-2 a second, all bricks together
	surgeTimes   = 5                // times the usual traffic, while it surges
	surgeBegins  = 6 * time.Second  // in each period
	surgeLength  = 10 * time.Second // of each surge
	surgePeriod  = 30 * time.Second
	surgeAll     = 22 * time.Second
	surgeReaders = 1
	surgeStores  = 7                      // yard stores of the plan beside the reader's: yard-2 to yard-8
	surgeReadGap = 200 * time.Millisecond // between two reads of the object
)

// surgeBrick stores what is written to it and takes commands in turn, surgeWork for each. It refuses nothing.
type surgeBrick struct {
	mu     sync.Mutex
	stored map[string][]byte
}

func (b *surgeBrick) serve(conn net.Conn, m *message) {
	object := m.fields.Get("Object")
	time.Sleep(surgeWork)
	b.mu.Lock()
	body := b.stored[object]
	if m.fields.Get("Queue-Type") == "object-put" {
		b.stored[object] = m.body
		body = nil
	}
	b.mu.Unlock()
	_, _ = conn.Write(encode("DONE", m.id, body)) // an error ends the connection, which is noticed at the next read
}

func surge(s *scene) (breaches []string, err error) {
	h, objects, err := s.startObjectEdge()
	if err != nil {
		return nil, err
	}
	drawing := bytes.Repeat([]byte("drawing of a hull "), surgeObject/18)
	if err := putObject(objects, drawing); err != nil {
		return nil, err
	}
	c, err := dialEdge(h.listen, "yard-2")
	if err != nil {
		return nil, err
	}
	start := time.Now()
	var clients sync.WaitGroup
	clients.Go(func() { s.sendSurge(c, start) })
	clients.Go(func() { s.countAnswers(c, start) })
	var mu sync.Mutex
	for range surgeReaders {
		clients.Go(func() {
			for time.Since(start) < surgeAll {
				cut := s.readObject(objects, drawing)
				mu.Lock()
				if cut != "" {
					breaches = append(breaches, cut)
				}
				mu.Unlock()
				time.Sleep(surgeReadGap)
			}
		})
	}
	clients.Wait()
	return breaches, nil
}

// startObjectEdge starts the bricks and a gateway with the object API, and returns the API's address too.
func (s *scene) startObjectEdge() (h *host, objects string, err error) {
	addresses := []string{}
	for i := range surgeBricks {
		b := &surgeBrick{stored: map[string][]byte{}}
		address, err := startLineBrick(fmt.Sprintf("brick-%d", i), b.serve)
		if err != nil {
			return nil, "", err
		}
		addresses = append(addresses, address)
	}
	if objects, err = freeAddress(); err != nil {
		return nil, "", err
	}
	more := fmt.Sprintf("objects { listen: %q index: %q read_type: \"object-get\" write_type: \"object-put\" }\n", objects, filepath.Join(s.folder, "objects.db"))
	h, err = s.startEdge(addresses, more)
	return h, objects, err
}

func objectURL(objects string) string { return "http://" + objects + "/yard-1/drawings/hull" }

// putObject stores an object. The API learns of its bricks within a second or two, so it may have to ask again.
func putObject(objects string, body []byte) error {
	var last error
	for range 20 {
		request, err := http.NewRequest(http.MethodPut, objectURL(objects), bytes.NewReader(body))
		if err != nil {
			return err
		}
		response, err := http.DefaultClient.Do(request)
		if last = err; err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
			last = fmt.Errorf("status %d", response.StatusCode)
		}
		time.Sleep(300 * time.Millisecond)
	}
	return fmt.Errorf("store the object: %w", last)
}

// readObject reads the object. It returns a breach if an answer 200 is not whole.
func (s *scene) readObject(objects string, want []byte) (breach string) {
	began := time.Now()
	response, err := http.Get(objectURL(objects))
	if err != nil {
		s.record.line("a read of the object: %v", err)
		return "a read of the object got no answer"
	}
	defer func() { _ = response.Body.Close() }()
	digest := sha256.New()
	n, err := io.Copy(digest, response.Body)
	s.record.line("a read of the object: %d, %d bytes in %v, %v", response.StatusCode, n, time.Since(began).Round(time.Millisecond), err)
	wanted := sha256.Sum256(want)
	switch {
	case response.StatusCode != http.StatusOK:
		return ""
	case err != nil:
		return fmt.Sprintf("a read that was answered 200 was cut by the gateway after %d of %d bytes, %v after it began", n, len(want), time.Since(began).Round(time.Millisecond))
	case !bytes.Equal(digest.Sum(nil), wanted[:]):
		return "a read that was answered 200 has other bytes than those stored"
	}
	return ""
}

// sendSurge sends the commands of the other yard stores.
func (s *scene) sendSurge(c *lineClient, start time.Time) {
	surging := false
	for id := uint64(1); time.Since(start) < surgeAll; id++ {
		pause := time.Second / surgeUsual
		since := time.Since(start) % surgePeriod
		now := s.trouble && since > surgeBegins && since < surgeBegins+surgeLength
		if now != surging {
			s.record.line("the surge: %v", now)
			surging = now
		}
		if surging {
			pause /= surgeTimes
		}
		c.send(run(id, fmt.Sprintf("yard-%d", 2+id%surgeStores), "part-lookup", fmt.Sprintf("part/%d", id), int(id%surgeBricks), nil))
		time.Sleep(pause)
	}
}

// countAnswers reads the other yard stores' answers and records their numbers each second.
func (s *scene) countAnswers(c *lineClient, start time.Time) {
	counts := map[string]int{}
	next := time.Second
	for time.Since(start) < surgeAll {
		_ = c.conn.SetReadDeadline(start.Add(surgeAll)) // a broken connection fails the read
		m, err := readMessage(c.reader)
		if err != nil {
			return
		}
		counts[m.verb]++
		if time.Since(start) > next {
			s.record.line("answers to the other yard stores so far: %v", counts)
			next += time.Second
		}
	}
}
