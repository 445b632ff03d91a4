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

// A connect that fails on this machine for a moment says nothing of the server: the request is served, and no attempt ended
// as one that the server refused.
func TestConnectFailsHere(t *testing.T) {
	for _, number := range []syscall.Errno{syscall.EADDRNOTAVAIL, syscall.ENETUNREACH, syscall.ENOBUFS, syscall.EMFILE, syscall.ENFILE, syscall.ECONNABORTED} {
		t.Run(number.Error(), func(t *testing.T) {
			t.Parallel()
			var failures atomic.Int32
			h := aHost(t, newBrick(t, answers))
			h.toBrick = func(ctx context.Context, address string) (net.Conn, error) {
				if failures.Add(1) <= 4 {
					return nil, &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", number)}
				}
				return new(net.Dialer).DialContext(ctx, "tcp", address)
			}
			h.start()
			want(t, h.dial(), read("a1"), 200, "answer 0")
			h.how(policy.Served)
		})
	}
}

// failingListener fails some accepts.
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

// An accept that fails for a moment costs no healthy connection, and accepting goes on; only where this process has no
// descriptor left is one closed.
func TestAcceptFails(t *testing.T) {
	for _, number := range []syscall.Errno{syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EPERM, syscall.EPROTO} {
		t.Run(number.Error(), func(t *testing.T) {
			t.Parallel()
			l := &failingListener{number: number}
			h := aHost(t, newBrick(t, answers))
			h.listen = func(ctx context.Context, address string) (net.Listener, error) {
				var err error
				l.Listener, err = new(net.ListenConfig).Listen(ctx, "tcp", address)
				return l, err
			}
			h.start()
			var open []net.Conn
			for i := range 4 {
				c := h.dial()
				want(t, c, read(fmt.Sprint("a", i)), 200, fmt.Sprint("answer ", i))
				open = append(open, c)
			}
			l.failures.Store(20)
			want(t, h.dial(), read("b1"), 200, "answer 4") // in the kernel's queue, or accepted before the first failure
			want(t, h.dial(), read("b2"), 200, "answer 5")
			for i, c := range open {
				want(t, c, read(fmt.Sprint("c", i)), 200, fmt.Sprint("answer ", 6+i))
			}
		})
	}
}

// A connection that breaks with ETIMEDOUT or EHOSTUNREACH after the request was written may have run it; one whose write fails
// halfway never did.
func TestConnectionBreaks(t *testing.T) {
	for _, number := range []syscall.Errno{syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.ECONNRESET, syscall.EPIPE} {
		for _, half := range []bool{false, true} {
			t.Run(fmt.Sprint(number.Error(), half), func(t *testing.T) {
				t.Parallel()
				h := aHost(t, newBrick(t, answers))
				h.toBrick = func(ctx context.Context, address string) (net.Conn, error) {
					nc, err := new(net.Dialer).DialContext(ctx, "tcp", address)
					return &breaking{Conn: nc, number: number, half: half}, err
				}
				h.start()
				wanted := map[bool]struct {
					status int
					how    policy.Outcome
				}{false: {504, policy.ConnectionReset}, true: {503, policy.ConnectFailed}}[half]
				want(t, h.dial(), write("a1", "x"), wanted.status, "")
				h.how(wanted.how)
			})
		}
	}
}

// breaking fails at the write, after half of the request, or at the read behind it.
type breaking struct {
	net.Conn
	number syscall.Errno
	half   bool
}

func (b *breaking) Write(p []byte) (int, error) {
	if b.half {
		n, _ := b.Conn.Write(p[:len(p)/2])
		return n, os.NewSyscallError("write", b.number)
	}
	return b.Conn.Write(p)
}

func (b *breaking) Read(p []byte) (int, error) {
	time.Sleep(10 * ms)
	return 0, os.NewSyscallError("read", b.number)
}

// panicking panics once, at a write.
type panicking struct {
	net.Conn
	left *atomic.Int32
}

func (p *panicking) Write(b []byte) (int, error) {
	if p.left.Add(-1) == 0 {
		panic("on purpose")
	}
	return p.Conn.Write(b)
}

type panickingListener struct {
	net.Listener
	left *atomic.Int32
}

func (l *panickingListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	return &panicking{nc, l.left}, err
}

// A fault of the program on one connection is answered there, once, and harms no other connection.
func TestPanicOnConnection(t *testing.T) {
	for _, side := range []string{"client", "server", "connect"} {
		t.Run(side, func(t *testing.T) {
			t.Parallel()
			var dials, toServer, toClient atomic.Int32
			h := aHost(t, newBrick(t, answers))
			h.toBrick = func(ctx context.Context, address string) (net.Conn, error) {
				if side == "connect" && dials.Add(1) == 1 {
					panic("on purpose")
				}
				nc, err := new(net.Dialer).DialContext(ctx, "tcp", address)
				return &panicking{nc, &toServer}, err
			}
			h.listen = func(ctx context.Context, address string) (net.Listener, error) {
				l, err := new(net.ListenConfig).Listen(ctx, "tcp", address)
				return &panickingListener{l, &toClient}, err
			}
			switch side {
			case "client":
				toClient.Store(1)
			case "server":
				toServer.Store(1)
			}
			h.faults = true
			h.start()
			wanted := map[string]int{"client": 500, "server": 504, "connect": 200}[side]
			if status, _ := ask(h.dial(), write("a1", "x")); status != wanted {
				t.Errorf("%d, wanted %d", status, wanted)
			}
			if status, _ := ask(h.dial(), write("a2", "x")); status != 200 {
				t.Errorf("%d after a fault on another connection, wanted 200", status)
			}
			if open := h.run.pool.Counts().Open; open > 1 {
				t.Errorf("%d connections to servers count as open, wanted 1 at most", open)
			}
		})
	}
}
