package httpgateway

import (
	"context"
	"net"
	"time"

	"weirhaven/internal/httpgateway/downstream"
	"weirhaven/policy"
)

// After SIGTERM the platform takes a gateway out of service and kills it no sooner than min(longest request timeout,
// maxKillDelay) + killGrace later. Until then the gateway gets no new clients, even if it exits and restarts earlier, so it
// serves those that are still connected for as long as possible.
const (
	maxKillDelay        = 3 * time.Second
	killGrace           = 700 * time.Millisecond
	responseMargin      = 250 * time.Millisecond // time before the kill by which all requests have their responses
	connectionDrainTime = 250 * time.Millisecond // period before that in which connections close after their next response
	shutdownOverrun     = time.Second            // time after the longest timeout and killGrace at which all connections are closed
)

// shutDownServer shuts the server down gracefully. It returns when every client has its response, but no later than
// shutdownOverrun after the longest timeout plus killGrace.
func (g *Gateway) shutDownServer(ctx context.Context, server *downstream.Server, listener net.Listener) {
	longest := longestTimeout(g.Config.Settings)
	killAfter := min(longest, maxKillDelay) + killGrace
	g.Log.Info("graceful shutdown started", "kill_after", killAfter)
	bounded, cancel := context.WithTimeout(ctx, longest+killGrace+shutdownOverrun)
	defer cancel()
	server.Shutdown(bounded, listener, g.loop.Now()+killAfter-responseMargin, connectionDrainTime)
}

// longestTimeout returns the longest timeout of any request class.
func longestTimeout(settings policy.Settings) (longest time.Duration) {
	for _, class := range settings.Classes {
		longest = max(longest, class.Timeout)
	}
	return longest
}
