package engine

import (
	"context"
	"slices"
	"sync/atomic"
	"testing"
)

// startLoop runs c in l. The function returned waits until what is queued by then has run, and ends the loop.
func startLoop(l *Loop, c *Core) (finish func()) {
	ctx, stop := context.WithCancel(context.Background())
	go l.Run(ctx, c) // ended by finish
	return func() {
		done := make(chan struct{})
		l.Post(func(*Core) { close(done) })
		<-done
		stop()
		<-l.Done()
	}
}

// Events come faster than the loop takes them, and after it has ended. A full queue must refuse what may be refused, all
// else must run, and a loop that has ended must not let its callers wait for ever.
func TestLoop(t *testing.T) {
	l := NewLoop(2)
	for i, want := range []bool{true, true, false} {
		if got := l.TryPost(func(*Core) {}); got != want {
			t.Errorf("a queue of two, event %d: taken %v", i, got)
		}
	}
	if l.Now() < start {
		t.Errorf("the clock stands near zero: %v", l.Now())
	}
	finish := startLoop(l, newQuietEngine(settings()).Core)
	var ran atomic.Int64
	for range 1000 {
		l.Post(func(*Core) { ran.Add(1) })
	}
	finish()
	if ran.Load() != 1000 {
		t.Errorf("%d events ran", ran.Load())
	}
	taken := 0
	for range 3 { // the queue has room for two that nobody runs
		if l.Post(func(*Core) {}) {
			taken++
		}
	}
	if taken == 3 {
		t.Error("a loop that has ended takes more")
	}
}

// A client disconnected while its request waited in a long queue, and the request was run for nobody. An urgent event
// goes before all that is queued, so the request must leave nothing to do.
func TestFirst(t *testing.T) {
	l := NewLoop(4)
	e := newQuietEngine(settings())
	var order []string
	request := &Request{Volume: "v", Class: "read", Object: "o", Units: 1, Respond: func(Response) { t.Error("a response for nobody") }}
	l.Post(func(*Core) { order = append(order, "queued") })
	l.Post(func(c *Core) { c.Submit(request) })
	l.PostUrgent(func(c *Core) { c.ClientDisconnected(request); order = append(order, "urgent") })
	startLoop(l, e.Core)()
	if !slices.Equal(order, []string{"urgent", "queued"}) || len(e.sent) > 0 || e.Counts().Received > 0 {
		t.Errorf("%v, %d sent, %+v", order, len(e.sent), e.Counts())
	}
}
