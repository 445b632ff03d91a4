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

// After a dial that failed on this machine another follows after redialFirst, then after twice as long, at most redialMost.
const (
	redialFirst = 5 * time.Millisecond
	redialMost  = 50 * time.Millisecond
	// localFailureMost is how long failures of this machine may last before they count as the server's: it may be cut off.
	localFailureMost = time.Second
)

// localErrors are those of a system call that say nothing of the server: this machine or process was short of something
// for a moment.
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

// connect opens the connection. A failure of this machine is not the server's: it is tried again within the time that an
// attempt waits for its connection.
func (c *conn) connect(ctx context.Context) (net.Conn, error) {
	p := c.endpoint.pool
	for wait := redialFirst; ; wait = min(2*wait, redialMost) {
		nc, err := p.options.Dial(ctx, c.endpoint.address)
		if err == nil || !isLocal(err) {
			c.endpoint.localFailure(false)
			return nc, err
		}
		c.endpoint.localFailure(true)
		var number syscall.Errno
		errors.As(err, &number)
		p.options.Recorder.Count(metrics.Redial, metrics.ErrnoReason(number))
		if time.Since(c.dialStartedAt) >= p.options.ConnectTimeout {
			return nil, err
		}
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// localFailure notes whether the last dial failed on this machine.
func (l *endpoint) localFailure(failed bool) {
	l.pool.mu.Lock()
	defer l.pool.mu.Unlock()
	switch {
	case !failed:
		l.localFailureSince = time.Time{}
	case l.localFailureSince.IsZero():
		l.localFailureSince = time.Now()
	}
}

// unconnected is the outcome of an attempt that got no connection. The caller holds mu.
func (l *endpoint) unconnected() policy.Outcome {
	if !l.localFailureSince.IsZero() && time.Since(l.localFailureSince) < localFailureMost {
		return policy.NotSent
	}
	return policy.ConnectFailed
}
