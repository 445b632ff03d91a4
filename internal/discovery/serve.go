package discovery

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"weirhaven/internal/lineproto"
)

// minListBody is the minimum limit on the size of a list, in bytes. It applies even if the settings limit the bodies of requests to
// less.
const minListBody = 16 << 20

// confirmInterval is the interval at which the sink is notified that the list received last is still current.
const confirmInterval = time.Second

// serve opens a connection, sends the request ("": none) and reads until the connection ends. It returns whether a list was
// received, and the cause of the end.
func (c *Conn) serve(ctx context.Context, request string) (received bool, err error) {
	limits := c.config.Limits
	dialer := net.Dialer{Timeout: limits.ConnectTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", c.config.Address)
	if err != nil {
		return false, fmt.Errorf("connect to the list service: %w", err)
	}
	defer func() { _ = conn.Close() }()
	stopWatching := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stopWatching()
	reader := lineproto.NewConnReader(conn, max(limits.MaxBody, minListBody), 0, limits.StallTimeout)
	if _, err := lineproto.Greet(conn, reader, lineproto.RoleGateway, c.config.Name, limits.StallTimeout, nil); err != nil {
		return false, fmt.Errorf("list service: %w", err)
	}
	if request != "" {
		if err := c.send(conn, request); err != nil {
			return false, err
		}
	}
	stop := c.startWriter(ctx, conn)
	defer stop()
	return c.readLists(reader)
}

// startWriter starts the goroutines that send requests and confirm the list while the connection is open. The returned function stops
// both, closes the connection and waits for them.
func (c *Conn) startWriter(ctx context.Context, conn net.Conn) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	wg.Go(func() { c.sendRequests(ctx, conn) })
	wg.Go(func() { c.confirm(ctx) })
	return func() {
		cancel()
		_ = conn.Close() // unblocks a pending write
		wg.Wait()
	}
}

// sendRequests sends requests until ctx ends. If a write fails, it closes the connection, which also ends the reader.
func (c *Conn) sendRequests(ctx context.Context, conn net.Conn) {
	for {
		select {
		case request := <-c.requests:
			if c.send(conn, request) != nil {
				_ = conn.Close()
				return
			}
		case <-ctx.Done():
			return
		}
	}
}

func (c *Conn) send(conn net.Conn, verb string) error {
	var message lineproto.Builder
	_ = conn.SetWriteDeadline(time.Now().Add(c.config.Limits.StallTimeout)) // fails only on a closed connection, as the write does then
	_, err := conn.Write(message.Start(verb, 0).End(nil).Buffer)
	return err
}

// confirm notifies the sink at each confirmInterval until ctx ends that the list received last is still current.
func (c *Conn) confirm(ctx context.Context) {
	tick := time.NewTicker(confirmInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			c.config.Sink.ListUnchanged()
		case <-ctx.Done():
			return
		}
	}
}

// readLists passes lists to the sink until the connection ends. It logs and ignores malformed lists.
func (c *Conn) readLists(reader *lineproto.Reader) (received bool, err error) {
	for {
		m, err := reader.Read()
		if err != nil {
			return received, err
		}
		switch m.Verb {
		case lineproto.VerbEndpointList:
			generation, complete, entries, err := Parse(m)
			if err != nil {
				c.config.Log.Warn("rejected an endpoint list; the one before stays in use", "err", err)
				continue
			}
			received = true
			c.config.Sink.ListReceived(generation, complete, entries)
		case lineproto.VerbRejected, lineproto.VerbFailed, lineproto.VerbMalformed:
			c.config.Sink.ListFailed()
		}
	}
}
