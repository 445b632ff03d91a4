package downstream

import (
	"container/list"
	"time"

	"weirhaven/internal/httpgateway/metrics"
)

// Times for which a connection in a state is protected from eviction. A typical client sends its request immediately after
// connecting, and all of it at once. So connections that have just been accepted or have just begun a request are protected.
const (
	minLingering = 100 * time.Millisecond // the client may still read its last response
	minFresh     = 50 * time.Millisecond
	minReading   = 50 * time.Millisecond
	longIdle     = 2 * time.Second
	longFresh    = 500 * time.Millisecond
	longReading  = time.Second
	longWriting  = 250 * time.Millisecond // the client doesn't read its response
)

// evictionOrder is the order in which connections are evicted. Each step selects the connection that has been in the state
// for longest, if that is at least minAge.
var evictionOrder = []evictionStep{{lingering, minLingering}, {penalized, 0}, {idle, longIdle}, {fresh, longFresh}, {reading, longReading}, {writing, longWriting},
	{idle, 0}, {fresh, minFresh}, {reading, minReading}}

type evictionStep struct {
	state  connState
	minAge time.Duration // for penalized, Server.penaltyAge applies
}

const (
	// lingerSlots is the number of retired connections up to which an evicted connection may linger without ending the
	// lingering of another one.
	lingerSlots = extraConnections / 2
	// backlogTolerance is how long connections may wait in the accept queue before the protection from eviction is reduced to
	// backlogMinAge. The connections in the queue are new clients too.
	backlogTolerance = 20 * time.Millisecond
	backlogMinAge    = 25 * time.Millisecond
)

// evictOne retires the first connection in evictionOrder. It does nothing if there is none. The caller holds mu.
func (s *Server) evictOne() {
	for _, step := range evictionOrder {
		oldest := s.byState[step.state].Front()
		if oldest == nil {
			continue
		}
		c := oldest.Value.(*conn)
		if step.state == idle && step.minAge == 0 && s.byState[penalized].Len() > 0 {
			continue // a new connection waits rather than replace one whose client has just been served
		}
		if time.Since(c.stateSince) < s.minAge(step) {
			continue
		}
		s.counts.Evicted++
		s.retire(c, metrics.Evicted)
		return
	}
}

// minAge returns the age from which a connection may be evicted: the step's, or backlogMinAge if that is less and connections have
// been waiting in the accept queue for backlogTolerance.
func (s *Server) minAge(step evictionStep) time.Duration {
	if step.state == penalized {
		return s.penaltyAge
	}
	usual := step.minAge
	if step.state != writing && !s.backlogSince.IsZero() && time.Since(s.backlogSince) >= backlogTolerance {
		return min(usual, backlogMinAge)
	}
	return usual
}

// retire makes a connection's goroutine close it, by interrupting the read in which the goroutine blocks. Only that goroutine
// closes the socket. It first checks whether a request has arrived meanwhile and serves it as the last one. If retire closed
// the socket, a request that was sent completely could be lost without a response. The caller holds mu.
func (s *Server) retire(c *conn, reason metrics.Reason) {
	if c.element != nil && c.list == &s.byState[writing] {
		_ = c.nc.SetWriteDeadline(pastDeadline)
		s.clearInProgress(c) // the new connection's request takes its place at once
	}
	s.leaveState(c)
	if !c.retired {
		c.retired = true
		s.retiring++
	}
	c.retireReason = reason
	select {
	case c.retirements <- struct{}{}:
	default:
	}
	_ = c.nc.SetReadDeadline(pastDeadline)
}

// giveWay retires a connection whose incomplete request holds memory that others need. It may be called while membudget's lock is
// held: nothing here may charge or release memory while it holds mu.
func (s *Server) giveWay(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retire(c, metrics.MemoryLimit)
}

// retireAll retires the connections in conns that have been in their state for at least minAge, for the shutdown. The caller holds mu.
func (s *Server) retireAll(conns *list.List, minAge time.Duration) {
	for oldest := conns.Front(); oldest != nil; oldest = conns.Front() {
		c := oldest.Value.(*conn)
		if time.Since(c.stateSince) < minAge {
			return
		}
		s.retire(c, metrics.ShuttingDown)
	}
}

// cancelRetirement cancels the retirement of a connection that has received a request, which will be its last one. The caller
// holds mu.
func (s *Server) cancelRetirement(c *conn) {
	if c.retired {
		c.retired, c.lastResponse = false, true
		s.retiring--
	}
}

// endLinger ends the lingering of a retired connection early. The caller holds mu.
func (s *Server) endLinger(c *conn) {
	s.leaveState(c)
	_ = c.nc.SetReadDeadline(pastDeadline)
}

// retirement reports whether a connection is retired, and the reason.
func (s *Server) retirement(c *conn) (reason metrics.Reason, retired bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return c.retireReason, c.retired
}

// extendForLastRequest sets the read deadline of a retired connection to retiredRequestTimeout from now, for the rest of a
// request that has begun. It returns false if the connection is not retired.
func (s *Server) extendForLastRequest(c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !c.retired {
		return false
	}
	s.leaveState(c) // first: endLinger must not interrupt the request
	_ = c.nc.SetReadDeadline(time.Now().Add(retiredRequestTimeout))
	return true
}

// takeLingerSlot reports whether a connection that is being closed may linger. If an evicted connection finds all slots taken,
// the retired connection that has lingered for longest ends.
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
