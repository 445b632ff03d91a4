package downstream

import (
	"container/list"
	"time"

	"weirhaven/internal/httpgateway/metrics"
)

// place is what a connection without a request in progress does.
type place int

const (
	lingering place = iota // its last answer is out; what its client still sends is read and dropped
	fresh                  // no request so far
	resting                // between two requests
	reading                // a request has begun and is not whole
	places
)

// Young connections are spared: a usual client asks as soon as it has connected and sends its request in one go.
const (
	spareLingering = 100 * time.Millisecond
	spareFresh     = 50 * time.Millisecond
	spareReading   = 50 * time.Millisecond
	longResting    = 2 * time.Second
	longFresh      = 500 * time.Millisecond
	longReading    = time.Second
)

// evictionOrder is how connections make room for new ones: the oldest of the first place that holds one of that age.
var evictionOrder = []struct {
	place place
	age   time.Duration
}{{lingering, spareLingering}, {resting, longResting}, {fresh, longFresh}, {reading, longReading},
	{resting, 0}, {fresh, spareFresh}, {reading, spareReading}}

const (
	// overflow connections may be open beyond MaxConnections: those that are being closed, and those whose requests are refused.
	overflow = 6
	// With more than lingerSlots being closed, one that was not answered just now is closed without lingering.
	lingerSlots = overflow / 2
	// While accept has been waiting for patience, connections wait in the kernel's queue: nothing is spared for longer than spareLeast.
	patience   = 20 * time.Millisecond
	spareLeast = 25 * time.Millisecond
	// An accept that takes acceptBlocks found the kernel's queue empty.
	acceptBlocks = time.Millisecond
	// mostQueued is the longest that a connection is taken to have waited there: how long it did is not known.
	mostQueued = 300 * time.Millisecond
	// roomPoll is how often room is looked for while there is none.
	roomPoll = 5 * time.Millisecond
)

// awaitDescriptor returns once one more connection may be opened.
func (f *Server) awaitDescriptor() {
	for !f.ending.Load() {
		if f.hasDescriptor() {
			return
		}
		if f.crowdedSince.IsZero() {
			f.crowdedSince = time.Now()
		}
		select {
		case <-f.closedOne:
		case <-time.After(roomPoll):
		}
	}
}

func (f *Server) hasDescriptor() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.conns) < f.options.MaxConnections+overflow {
		return true
	}
	if oldest := f.leaving.Front(); oldest != nil {
		f.cut(oldest.Value.(*conn))
	} else if f.retiring < overflow {
		f.evictOne()
	}
	return false
}

// cut ends the lingering of a connection that is being closed. The caller holds mu.
func (f *Server) cut(c *conn) {
	f.unplace(c)
	c.nc.SetReadDeadline(longAgo)
}

// spared is how long a connection is spared that is asked to go from an age on.
func (f *Server) spared(age time.Duration) time.Duration {
	if !f.crowdedSince.IsZero() && time.Since(f.crowdedSince) >= patience {
		return min(age, spareLeast)
	}
	return age
}

// evictOne retires the connection that can best be done without. The caller holds mu.
func (f *Server) evictOne() {
	for _, step := range evictionOrder {
		oldest := f.places[step.place].Front()
		if oldest == nil {
			continue
		}
		c := oldest.Value.(*conn)
		if time.Since(c.since) < f.spared(step.age) {
			continue
		}
		f.counts.Evicted++
		f.retire(c, metrics.Evicted)
		return
	}
}

// retire asks a connection's goroutine to end it. That goroutine alone closes: it looks first whether a request has come,
// which then is served as the last one. The caller holds mu.
func (f *Server) retire(c *conn, why metrics.Reason) {
	f.unplace(c)
	if !c.retired {
		c.retired = true
		f.retiring++
	}
	c.retiredFor = why
	c.nc.SetReadDeadline(longAgo)
}

// reprieve takes a retirement back: the connection has a request, which will be its last. The caller holds mu.
func (f *Server) reprieve(c *conn) {
	if c.retired {
		c.retired, c.last = false, true
		f.retiring--
	}
}

// moveTo says what a connection does from now on, and until when it may wait for bytes.
func (f *Server) moveTo(c *conn, p place, deadline time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.unplace(c)
	f.leaveBusy(c)
	if c.retired && p != lingering {
		return // its deadline is over already
	}
	c.nc.SetReadDeadline(deadline)
	c.list = &f.places[p]
	if c.retired {
		c.list = &f.leaving
	}
	c.element, c.since = c.list.PushBack(c), time.Now()
}

// admit marks a connection as one with a request in progress; false: there are as many as there may be.
func (f *Server) admit(c *conn) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.unplace(c)
	f.reprieve(c)
	if f.busy >= f.options.MaxConnections {
		return false
	}
	f.busy++
	c.busy = true
	return true
}

func (f *Server) leaveBusy(c *conn) {
	if c.busy {
		c.busy = false
		f.busy--
	}
}

func (f *Server) unplace(c *conn) {
	if c.element != nil {
		c.list.Remove(c.element)
		c.element = nil
	}
}

// closed forgets a connection whose socket is gone.
func (f *Server) closed(c *conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.unplace(c)
	f.leaveBusy(c)
	if c.retired {
		f.retiring--
	}
	delete(f.conns, c)
	select {
	case f.closedOne <- struct{}{}:
	default:
	}
}

// whyRetired is the reason for which a connection's wait was ended early; none if it was not.
func (f *Server) whyRetired(c *conn) (why metrics.Reason, retired bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return c.retiredFor, c.retired
}

// mayLinger reports whether a connection that is being closed may be kept for what its client still sends.
func (f *Server) mayLinger(c *conn) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !c.retired || c.retiredFor != metrics.Evicted || f.retiring <= lingerSlots
}

// retireAll retires the connections of a place that are of an age. The caller holds mu.
func (f *Server) retireAll(l *list.List, age time.Duration, why metrics.Reason) {
	for e := l.Front(); e != nil; e = l.Front() {
		c := e.Value.(*conn)
		if time.Since(c.since) < age {
			return
		}
		f.retire(c, why)
	}
}
