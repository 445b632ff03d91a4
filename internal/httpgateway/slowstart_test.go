package httpgateway

import (
	"fmt"
	"net"
	"testing"
	"time"

	"weirhaven/internal/engine"
)

// An endpoint restarts after the wall clock was stepped by an hour, so it seems to have been up for an hour. The full share of
// the load would overload it, so the gateway must still apply the slow start.
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
	time.Sleep(s.OverloadWindow)     // a new gateway sends nothing to endpoints that its former instance may have overloaded
	gateway.agent.sendList(8, false) // confirms the previous list
	started := time.Now().Add(-time.Hour).UnixMilli()
	gateway.agent.lists <- fmt.Sprintf(`{"revision":9,"complete":false,"members":[{"id":"b0","host_port":%q,"locality":"a","cell":0,"phase":"in_service","up_since_ms":%d}]}`,
		endpoint.listener.Addr(), started)
	time.Sleep(300 * ms)
	for i := range 16 {
		send(gateway.dial(), readRequest(fmt.Sprint("a", i)))
	}
	time.Sleep(300 * ms)
	if n := len(endpoint.requests); n > 2 {
		t.Errorf("%d requests reached an endpoint that had just started, wanted 2 at most", n)
	}
}
