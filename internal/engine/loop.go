package engine

import (
	"context"
	"time"

	"weirhaven/internal/clock"
)

const (
	// urgentQueueLength bounds the events of PostUrgent that wait.
	urgentQueueLength = 256
	// maxBatch is how many queued events run before the loop looks at its context and resets its timer.
	maxBatch = 64
	// idleWait is the timer's wait while the Core has no timer.
	idleWait = time.Hour
)

// Loop is the goroutine that owns a Core in a real gateway. Events reach it as functions through bounded queues. All
// methods but Run are safe for concurrent use. An event itself must not call Post or PostUrgent: with a full queue it would
// wait for its own loop.
type Loop struct {
	events chan func(*Core)
	urgent chan func(*Core) // before the next of events
	clock  clock.Clock
	done   chan struct{}
}

// NewLoop returns a Loop whose queue holds queueLength events. Its clock runs from now on; events wait until Run.
func NewLoop(queueLength int) *Loop {
	return &Loop{
		events: make(chan func(*Core), queueLength),
		urgent: make(chan func(*Core), urgentQueueLength),
		clock:  clock.New(),
		done:   make(chan struct{}),
	}
}

// Now returns the process's clock, to which the Core's is set before each event.
func (l *Loop) Now() time.Duration { return l.clock.Now() }

// Run owns c until ctx ends, and calls its Stop then. Events that are queued at that time are dropped. Call it once.
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

// runBatch runs an event and up to maxBatch more that are queued already: the timer need not be reset for each.
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

// runUrgent runs what must not wait behind the queue.
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

// Post queues an event that must not be lost. It waits while the queue is full, and returns false, the event not queued,
// only once the loop has ended. An event that was queued runs unless the loop ends first.
func (l *Loop) Post(event func(*Core)) bool {
	select {
	case l.events <- event:
		return true
	case <-l.done:
		return false
	}
}

// TryPost queues an event unless the queue is full; it reports whether it did, and never waits.
func (l *Loop) TryPost(event func(*Core)) bool {
	select {
	case l.events <- event:
		return true
	default:
		return false
	}
}

// PostUrgent queues an event that runs before all of Post and TryPost: one after which what is queued must not begin, such
// as that a client has disconnected or that an endpoint drains. Otherwise it is like Post.
func (l *Loop) PostUrgent(event func(*Core)) bool {
	select {
	case l.urgent <- event:
		return true
	case <-l.done:
		return false
	}
}

// Done is closed when the loop has ended.
func (l *Loop) Done() <-chan struct{} { return l.done }
