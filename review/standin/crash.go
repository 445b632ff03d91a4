package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

func init() { cases["crash"] = playCrash }

// Figures of the case.
const (
	crashLength = 12 * time.Second
	crashCheck  = 5 * time.Second // when the check comes
	crashRate   = 40              // requests a second
	crashWork   = 300 * time.Millisecond
)

// playCrash: while clients are served, something that does not speak the line protocol connects to the gateway's port once. That
// connection has to end, and nothing else.
func playCrash(e *environment) (int, error) {
	bricks := ""
	for i := range 2 {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return cannot, err
		}
		defer func() { _ = listener.Close() }()
		name := fmt.Sprintf("brick-%d", i)
		bricks += brickLine(name, listener, i)
		go e.serveWork(listener, name)
	}
	address, err := freeAddress()
	if err != nil {
		return cannot, err
	}
	settings := fmt.Sprintf(`name: "host-0"
listen: %q
hosts: 1
%sfleet { cancel: true max_dispatches: 4 resolution: "2ms" answer_slack: "8ms" drain_grace: "250ms" usual_units: 2 most_units: 8 max_pause: "1s" }
queue_type { name: "part-lookup" service_target: "500ms" command_timeout: "3s" importance: 2 late_share: 0.15 }
plan { name: "standard" nominal: 50 weight: 1 importance: 1 }
volume { name: "yard" plan: "standard" hosts: 1 }
`, address, bricks)
	gateway, err := e.startLineGateway("host-0", settings, address)
	if err != nil {
		return cannot, err
	}
	defer gateway.kill()
	if e.trouble {
		check := time.AfterFunc(crashCheck, func() { e.httpCheck(address) })
		defer check.Stop()
	}
	open, answered, err := e.crashLoad(address)
	if err != nil {
		return cannot, err
	}
	crashed := gateway.ended()
	if crashed {
		e.record.add("host-0", "the process has ended by itself: %v", gateway.err)
	}
	e.record.add("case", "%d requests answered, %d sent and never answered, process ended by itself: %v", answered, open, crashed)
	switch {
	case answered < 50:
		return cannot, fmt.Errorf("only %d requests were answered", answered)
	case crashed:
		return broken, nil
	}
	return held, nil
}

// httpCheck asks the port whether it is well, as a health check of HTTP services does.
func (e *environment) httpCheck(address string) {
	nc, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		e.record.add("check", "%v", err)
		return
	}
	defer func() { _ = nc.Close() }()
	_, _ = io.WriteString(nc, "GET / HTTP/1.1\r\nHost: "+address+"\r\n\r\n")
	_ = nc.SetReadDeadline(time.Now().Add(2 * time.Second))
	answer, err := io.ReadAll(nc)
	e.record.add("check", "GET / HTTP/1.1 sent; answered %q, %v", answer, err)
}

// crashLoad sends requests until the end of the run or of the connection. It returns how many were never answered, and how many were.
func (e *environment) crashLoad(address string) (open, answered int, err error) {
	nc, in, err := dialLine(address, "client-0")
	if err != nil {
		return 0, 0, err
	}
	defer func() { _ = nc.Close() }()
	var mu sync.Mutex
	waiting, done, ended := map[uint64]bool{}, 0, make(chan struct{})
	go func() {
		defer close(ended)
		for {
			m, err := readLine(in)
			if err != nil {
				e.record.add("client", "the connection has ended: %v", err)
				return
			}
			mu.Lock()
			delete(waiting, m.id)
			done++
			mu.Unlock()
			e.record.add("client", "request %d: %s", m.id, m.verb)
		}
	}()
	end := time.Now().Add(crashLength)
	for n := uint64(1); time.Now().Before(end); n++ {
		mu.Lock()
		waiting[n] = true
		mu.Unlock()
		e.record.add("client", "request %d: sent", n)
		message := formatLine(fmt.Sprintf("RUN %d", n), nil, "Volume: yard", "Queue-Type: part-lookup", fmt.Sprintf("Object: part/%d", n),
			fmt.Sprintf("Cell: %d", n%2), "Units: 1", "Timeout: 3000000")
		if _, err := nc.Write(message); err != nil {
			break
		}
		time.Sleep(time.Second / crashRate)
	}
	select {
	case <-ended:
	case <-time.After(4 * time.Second): // until the last request's time is over
	}
	mu.Lock()
	defer mu.Unlock()
	return len(waiting), done, nil
}

// serveWork serves a brick that completes each attempt after crashWork.
func (e *environment) serveWork(listener net.Listener, name string) {
	for {
		nc, err := listener.Accept()
		if err != nil {
			return
		}
		go func() {
			defer func() { _ = nc.Close() }()
			if _, err := nc.Write(greeting("brick", name)); err != nil {
				return
			}
			in := bufio.NewReader(nc)
			var writing sync.Mutex
			for {
				m, err := readLine(in)
				if err != nil {
					return
				}
				if m.verb != "RUN" {
					continue
				}
				e.record.add(name, "runs %s", m.fields.Get("Object"))
				time.AfterFunc(crashWork, func() {
					writing.Lock()
					defer writing.Unlock()
					_, _ = nc.Write(formatLine(fmt.Sprintf("DONE %d", m.id), []byte("found"))) // fails if the gateway has ended
				})
			}
		}()
	}
}
