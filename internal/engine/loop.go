package engine

import (
	"context"
	"time"

	"weirhaven/internal/clock"
)

const (
	// urgentQueueLength is the capacity of PostUrgent's queue, in events.
	urgentQueueLength = 256
	// maxBatch bounds the events that run before the loop checks its context and resets its timer again.
	maxBatch = 64
	// idleWait is the duration of the loop's timer while the Core has no timer set.
	idleWait = time.Hour
)

// Loop is the goroutine that owns a Core in a real gateway. Events are functions that it receives through bounded queues.
// All methods but Run are safe for concurrent use. An event must not call Post or PostUrgent: if the queue is full, the
// call deadlocks.
type Loop struct {
	events chan func(*Core)
	urgent chan func(*Core) // events that run before the next one of events
	clock  clock.Clock
	done   chan struct{}
}

// NewLoop returns a Loop whose queue holds queueLength events. Its clock runs from now on; queued events wait for Run.
func NewLoop(queueLength int) *Loop {
	return &Loop{
		events: make(chan func(*Core), queueLength),
		urgent: make(chan func(*Core), urgentQueueLength),
		clock:  clock.New(),
		done:   make(chan struct{}),
	}
}

// Now returns the time on the process's clock. The Core's clock is advanced to it before each event.
func (l *Loop) Now() time.Duration { return l.clock.Now() }

// Run owns c until ctx ends, then calls c.Stop and drops the events that are still queued. Call Run once.
func (l *Loop) Run(ctx context.Context, c *Core) {
	defer close(l.done)
	timer := time.NewTimer(idleWait)
	defer timer.Stop()
	for {
		timer.Reset(l.untilNextTimer(c))
		select {
		case <-ctx.Done():
			c.Stop()
			return
		case <-timer.C:
			l.runUrgent(c)
			c.Advance(l.Now())
		case event := <-l.urgent:
			l.runEvent(c, event)
		case event := <-l.events:
			l.runBatch(c, event)
		}
	}
}

func (l *Loop) untilNextTimer(c *Core) time.Duration {
	dueAt, ok := c.NextTimer()
	if !ok {
		return idleWait
	}
	return max(dueAt-l.Now(), 0)
}

// runBatch runs an event and up to maxBatch more that are already queued, without resetting the timer for each of them.
func (l *Loop) runBatch(c *Core, event func(*Core)) {
	for more := min(len(l.events), maxBatch); ; more-- {
		l.runUrgent(c)
		l.runEvent(c, event)
		if more <= 0 {
			return
		}
		event = <-l.events
	}
}

// runUrgent runs all queued urgent events.
func (l *Loop) runUrgent(c *Core) {
	for {
		select {
		case event := <-l.urgent:
			l.runEvent(c, event)
		default:
			return
		}
	}
}

func (l *Loop) runEvent(c *Core, event func(*Core)) {
	c.Advance(l.Now())
	event(c)
}

// Post queues an event and blocks while the queue is full. It returns false, without queuing the event, only after the
// loop has ended. A queued event runs unless the loop ends first.
func (l *Loop) Post(event func(*Core)) bool {
	select {
	case l.events <- event:
		return true
	case <-l.done:
		return false
	}
}

// TryPost queues an event unless the queue is full; it reports whether it did, and never blocks.
func (l *Loop) TryPost(event func(*Core)) bool {
	select {
	case l.events <- event:
		return true
	default:
		return false
	}
}

// PostUrgent is like Post, but its events run before all events of Post and TryPost. It is for events that invalidate
// queued ones, such as a client's disconnect or the drain of an endpoint.
func (l *Loop) PostUrgent(event func(*Core)) bool {
	select {
	case l.urgent <- event:
		return true
	case <-l.done:
		return false
	}
}

// Done returns a channel that is closed when the loop has ended.
func (l *Loop) Done() <-chan struct{} { return l.done }
