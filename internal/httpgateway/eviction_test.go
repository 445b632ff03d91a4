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

// All connections have a request in progress, so none can make room. One more request is answered 503 at once, nothing of it
// is sent, and the others are served.
func TestConnectionLimit(t *testing.T) {
	hold := make(chan bool)
	endpoint := newEndpoint(t, func(c net.Conn, n int) bool { <-hold; return respondNumbered(c, n) })
	gateway := startGateway(t, endpoint)
	var waiting []net.Conn
	for i := range 22 {
		c := gateway.dial()
		send(c, readRequest(fmt.Sprint("a", i)))
		waiting = append(waiting, c)
	}
	time.Sleep(100 * ms) // all are read
	began := time.Now()
	if status, _ := roundTrip(gateway.dial(), readRequest("b")); status != 503 || time.Since(began) > 300*ms {
		t.Errorf("%d after %v, wanted 503 at once", status, time.Since(began))
	}
	close(hold)
	for i, c := range waiting {
		if status, _ := receive(c); status == 0 {
			t.Errorf("request %d got no answer", i)
		}
	}
	for len(endpoint.requests) > 0 {
		if s := <-endpoint.requests; strings.Contains(s, " b ") {
			t.Errorf("%s reached the endpoint", s)
		}
	}
}
