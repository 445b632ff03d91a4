// Package proxy is a TCP proxy with faults between gateways and an endpoint: it delays, silences or resets connections.
// Bytes that it holds back are dropped, never delivered later.
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

// Fault is the fault that a proxy injects; the zero value forwards everything.
type Fault struct {
	ConnectDelay time.Duration // delay before a new connection is forwarded
	Silent       bool          // drop all bytes in both directions; a close is still forwarded
}

// Proxy is a running proxy. Its methods may be called from any goroutine.
type Proxy struct {
	listener net.Listener
	target   string
	ctx      context.Context
	stop     context.CancelFunc
	wg       sync.WaitGroup

	mu    sync.Mutex
	fault Fault
	pairs map[*pair]bool
}

// pair is one forwarded connection: its gateway side and its endpoint side.
type pair struct {
	gatewaySide, endpointSide net.Conn
	silenced                  bool // bytes were dropped, so the connection can only be reset
}

// Start starts a proxy that forwards connections to target.
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

// Address returns the address on which gateways reach the proxy.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Set sets the fault. Connections that dropped bytes are reset once the proxy forwards again.
func (p *Proxy) Set(fault Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = fault
	if !fault.Silent {
		p.resetMatching(func(x *pair) bool { return x.silenced })
	}
}

// Reset resets all open connections.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.resetMatching(func(*pair) bool { return true })
}

// resetMatching resets the connections for which match returns true. The caller holds mu.
func (p *Proxy) resetMatching(match func(*pair) bool) {
	for x := range p.pairs {
		if match(x) {
			for _, side := range []net.Conn{x.gatewaySide, x.endpointSide} {
				if tcp, ok := side.(*net.TCPConn); ok {
					_ = tcp.SetLinger(0)
				}
				_ = side.Close()
			}
		}
	}
}

// Close closes the proxy, resets its connections and waits for its goroutines.
func (p *Proxy) Close() {
	p.stop()
	_ = p.listener.Close()
	p.Reset()
	p.wg.Wait()
}

// spawn runs work in a goroutine that Close waits for.
func (p *Proxy) spawn(work func()) {
	p.wg.Add(1)
	go func() {
		defer p.wg.Done()
		work()
	}()
}

// currentFault returns the fault that is set.
func (p *Proxy) currentFault() Fault {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault
}

// accept serves connections until the proxy is closed.
func (p *Proxy) accept() {
	for {
		gatewaySide, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.spawn(func() { p.serve(gatewaySide) })
	}
}

// serve forwards one connection in both directions until it ends.
func (p *Proxy) serve(gatewaySide net.Conn) {
	defer func() { _ = gatewaySide.Close() }()
	select {
	case <-time.After(p.currentFault().ConnectDelay):
	case <-p.ctx.Done():
		return
	}
	endpointSide, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		return
	}
	defer func() { _ = endpointSide.Close() }()
	x := &pair{gatewaySide: gatewaySide, endpointSide: endpointSide}
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
		p.forward(x, endpointSide, gatewaySide)
	}()
	p.forward(x, gatewaySide, endpointSide)
	<-done
}

const copyBufferSize = 16 << 10 // bytes

// forward copies one direction until it ends, then ends both sides in the same way: a reset is forwarded as a reset. When a
// gateway closes only its sending direction, both sides are closed all the same: its requests are canceled, as after a close.
func (p *Proxy) forward(x *pair, to, from net.Conn) {
	defer func() { _ = from.Close() }()
	buffer := make([]byte, copyBufferSize)
	for {
		n, err := from.Read(buffer)
		dropped := p.dropsBytes(x)
		if dropped && from == x.endpointSide {
			return // the endpoint sees its connection close; the gateway sees nothing
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

// dropsBytes reports whether bytes read on a connection are dropped.
func (p *Proxy) dropsBytes(x *pair) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	x.silenced = x.silenced || p.fault.Silent
	return x.silenced
}
