package httpgateway

import (
	"errors"
	"fmt"
	"io"
	"math/rand"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// A client has just connected and hasn't sent its request. It is not the one that makes room while others have had their
// response and stay.
func TestJustConnected(t *testing.T) {
	endpoint := newEndpoint(t, respondNumbered)
	gateway := startGateway(t, endpoint)
	for i := range 21 {
		wantResponse(t, gateway.dial(), readRequest(fmt.Sprint("a", i)), 200, fmt.Sprint("answer ", i))
	}
	just := gateway.dial()
	wantResponse(t, gateway.dial(), readRequest("b"), 200, "answer 21")
	wantResponse(t, gateway.dial(), readRequest("c"), 200, "answer 22")
	wantResponse(t, just, readRequest("d"), 200, "answer 23")
}

// concurrently runs clients beside each other and waits for them.
func concurrently(clients int, one func(client int)) {
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

// startBusyGateway starts a gateway with one quick endpoint, for tests that don't look at single attempts.
func startBusyGateway(t *testing.T) *testGateway {
	endpoint := newEndpoint(t, respondNumbered)
	gateway := startGateway(t, endpoint)
	stop := make(chan bool)
	t.Cleanup(func() { close(stop) })
	go func() {
		for {
			select {
			case <-endpoint.requests:
			case <-gateway.outcomes:
			case <-stop:
				return
			}
		}
	}()
	return gateway
}

// There are more clients than connections, each request comes on a new connection and in two pieces. Whichever connection
// makes room, a request that was sent whole gets a response.
func TestEvictionAnswersRequests(t *testing.T) {
	gateway := startBusyGateway(t)
	var whole, unanswered atomic.Int64
	concurrently(60, func(client int) {
		rng := rand.New(rand.NewSource(int64(client)))
		for n := range 20 {
			c := gateway.dial()
			text := readRequest(fmt.Sprintf("c%d-%d", client, n))
			if !send(c, text[:40]) {
				continue
			}
			time.Sleep(time.Duration(rng.Int63n(int64(30 * ms))))
			if !send(c, text[40:]) {
				continue // closed in the middle of the request
			}
			whole.Add(1)
			if status, _ := receive(c); status == 0 {
				unanswered.Add(1)
			}
			c.Close()
		}
	})
	if whole.Load() < 1000 || unanswered.Load() > 0 {
		t.Errorf("of %d requests sent whole %d got no answer", whole.Load(), unanswered.Load())
	}
}

// There are more clients than connections, and each sends several requests on one, the next as soon as it has a response. A
// connection may end between two requests, but not over one that was read; when the gateway ends, its own check tells
// whether one did.
func TestEvictionBetweenRequests(t *testing.T) {
	gateway := startBusyGateway(t)
	var answered, firstPrompt, firstUnanswered atomic.Int64
	concurrently(40, func(client int) {
		for n := range 40 {
			dialedAt := time.Now() // not after: the connection ages at the gateway while dial is yet to return
			c := gateway.dial()
			for k := range 5 {
				send(c, readRequest(fmt.Sprintf("c%d-%d-%d", client, n, k)))
				prompt := time.Since(dialedAt) < 20*ms // else this client was held up: it looked like a silent one
				if k == 0 && prompt {
					firstPrompt.Add(1)
				}
				status, _ := receive(c)
				if status == 0 {
					if k == 0 && prompt {
						firstUnanswered.Add(1)
					}
					break
				}
				answered.Add(1)
			}
			c.Close()
		}
	})
	if answered.Load() < 1600 || firstPrompt.Load() < 800 || firstUnanswered.Load() > 0 {
		t.Errorf("%d answered; of %d prompt first requests of a connection %d were not", answered.Load(), firstPrompt.Load(), firstUnanswered.Load())
	}
}

// A request arrives whole in the moment in which its connection is evicted. It is served, and its response is the last on
// the connection.
func TestRequestMeetsEviction(t *testing.T) {
	endpoint := newEndpoint(t, respondNumbered)
	gateway := startGateway(t, endpoint)
	resting := gateway.dial()
	wantResponse(t, resting, readRequest("a0"), 200, "answer 0")
	for i := range 21 { // now all connections rest, and that one is the oldest
		wantResponse(t, gateway.dial(), readRequest(fmt.Sprint("b", i)), 200, fmt.Sprint("answer ", i+1))
	}
	send(resting, readRequest("a1"))
	if status, _ := roundTrip(gateway.dial(), readRequest("c")); status != 200 {
		t.Errorf("the request that needed room got %d", status)
	}
	if status, _ := receive(resting); status != 200 {
		t.Errorf("the request of a connection that made room got %d", status)
	}
}

// A client has just connected and is evicted before it sends. Its request, which comes a moment later, is answered: it has
// no reason to expect that the connection ends.
func TestFirstRequestMeetsEviction(t *testing.T) {
	t.Parallel()
	for range 5 {
		gateway := newGateway(t, newEndpoint(t, respondNumbered))
		gateway.start()
		evicted := gateway.dial()
		for range 21 { // now all places are taken by clients that have not sent yet, and that one is the oldest
			gateway.dial()
		}
		time.Sleep(80 * ms) // longer than a connection is spared
		began := time.Now()
		other, _ := roundTrip(gateway.dial(), readRequest("b")) // needs room
		time.Sleep(20 * ms)
		send(evicted, readRequest("a"))
		held := time.Since(began) > 80*ms
		status, _ := receive(evicted)
		if held && status == 0 {
			continue // the test was held up for longer than the last moment lasts
		}
		if status != 200 || other != 200 {
			t.Errorf("the evicted client's first request got %d, the one that needed room %d", status, other)
		}
		return
	}
	t.Error("the machine was too loaded to tell, five times")
}

// A client has just connected when the process, which shuts down, ends the connections without a request. Its first request
// comes a moment later and is answered.
func TestFirstRequestMeetsShutdown(t *testing.T) {
	t.Parallel()
	for range 5 {
		gateway := newGateway(t, newEndpoint(t, respondNumbered))
		gateway.start()
		gateway.stop()
		var dialed []net.Conn
		for { // until the listener is closed
			c, err := net.Dial("tcp", gateway.address)
			if err != nil {
				break
			}
			t.Cleanup(func() { c.Close() })
			c.SetDeadline(time.Now().Add(8 * time.Second))
			dialed = append(dialed, c)
			time.Sleep(20 * ms)
		}
		began := time.Now()
		time.Sleep(10 * ms)
		status, _ := roundTrip(dialed[len(dialed)-2], readRequest("a")) // the last one may not have been accepted
		if time.Since(began) > 80*ms && status == 0 {
			continue // the test was held up for longer than the last moment lasts
		}
		if status != 200 {
			t.Errorf("the first request got %d", status)
		}
		return
	}
	t.Error("the machine was too loaded to tell, five times")
}

// An idle connection is evicted while its client sends the next request. That request stays unread, so that the client may
// retry it: one that was read would be owed a response.
func TestNextRequestMeetsEviction(t *testing.T) {
	t.Parallel()
	gateway := newGateway(t, newEndpoint(t, respondNumbered))
	gateway.start()
	evicted := gateway.dial()
	wantResponse(t, evicted, readRequest("a0"), 200, "answer 0")
	for i := range 21 {
		wantResponse(t, gateway.dial(), readRequest(fmt.Sprint("b", i)), 200, fmt.Sprint("answer ", i+1))
	}
	wantResponse(t, gateway.dial(), readRequest("c"), 200, "answer 22")
	if _, err := evicted.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Fatalf("%v, wanted an end in good order", err)
	}
	send(evicted, readRequest("a1"))
	for began := time.Now(); time.Since(began) < 3*time.Second; time.Sleep(10 * ms) {
		if socketError(t, evicted) != 0 {
			return // a reset: the kernel sends one where bytes are left unread
		}
	}
	t.Error("what came on the connection was read, and nothing answered")
}

// socketError is the pending error of a connection's socket, 0 if there is none.
func socketError(t *testing.T, c net.Conn) (pending int) {
	t.Helper()
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	raw.Control(func(descriptor uintptr) {
		pending, err = syscall.GetsockoptInt(int(descriptor), syscall.SOL_SOCKET, syscall.SO_ERROR)
	})
	if err != nil {
		t.Fatal(err)
	}
	return pending
}

// All connections have a request in progress, so none can make room. One more request is answered 503 at once, nothing of it
// is sent, and the others are served. What waits for a place is given up after a while, so a test that is held up for longer
// than that finds room and tells nothing.
func TestConnectionLimit(t *testing.T) {
	t.Parallel()
	for range 5 {
		if connectionLimitHolds(t) {
			return
		}
	}
	t.Error("requests in progress ended before one more came, five times")
}

// connectionLimitHolds fails the test if the limit does not hold; false: it was not reached all the time.
func connectionLimitHolds(t *testing.T) (told bool) {
	hold := make(chan bool)
	endpoint := newEndpoint(t, func(c net.Conn, n int) bool { <-hold; return respondNumbered(c, n) })
	gateway := newGateway(t, endpoint)
	gateway.start()
	const places = 22
	var waiting []net.Conn
	for i := range places {
		c := gateway.dial()
		send(c, readRequest(fmt.Sprint("a", i)))
		waiting = append(waiting, c)
	}
	allInProgress := func() bool {
		counts, _, _ := gateway.gateway.engineCounts()
		return counts.Received == places && counts.Open == places
	}
	for began := time.Now(); !allInProgress() && time.Since(began) < time.Second; {
		time.Sleep(ms)
	}
	began := time.Now()
	status, _ := roundTrip(gateway.dial(), readRequest("b"))
	took := time.Since(began)
	told = allInProgress()
	if told && (status != 503 || took > 300*ms) {
		t.Errorf("%d after %v, wanted 503 at once", status, took)
	}
	close(hold)
	for i, c := range waiting {
		if status, _ := receive(c); status == 0 {
			t.Errorf("request %d got no answer", i)
		}
	}
	for len(endpoint.requests) > 0 {
		if s := <-endpoint.requests; told && strings.Contains(s, " b ") {
			t.Errorf("%s reached the endpoint", s)
		}
	}
	return told
}
