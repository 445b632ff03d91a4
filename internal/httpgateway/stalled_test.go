package httpgateway

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"weirhaven/internal/http1"
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

// A client has sent many requests at once when the process is told to stop. Those that were read and can't be served before the kill
// must be refused, not dropped.
func TestShutdownAnswersPipelinedRequests(t *testing.T) {
	endpoint := newEndpoint(t, func(c net.Conn, n int) bool {
		time.Sleep(50 * ms)
		return respondNumbered(c, n)
	})
	t.Parallel()
	gateway := newGateway(t, endpoint)
	read := &gateway.config.Settings.Classes[0]
	read.Timeout, read.LatencyObjective = 8*time.Second, 8*time.Second // longer than the time until the kill
	gateway.start()
	const requests = 900
	var text strings.Builder
	for n := range requests {
		text.WriteString(strings.Replace(readRequest(fmt.Sprint("p", n)), "X-Remaining-Ms: 1000", "X-Remaining-Ms: 8000", 1))
	}
	c := gateway.dial()
	send(c, text.String())
	time.Sleep(100 * ms)
	gateway.stop()
	reader := http1.NewReader(c)
	for n := range requests {
		head, err := reader.Response()
		if err != nil {
			t.Fatalf("response %d of %d: %v", n, requests, err)
		}
		if _, err := reader.Body(head, 1<<10); err != nil || head.Status != 200 && head.Status != 503 {
			t.Errorf("response %d: status %d, %v", n, head.Status, err)
		}
	}
}
