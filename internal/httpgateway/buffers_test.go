package httpgateway

import (
	"context"
	"log/slog"
	"net"
	"syscall"
	"testing"
	"time"

	"weirhaven/internal/engine"
	"weirhaven/internal/fleet/endpointstate"
	"weirhaven/internal/httpgateway/upstream"
	"weirhaven/policy"
)

// A write that fails after some bytes and before its last: the brick never had the whole dispatch, so it never ran and
// a non-retryable command is busy-replied.
func TestWriteCut(t *testing.T) {
	lc := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) { syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 1) })
	}}
	l, err := lc.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan bool)
	go func() {
		defer close(done)
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			c.Read(make([]byte, 1))
			reset(c)
			c.Close()
		}
	}()
	t.Cleanup(func() { l.Close(); <-done })
	h := newHost(t, &brick{l: l})
	loop := engine.NewLoop(10)
	p := upstream.New(upstream.Options{Loop: loop, MaxConnections: 4, ConnectTimeout: time.Second, IdleTimeout: time.Second, Log: slog.New(slog.DiscardHandler)})
	core := engine.New(h.config.Settings, endpointstate.Rules{}, func(p policy.Runtime, s policy.Settings) engine.Scheduler {
		return &watched{policy.New(p, s), h.ended}
	}, outbound{&Host{pool: p, Log: slog.New(slog.DiscardHandler)}}, nil, time.Second, loop.Now())
	ctx, stop := context.WithCancel(context.Background())
	go loop.Run(ctx, core)
	answered := make(chan engine.Response, 1)
	loop.Post(func(c *engine.Core) {
		c.AuthoritativeList(true, h.config.KnownEndpoints.Entries)
		c.Submit(&engine.Request{Volume: "v", Plan: "plain", Gateways: 1, Class: "write", Units: 1, Header: []byte("PUT / HTTP/1.1\r\n"),
			Body: make([]byte, 16<<20), Respond: func(a engine.Response) { answered <- a }}) // more than all buffers between hold
	})
	h.how(policy.ConnectFailed)
	if a := <-answered; a.Result != engine.Rejected {
		t.Errorf("%v, wanted a busy reply", a.Result)
	}
	stop()
	<-loop.Done()
	p.Close()
}
