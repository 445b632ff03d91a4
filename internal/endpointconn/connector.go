// Package endpointconn manages the connections to storage endpoints over the line protocol: one pipelined connection for each
// endpoint, established when the first attempt needs it.
//
// The outcome of each attempt and health check that is not canceled or abandoned is reported to the engine exactly once. The
// outcome is policy.ConnectFailed only if no byte of the message can have reached the endpoint, since the scheduler may then
// retry it freely; in case of doubt it is policy.ConnectionReset.
//
// The engine enforces the timeouts of attempts. This package has timeouts only for connecting, writing and idle connections.
package endpointconn

import (
	"context"
	"log/slog"
	"net"
	"sync"

	"weirhaven/internal/engine"
	"weirhaven/internal/settings"
)

// Poster queues events for the engine's loop. Post may block while the queue is full; it returns false after the loop has ended.
type Poster interface {
	Post(f func(*engine.Core)) bool
}

// Connector makes the connections of one gateway and waits for their goroutines on Close.
type Connector struct {
	gateway string // gateway's name for greetings
	loop    Poster
	limits  settings.Limits
	log     *slog.Logger
	dialer  net.Dialer
	ctx     context.Context // canceled by Close
	cancel  context.CancelFunc
	wg      sync.WaitGroup
}

// New returns a connector for the named gateway.
func New(gateway string, loop Poster, limits settings.Limits, log *slog.Logger) *Connector {
	ctx, cancel := context.WithCancel(context.Background())
	return &Connector{gateway: gateway, loop: loop, limits: limits, log: log, ctx: ctx, cancel: cancel}
}

// Close ends all connections and waits for their goroutines. The engine's loop must still accept events, or have ended.
func (c *Connector) Close() {
	c.cancel()
	c.wg.Wait()
}

// Connect returns the engine.EndpointConn of an endpoint, which connects when the first message is sent.
func (c *Connector) Connect(name, address string) engine.EndpointConn {
	return &endpoint{connector: c, name: name, address: address}
}
