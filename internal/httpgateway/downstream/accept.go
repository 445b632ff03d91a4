package downstream

import (
	"errors"
	"net"
	"syscall"
	"time"

	"weirhaven/internal/httpgateway/metrics"
	"weirhaven/internal/httpgateway/socket"
)

const (
	// extraConnections is the number of connections that may be open beyond MaxConnections, for those that are being closed and
	// those whose requests are shed.
	extraConnections = 6
	// immediateAccept is the duration from which an accept has blocked, so that the kernel's accept queue was empty. A process that is
	// held up meanwhile takes as long: the queue's length counts where it is known.
	immediateAccept = time.Millisecond
	// maxUnknownDelay caps the time that a connection is assumed to have waited in the accept queue if the queue's length is unknown.
	maxUnknownDelay = 300 * time.Millisecond
	// maxAcceptDelay caps that time if the length is known.
	maxAcceptDelay = 2 * time.Second
	// acceptWindow is the time over which the rate of accepts is measured.
	acceptWindow = 250 * time.Millisecond
	// acceptsPerCore is the rate of accepts, per second and core, above a burst of acceptBurst. Work on new connections takes no more
	// than a part of the CPU, so that the open ones are served.
	acceptsPerCore = 4000
	minAccepts     = 400 // accepts per second, however small the share of a core
	acceptBurst    = 200
	// acceptRetryInterval is the pause after a failed accept.
	acceptRetryInterval = 2 * time.Millisecond
	// descriptorPollInterval is the interval between checks for a free descriptor.
	descriptorPollInterval = 5 * time.Millisecond
)

// Serve accepts connections until the listener is closed. It goes on accepting at the connection limit: it retires a
// connection without a request in progress for each new one. If there is none to retire, it sheds the requests on further
// connections with 503. So no client waits in the kernel's accept queue until another client's request ends.
func (s *Server) Serve(listener net.Listener) {
	for {
		s.awaitDescriptor()
		s.awaitTurn()
		queued, _ := socket.AcceptQueue(listener) // 0 if unknown
		startedAt := time.Now()
		nc, err := listener.Accept()
		if queued == 0 && time.Since(startedAt) >= immediateAccept {
			s.backlogSince = time.Time{}
		}
		switch {
		case errors.Is(err, net.ErrClosed):
			s.newcomers.end()
			return
		case err != nil:
			s.newcomers.end()
			s.acceptFailed(err)
		default:
			s.open(listener, nc)
		}
	}
}

// awaitTurn takes the turn of the connection that is accepted next, and keeps to the rate of accepts.
func (s *Server) awaitTurn() {
	wait := s.acceptLimit.take(time.Now())
	if wait == 0 && s.newcomers.tryTake() {
		return
	}
	if s.backlogSince.IsZero() {
		s.backlogSince = time.Now()
	}
	for ; wait > 0 && !s.draining.Load(); wait = s.acceptLimit.take(time.Now()) {
		time.Sleep(wait)
	}
	s.newcomers.take()
}

// acceptFailed counts and logs a failed accept and pauses. It evicts a connection only if this process has no descriptor
// left; after any other failure an eviction would close a healthy connection without any benefit.
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

// open starts serving a connection, which has a turn.
func (s *Server) open(listener net.Listener, nc net.Conn) {
	c := newConn(s, nc)
	c.needsTurn, c.turn = s.newcomers, &heldTurn{of: s.newcomers}
	c.acceptDelay = s.acceptDelay(listener)
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

// acceptDelay estimates for how long the connection that was just accepted has waited in the accept queue, by the queue's length and
// the rate of accepts.
func (s *Server) acceptDelay(listener net.Listener) time.Duration {
	if s.backlogSince.IsZero() {
		s.accepts.reset()
		return 0
	}
	now := time.Now()
	length, known := socket.AcceptQueue(listener)
	s.accepts.count(now, length)
	delay := now.Sub(s.backlogSince)
	if !known {
		return min(delay, maxUnknownDelay)
	}
	return min(s.accepts.wait(now, delay), maxAcceptDelay)
}

// awaitDescriptor blocks until one more connection may be opened or the server drains.
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

// freeDescriptor reports whether one more connection may be opened. If not, it makes an open one close.
func (s *Server) freeDescriptor() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.conns) < s.options.MaxConnections+extraConnections {
		return true
	}
	if oldest := s.retiredLingering.Front(); oldest != nil {
		s.endLinger(oldest.Value.(*conn))
	} else if s.retiring < extraConnections {
		s.evictOne()
	}
	return false
}
