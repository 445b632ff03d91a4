package httpgateway

import (
	"errors"
	"fmt"
	"io"
	"net"
	"testing"
	"time"
)

// An endpoint began to drain before the gateway started. If the gateway became ready with the list from its configuration, it
// would send requests to that endpoint. It must report ready only once its agent has sent the current list, or after a second
// if the agent is silent.
func TestReadiness(t *testing.T) {
	t.Parallel()
	const ready = "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n"
	wait := func(gateway *testGateway) time.Duration {
		c, began := gateway.dial(), time.Now()
		for s := 0; s != 200; s, _ = roundTrip(c, ready) {
			if time.Since(began) > 5*time.Second {
				t.Fatal("not ready within 5 s")
			}
		}
		return time.Since(began)
	}
	gateway := newGateway(t, newEndpoint(t, respondNumbered))
	gateway.agent.silentStart <- true
	gateway.start()
	<-gateway.agent.requests
	wantResponse(t, gateway.dial(), ready, 503, "")
	gateway.agent.sendList(8, false)
	if d := wait(gateway); d > 900*ms {
		t.Errorf("ready %v after the agent sent its list", d)
	}
	mute := newGateway(t, newEndpoint(t, respondNumbered))
	l := listen(t)
	defer l.Close()
	mute.config.Discovery = l.Addr().String()
	mute.start()
	if d := wait(mute); d < 500*ms {
		t.Errorf("ready after %v though the agent was silent", d)
	}
}

// An endpoint begins to drain while an attempt is in flight on it. The attempt must complete normally, and no new attempt may be
// sent to the endpoint, since it may stop at any time after its grace period.
func TestDrain(t *testing.T) {
	hold := make(chan bool)
	endpoint := newEndpoint(t, func(c net.Conn, n int) bool {
		if n == 0 {
			<-hold
		}
		return respondNumbered(c, n)
	})
	gateway := startGateway(t, endpoint)
	c := gateway.dial()
	send(c, readRequest("a1"))
	<-endpoint.requests
	if target := <-gateway.agent.requests; target != "/api/targets?watch=1&after=7" {
		t.Error(target)
	}
	gateway.agent.sendList(8, false, endpoint.entryJSON("b0", 0, "terminating"))
	other, began := gateway.dial(), time.Now()
	for i := 0; ; i++ { // requests are served until the engine's loop has handled the list
		if s, _ := roundTrip(other, readRequest(fmt.Sprint("b", i))); s == 503 {
			break
		}
		if <-endpoint.requests; time.Since(began) > 3*time.Second {
			t.Error("the gateway did not apply the drain within 3 s")
			break
		}
	}
	close(hold)
	if s, body := receive(c); s != 200 || body != "answer 0" {
		t.Errorf("%d %q", s, body)
	}
	endpoint.wantNoRequest(t)
}

// A reload sets the address of an agent that is still down. Requests must be served by the old list until the new agent sends a
// list.
func TestReload(t *testing.T) {
	a, endpoint := newEndpoint(t, respondNumbered), newEndpoint(t, respondNumbered)
	gateway := startGateway(t, a)
	<-gateway.agent.requests
	spare := listen(t)
	address := spare.Addr().String()
	spare.Close()
	next := *gateway.config
	next.Discovery = address
	gateway.reloads <- &next
	c := gateway.dial()
	wantResponse(t, c, readRequest("a1"), 200, "answer 0")
	l, err := net.Listen("tcp", address)
	if err != nil {
		t.Skip("another program took the port: ", err)
	}
	second := newAgent(t)
	second.listener.Close()
	<-second.done
	second.listener, second.done = l, make(chan bool)
	go func() {
		defer close(second.done)
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			second.serve(c)
		}
	}()
	if target := <-second.requests; target != "/api/targets?watch=1&after=7" {
		t.Error(target)
	}
	second.sendList(9, true, endpoint.entryJSON("b1", 0, "in_service"))
	for i := 0; len(endpoint.requests) == 0 && i < 1000; i++ {
		roundTrip(c, readRequest(fmt.Sprint("c", i)))
	}
	if len(endpoint.requests) == 0 {
		t.Error("the gateway did not apply the new agent's list")
	}
}

// SIGTERM arrives while a request is in progress and an idle connection is open. Clients go on using their open connections, so
// requests on these must still be served. All requests must be answered before the platform may kill the process, and the
// process must exit.
func TestGracefulShutdown(t *testing.T) {
	hold := make(chan bool)
	endpoint := newEndpoint(t, func(c net.Conn, n int) bool {
		if n == 0 {
			<-hold
		}
		return respondNumbered(c, n)
	})
	gateway := startGateway(t, endpoint)
	idle, held := gateway.dial(), gateway.dial()
	send(held, readRequest("a1"))
	<-endpoint.requests
	wantResponse(t, idle, readRequest("a2"), 200, "answer 1")
	began := time.Now()
	gateway.stop()
	wantResponse(t, idle, readRequest("a3"), 200, "answer 2")
	close(hold)
	if s, body := receive(held); s != 200 || body != "answer 0" {
		t.Errorf("%d %q", s, body)
	}
	if err := <-gateway.done; err != nil || time.Since(began) > 1700*ms {
		t.Errorf("%v after %v", err, time.Since(began))
	}
	if _, err := idle.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("the idle connection: %v", err)
	}
	gateway.done <- nil
}

// A request is sent just as the gateway closes its idle connection during shutdown. The gateway must half-close the connection,
// so that the client sees a normal close and retries, instead of a reset, after which the request may have run or not.
func TestRequestAtShutdown(t *testing.T) {
	t.Parallel()
	for range 5 {
		endpoint := newEndpoint(t, respondNumbered)
		gateway := newGateway(t, endpoint)
		gateway.start()
		c := gateway.dial()
		wantResponse(t, c, readRequest("a1"), 200, "answer 0")
		<-endpoint.requests
		began := time.Now()
		gateway.stop()
		if _, err := c.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
			t.Fatal(err)
		}
		send(c, readRequest("a2"))
		_, err := c.Write([]byte("x")) // fails if the first write was answered by a reset
		if time.Since(began) > 1400*ms {
			continue // the machine is overloaded: the gateway may have exited already
		}
		if err != nil {
			t.Errorf("%v, wanted a normal close", err)
		}
		if _, err := c.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
			t.Error(err)
		}
		endpoint.wantNoRequest(t)
		return
	}
	t.Error("inconclusive five times: the machine is overloaded")
}

// SIGHUP arrives after SIGTERM. The process still sends attempts for some seconds, so it must switch to the new agent, or it
// would miss drains.
func TestReloadDuringShutdown(t *testing.T) {
	gateway := startGateway(t, newEndpoint(t, respondNumbered))
	second := newAgent(t)
	<-gateway.agent.requests
	gateway.stop()
	next := *gateway.config
	next.Discovery = second.listener.Addr().String()
	select {
	case gateway.reloads <- &next:
	case <-time.After(5 * time.Second):
		t.Fatal("the gateway did not receive the reload within 5 s")
	}
	select {
	case <-second.requests:
	case <-time.After(5 * time.Second):
		t.Fatal("the new agent got no request within 5 s")
	}
}

// The entry of an endpoint is invalid. The endpoint may be draining, so no new attempt may be sent to it until the agent sends a
// valid entry.
func TestUnreadableEntry(t *testing.T) {
	endpoint := newEndpoint(t, respondNumbered)
	gateway := startGateway(t, endpoint)
	wantResponse(t, gateway.dial(), readRequest("a1"), 200, "answer 0")
	<-endpoint.requests
	gateway.agent.lists <- `{"revision":8,"complete":false,"members":[{"id":"b0","host_port":"nowhere","locality":"a","cell":0,"phase":"in_service"}]}`
	deadline := time.Now().Add(2 * time.Second)
	for i := 0; time.Now().Before(deadline); i++ {
		if status, _ := roundTrip(gateway.dial(), readRequest(fmt.Sprint("b", i))); status == 503 {
			gateway.agent.sendList(9, false, endpoint.entryJSON("b0", 0, "in_service"))
			for ; time.Now().Before(deadline); i++ {
				if status, _ := roundTrip(gateway.dial(), readRequest(fmt.Sprint("c", i))); status == 200 {
					return
				}
			}
		}
	}
	t.Error("the invalid entry did not suspend the endpoint, or a valid entry did not restore it")
}
