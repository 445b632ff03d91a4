package downstream

import (
	"errors"
	"net"
	"syscall"
	"time"

	"weirhaven/internal/httpgateway/metrics"
)

const (
	// overflow connections may be open beyond MaxConnections: those that are being closed, and those whose requests are shed.
	overflow = 6
	// immediateAccept: an accept that takes longer found the kernel's accept queue empty.
	immediateAccept = time.Millisecond
	// maxAcceptDelay is the longest time that a connection is taken to have waited in the accept queue; how long it did is not
	// known.
	maxAcceptDelay = 300 * time.Millisecond
	// acceptRetryInterval is the pause after an accept that failed.
	acceptRetryInterval = 2 * time.Millisecond
	// descriptorPollInterval is how often a descriptor is looked for while none is free.
	descriptorPollInterval = 5 * time.Millisecond
)

// Serve accepts connections until the listener is closed. It goes on accepting however many are open: a connection without a
// request in progress is retired for a new one. When none can go, requests on further connections are shed with 503, so a
// client never waits in the kernel's accept queue for a request of another one to end.
func (s *Server) Serve(listener net.Listener) {
	for {
		s.awaitDescriptor()
		startedAt := time.Now()
		nc, err := listener.Accept()
		if time.Since(startedAt) >= immediateAccept {
			s.backlogSince = time.Time{}
		}
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil:
			s.acceptFailed(err)
		default:
			s.open(nc)
		}
	}
}

// acceptFailed pauses. Evicting a connection helps only where this process has no descriptor left; after any other failure
// it would cost a healthy connection for nothing.
func (s *Server) acceptFailed(err error) {
	var errno syscall.Errno
	errors.As(err, &errno)
	s.options.Recorder.Count(metrics.Accept, metrics.ErrnoReason(errno))
	s.mu.Lock()
	if errors.Is(err, syscall.EMFILE) {
		s.evictOne()
	}
	if now := time.Now(); now.Sub(s.acceptLoggedAt) >= logInterval {
		s.acceptLoggedAt = now
		s.options.Log.Warn("accept failed", "err", err)
	}
	s.mu.Unlock()
	time.Sleep(acceptRetryInterval)
}

// open begins to serve a connection.
func (s *Server) open(nc net.Conn) {
	c := newConn(s, nc)
	if !s.backlogSince.IsZero() {
		c.acceptDelay = min(time.Since(s.backlogSince), maxAcceptDelay)
	}
	s.mu.Lock()
	s.counts.Accepted++
	s.conns[c] = true
	if len(s.conns)-s.retiring > s.options.MaxConnections {
		s.evictOne()
	}
	s.mu.Unlock()
	s.moveTo(c, fresh, c.requestDeadline)
	s.tasks.Go(c.run)
}

// awaitDescriptor returns once one more connection may be opened, or the server drains.
func (s *Server) awaitDescriptor() {
	for !s.draining.Load() {
		if s.freeDescriptor() {
			return
		}
		if s.backlogSince.IsZero() {
			s.backlogSince = time.Now()
		}
		select {
		case <-s.connClosed:
		case <-time.After(descriptorPollInterval):
		}
	}
}

// freeDescriptor reports whether one more connection may be opened; if not it asks one to end.
func (s *Server) freeDescriptor() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.conns) < s.options.MaxConnections+overflow {
		return true
	}
	if oldest := s.retiredLingering.Front(); oldest != nil {
		s.endLinger(oldest.Value.(*conn))
	} else if s.retiring < overflow {
		s.evictOne()
	}
	return false
}
