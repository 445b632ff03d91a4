package gateway

import (
	"time"

	"weirhaven/internal/settings"
)

// shutdownSlack is added to the longest request timeout to get the time limit of a graceful shutdown, since responses sent at the
// deadline still have to be written.
const shutdownSlack = time.Second

// shutDown stops the parts of the gateway in the order of their dependencies: it rejects new requests, completes the open ones, saves
// for the last time, and then stops the loop and closes the connections.
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

// drain rejects new requests and waits until all open requests have got their responses and these are written.
func (g *Gateway) drain() {
	g.shuttingDown.Store(true)
	_ = g.listener.Close() // no connection is accepted afterwards, even if it fails
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

// longestTimeout returns the longest request timeout of all request classes.
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
		_ = c.conn.Close() // ends the connection's reader, even if it fails
	}
}
