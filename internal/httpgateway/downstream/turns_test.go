package downstream

import (
	"testing"
	"time"
)

// A pipelined request that an endpoint keeps waiting must not keep its turn: the pipelined requests of other clients need it.
func TestFollowersTurnEnds(t *testing.T) {
	c, _ := newTestConn(t)
	for range followerTurns - 1 {
		c.server.followers.take()
	}
	c.beginTurn(true)
	c.limitTurn() // the engine does not answer
	if c.server.followers.tryTake() {
		t.Fatal("the turn is free at once")
	}
	taken := make(chan struct{})
	go func() {
		c.server.followers.take()
		close(taken)
	}()
	select {
	case <-taken:
	case <-time.After(100 * maxFollowerTurn):
		t.Fatal("the turn was kept")
	}
	c.endTurn()
	if c.server.followers.tryTake() {
		t.Error("the turn was given back twice")
	}
}

// A connection gives its turn back while it waits for bytes, for memory or for its penalty, and whenever it ends.
func TestNewcomersTurn(t *testing.T) {
	c, client := newTestConn(t)
	c.beginTurn(false)
	c.server.moveTo(c, fresh, time.Now().Add(50*time.Millisecond))
	if err := c.reader.Await(); err == nil {
		t.Error("nothing was sent")
	}
	client.Close()
	c.finish()
	for range newcomerTurns {
		if !c.server.newcomers.tryTake() {
			t.Fatal("a turn is missing")
		}
	}
	if c.server.newcomers.tryTake() {
		t.Error("there are more turns than before")
	}
}

// A request's timeout starts when its bytes have come, not when its connection gets a turn to read them.
func TestWaitForTurnCounts(t *testing.T) {
	c, client := newTestConn(t)
	for range newcomerTurns {
		c.server.newcomers.take()
	}
	c.needsTurn = c.server.newcomers
	client.Write([]byte("GET"))
	const wait = 100 * time.Millisecond
	time.AfterFunc(wait, c.server.newcomers.end)
	if err := c.reader.Await(); err != nil {
		t.Fatal(err)
	}
	if age := c.server.options.Loop.Now() - c.pipeline.arrivalTime(c.reader.Buffered()); age < wait/2 {
		t.Errorf("the bytes came %v ago, wanted %v", age, wait)
	}
}
