package upstream

import (
	"context"
	"io"
	"log/slog"
	"net"
	"testing"
	"time"

	"go.uber.org/goleak"

	"weirhaven/internal/clock"
	"weirhaven/internal/engine"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// reports is a loop that only notes that an outcome was reported.
type reportingLoop struct {
	clock.Clock
	reported chan bool
}

func (r *reportingLoop) Post(func(*engine.Core)) bool {
	r.reported <- true
	return true
}

// Nothing of an attempt is written once its client has gone or has its answer, its deadline or its own limit has passed, as
// of the very moment before the write; the loop need not have had its turn.
func TestSendGuard(t *testing.T) {
	for name, row := range map[string]struct {
		begins bool
		left   time.Duration
		until  func(now time.Duration) time.Duration // notAfter
		change func(task *engine.Request, now time.Duration)
	}{
		"nothing happened":              {begins: true, left: time.Second},
		"client gone, noticed":          {left: time.Second, change: func(task *engine.Request, now time.Duration) { task.End(now) }},
		"client gone, not yet noticed":  {left: time.Second, change: func(task *engine.Request, _ time.Duration) { task.ClientClosed = func() bool { return true } }},
		"deadline passed":               {left: 20 * time.Millisecond},
		"the request's deadline passed": {left: time.Second, change: func(task *engine.Request, now time.Duration) { task.Deadline = now + time.Millisecond }},
		"its own limit passed":          {left: time.Second, until: func(now time.Duration) time.Duration { return now + 20*time.Millisecond }},
	} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			let, got := make(chan bool), make(chan int, 1)
			go func() {
				nc, err := l.Accept()
				if err != nil {
					return
				}
				defer nc.Close()
				n, _ := io.ReadAtLeast(nc, make([]byte, 100), 1)
				got <- n
			}()
			loop := &reportingLoop{clock.New(), make(chan bool, 1)}
			p := New(Options{Loop: loop, MaxConnections: 4, ConnectTimeout: 2 * time.Second, IdleTimeout: time.Second, Log: slog.New(slog.DiscardHandler),
				Dial: func(ctx context.Context, address string) (net.Conn, error) {
					<-let
					return new(net.Dialer).DialContext(ctx, "tcp", address)
				}})
			task, now := &engine.Request{Header: []byte("GET / HTTP/1.1\r\n")}, loop.Now()
			var notAfter time.Duration
			if row.until != nil {
				notAfter = row.until(now)
			}
			if row.change != nil {
				row.change(task, now)
			}
			p.Connect("s", l.Addr().String()).Send(1, task, 0, row.left, notAfter)
			time.Sleep(50 * time.Millisecond)
			close(let)
			if n := <-got; n > 0 != row.begins {
				t.Errorf("%d bytes reached the server", n)
			}
			<-loop.reported
			p.Close()
		})
	}
}
