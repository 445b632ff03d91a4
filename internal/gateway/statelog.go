package gateway

import (
	"context"
	"runtime"
	"time"
)

// logState logs memory use and totals at each interval until ctx ends.
func (g *Gateway) logState(ctx context.Context, interval time.Duration) {
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		var memory runtime.MemStats
		runtime.ReadMemStats(&memory)
		counts := g.Counts()
		g.log.Info("state", "heap", memory.HeapInuse, "goroutines", runtime.NumGoroutine(), "open", counts.Open, "in_flight", counts.InFlight,
			"timers", counts.Timers, "received", counts.Received)
	}
}
