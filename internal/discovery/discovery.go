// Package discovery connects to the endpoint list service over the line protocol, requests endpoint lists and passes them to a Sink.
// Package endpointstate interprets them.
//
// There are two modes. Pushed: the connection is kept open, and the service sends each change unasked. Polled: a connection is opened
// for each request, and each failure is reported to the sink, which decides when to request again.
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

// A pushed connection that ended is reopened after a backoff that doubles from minBackoff to maxBackoff, with a jitter of half to one
// and a half times its value, so that gateways that were disconnected together don't reconnect together.
const (
	minBackoff = 50 * time.Millisecond
	maxBackoff = 2 * time.Second
)

// maxQueuedRequests is the maximum number of requests queued for a connection. Further ones would request the same list.
const maxQueuedRequests = 4

// Sink receives the lists. The goroutines of Run call its methods, which must not block for long.
type Sink interface {
	// ListReceived passes a complete list, or the changes since the previous one (complete is false).
	ListReceived(g endpointstate.Generation, complete bool, entries []engine.EndpointEntry)
	// ListFailed reports that a request got no list.
	ListFailed()
	// ListUnchanged reports, once per confirmInterval, that the connection is open: the list received last is still current.
	ListUnchanged()
}

// Config configures a Conn.
type Config struct {
	Address string // host:port of the service; empty: no service, every request fails
	Name    string // name of this side in greetings
	Polled  bool   // polled instead of pushed mode
	Limits  settings.Limits
	Seed    int64 // seed of the backoff's jitter
	Log     *slog.Logger
	Sink    Sink
}

// Conn is a connection to the endpoint list service.
type Conn struct {
	config   Config
	requests chan string // verbs to send
}

// New returns a Conn. Run opens the connection.
func New(c Config) *Conn { return &Conn{config: c, requests: make(chan string, maxQueuedRequests)} }

// RequestList requests the list and all later changes. It does not block and may be called from any goroutine.
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

// runWithoutService reports each request as failed.
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

// runPolled opens a connection for each request.
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

// runPushed keeps a connection open and reopens it with backoff.
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
