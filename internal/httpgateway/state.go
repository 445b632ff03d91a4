package httpgateway

import (
	"context"
	"log/slog"
	"net"
	"runtime"
	"strings"
	"syscall"
	"time"

	"weirhaven/internal/engine"
	"weirhaven/internal/httpgateway/downstream"
	"weirhaven/internal/httpgateway/membudget"
	"weirhaven/policy"
)

func (g *Gateway) logServing(clients net.Addr, shares shares) {
	c := g.Config
	g.Log.Info("serving", "name", c.Name, "listen", clients.String(), "discovery", c.Discovery,
		"endpoints", len(c.KnownEndpoints.Entries), "revision", c.KnownEndpoints.Revision,
		"cores", c.Limits.Cores, "memory_mb", c.Limits.MemoryMB,
		"endpoint_idle_timeout", c.EndpointIdleTimeout, "connect_timeout", c.ConnectTimeout,
		"request_memory", shares.requests.Limit(), "read_ahead_memory", shares.readAhead.Limit(), "response_memory", shares.responses.Limit(),
		"max_volumes", shares.volumes, "max_client_connections", shares.clientConnections, "max_upstream_connections", shares.upstreamConnections)
}

// logStatePeriodically logs totals until ctx ends.
func (g *Gateway) logStatePeriodically(ctx context.Context, server *downstream.Server) {
	if g.StateInterval <= 0 {
		return
	}
	ticker := time.NewTicker(g.StateInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			g.logState(server)
		case <-ctx.Done():
			return
		}
	}
}

// logState logs the totals of the engine, the client and endpoint connections, and the process. It logs nothing once the loop
// has ended. Package soak parses the message and the attributes heap and goroutines.
func (g *Gateway) logState(server *downstream.Server) {
	requests, loopDelay, ok := g.engineCounts()
	if !ok {
		return
	}
	attrs := []slog.Attr{
		slog.Int64("received", requests.Received),
		slog.Int64("served", requests.Served),
		slog.Int64("rejected", requests.Rejected),
		slog.Int64("failed", requests.Failed),
		slog.Int64("client_disconnected", requests.ClientDisconnected),
		slog.Int("open", requests.Open),
		slog.Int("in_flight", requests.InFlight),
		slog.Int64("attempts", requests.Attempts),
		slog.Int64("retries", requests.Retries),
		slog.Int64("late_outcomes", requests.LateOutcomes),
		slog.Duration("loop_delay", loopDelay),
		slog.Int("volumes", requests.Volumes),
	}
	for outcome, count := range requests.Outcomes {
		name := strings.ReplaceAll(policy.Outcome(outcome).String(), "-", "_")
		attrs = append(attrs, slog.Int64("attempts_"+name, count))
	}
	attrs = append(attrs, processState()...)
	attrs = append(attrs, g.connectionState(server)...)
	attrs = append(attrs, g.memoryState()...)
	g.Log.LogAttrs(context.Background(), slog.LevelInfo, "state", attrs...)
}

// engineCounts gets the totals from the loop. delay is the time until the loop answered; ok is false once the loop has ended.
func (g *Gateway) engineCounts() (counts engine.Counts, delay time.Duration, ok bool) {
	replies := make(chan engine.Counts, 1)
	postedAt := time.Now()
	if !g.loop.Post(func(core *engine.Core) { replies <- core.Counts() }) {
		return counts, 0, false
	}
	select {
	case counts = <-replies:
		return counts, time.Since(postedAt), true
	case <-g.loop.Done():
		return counts, 0, false
	}
}

func processState() []slog.Attr {
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage) // fails only on an invalid argument
	return []slog.Attr{
		slog.Duration("cpu", time.Duration(usage.Utime.Nano()+usage.Stime.Nano())),
		slog.Uint64("heap", memory.HeapAlloc),
		slog.Uint64("sys", memory.Sys),
		slog.Int("goroutines", runtime.NumGoroutine()),
	}
}

func (g *Gateway) connectionState(server *downstream.Server) []slog.Attr {
	upstream, clients := g.pool.Counts(), server.Counts()
	return []slog.Attr{
		slog.Int("client_connections", clients.Open),
		slog.Int64("accepted", clients.Accepted),
		slog.Int64("evicted", clients.Evicted),
		slog.Int64("bad_requests", clients.BadRequests),
		slog.Int64("shed", clients.Shed),
		slog.Int64("held_back", clients.HeldBack),
		slog.Int64("violations", g.recorder.Violations()),
		slog.Int("upstream_connections", upstream.Open),
		slog.Int64("opened", upstream.Opened),
		slog.Int64("stale", upstream.Stale),
		slog.Int64("malformed", upstream.Malformed),
		slog.Int64("unsolicited", upstream.Unsolicited),
		slog.Int64("exhausted", upstream.Exhausted),
	}
}

// memoryState returns what the process holds for its peers, in bytes, and how often a holder was refused or had to give way.
func (g *Gateway) memoryState() (attrs []slog.Attr) {
	var refused, gaveWay int64
	for _, part := range []struct {
		name   string
		budget *membudget.Budget
	}{{"request", g.shares.requests}, {"read_ahead", g.shares.readAhead}, {"response", g.shares.responses}} {
		counts := part.budget.Counts()
		attrs = append(attrs, slog.Int64(part.name+"_memory", counts.Used), slog.Int64(part.name+"_memory_peak", counts.Peak))
		refused, gaveWay = refused+counts.Refused, gaveWay+counts.GaveWay
	}
	return append(attrs, slog.Int64("memory_refused", refused), slog.Int64("memory_gave_way", gaveWay))
}
