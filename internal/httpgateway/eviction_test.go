package httpgateway

import (
	"fmt"
	"math/rand"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// atOnce runs many clients at once, each with a new connection for every few requests.
func atOnce(clients int, one func(client int)) {
	var wg sync.WaitGroup
	for i := range clients {
		wg.Add(1)
		go func() {
			defer wg.Done()
			one(i)
		}()
	}
	wg.Wait()
}

// busyHost is a host with one quick server, for tests that don't look at single attempts.
func busyHost(t *testing.T) *host {
	b := newBrick(t, answers)
	h := newHost(t, b)
	stop := make(chan bool)
	t.Cleanup(func() { close(stop) })
	go func() {
		for {
			select {
			case <-b.seen:
			case <-h.ended:
			case <-stop:
				return
			}
		}
	}()
	return h
}

// More clients than connections, each request on a new connection and in two pieces: whatever makes room, a request that
// was sent whole gets an answer.
func TestEvictionAnswersRequests(t *testing.T) {
	h := busyHost(t)
	var whole, unanswered atomic.Int64
	atOnce(60, func(client int) {
		rng := rand.New(rand.NewSource(int64(client)))
		for n := range 20 {
			c := h.dial()
			text := read(fmt.Sprintf("c%d-%d", client, n))
			if !say(c, text[:40]) {
				continue
			}
			time.Sleep(time.Duration(rng.Int63n(int64(30 * ms))))
			if !say(c, text[40:]) {
				continue // closed in the middle of the request
			}
			whole.Add(1)
			if status, _ := hear(c); status == 0 {
				unanswered.Add(1)
			}
			c.Close()
		}
	})
	if whole.Load() < 1000 || unanswered.Load() > 0 {
		t.Errorf("of %d requests sent whole %d got no answer", whole.Load(), unanswered.Load())
	}
}

// More clients than connections, several requests on each connection, the next at once: a connection may end between two of
// them, but not over one that was read. The cleanup of the host checks that nothing was owed where it closed.
func TestEvictionBetweenRequests(t *testing.T) {
	h := busyHost(t)
	var answered, first atomic.Int64
	atOnce(40, func(client int) {
		for n := range 40 {
			c, connected := h.dial(), time.Now()
			for k := range 5 {
				say(c, read(fmt.Sprintf("c%d-%d-%d", client, n, k)))
				prompt := time.Since(connected) < 20*ms // else this client was held up: it looked like one that says nothing
				status, _ := hear(c)
				if status == 0 {
					if k == 0 && prompt {
						first.Add(1)
					}
					break
				}
				answered.Add(1)
			}
			c.Close()
		}
	})
	if answered.Load() < 1600 || first.Load() > 0 {
		t.Errorf("%d answered; %d first requests of a connection were not", answered.Load(), first.Load())
	}
}

// A request that has come whole while its connection is retired is served, and that answer is the last.
func TestRequestMeetsRetirement(t *testing.T) {
	b := newBrick(t, answers)
	h := newHost(t, b)
	resting := h.dial()
	want(t, resting, read("a0"), 200, "answer 0")
	for i := range 21 { // now all connections rest, and that one is the oldest
		want(t, h.dial(), read(fmt.Sprint("b", i)), 200, fmt.Sprint("answer ", i+1))
	}
	say(resting, read("a1"))
	if status, _ := ask(h.dial(), read("c")); status != 200 {
		t.Errorf("the request that needed room got %d", status)
	}
	if status, _ := hear(resting); status != 200 {
		t.Errorf("the request of a connection that made room got %d", status)
	}
}

// All connections hold requests: one more is answered 503 at once, nothing of it is sent, and the others are served.
func TestConnectionLimit(t *testing.T) {
	hold := make(chan bool)
	b := newBrick(t, func(c net.Conn, n int) bool { <-hold; return answers(c, n) })
	h := newHost(t, b)
	var waiting []net.Conn
	for i := range 22 {
		c := h.dial()
		say(c, read(fmt.Sprint("a", i)))
		waiting = append(waiting, c)
	}
	time.Sleep(100 * ms) // all are read
	began := time.Now()
	if status, _ := ask(h.dial(), read("b")); status != 503 || time.Since(began) > 300*ms {
		t.Errorf("%d after %v, wanted 503 at once", status, time.Since(began))
	}
	close(hold)
	for i, c := range waiting {
		if status, _ := hear(c); status == 0 {
			t.Errorf("request %d got no answer", i)
		}
	}
	for len(b.seen) > 0 {
		if s := <-b.seen; strings.Contains(s, " b ") {
			t.Errorf("%s reached the server", s)
		}
	}
}
