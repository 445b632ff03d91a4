package downstream

import (
	"context"
	"net"
	"time"

	"weirhaven/internal/engine"
	"weirhaven/internal/httpgateway/metrics"
)

const shutdownPollInterval = 20 * time.Millisecond

// Shutdown shuts the server down gracefully; it is called once, after Serve has begun. Until drainTime before deadline, which is on the loop's clock, everything is served as before,
// since clients go on using the connections that they have; but no request may last beyond the deadline. Then the listener
// is closed, each response is the last on its connection, connections without a request end, and requests in progress get
// their responses. Shutdown returns when all have, or closes the connections that are left when ctx ends.
func (s *Server) Shutdown(ctx context.Context, listener net.Listener, deadline, drainTime time.Duration) {
	s.shutdownDeadline.Store(int64(deadline))
	select {
	case <-time.After(deadline - drainTime - s.options.Loop.Now()):
	case <-ctx.Done():
	}
	s.draining.Store(true)
	_ = listener.Close()
	done := make(chan struct{})
	go func() { // ends with the last connection, each of which is bounded in time
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

// retireWithoutRequest retires connections without a request, and those that have been sending one for readingTime.
func (s *Server) retireWithoutRequest(readingTime time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retireAll(&s.byState[fresh], 0, metrics.ShuttingDown)
	s.retireAll(&s.byState[idle], 0, metrics.ShuttingDown)
	s.retireAll(&s.byState[reading], readingTime, metrics.ShuttingDown)
}

// limitToShutdown shortens a request's timeout so that its response is out before the platform kills this process.
func (s *Server) limitToShutdown(request *engine.Request) {
	if deadline := time.Duration(s.shutdownDeadline.Load()); deadline > 0 {
		request.Timeout = max(min(request.Timeout, deadline-request.ReceivedAt), 1)
	}
}

// pastShutdownDeadline reports whether a process that shuts down has no time left.
func (s *Server) pastShutdownDeadline() bool {
	deadline := time.Duration(s.shutdownDeadline.Load())
	return deadline > 0 && s.options.Loop.Now() >= deadline
}
