package gateway

import (
	"context"
	"errors"
	"net"
	"time"
)

// acceptBackoff is the delay after a failed accept. Without it the accept loop would spin, for example while the process is out of
// file descriptors.
const acceptBackoff = 100 * time.Millisecond

// accept serves client connections until the listener is closed or ctx ends. Of consecutive connections rejected for the limit only
// the first is logged.
func (g *Gateway) accept(ctx context.Context) {
	rejecting := false
	for {
		conn, err := g.listener.Accept()
		if err != nil {
			if !g.retryAccept(ctx, err) {
				return
			}
			continue
		}
		c := g.addConnection(conn)
		if c == nil {
			if !rejecting {
				g.log.Warn("client connection rejected: as many are open as bounds.connections allows", "limit", g.limits.Connections)
			}
			rejecting = true
			_ = conn.Close() // nothing was written, so an error has no effect
			continue
		}
		rejecting = false
		g.wg.Go(func() {
			c.run()
			g.removeConnection(c)
		})
	}
}

// retryAccept waits after a failed accept. It returns false if the listener is closed or ctx has ended.
func (g *Gateway) retryAccept(ctx context.Context, err error) bool {
	if errors.Is(err, net.ErrClosed) || ctx.Err() != nil {
		return false
	}
	g.log.Warn("accept failed; retrying", "err", err)
	select {
	case <-time.After(acceptBackoff):
		return true
	case <-ctx.Done():
		return false
	}
}

// addConnection registers a connection; nil: the limit is reached, or the gateway is shutting down.
func (g *Gateway) addConnection(conn net.Conn) *clientConn {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.connections) >= g.limits.Connections || g.shuttingDown.Load() {
		return nil
	}
	c := newClientConn(g, conn)
	g.connections[c] = true
	return c
}

func (g *Gateway) removeConnection(c *clientConn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.connections, c)
}
