package upstream

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"weirhaven/internal/clock"
	"weirhaven/internal/engine"
	"weirhaven/internal/http1"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// reportingLoop is a Loop that runs no events and only signals that an outcome was reported.
type reportingLoop struct {
	clock.Clock
	reported chan bool
}

func (r *reportingLoop) Post(func(*engine.Core)) bool {
	r.reported <- true
	return true
}

// While an attempt waits for its connection, its request ends (client disconnected or final response sent) or a time limit passes,
// and the engine's loop has not canceled the attempt yet when the connection is established. No byte of the
// attempt may be sent, as the endpoint would do useless work, and the attempt must still be reported.
func TestSendGuard(t *testing.T) {
	for name, row := range map[string]struct {
		sent    bool
		timeout time.Duration
		startBy func(now time.Duration) time.Duration
		change  func(request *engine.Request, now time.Duration)
	}{
		"no change":                       {sent: true, timeout: time.Second},
		"client disconnected, detected":   {timeout: time.Second, change: func(request *engine.Request, now time.Duration) { request.End(now) }},
		"client disconnected, undetected": {timeout: time.Second, change: func(request *engine.Request, _ time.Duration) { request.ClientClosed = func() bool { return true } }},
		"attempt timeout passed":          {timeout: 20 * time.Millisecond},
		"request deadline passed":         {timeout: time.Second, change: func(request *engine.Request, now time.Duration) { request.Deadline = now + time.Millisecond }},
		"start limit passed":              {timeout: time.Second, startBy: func(now time.Duration) time.Duration { return now + 20*time.Millisecond }},
	} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			mayConnect, received := make(chan bool), make(chan int, 1)
			go func() {
				nc, err := l.Accept()
				if err != nil {
					return
				}
				defer nc.Close()
				n, _ := io.ReadAtLeast(nc, make([]byte, 100), 1)
				received <- n
			}()
			loop := &reportingLoop{clock.New(), make(chan bool, 1)}
			p := New(Options{Loop: loop, MaxConnections: 4, ConnectTimeout: 2 * time.Second, IdleTimeout: time.Second, Log: slog.New(slog.DiscardHandler),
				Dial: func(ctx context.Context, address string) (net.Conn, error) {
					<-mayConnect
					return new(net.Dialer).DialContext(ctx, "tcp", address)
				}})
			request, now := &engine.Request{Header: []byte("GET / HTTP/1.1\r\n")}, loop.Now()
			var startBy time.Duration
			if row.startBy != nil {
				startBy = row.startBy(now)
			}
			if row.change != nil {
				row.change(request, now)
			}
			p.Connect("s", l.Addr().String()).Send(1, request, 0, row.timeout, startBy)
			time.Sleep(50 * time.Millisecond)
			close(mayConnect)
			if n := <-received; n > 0 != row.sent {
				t.Errorf("%d bytes reached the endpoint", n)
			}
			<-loop.reported
			p.Close()
		})
	}
}

// suspendedLoop is a Loop that simulates one suspension of the process, immediately before the clock reading with the number
// beforeReading. Readings are counted after arm was called.
type suspendedLoop struct {
	reportingLoop
	beforeReading int
	suspension    time.Duration

	mu       sync.Mutex
	armed    bool
	readings int
}

func (s *suspendedLoop) arm() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.armed = true
}

func (s *suspendedLoop) Now() time.Duration {
	s.mu.Lock()
	if s.armed {
		s.readings++
	}
	s.mu.Unlock()
	return s.currentTime()
}

// currentTime returns the loop's time without counting a reading.
func (s *suspendedLoop) currentTime() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Clock.Now()
	if s.readings >= s.beforeReading {
		now += s.suspension
	}
	return now
}

// The process is suspended while it sends an attempt, between any two clock readings. The remaining time sent to the endpoint must
// not exceed that of the client by more than schedulingSlack; otherwise the endpoint would work after the client has stopped waiting.
func TestSuspendedWhileSending(t *testing.T) {
	for beforeReading := 1; beforeReading <= 6; beforeReading++ {
		t.Run(fmt.Sprint("before reading ", beforeReading), func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			loop := &suspendedLoop{reportingLoop: reportingLoop{clock.New(), make(chan bool, 1)}, beforeReading: beforeReading, suspension: 400 * time.Millisecond}
			p := New(Options{Loop: loop, MaxConnections: 4, ConnectTimeout: 2 * time.Second, IdleTimeout: time.Second, Log: slog.New(slog.DiscardHandler),
				Dial: func(ctx context.Context, address string) (net.Conn, error) {
					nc, err := new(net.Dialer).DialContext(ctx, "tcp", address)
					loop.arm()
					return nc, err
				}})
			deadline := loop.currentTime() + 5*time.Second
			p.Connect("s", l.Addr().String()).Send(1, &engine.Request{Header: []byte("GET / HTTP/1.1\r\nHost: x\r\n"), Deadline: deadline}, 0, 5*time.Second, 0)
			nc, err := l.Accept()
			if err != nil {
				t.Fatal(err)
			}
			head, err := http1.NewReader(nc).Request()
			if err != nil {
				t.Fatal(err)
			}
			remainingMs, _ := http1.ParseDigits(head.Get("X-Remaining-Ms"))
			if excess := time.Duration(remainingMs)*time.Millisecond - (deadline - loop.currentTime()); excess > schedulingSlack {
				t.Errorf("the endpoint was sent a remaining time %v too long", excess)
			}
			nc.Close()
			<-loop.reported
			p.Close()
		})
	}
}
