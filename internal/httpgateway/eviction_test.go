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

// A client has just connected and hasn't sent its request yet. Its connection must not be evicted while there are idle
// connections whose requests were answered.
func TestNewConnectionNotEvicted(t *testing.T) {
	endpoint := newEndpoint(t, respondNumbered)
	gateway := startGateway(t, endpoint)
	for i := range 21 {
		wantResponse(t, gateway.dial(), readRequest(fmt.Sprint("a", i)), 200, fmt.Sprint("answer ", i))
	}
	newClient := gateway.dial()
	wantResponse(t, gateway.dial(), readRequest("b"), 200, "answer 21")
	wantResponse(t, gateway.dial(), readRequest("c"), 200, "answer 22")
	wantResponse(t, newClient, readRequest("d"), 200, "answer 23")
}

// concurrently runs one for each client at the same time and waits for all.
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

// startBusyGateway starts a gateway with a fast endpoint for tests that don't check single attempts; their outcomes are dropped.
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

// There are more clients than connections, and each request is sent on a new connection in two pieces. Whichever connection is
// evicted, a request that was sent completely must get a response.
func TestEvictionAnswersRequests(t *testing.T) {
	gateway := startBusyGateway(t)
	var complete, unanswered atomic.Int64
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
				continue // evicted before the request was complete
			}
			complete.Add(1)
			if status, _ := receive(c); status == 0 {
				unanswered.Add(1)
			}
			c.Close()
		}
	})
	if complete.Load() < 1000 || unanswered.Load() > 0 {
		t.Errorf("%d requests were sent completely, %d of them got no response", complete.Load(), unanswered.Load())
	}
}

// There are more clients than connections, and each sends several requests on one connection, the next as soon as it has a
// response. A connection may be closed between two requests, but not with a request that was read and has no response. The
// invariant check at the end of the gateway detects the latter.
func TestEvictionBetweenRequests(t *testing.T) {
	gateway := startBusyGateway(t)
	var answered, firstPrompt, firstUnanswered atomic.Int64
	concurrently(40, func(client int) {
		for n := range 40 {
			dialedAt := time.Now() // before dial: the gateway may accept the connection before dial returns
			c := gateway.dial()
			for k := range 5 {
				send(c, readRequest(fmt.Sprintf("c%d-%d-%d", client, n, k)))
				prompt := time.Since(dialedAt) < 20*ms // otherwise the gateway may evict the delayed client as a silent one
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
		t.Errorf("%d requests answered; of %d first requests that were sent in time, %d were not answered", answered.Load(), firstPrompt.Load(), firstUnanswered.Load())
	}
}

// A complete request arrives just as its connection is evicted. It must be served, and the connection must close after its
// response.
func TestRequestDuringEviction(t *testing.T) {
	endpoint := newEndpoint(t, respondNumbered)
	gateway := startGateway(t, endpoint)
	idleClient := gateway.dial()
	wantResponse(t, idleClient, readRequest("a0"), 200, "answer 0")
	for i := range 21 { // now all connections are idle, and idleClient is the oldest
		wantResponse(t, gateway.dial(), readRequest(fmt.Sprint("b", i)), 200, fmt.Sprint("answer ", i+1))
	}
	send(idleClient, readRequest("a1"))
	if status, _ := roundTrip(gateway.dial(), readRequest("c")); status != 200 {
		t.Errorf("the request on the new connection got %d", status)
	}
	if status, _ := receive(idleClient); status != 200 {
		t.Errorf("the request on the evicted connection got %d", status)
	}
}

// A connection is evicted before its client has sent the first request, which arrives within the grace period. The request must
// be answered, since the client can't know that the connection is being closed.
func TestFirstRequestAfterEviction(t *testing.T) {
	t.Parallel()
	for range 5 {
		gateway := newGateway(t, newEndpoint(t, respondNumbered))
		gateway.start()
		evicted := gateway.dial()
		for range 21 { // now the limit is reached by clients that have not sent a request, and evicted is the oldest
			gateway.dial()
		}
		time.Sleep(80 * ms) // longer than a new connection is protected from eviction
		began := time.Now()
		other, _ := roundTrip(gateway.dial(), readRequest("b")) // causes an eviction
		time.Sleep(20 * ms)
		send(evicted, readRequest("a"))
		delayed := time.Since(began) > 80*ms
		status, _ := receive(evicted)
		if delayed && status == 0 {
			continue // the test was delayed beyond the grace period
		}
		if status != 200 || other != 200 {
			t.Errorf("the first request on the evicted connection got %d, the request on the new connection %d", status, other)
		}
		return
	}
	t.Error("inconclusive five times: the machine is overloaded")
}

// A client has just connected when the gateway, during shutdown, retires the connections without a request. Its first request
// arrives within the grace period and must be answered.
func TestFirstRequestAfterShutdown(t *testing.T) {
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
			continue // the test was delayed beyond the grace period
		}
		if status != 200 {
			t.Errorf("the first request got %d", status)
		}
		return
	}
	t.Error("inconclusive five times: the machine is overloaded")
}

// An idle connection is evicted while its client sends the next request. The gateway must leave the request unread, so that the
// client may retry it; a request that was read would need a response.
func TestNextRequestAfterEviction(t *testing.T) {
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
		t.Fatalf("%v, wanted a normal close", err)
	}
	send(evicted, readRequest("a1"))
	for began := time.Now(); time.Since(began) < 3*time.Second; time.Sleep(10 * ms) {
		if socketError(t, evicted) != 0 {
			return // the kernel sends a reset if bytes are left unread
		}
	}
	t.Error("the gateway read the request and sent no response")
}

// socketError returns the pending error of a connection's socket, or 0 if there is none.
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

// All connections have a request in progress, so none can be evicted. One more request must be answered 503 at once and must not
// reach the endpoint, and the others must be served. Queued requests are rejected after some time, so a delayed test finds free
// connections and is inconclusive.
func TestConnectionLimit(t *testing.T) {
	t.Parallel()
	for range 5 {
		if connectionLimitHolds(t) {
			return
		}
	}
	t.Error("inconclusive five times: requests in progress ended before the additional one arrived")
}

// connectionLimitHolds fails the test if the limit does not hold. It returns false if the limit was not reached during the whole
// check, which makes the run inconclusive.
func connectionLimitHolds(t *testing.T) (conclusive bool) {
	hold := make(chan bool)
	endpoint := newEndpoint(t, func(c net.Conn, n int) bool { <-hold; return respondNumbered(c, n) })
	gateway := newGateway(t, endpoint)
	gateway.start()
	const capacity = 22
	var waiting []net.Conn
	for i := range capacity {
		c := gateway.dial()
		send(c, readRequest(fmt.Sprint("a", i)))
		waiting = append(waiting, c)
	}
	allInProgress := func() bool {
		counts, _, _ := gateway.gateway.engineCounts()
		return counts.Received == capacity && counts.Open == capacity
	}
	for began := time.Now(); !allInProgress() && time.Since(began) < time.Second; {
		time.Sleep(ms)
	}
	began := time.Now()
	status, _ := roundTrip(gateway.dial(), readRequest("b"))
	took := time.Since(began)
	conclusive = allInProgress()
	if conclusive && (status != 503 || took > 300*ms) {
		t.Errorf("%d after %v, wanted 503 at once", status, took)
	}
	close(hold)
	for i, c := range waiting {
		if status, _ := receive(c); status == 0 {
			t.Errorf("request %d got no response", i)
		}
	}
	for len(endpoint.requests) > 0 {
		if s := <-endpoint.requests; conclusive && strings.Contains(s, " b ") {
			t.Errorf("%s reached the endpoint", s)
		}
	}
	return conclusive
}
