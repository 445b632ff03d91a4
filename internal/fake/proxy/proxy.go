// Package proxy is a misbehaving TCP proxy: it stands between a gateway and a server and lets connections come up late, fall
// silent or be reset. What it holds back is dropped, never delivered later.
package proxy

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"
)

// Fault is what a proxy does; the zero value passes everything on.
type Fault struct {
	ConnectDelay time.Duration // a new connection is passed on so late
	Silent       bool          // nothing passes in either direction; a connection that is closed is closed on the other side
}

// Proxy is one while it runs.
type Proxy struct {
	listener net.Listener
	target   string
	ctx      context.Context
	stop     context.CancelFunc
	wg       sync.WaitGroup

	mu      sync.Mutex
	trouble Fault
	pairs   map[*pair]bool
}

// pair is one connection on both sides.
type pair struct {
	near, far net.Conn
	silenced  bool // bytes were dropped: it can only be reset
}

// Start begins to pass connections on to target.
func Start(target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("proxy: %w", err)
	}
	ctx, stop := context.WithCancel(context.Background())
	p := &Proxy{listener: listener, target: target, ctx: ctx, stop: stop, pairs: map[*pair]bool{}}
	p.spawn(p.accept)
	return p, nil
}

// Address is where gateways reach it.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Set changes what it does. Connections that were silent are reset when it passes again.
func (p *Proxy) Set(t Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.trouble = t
	if !t.Silent {
		p.reset(func(x *pair) bool { return x.silenced })
	}
}

// Reset resets all open connections.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reset(func(*pair) bool { return true })
}

func (p *Proxy) reset(which func(*pair) bool) {
	for x := range p.pairs {
		if which(x) {
			for _, side := range []net.Conn{x.near, x.far} {
				if tcp, ok := side.(*net.TCPConn); ok {
					_ = tcp.SetLinger(0)
				}
				_ = side.Close()
			}
		}
	}
}

// Close ends it with its connections.
func (p *Proxy) Close() {
	p.stop()
	_ = p.listener.Close()
	p.Reset()
	p.wg.Wait()
}

func (p *Proxy) spawn(f func()) {
	p.wg.Add(1)
	go func() {
		defer p.wg.Done()
		f()
	}()
}

func (p *Proxy) now() Fault {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.trouble
}

func (p *Proxy) accept() {
	for {
		near, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.spawn(func() { p.serve(near) })
	}
}

func (p *Proxy) serve(near net.Conn) {
	defer func() { _ = near.Close() }()
	select {
	case <-time.After(p.now().ConnectDelay):
	case <-p.ctx.Done():
		return
	}
	far, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		return
	}
	defer func() { _ = far.Close() }()
	x := &pair{near: near, far: far}
	p.mu.Lock()
	p.pairs[x] = true
	stopped := p.ctx.Err() != nil
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		delete(p.pairs, x)
		p.mu.Unlock()
	}()
	if stopped {
		return
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		p.pass(x, far, near)
	}()
	p.pass(x, near, far)
	<-done
}

const chunk = 16 << 10

// pass copies one direction until it ends, and then ends both sides in the same way: a reset stays a reset. An end of the
// gateway's sending cancels, as a close does.
func (p *Proxy) pass(x *pair, to, from net.Conn) {
	defer func() { _ = from.Close() }()
	buffer := make([]byte, chunk)
	for {
		n, err := from.Read(buffer)
		dropped := p.drops(x)
		if dropped && from == x.far {
			return // the server sees that its answer came to nothing; the gateway hears nothing at all
		}
		if n > 0 && !dropped {
			if _, err := to.Write(buffer[:n]); err != nil {
				_ = to.Close()
				return
			}
		}
		if err != nil {
			if tcp, ok := to.(*net.TCPConn); ok && errors.Is(err, syscall.ECONNRESET) {
				_ = tcp.SetLinger(0)
			}
			_ = to.Close()
			return
		}
	}
}

// drops tells whether what was read is dropped.
func (p *Proxy) drops(x *pair) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	x.silenced = x.silenced || p.trouble.Silent
	return x.silenced
}
