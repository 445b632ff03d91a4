package downstream

import (
	"time"
)

// connState is the state of a connection that may be evicted.
type connState int

const (
	lingering      connState = iota // the sending side is closed; the client may still send or close
	fresh                           // no request so far
	idle                            // between two requests
	reading                         // part of a request was read
	penalized                       // the error for its request is held back
	writing                         // a response is being written
	connStateCount                  // number of states
)

// moveTo moves a connection to a state and sets its read deadline. A retired connection keeps its deadline, which has passed,
// unless it starts to linger.
func (s *Server) moveTo(c *conn, state connState, deadline time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaveState(c)
	s.clearInProgress(c)
	if c.retired && state != lingering {
		return
	}
	_ = c.nc.SetReadDeadline(deadline) // an error is ignored: the next read of a broken connection fails
	c.list = &s.byState[state]
	if c.retired {
		c.list = &s.retiredLingering
	}
	c.element, c.stateSince = c.list.PushBack(c), time.Now()
}

// markWriting moves a connection to writing. Its deadlines and its request in progress stay as they are.
func (s *Server) markWriting(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.retired {
		return
	}
	s.leaveState(c)
	c.list = &s.byState[writing]
	c.element, c.stateSince = c.list.PushBack(c), time.Now()
}

// admit marks a connection as having a request in progress; it returns false if Options.MaxConnections have one already. The
// retirement of a connection is canceled: it had a request when it was retired, which is served as its last one.
func (s *Server) admit(c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaveState(c)
	s.cancelRetirement(c)
	if s.inProgress >= s.options.MaxConnections {
		return false
	}
	s.inProgress++
	c.inProgress = true
	return true
}

// remove drops a connection whose socket is closed from the server's lists and counts.
func (s *Server) remove(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaveState(c)
	s.clearInProgress(c)
	if c.retired {
		s.retiring--
	}
	delete(s.conns, c)
	select {
	case s.connClosed <- struct{}{}:
	default:
	}
}

// clearInProgress marks a connection as having no request in progress. The caller holds mu.
func (s *Server) clearInProgress(c *conn) {
	if c.inProgress {
		c.inProgress = false
		s.inProgress--
	}
}

// leaveState removes a connection from the list of its state. The caller holds mu.
func (s *Server) leaveState(c *conn) {
	if c.element != nil {
		c.list.Remove(c.element)
		c.element = nil
	}
}
