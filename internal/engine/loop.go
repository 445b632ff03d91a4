package engine

import (
	"context"
	"time"

	"weirhaven/internal/clock"
)

// Loop is the one goroutine that owns a Core. Events reach it as calls through a bounded queue.
type Loop struct {
	events chan func(*Core)
	urgent chan func(*Core) // before the next of events
	clock  clock.Clock
	done   chan struct{}
}

const (
	urgentQueueLength = 256
	maxBatch          = 64 // events between two settings of the timer
)

// NewLoop makes one whose queue holds so many events.
func NewLoop(queue int) *Loop {
	return &Loop{events: make(chan func(*Core), queue), urgent: make(chan func(*Core), urgentQueueLength), clock: clock.New(), done: make(chan struct{})}
}

// Now is the process's clock.
func (l *Loop) Now() time.Duration { return l.clock.Now() }

// Run owns c until ctx ends, then calls Stop.
func (l *Loop) Run(ctx context.Context, c *Core) {
	defer close(l.done)
	alarm := time.NewTimer(time.Hour)
	defer alarm.Stop()
	for {
		wait := time.Hour
		if at, ok := c.Next(); ok {
			wait = max(at-l.Now(), 0)
		}
		alarm.Reset(wait)
		select {
		case <-ctx.Done():
			c.Stop()
			return
		case <-alarm.C:
			l.runUrgent(c)
			c.Advance(l.Now())
		case f := <-l.urgent:
			c.Advance(l.Now())
			f(c)
		case f := <-l.events:
			for n := min(len(l.events), maxBatch); ; n-- { // many at a time: timers need not be set for each
				l.runUrgent(c)
				c.Advance(l.Now())
				f(c)
				if n <= 0 {
					break
				}
				f = <-l.events
			}
		}
	}
}

// firsts lets happen what must not wait behind the queue.
func (l *Loop) runUrgent(c *Core) {
	for {
		select {
		case f := <-l.urgent:
			c.Advance(l.Now())
			f(c)
		default:
			return
		}
	}
}

// First queues an event that goes before all of Offer and Post: news after which what is queued must not be begun. It
// waits for room and fails only once the loop has ended.
func (l *Loop) PostUrgent(f func(*Core)) bool {
	select {
	case l.urgent <- f:
		return true
	case <-l.done:
		return false
	}
}

// Offer queues an event unless the queue is full.
func (l *Loop) TryPost(f func(*Core)) bool {
	select {
	case l.events <- f:
		return true
	default:
		return false
	}
}

// Post queues an event that must not be lost; it waits for room. It fails only once the loop has ended.
func (l *Loop) Post(f func(*Core)) bool {
	select {
	case l.events <- f:
		return true
	case <-l.done:
		return false
	}
}

// Done is closed when the loop has ended.
func (l *Loop) Done() <-chan struct{} { return l.done }
