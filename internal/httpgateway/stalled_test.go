package httpgateway

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"
)

// Clients that read none of their responses fill all places for connections. A new client must not wait until their responses time out.
func TestUnreadResponsesGiveUpTheirPlaces(t *testing.T) {
	body := strings.Repeat("r", 256<<10)
	endpoint := newEndpoint(t, func(c net.Conn, _ int) bool { return send(c, okResponse(body)) })
	gateway := startGateway(t, endpoint)
	places := divideLimits(gateway.config.Limits).clientConnections
	for i := range places {
		c := gateway.dial()
		c.(*net.TCPConn).SetReadBuffer(4 << 10)
		var text strings.Builder
		for n := range 40 {
			text.WriteString(readRequest(fmt.Sprint("u", i, "-", n)))
		}
		send(c, text.String())
	}
	time.Sleep(1500 * ms) // longer than the deadline of the first requests
	for i := range 3 {
		startedAt := time.Now()
		status, got := roundTrip(gateway.dial(), readRequest(fmt.Sprint("x", i)))
		if status != 200 || got != body {
			t.Errorf("%d: status %d, %d bytes after %v", i, status, len(got), time.Since(startedAt))
		}
	}
}
