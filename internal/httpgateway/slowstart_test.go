package httpgateway

import (
	"fmt"
	"net"
	"testing"
	"time"

	"weirhaven/internal/engine"
)

// An endpoint restarts, and the wall clock was stepped by an hour, so that its start of this moment looks an hour old. With
// a full share of the load it would be pushed over; it is warmed up all the same.
func TestStartAfterClockStep(t *testing.T) {
	t.Parallel()
	hold := make(chan bool)
	endpoint := newEndpoint(t, func(c net.Conn, n int) bool { <-hold; return respondNumbered(c, n) })
	t.Cleanup(func() { close(hold) })
	gateway := newGateway(t, endpoint)
	s := &gateway.config.Settings
	s.SlowStartShare, s.SlowStartTime, s.SlowStartUnits, s.OverloadFactor, s.OverloadWindow = 0.2, 10*time.Second, 4, 2, time.Second
	gateway.config.KnownEndpoints.Entries = []engine.EndpointEntry{{Name: "b0", Address: endpoint.listener.Addr().String(), Serving: true,
		StartedAt: time.Duration(time.Now().Add(-24 * time.Hour).UnixNano())}}
	gateway.start()
	time.Sleep(s.OverloadWindow)     // a gateway that has just started sends nothing to endpoints that it may have filled before
	gateway.agent.sendList(8, false) // nothing has changed until here
	started := time.Now().Add(-time.Hour).UnixMilli()
	gateway.agent.lists <- fmt.Sprintf(`{"revision":9,"complete":false,"members":[{"id":"b0","host_port":%q,"locality":"a","cell":0,"phase":"in_service","up_since_ms":%d}]}`,
		endpoint.listener.Addr(), started)
	time.Sleep(300 * ms)
	for i := range 16 {
		send(gateway.dial(), readRequest(fmt.Sprint("a", i)))
	}
	time.Sleep(300 * ms)
	if n := len(endpoint.requests); n > 2 {
		t.Errorf("%d requests reached an endpoint that had just started, which bears 2 from this gateway", n)
	}
}
