package downstream

import (
	"io"
	"net"
	"time"

	"weirhaven/internal/httpgateway/metrics"
	"weirhaven/internal/httpgateway/socket"
)

// firstRequestGrace is how long a connection that is retired before its first request may still begin one.
const firstRequestGrace = 100 * time.Millisecond

// maxLingerBytes bounds what is read and dropped of a client that goes on sending.
const maxLingerBytes = 1 << 20

// lingeringClose ends a connection so that its last response is received: nothing more is sent, and a bounded rest is read.
// Were the socket closed with unread bytes in it, the kernel would answer with a reset, which destroys a response that the
// client has not read yet.
func (c *conn) lingeringClose() {
	c.closeWrite()
	c.server.moveTo(c, lingering, time.Now().Add(c.lingerTime()))
	_, _ = io.Copy(io.Discard, io.LimitReader(c.nc, maxLingerBytes)) // ends with the client, or at the deadline
}

// awaitFirstRequest keeps a retired connection that never had a request for a last moment, and reports whether its first one
// begins in it, which is then served. The client has just connected, so it is about to send, and nothing has told it that the
// connection may end.
func (c *conn) awaitFirstRequest() bool {
	if !c.server.takeLingerSlot(c) {
		return false
	}
	c.server.moveTo(c, lingering, time.Now().Add(min(c.lingerTime(), firstRequestGrace)))
	if c.reader.Await() != nil {
		return false
	}
	c.closeReason = "" // of its response, not of the retirement
	return true
}

// isFresh reports whether no request was served on the connection.
func (c *conn) isFresh() bool { return !c.requestDeadline.IsZero() }

// halfClose ends a connection that owes nothing: nothing more is sent, and the client may end its side. What it still sends
// stays unread, so that its request counts as one that met the end between two requests, which the client may retry. A
// request that was read would be owed a response.
func (c *conn) halfClose() {
	if !c.server.takeLingerSlot(c) {
		return
	}
	c.closeWrite()
	c.server.moveTo(c, lingering, time.Now().Add(c.lingerTime()))
	socket.AwaitClose(c.nc)
}

// closeWrite ends the sending side.
func (c *conn) closeWrite() {
	if tcp, ok := c.nc.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
}

// lingerTime is how long the connection may linger: less while the process shuts down or others need room.
func (c *conn) lingerTime() time.Duration {
	linger := lingerTimeout
	if deadline := time.Duration(c.server.shutdownDeadline.Load()); deadline > 0 {
		linger = min(linger, max(deadline-c.server.options.Loop.Now(), 0))
	}
	if reason, retired := c.server.retirement(c); retired && reason == metrics.Evicted {
		linger = min(linger, minLingering)
	}
	return linger
}
