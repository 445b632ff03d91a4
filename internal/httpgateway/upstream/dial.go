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

// A dial that fails on this machine is repeated after minRedialInterval, then after twice as long each time, up to
// maxRedialInterval.
const (
	minRedialInterval = 5 * time.Millisecond
	maxRedialInterval = 50 * time.Millisecond
	// maxLocalFailure is how long dials may fail on this machine before that counts as the endpoint's failure: the endpoint
	// may be cut off from here.
	maxLocalFailure = time.Second
)

// localErrors are errors of system calls that tell nothing about the endpoint: this machine or process was short of
// something for a moment.
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

// connect dials the endpoint. If the dial fails on this machine, a healthy endpoint would look down and its shard would lose
// capacity; so such a dial is repeated within the time that an attempt waits for its connection. Nothing was sent yet.
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

// recordLocalFailure notes whether the last dial failed on this machine.
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

// unconnectedOutcome is the outcome of an attempt that got no connection. The caller holds mu.
func (e *endpoint) unconnectedOutcome() policy.Outcome {
	if !e.localFailureSince.IsZero() && time.Since(e.localFailureSince) < maxLocalFailure {
		return policy.NotSent
	}
	return policy.ConnectFailed
}
