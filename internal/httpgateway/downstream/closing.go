package downstream

import (
	"net"
	"time"

	"weirhaven/internal/httpgateway/metrics"
	"weirhaven/internal/httpgateway/socket"
)

// firstRequestGrace is the grace period within which a connection that was retired before its first request may begin one.
const firstRequestGrace = 100 * time.Millisecond

// maxLingerBytes is the limit on bytes that are read and discarded from a client that goes on sending.
const maxLingerBytes = 1 << 20

// lingeringClose closes the sending side of a connection and discards a bounded amount of input, so that the client receives
// the last response. If the socket were closed with unread input, the kernel would send a reset, which destroys a response
// that the client has not read yet.
func (c *conn) lingeringClose() {
	c.endTurn()
	if c.heldBack && c.retiredFor(metrics.Evicted) {
		socket.DiscardReceived(c.nc, maxLingerBytes) // a new connection waits for the place; this client has had its time to send
		return
	}
	c.closeWrite()
	c.server.moveTo(c, lingering, time.Now().Add(c.lingerTime()))
	socket.Discard(c.nc, maxLingerBytes) // returns when the client closes, or at the deadline
}

// awaitFirstRequest waits for firstRequestGrace on a retired connection that has had no request yet. It reports whether the
// first request begins in that time; it is then served. The client has just connected, so it is probably about to send, and
// it can't know that the connection is being closed.
func (c *conn) awaitFirstRequest() bool {
	if !c.server.takeLingerSlot(c) {
		return false
	}
	c.server.moveTo(c, lingering, time.Now().Add(min(c.lingerTime(), firstRequestGrace)))
	if c.reader.Await() != nil {
		return false
	}
	c.closeReason = "" // set again after the response
	return true
}

// isFresh reports whether no request has been served on the connection.
func (c *conn) isFresh() bool { return !c.requestDeadline.IsZero() }

// halfClose closes the sending side of a connection without a pending response and waits for the client to close its side. It
// reads nothing: a request that arrives now was sent on a connection that closed between two requests, so the client may
// retry it. A request that was read would need a response.
func (c *conn) halfClose() {
	if !c.server.takeLingerSlot(c) {
		return
	}
	c.closeWrite()
	c.server.moveTo(c, lingering, time.Now().Add(c.lingerTime()))
	socket.AwaitClose(c.nc)
}

// closeWrite closes the sending side of the connection.
func (c *conn) closeWrite() {
	if tcp, ok := c.nc.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
}

// retiredFor reports whether the connection is retired for a reason.
func (c *conn) retiredFor(reason metrics.Reason) bool {
	actual, retired := c.server.retirement(c)
	return retired && actual == reason
}

// lingerTime returns how long the connection may linger: less than lingerTimeout during shutdown or after an eviction.
func (c *conn) lingerTime() time.Duration {
	linger := lingerTimeout
	if deadline := time.Duration(c.server.shutdownDeadline.Load()); deadline > 0 {
		linger = min(linger, max(deadline-c.server.options.Loop.Now(), 0))
	}
	if c.retiredFor(metrics.Evicted) {
		linger = min(linger, minLingering)
	}
	return linger
}
