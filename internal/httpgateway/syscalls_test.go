package httpgateway

import (
	"context"
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"weirhaven/policy"
)

// A dial fails because this machine has no free port, no route or no memory. The endpoint is not at fault: the gateway must
// repeat the dial and serve the request. No attempt may count as refused by the endpoint, since that could eject it.
func TestLocalConnectErrors(t *testing.T) {
	for _, number := range []syscall.Errno{syscall.EADDRNOTAVAIL, syscall.ENETUNREACH, syscall.ENOBUFS, syscall.EMFILE, syscall.ENFILE, syscall.ECONNABORTED} {
		t.Run(number.Error(), func(t *testing.T) {
			t.Parallel()
			var failures atomic.Int32
			gateway := newGateway(t, newEndpoint(t, respondNumbered))
			gateway.dialEndpoint = func(ctx context.Context, address string) (net.Conn, error) {
				if failures.Add(1) <= 4 {
					return nil, &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", number)}
				}
				return new(net.Dialer).DialContext(ctx, "tcp", address)
			}
			gateway.start()
			wantResponse(t, gateway.dial(), readRequest("a1"), 200, "answer 0")
			gateway.wantOutcomes(policy.Served)
		})
	}
}

// failingListener fails the next accepts, as many as failures.
type failingListener struct {
	net.Listener
	number   syscall.Errno
	failures atomic.Int32
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.failures.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", l.number)}
	}
	return l.Listener.Accept()
}

// Accepts fail for a short time. The gateway must go on accepting and must not evict a healthy connection, which would help only
// if this process had no descriptor left.
func TestAcceptErrors(t *testing.T) {
	for _, number := range []syscall.Errno{syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EPERM, syscall.EPROTO} {
		t.Run(number.Error(), func(t *testing.T) {
			t.Parallel()
			l := &failingListener{number: number}
			gateway := newGateway(t, newEndpoint(t, respondNumbered))
			gateway.listenClients = func(ctx context.Context, address string) (net.Listener, error) {
				var err error
				l.Listener, err = new(net.ListenConfig).Listen(ctx, "tcp", address)
				return l, err
			}
			gateway.start()
			var open []net.Conn
			for i := range 4 {
				c := gateway.dial()
				wantResponse(t, c, readRequest(fmt.Sprint("a", i)), 200, fmt.Sprint("answer ", i))
				open = append(open, c)
			}
			l.failures.Store(20)
			wantResponse(t, gateway.dial(), readRequest("b1"), 200, "answer 4") // in the kernel's queue, or accepted before the first failure
			wantResponse(t, gateway.dial(), readRequest("b2"), 200, "answer 5")
			for i, c := range open {
				wantResponse(t, c, readRequest(fmt.Sprint("c", i)), 200, fmt.Sprint("answer ", 6+i))
			}
		})
	}
}

// A connection to an endpoint fails with a system error. If the complete request was written, it may have run; if the write
// failed halfway, it did not.
func TestConnectionErrors(t *testing.T) {
	for _, number := range []syscall.Errno{syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.ECONNRESET, syscall.EPIPE} {
		for _, half := range []bool{false, true} {
			t.Run(fmt.Sprint(number.Error(), half), func(t *testing.T) {
				t.Parallel()
				gateway := newGateway(t, newEndpoint(t, respondNumbered))
				gateway.dialEndpoint = func(ctx context.Context, address string) (net.Conn, error) {
					nc, err := new(net.Dialer).DialContext(ctx, "tcp", address)
					return &brokenConn{Conn: nc, number: number, half: half}, err
				}
				gateway.start()
				wanted := map[bool]struct {
					status  int
					outcome policy.Outcome
				}{false: {504, policy.ConnectionReset}, true: {503, policy.ConnectFailed}}[half]
				wantResponse(t, gateway.dial(), writeRequest("a1", "x"), wanted.status, "")
				gateway.wantOutcomes(wanted.outcome)
			})
		}
	}
}

// brokenConn fails in the write, after half of the message, or in the read after it.
type brokenConn struct {
	net.Conn
	number syscall.Errno
	half   bool
}

func (c *brokenConn) Write(p []byte) (int, error) {
	if c.half {
		n, _ := c.Conn.Write(p[:len(p)/2])
		return n, os.NewSyscallError("write", c.number)
	}
	return c.Conn.Write(p)
}

func (c *brokenConn) Read([]byte) (int, error) {
	time.Sleep(10 * ms)
	return 0, os.NewSyscallError("read", c.number)
}

// panickingConn panics once, in a write.
type panickingConn struct {
	net.Conn
	writesLeft *atomic.Int32
}

func (c *panickingConn) Write(p []byte) (int, error) {
	if c.writesLeft.Add(-1) == 0 {
		panic("on purpose")
	}
	return c.Conn.Write(p)
}

// panickingListener wraps accepted connections in panickingConn.
type panickingListener struct {
	net.Listener
	writesLeft *atomic.Int32
}

func (l *panickingListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	return &panickingConn{nc, l.writesLeft}, err
}

// A bug of this program causes a panic on one connection. Its client must get one response, and other connections must not be
// affected; without a recover all requests in progress would be lost.
func TestPanicOnConnection(t *testing.T) {
	for _, side := range []string{"client", "endpoint", "connect"} {
		t.Run(side, func(t *testing.T) {
			t.Parallel()
			var dials, toEndpoint, toClient atomic.Int32
			gateway := newGateway(t, newEndpoint(t, respondNumbered))
			gateway.dialEndpoint = func(ctx context.Context, address string) (net.Conn, error) {
				if side == "connect" && dials.Add(1) == 1 {
					panic("on purpose")
				}
				nc, err := new(net.Dialer).DialContext(ctx, "tcp", address)
				return &panickingConn{nc, &toEndpoint}, err
			}
			gateway.listenClients = func(ctx context.Context, address string) (net.Listener, error) {
				l, err := new(net.ListenConfig).Listen(ctx, "tcp", address)
				return &panickingListener{l, &toClient}, err
			}
			switch side {
			case "client":
				toClient.Store(1)
			case "endpoint":
				toEndpoint.Store(1)
			}
			gateway.expectPanics = true
			gateway.start()
			wanted := map[string]int{"client": 500, "endpoint": 504, "connect": 200}[side]
			if status, _ := roundTrip(gateway.dial(), writeRequest("a1", "x")); status != wanted {
				t.Errorf("%d, wanted %d", status, wanted)
			}
			if status, _ := roundTrip(gateway.dial(), writeRequest("a2", "x")); status != 200 {
				t.Errorf("%d after a panic on another connection, wanted 200", status)
			}
			if open := gateway.gateway.pool.Counts().Open; open > 1 {
				t.Errorf("%d connections to endpoints are counted as open, wanted 1 at most", open)
			}
		})
	}
}
