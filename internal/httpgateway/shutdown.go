package httpgateway

import (
	"context"
	"net"
	"time"

	"weirhaven/internal/httpgateway/downstream"
	"weirhaven/policy"
)

// After SIGTERM the platform takes a gateway out of service and kills it no sooner than min(longest request timeout,
// maxKillDelay) + killGrace later. It gets no new clients until then however soon it ends, so it goes on serving those that
// are still connected for as long as it may.
const (
	maxKillDelay        = 3 * time.Second
	killGrace           = 700 * time.Millisecond
	responseMargin      = 250 * time.Millisecond // so long before the kill all requests have their responses
	connectionDrainTime = 250 * time.Millisecond // before that, connections end with their next response
	shutdownOverrun     = time.Second            // so long after longest timeout and killGrace connections are closed whatever they owe
)

// shutDownServer returns when every client has its response, or at the latest shutdownOverrun past the longest timeout and
// killGrace.
func (g *Gateway) shutDownServer(ctx context.Context, server *downstream.Server, listener net.Listener) {
	longest := longestTimeout(g.Config.Settings)
	killAfter := min(longest, maxKillDelay) + killGrace
	g.Log.Info("graceful shutdown started", "kill_after", killAfter)
	bounded, cancel := context.WithTimeout(ctx, longest+killGrace+shutdownOverrun)
	defer cancel()
	server.Shutdown(bounded, listener, g.loop.Now()+killAfter-responseMargin, connectionDrainTime)
}

// longestTimeout is the longest timeout of any request class.
func longestTimeout(settings policy.Settings) (longest time.Duration) {
	for _, class := range settings.Classes {
		longest = max(longest, class.Timeout)
	}
	return longest
}
