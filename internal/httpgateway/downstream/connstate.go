package downstream

import (
	"time"
)

// connState is what a connection without a request in progress does.
type connState int

const (
	lingering  connState = iota // its last response is out; what the client still sends is read and dropped
	fresh                       // no request so far
	idle                        // between two requests
	reading                     // a request has begun and is not whole
	connStates                  // the number of states
)

// moveTo enters a state and sets until when the connection may wait for bytes. A retired connection keeps its deadline,
// which has passed.
func (s *Server) moveTo(c *conn, state connState, deadline time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaveState(c)
	s.endProgress(c)
	if c.retired && state != lingering {
		return
	}
	_ = c.nc.SetReadDeadline(deadline) // a broken connection fails the next read
	c.list = &s.byState[state]
	if c.retired {
		c.list = &s.retiredLingering
	}
	c.element, c.stateSince = c.list.PushBack(c), time.Now()
}

// admit marks a connection as one with a request in progress; false: there are as many as there may be. A retired connection
// is reprieved: it had a request when it was asked to end, which is served as its last one.
func (s *Server) admit(c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaveState(c)
	s.reprieve(c)
	if s.inProgress >= s.options.MaxConnections {
		return false
	}
	s.inProgress++
	c.inProgress = true
	return true
}

// remove forgets a connection whose socket is closed.
func (s *Server) remove(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaveState(c)
	s.endProgress(c)
	if c.retired {
		s.retiring--
	}
	delete(s.conns, c)
	select {
	case s.connClosed <- struct{}{}:
	default:
	}
}

// endProgress is called under mu.
func (s *Server) endProgress(c *conn) {
	if c.inProgress {
		c.inProgress = false
		s.inProgress--
	}
}

// leaveState is called under mu.
func (s *Server) leaveState(c *conn) {
	if c.element != nil {
		c.list.Remove(c.element)
		c.element = nil
	}
}
