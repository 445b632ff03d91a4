// Package discovery is the connection to the endpoint list service over the line protocol. It keeps connected, requests lists and
// passes them on to a Sink; what they mean is decided elsewhere (package endpointstate).
//
// The service is used in one of two ways. Pushed: the connection stands, and the service sends each change by itself. Polled: a
// connection is made for a request, and each failure goes to the sink, which decides when to request again.
package discovery

import (
	"context"
	"log/slog"
	"math/rand"
	"time"

	"weirhaven/internal/engine"
	"weirhaven/internal/fleet/endpointstate"
	"weirhaven/internal/lineproto"
	"weirhaven/internal/settings"
)

// A pushed connection that ended is made again after a backoff that doubles from minBackoff to maxBackoff, drawn between half and one and
// a half of it, so that gateways that lost the service together don't come back together.
const (
	minBackoff = 50 * time.Millisecond
	maxBackoff = 2 * time.Second
)

// maxQueuedRequests bounds the requests that wait for a connection; one more would ask for the same.
const maxQueuedRequests = 4

// Sink receives the lists. Its methods are called from the goroutines of Run; no call may block for long.
type Sink interface {
	// ListReceived gives a complete list, or the changes since the one before (complete is false).
	ListReceived(g endpointstate.Generation, complete bool, entries []engine.EndpointEntry)
	// ListFailed tells that a request got no list.
	ListFailed()
	// ListUnchanged tells, once a second, that the connection stands: the list received last is still the latest.
	ListUnchanged()
}

// Config of a connection.
type Config struct {
	Address string // host:port of the service; empty: there is none, and every request fails
	Name    string // of this side, for greetings
	Polled  bool   // polled rather than pushed
	Limits  settings.Limits
	Seed    int64 // of the backoff's jitter
	Log     *slog.Logger
	Sink    Sink
}

// Conn is a connection to the endpoint list service.
type Conn struct {
	config   Config
	requests chan string // verbs to send
}

// New returns a connection that is made once Run is called.
func New(c Config) *Conn { return &Conn{config: c, requests: make(chan string, maxQueuedRequests)} }

// RequestList requests the list and its changes from now on. It does not block and may be called from any goroutine.
func (c *Conn) RequestList() {
	select {
	case c.requests <- lineproto.VerbWatchEndpoints:
	default:
	}
}

// Run serves until ctx ends, and returns once all its goroutines have ended.
func (c *Conn) Run(ctx context.Context) {
	switch {
	case c.config.Address == "":
		c.runWithoutService(ctx)
	case c.config.Polled:
		c.runPolled(ctx)
	default:
		c.runPushed(ctx)
	}
}

// runWithoutService fails each request.
func (c *Conn) runWithoutService(ctx context.Context) {
	for {
		select {
		case <-c.requests:
			c.config.Sink.ListFailed()
		case <-ctx.Done():
			return
		}
	}
}

// runPolled makes a connection for each request.
func (c *Conn) runPolled(ctx context.Context) {
	for ctx.Err() == nil {
		var request string
		select {
		case request = <-c.requests:
		case <-ctx.Done():
			return
		}
		_, err := c.serve(ctx, request)
		if ctx.Err() != nil {
			return
		}
		c.logEnd(err)
		c.config.Sink.ListFailed()
	}
}

// runPushed keeps a connection, and makes it again with backoff.
func (c *Conn) runPushed(ctx context.Context) {
	rng := rand.New(rand.NewSource(c.config.Seed))
	backoff := minBackoff
	for ctx.Err() == nil {
		received, err := c.serve(ctx, "")
		if ctx.Err() != nil {
			return
		}
		if received {
			backoff = minBackoff
		}
		c.logEnd(err)
		select {
		case <-time.After(backoff/2 + time.Duration(rng.Int63n(int64(backoff)))):
			backoff = min(2*backoff, maxBackoff)
		case <-ctx.Done():
		}
	}
}

func (c *Conn) logEnd(err error) {
	c.config.Log.Debug("connection to the endpoint list service ended", "err", err)
}
