package downstream

import (
	"sync"
	"time"

	"weirhaven/internal/httpgateway/socket"
)

// turns limits how many connections of one kind work at the same time. Those that wait are served in their order.
//
// One part of a core serves all connections of a process. Without a limit the steps of a request that was accepted (to the engine, to
// the endpoint, back, to the client) each wait behind hundreds of connections that are ready to be read.
type turns struct{ free chan struct{} }

// Numbers of connections that work at the same time.
const (
	// newcomerTurns is for accepting connections that have not had a response from the engine, and for reading and refusing their
	// requests. Further ones wait in the kernel's accept queue.
	newcomerTurns = 8
	// followerTurns is for pipelined requests behind an earlier one, from their reading to the engine's response, but not for longer
	// than maxFollowerTurn. Most clients send one request at a time.
	followerTurns   = 16
	maxFollowerTurn = 20 * time.Millisecond
)

func newTurns(count int) *turns {
	t := &turns{free: make(chan struct{}, count)}
	for range count {
		t.free <- struct{}{}
	}
	return t
}

// take waits for a turn.
func (t *turns) take() { <-t.free }

// tryTake takes a turn if one is free.
func (t *turns) tryTake() bool {
	select {
	case <-t.free:
		return true
	default:
		return false
	}
}

// end gives a turn back.
func (t *turns) end() { t.free <- struct{}{} }

// heldTurn is a turn that a connection has.
type heldTurn struct {
	of    *turns
	ended sync.Once
}

// end gives the turn back; a second call has no effect. It may be called from any goroutine.
func (t *heldTurn) end() { t.ended.Do(t.of.end) }

// takeTurn waits for the connection's turn, if its present request needs one.
func (c *conn) takeTurn() {
	if c.needsTurn != nil && c.turn == nil {
		c.needsTurn.take()
		c.turn = &heldTurn{of: c.needsTurn}
	}
}

// endTurn gives the connection's turn back, if it has one.
func (c *conn) endTurn() {
	if c.turn != nil {
		c.turn.end()
		c.turn = nil
	}
}

// limitTurn gives the connection's turn back when its request was submitted, or soon after if it is a pipelined one: an endpoint that
// hangs must not hold up the pipelined requests of all clients.
func (c *conn) limitTurn() {
	if c.turn == nil || c.needsTurn != c.server.followers {
		c.endTurn()
		return
	}
	time.AfterFunc(maxFollowerTurn, c.turn.end)
}

// awaitTurnToRead gives the turn back while there is nothing to read, and takes it again before the read.
func (c *conn) awaitTurnToRead() {
	if socket.Peek(c.nc) == socket.Empty {
		c.endTurn()
		socket.AwaitReadable(c.nc) // returns early at the read deadline, which the read then reports
	}
	c.readableAt = c.server.options.Loop.Now() // before the turn: a request's timeout starts when it has come
	c.takeTurn()
}

// beginTurn takes a turn for the request whose first byte has come. follows is true if the request came behind another one before
// that had its response.
func (c *conn) beginTurn(follows bool) {
	var needed *turns
	switch {
	case follows:
		needed = c.server.followers
	case !c.proven:
		needed = c.server.newcomers
	}
	if needed != c.needsTurn {
		c.endTurn()
		c.needsTurn = needed
	}
	c.takeTurn()
}
