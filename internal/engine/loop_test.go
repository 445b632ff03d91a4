package engine

import (
	"context"
	"slices"
	"sync/atomic"
	"testing"
)

// startLoop runs l with c. The returned function waits until the events queued before it have run, then ends the loop.
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

// Events come faster than the loop runs them, and after it has ended. TryPost must refuse an event if the queue is full,
// all events of Post must run, and Post must not block forever after the loop has ended.
func TestLoopQueueLimitAndEnd(t *testing.T) {
	l := NewLoop(2)
	for i, want := range []bool{true, true, false} {
		if got := l.TryPost(func(*Core) {}); got != want {
			t.Errorf("queue of two, event %d: TryPost returned %v", i, got)
		}
	}
	if l.Now() < start {
		t.Errorf("the clock is near zero: %v", l.Now())
	}
	finish := startLoop(l, newQuietEngine(settings()).Core)
	var ran atomic.Int64
	for range 1000 {
		l.Post(func(*Core) { ran.Add(1) })
	}
	finish()
	if ran.Load() != 1000 {
		t.Errorf("%d of 1000 events ran", ran.Load())
	}
	accepted := 0
	for range 3 { // the queue has capacity for two, which never run
		if l.Post(func(*Core) {}) {
			accepted++
		}
	}
	if accepted == 3 {
		t.Error("Post accepts more events than the queue holds after the loop has ended")
	}
}

// Guards against sending a request whose client disconnected while the request was queued: urgent events must run before
// all queued ones, and the request must then be dropped.
func TestUrgentEventsFirst(t *testing.T) {
	l := NewLoop(4)
	e := newQuietEngine(settings())
	var order []string
	request := &Request{Volume: "v", Class: "read", Object: "o", Units: 1,
		Respond: func(Response) { t.Error("response after the client disconnected") }}
	l.Post(func(*Core) { order = append(order, "queued") })
	l.Post(func(c *Core) { c.Submit(request) })
	l.PostUrgent(func(c *Core) { c.ClientDisconnected(request); order = append(order, "urgent") })
	startLoop(l, e.Core)()
	if !slices.Equal(order, []string{"urgent", "queued"}) || len(e.sent) > 0 || e.Counts().Received > 0 {
		t.Errorf("%v, %d sent, %+v", order, len(e.sent), e.Counts())
	}
}
