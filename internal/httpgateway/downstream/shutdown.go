package downstream

import (
	"context"
	"net"
	"time"

	"weirhaven/internal/engine"
)

const shutdownPollInterval = 20 * time.Millisecond

// Shutdown shuts the server down gracefully; it is called once, after Serve has begun. deadline is on the loop's clock. Until
// drainTime before deadline the server goes on serving, since clients go on using their connections, but no request may last
// beyond deadline. Then the server drains: it closes the listener and the connections without a request, and each connection
// closes after its next response. Shutdown returns when all connections are closed. When ctx ends it closes those that are
// left.
func (s *Server) Shutdown(ctx context.Context, listener net.Listener, deadline, drainTime time.Duration) {
	s.shutdownDeadline.Store(int64(deadline))
	select {
	case <-time.After(deadline - drainTime - s.options.Loop.Now()):
	case <-ctx.Done():
	}
	s.draining.Store(true)
	_ = listener.Close()
	done := make(chan struct{})
	go func() { // returns when the last connection is closed; each has a time limit
		defer close(done)
		s.tasks.Wait()
	}()
	ticker := time.NewTicker(shutdownPollInterval)
	defer ticker.Stop()
	for {
		s.retireWithoutRequest(drainTime / 2)
		select {
		case <-done:
			return
		case <-ctx.Done():
			s.closeAll()
			<-done
			return
		case <-ticker.C:
		}
	}
}

// retireWithoutRequest retires connections without a request, and those whose request has been incomplete for readingTime.
func (s *Server) retireWithoutRequest(readingTime time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retireAll(&s.byState[fresh], 0)
	s.retireAll(&s.byState[idle], 0)
	s.retireAll(&s.byState[penalized], 0)
	s.retireAll(&s.byState[reading], readingTime)
}

// limitToShutdown shortens a request's timeout so that the response is written before the platform kills this process.
func (s *Server) limitToShutdown(request *engine.Request) {
	if deadline := time.Duration(s.shutdownDeadline.Load()); deadline > 0 {
		request.Timeout = max(min(request.Timeout, deadline-request.ReceivedAt), 1)
	}
}

// pastShutdownDeadline reports whether the process is shutting down and the deadline has passed.
func (s *Server) pastShutdownDeadline() bool {
	deadline := time.Duration(s.shutdownDeadline.Load())
	return deadline > 0 && s.options.Loop.Now() >= deadline
}
