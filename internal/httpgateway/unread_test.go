package httpgateway

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"
)

// Clients that read none of their large responses must not keep the others from theirs.
func TestUnreadResponsesDelayNobody(t *testing.T) {
	body := strings.Repeat("r", 1<<20)
	endpoint := newEndpoint(t, func(c net.Conn, _ int) bool { return send(c, okResponse(body)) })
	gateway := startGateway(t, endpoint)
	const unread, requests = 16, 8
	for i := range unread {
		c := gateway.dial()
		c.(*net.TCPConn).SetReadBuffer(4 << 10)
		var text strings.Builder
		for n := range requests {
			text.WriteString(readRequest(fmt.Sprint("u", i, "-", n)))
		}
		send(c, text.String())
	}
	time.Sleep(300 * ms)
	for i := range 5 {
		startedAt := time.Now()
		if status, got := roundTrip(gateway.dial(), readRequest(fmt.Sprint("x", i))); status != 200 || got != body {
			t.Errorf("%d: status %d, %d bytes after %v", i, status, len(got), time.Since(startedAt))
		}
	}
}
