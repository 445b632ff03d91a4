package httpgateway

import (
	"fmt"
	"net"
	"testing"
	"time"

	"weirhaven/internal/engine"
)

// A server that restarts while it is watched is cold, whatever the wall clock says of its start: the clock may have been
// stepped by an hour, so that a start of this moment seems an hour old.
func TestStartAfterClockStep(t *testing.T) {
	t.Parallel()
	hold := make(chan bool)
	b := newBrick(t, func(c net.Conn, n int) bool { <-hold; return answers(c, n) })
	t.Cleanup(func() { close(hold) })
	h := aHost(t, b)
	s := &h.config.Settings
	s.SlowStartShare, s.SlowStartTime, s.SlowStartUnits, s.OverloadFactor, s.OverloadWindow = 0.2, 10*time.Second, 4, 2, time.Second
	h.config.KnownEndpoints.Entries = []engine.EndpointEntry{{Name: "b0", Address: b.l.Addr().String(), Serving: true,
		Started: time.Duration(time.Now().Add(-24 * time.Hour).UnixNano())}}
	h.start()
	time.Sleep(s.OverloadWindow) // a host that has just started sends nothing to servers that it may have filled before
	h.agent.tell(8, false)       // nothing has changed until here
	started := time.Now().Add(-time.Hour).UnixMilli()
	h.agent.lines <- fmt.Sprintf(`{"revision":9,"complete":false,"members":[{"id":"b0","host_port":%q,"locality":"a","cell":0,"phase":"in_service","up_since_ms":%d}]}`,
		b.l.Addr(), started)
	time.Sleep(300 * ms)
	for i := range 16 {
		say(h.dial(), read(fmt.Sprint("a", i)))
	}
	time.Sleep(300 * ms)
	if n := len(b.seen); n > 2 {
		t.Errorf("%d requests reached a server that had just started, which bears 2 from this host", n)
	}
}

// A server whose entry can't be read gets nothing new until one can: it may have been told to drain.
func TestUnreadableEntryOfServer(t *testing.T) {
	b := newBrick(t, answers)
	h := newHost(t, b)
	want(t, h.dial(), read("a1"), 200, "answer 0")
	<-b.seen
	h.agent.lines <- `{"revision":8,"complete":false,"members":[{"id":"b0","host_port":"nowhere","locality":"a","cell":0,"phase":"in_service"}]}`
	deadline := time.Now().Add(2 * time.Second)
	for i := 0; time.Now().Before(deadline); i++ {
		if status, _ := ask(h.dial(), read(fmt.Sprint("b", i))); status == 503 {
			h.agent.tell(9, false, b.line("b0", 0, "in_service"))
			for ; time.Now().Before(deadline); i++ {
				if status, _ := ask(h.dial(), read(fmt.Sprint("c", i))); status == 200 {
					return
				}
			}
		}
	}
	t.Error("an entry that can't be read changed nothing, or for good")
}
