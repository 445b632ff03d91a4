// Package endpointconn keeps the connections to storage endpoints over the line protocol: one for each endpoint, pipelined, made when
// the first attempt needs it.
//
// Each attempt and health check that is not canceled or abandoned is reported to the engine once, with the one way in which it
// ended. "Connect failed" is reported only where no byte of it can have reached the endpoint, since the scheduler then retries
// it freely; any doubt makes it a connection reset.
//
// Timeouts of attempts are the engine's; the package bounds only connecting, writing and idleness.
package endpointconn

import (
	"context"
	"log/slog"
	"net"
	"sync"

	"weirhaven/internal/engine"
	"weirhaven/internal/settings"
)

// Poster takes events for the engine's loop. It may block until there is space for one, and returns false once the loop has ended.
type Poster interface {
	Post(f func(*engine.Core)) bool
}

// Connector makes the connections of one gateway and joins their goroutines.
type Connector struct {
	gateway string // name, for greetings
	loop    Poster
	limits  settings.Limits
	log     *slog.Logger
	dialer  net.Dialer
	ctx     context.Context // ends with Close
	cancel  context.CancelFunc
	wg      sync.WaitGroup
}

// New returns a connector for the gateway of that name.
func New(gateway string, loop Poster, limits settings.Limits, log *slog.Logger) *Connector {
	ctx, cancel := context.WithCancel(context.Background())
	return &Connector{gateway: gateway, loop: loop, limits: limits, log: log, ctx: ctx, cancel: cancel}
}

// Close ends all connections and waits for their goroutines. The engine's loop must still take events, or have ended.
func (c *Connector) Close() {
	c.cancel()
	c.wg.Wait()
}

// Connect returns the way to one endpoint. The connection itself is made when it is needed.
func (c *Connector) Connect(name, address string) engine.EndpointConn {
	return &endpoint{connector: c, name: name, address: address}
}
