package upstream

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"weirhaven/internal/httpgateway/metrics"
	"weirhaven/policy"
)

// A dial that fails with a local error is repeated after minRedialInterval; the interval doubles up to maxRedialInterval.
const (
	minRedialInterval = 5 * time.Millisecond
	maxRedialInterval = 50 * time.Millisecond
	// maxLocalFailure is the time after which local errors of dials count as failures of the endpoint: it may be unreachable
	// from this machine.
	maxLocalFailure = time.Second
)

// localErrors are system call errors caused by this machine or process, such as a temporary lack of resources. They say nothing
// about the endpoint's health.
var localErrors = []error{syscall.EADDRNOTAVAIL, syscall.EADDRINUSE, syscall.ENETUNREACH, syscall.ENETDOWN, syscall.EMFILE,
	syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EAGAIN, syscall.EPERM, syscall.EACCES, syscall.EINTR, syscall.ECONNABORTED}

func isLocal(err error) bool {
	for _, local := range localErrors {
		if errors.Is(err, local) {
			return true
		}
	}
	return false
}

// connect dials the endpoint. It repeats a dial that fails with a local error until ConnectTimeout has passed: otherwise a healthy
// endpoint would be taken for failed and its shard would lose capacity. Repeating is safe because nothing was sent yet.
func (c *conn) connect(ctx context.Context) (net.Conn, error) {
	p := c.endpoint.pool
	for interval := minRedialInterval; ; interval = min(2*interval, maxRedialInterval) {
		nc, err := p.options.Dial(ctx, c.endpoint.address)
		if err == nil || !isLocal(err) {
			c.endpoint.recordLocalFailure(false)
			return nc, err
		}
		c.endpoint.recordLocalFailure(true)
		var errno syscall.Errno
		errors.As(err, &errno)
		p.options.Recorder.Count(metrics.Redial, metrics.ErrnoReason(errno))
		if time.Since(c.dialStartedAt) >= p.options.ConnectTimeout {
			return nil, err
		}
		select {
		case <-time.After(interval):
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// recordLocalFailure records whether the latest dial failed with a local error.
func (e *endpoint) recordLocalFailure(failed bool) {
	e.pool.mu.Lock()
	defer e.pool.mu.Unlock()
	switch {
	case !failed:
		e.localFailureSince = time.Time{}
	case e.localFailureSince.IsZero():
		e.localFailureSince = time.Now()
	}
}

// unconnectedOutcome returns the outcome of an attempt that got no connection. The caller holds mu.
func (e *endpoint) unconnectedOutcome() policy.Outcome {
	if !e.localFailureSince.IsZero() && time.Since(e.localFailureSince) < maxLocalFailure {
		return policy.NotSent
	}
	return policy.ConnectFailed
}
