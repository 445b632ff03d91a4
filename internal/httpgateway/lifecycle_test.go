package httpgateway

import (
	"errors"
	"fmt"
	"io"
	"net"
	"testing"
	"time"
)

// An endpoint began to drain before this gateway started. Were the gateway put to use with the list of its configuration, it
// would send there. So it reports ready once its agent has sent what it has; a silent agent holds it up for a second and no
// longer.
func TestReady(t *testing.T) {
	t.Parallel()
	const ready = "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n"
	wait := func(gateway *testGateway) time.Duration {
		c, began := gateway.dial(), time.Now()
		for s := 0; s != 200; s, _ = roundTrip(c, ready) {
			if time.Since(began) > 5*time.Second {
				t.Fatal("never ready")
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
		t.Errorf("ready %v after the agent spoke", d)
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

// An endpoint begins to drain while an attempt is in flight there. That attempt ends as usual, and nothing new is sent
// there: an endpoint that drains may end at any time after its grace.
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
	if asked := <-gateway.agent.requests; asked != "/api/targets?watch=1&after=7" {
		t.Error(asked)
	}
	gateway.agent.sendList(8, false, endpoint.entryJSON("b0", 0, "terminating"))
	other, began := gateway.dial(), time.Now()
	for i := 0; ; i++ { // served until the list has passed through the loop
		if s, _ := roundTrip(other, readRequest(fmt.Sprint("b", i))); s == 503 {
			break
		}
		if <-endpoint.requests; time.Since(began) > 3*time.Second {
			t.Error("the drain does not count")
			break
		}
	}
	close(hold)
	if s, body := receive(c); s != 200 || body != "answer 0" {
		t.Errorf("%d %q", s, body)
	}
	endpoint.wantNoRequest(t)
}

// A reload names an agent that is still down. Requests are served by the old list until the new agent sends one.
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
	if asked := <-second.requests; asked != "/api/targets?watch=1&after=7" {
		t.Error(asked)
	}
	second.sendList(9, true, endpoint.entryJSON("b1", 0, "in_service"))
	for i := 0; len(endpoint.requests) == 0 && i < 1000; i++ {
		roundTrip(c, readRequest(fmt.Sprint("c", i)))
	}
	if len(endpoint.requests) == 0 {
		t.Error("the new agent's list does not count")
	}
}

// SIGTERM comes while a request is in progress and an idle connection is open. Clients go on using the connections they
// have, so these are served on; all requests are answered before the platform may kill the process, and it ends.
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

// A request crosses the close of its idle connection at shutdown. The connection is half-closed and drained, so that the
// client sees an end in good order and retries, in place of a reset that may mean anything.
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
		_, err := c.Write([]byte("x")) // fails where the first was answered by a reset
		if time.Since(began) > 1400*ms {
			continue // the machine was loaded: the gateway may be past its end
		}
		if err != nil {
			t.Errorf("%v, wanted an end in good order", err)
		}
		if _, err := c.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
			t.Error(err)
		}
		endpoint.wantNoRequest(t)
		return
	}
	t.Error("the machine was too loaded to tell, five times")
}

// SIGHUP comes after SIGTERM. The process still sends attempts for seconds, so it must follow the new agent, or it would
// miss a drain.
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
		t.Fatal("the reload is not taken")
	}
	select {
	case <-second.requests:
	case <-time.After(5 * time.Second):
		t.Fatal("the new agent is not asked")
	}
}

// The entry of an endpoint can't be read. It may say that the endpoint drains, so nothing new is sent there until an entry
// can be read.
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
	t.Error("an entry that can't be read changed nothing, or for good")
}
