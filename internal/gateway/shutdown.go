package gateway

import (
	"time"

	"weirhaven/internal/settings"
)

// shutdownSlack is how much longer than the longest request timeout a graceful shutdown waits: responses at the deadline still have to
// be written.
const shutdownSlack = time.Second

// shutDown ends the gateway in the order in which its parts need each other: no new requests, then those held, the last save, the
// loop, the connections.
func (g *Gateway) shutDown(stopPersisting, stopLoop func()) {
	if g.objects != nil {
		g.objects.drain(g.longestTimeout())
	}
	g.drain()
	counts := g.Counts()
	stopPersisting()
	stopLoop()
	<-g.loop.Done()
	g.closeConnections()
	g.endpoints.Close()
	g.wg.Wait()
	g.log.Info("stopped", "received", counts.Received, "served", counts.Served, "rejected", counts.Rejected, "failed", counts.Failed,
		"open", counts.Open, "late_outcomes", counts.LateOutcomes)
}

// drain rejects new requests and waits until each request held has its response and the responses are written.
func (g *Gateway) drain() {
	g.shuttingDown.Store(true)
	_ = g.listener.Close() // nothing more is accepted, whatever it returns
	g.log.Info("graceful shutdown started", "open", g.Counts().Open)
	deadline := time.After(g.longestTimeout() + shutdownSlack)
	tick := time.NewTicker(5 * time.Millisecond)
	defer tick.Stop()
	for g.Counts().Open > 0 || !g.allWritten() {
		select {
		case <-tick.C:
		case <-deadline:
			g.log.Warn("graceful shutdown incomplete", "open", g.Counts().Open)
			return
		}
	}
}

// longestTimeout is the longest request timeout of all request classes.
func (g *Gateway) longestTimeout() (longest time.Duration) {
	for _, class := range g.conf.QueueType {
		longest = max(longest, settings.Duration(class.CommandTimeout, 0))
	}
	return longest
}

// allWritten reports whether every response has been written to its connection.
func (g *Gateway) allWritten() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for c := range g.connections {
		if !c.sender.Idle() {
			return false
		}
	}
	return true
}

func (g *Gateway) closeConnections() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for c := range g.connections {
		_ = c.conn.Close() // its reader ends, whatever this returns
	}
}
