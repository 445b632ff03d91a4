package downstream

import (
	"container/list"
	"time"

	"weirhaven/internal/httpgateway/metrics"
)

// Young connections are spared: a usual client asks as soon as it has connected, and sends its request in one go.
const (
	minLingering = 100 * time.Millisecond // the client may still read its last response
	minFresh     = 50 * time.Millisecond
	minReading   = 50 * time.Millisecond
	longIdle     = 2 * time.Second
	longFresh    = 500 * time.Millisecond
	longReading  = time.Second
)

// evictionOrder is the order in which connections make room for new ones: the oldest in the first of these states that has
// been there for at least minAge.
var evictionOrder = []struct {
	state  connState
	minAge time.Duration
}{{lingering, minLingering}, {idle, longIdle}, {fresh, longFresh}, {reading, longReading},
	{idle, 0}, {fresh, minFresh}, {reading, minReading}}

const (
	// lingerSlots: with more connections than that being retired, one that has not just been answered lingers in place of another.
	lingerSlots = overflow / 2
	// Once the accept queue has been waiting for backlogTolerance, no connection is spared for longer than backlogMinAge: those
	// in the queue are young clients too.
	backlogTolerance = 20 * time.Millisecond
	backlogMinAge    = 25 * time.Millisecond
)

// evictOne retires the connection that can best be spared; it does nothing if there is none. The caller holds mu.
func (s *Server) evictOne() {
	for _, step := range evictionOrder {
		oldest := s.byState[step.state].Front()
		if oldest == nil {
			continue
		}
		c := oldest.Value.(*conn)
		if time.Since(c.stateSince) < s.minAge(step.minAge) {
			continue
		}
		s.counts.Evicted++
		s.retire(c, metrics.Evicted)
		return
	}
}

// minAge is the age from which a connection may be evicted that is spared up to usual.
func (s *Server) minAge(usual time.Duration) time.Duration {
	if !s.backlogSince.IsZero() && time.Since(s.backlogSince) >= backlogTolerance {
		return min(usual, backlogMinAge)
	}
	return usual
}

// retire asks a connection's goroutine to end it, by ending the read in which it waits. That goroutine alone closes the
// socket: it looks first whether a request has arrived meanwhile, which then is served as the last one. Were the socket
// closed here, a request that was sent whole could be lost without a response. The caller holds mu.
func (s *Server) retire(c *conn, reason metrics.Reason) {
	s.leaveState(c)
	if !c.retired {
		c.retired = true
		s.retiring++
	}
	c.retireReason = reason
	_ = c.nc.SetReadDeadline(longAgo)
}

// retireAll retires the connections of a state that are of an age. The caller holds mu.
func (s *Server) retireAll(conns *list.List, minAge time.Duration, reason metrics.Reason) {
	for oldest := conns.Front(); oldest != nil; oldest = conns.Front() {
		c := oldest.Value.(*conn)
		if time.Since(c.stateSince) < minAge {
			return
		}
		s.retire(c, reason)
	}
}

// reprieve takes a retirement back: the connection has a request, which will be its last. The caller holds mu.
func (s *Server) reprieve(c *conn) {
	if c.retired {
		c.retired, c.lastResponse = false, true
		s.retiring--
	}
}

// endLinger ends the lingering of a retired connection. The caller holds mu.
func (s *Server) endLinger(c *conn) {
	s.leaveState(c)
	_ = c.nc.SetReadDeadline(longAgo)
}

// retirement tells whether a connection was asked to end, and why.
func (s *Server) retirement(c *conn) (reason metrics.Reason, retired bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return c.retireReason, c.retired
}

// startLastRequest gives a retired connection on which a request has begun retiredRequestTimeout for the rest of it; false: the
// connection is not retired.
func (s *Server) startLastRequest(c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !c.retired {
		return false
	}
	s.leaveState(c) // first: whoever ends its lingering must not cut the request
	_ = c.nc.SetReadDeadline(time.Now().Add(retiredRequestTimeout))
	return true
}

// takeLingerSlot reports whether a connection that is being closed may be kept for what its client still sends. While all slots
// are taken, the connection that has been kept for longest gives way.
func (s *Server) takeLingerSlot(c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !c.retired || c.retireReason != metrics.Evicted || s.retiring <= lingerSlots {
		return true
	}
	oldest := s.retiredLingering.Front()
	if oldest == nil {
		return false
	}
	s.endLinger(oldest.Value.(*conn))
	return true
}
