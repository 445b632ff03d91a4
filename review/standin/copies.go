package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["copies"] = playCopies }

// Figures of the case.
const (
	copyHosts  = 5
	copyBricks = 4
	copyLength = 30 * time.Second
	copySpell  = 10 * time.Second     // for which the bricks are bad
	pathDelay  = 2 * time.Millisecond // one way between hosts and bricks
	brickWork  = 12 * time.Millisecond
	copyShare  = 0.1                   // share of a bad brick's answers that come twice
	copyLeast  = 8 * time.Millisecond  // least lateness of the second answer
	copyMost   = 15 * time.Millisecond // greatest lateness
)

// copyRun is one run of the case.
type copyRun struct {
	*environment
	serial   atomic.Int64
	bad      atomic.Bool // bricks answer twice at present
	answered atomic.Int64
	copies   atomic.Int64
	foreign  atomic.Int64
}

// playCopies: bricks send some answers a second time, some milliseconds later, while nothing else waits on the connection. No client
// may get the answer that was made for another request.
func playCopies(e *environment) (int, error) {
	r := &copyRun{environment: e}
	list := memberList{Revision: 1, Complete: true}
	for i := range copyBricks {
		brick, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return cannot, err
		}
		defer func() { _ = brick.Close() }()
		go r.serveBrick(brick, i)
		path, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return cannot, err
		}
		defer func() { _ = path.Close() }()
		go servePath(path, brick.Addr().String())
		list.Members = append(list.Members, member{ID: fmt.Sprintf("s-%d", i), HostPort: path.Addr().String(), Locality: "south-room",
			Flavor: "single-core", Cell: i, Phase: "in_service", Size: 1})
	}
	var hosts []*host
	defer func() {
		for _, h := range hosts {
			h.stop()
		}
	}()
	for i := range copyHosts {
		h, err := e.startHost(i, copySettings(), list)
		if err != nil {
			return cannot, err
		}
		hosts = append(hosts, h)
	}
	r.play(hosts)
	e.record.add("case", "%d answers with 200, %d second answers sent, %d answers of other requests served", r.answered.Load(), r.copies.Load(), r.foreign.Load())
	switch {
	case r.answered.Load() < 1000:
		return cannot, fmt.Errorf("only %d answers: the load did not run", r.answered.Load())
	case r.foreign.Load() > 0:
		return broken, nil
	}
	return held, nil
}

// play runs the load. After 3 s the bricks go bad for copySpell.
func (r *copyRun) play(hosts []*host) {
	end := time.Now().Add(copyLength)
	var clients sync.WaitGroup
	for _, h := range hosts {
		for shard := range copyBricks {
			clients.Go(func() { r.client(h, shard, end) })
		}
	}
	time.Sleep(3 * time.Second)
	r.bad.Store(r.trouble)
	r.record.add("bricks", "bad from now on: %v", r.trouble)
	time.Sleep(copySpell)
	r.bad.Store(false)
	r.record.add("bricks", "sound again")
	time.Sleep(time.Second) // until what was under way has ended
	before := r.foreign.Load()
	defer func() {
		r.record.add("case", "%d answers of other requests served later than 1 s after that", r.foreign.Load()-before)
	}()
	clients.Wait()
}

// client reads one piece of data after the other from one shard, on one kept connection, and checks that each answer is the one made for
// its request.
func (r *copyRun) client(h *host, shard int, end time.Time) {
	transport := &http.Transport{MaxIdleConnsPerHost: 1}
	defer transport.CloseIdleConnections()
	caller := &http.Client{Transport: transport, Timeout: 3 * time.Second}
	for time.Now().Before(end) {
		n := r.serial.Add(1)
		id := fmt.Sprintf("%016x", n)
		path := fmt.Sprintf("/read/%016x/%016x", 0x3b4d60021+n%16, n)
		request, err := http.NewRequest(http.MethodGet, "http://"+h.address+path, nil)
		if err != nil {
			return
		}
		request.Header = http.Header{"X-Txn": {id}, "X-Lane": {"read"}, "Tier": {"standard"}, "X-Remaining-Ms": {"1200"},
			"Io-Info": {fmt.Sprintf("units=2,shard=%d,hosts=%d", shard, copyHosts)}}
		response, err := caller.Do(request)
		if err != nil {
			r.record.add(h.name, "request %s: %v", id, err)
			continue
		}
		body, err := io.ReadAll(response.Body)
		_ = response.Body.Close() // read to its end
		r.judge(h, id, response.StatusCode, string(body), err)
		if response.StatusCode != http.StatusOK {
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// judge counts an answer with 200 whose body a brick made for another request.
func (r *copyRun) judge(h *host, id string, status int, body string, err error) {
	if status != http.StatusOK || err != nil {
		return
	}
	r.answered.Add(1)
	if body == answerFor(id) {
		return
	}
	r.foreign.Add(1)
	r.record.add(h.name, "request %s was answered 200 with %q, which no brick made for it", id, strings.TrimSpace(body))
}

// answerFor is the answer that a brick makes for a request.
func answerFor(id string) string { return "the data that request " + id + " asked for\n" }

// serveBrick serves a brick. It works on one request at a time.
func (r *copyRun) serveBrick(listener net.Listener, number int) {
	var worker sync.Mutex
	for {
		nc, err := listener.Accept()
		if err != nil {
			return
		}
		go r.serveConnection(nc, number, &worker)
	}
}

// serveConnection answers the requests of one connection. Some answers of a bad brick come a second time, some milliseconds later,
// unless anything else has arrived on the connection by then.
func (r *copyRun) serveConnection(nc net.Conn, number int, worker *sync.Mutex) {
	defer func() { _ = nc.Close() }()
	rng := rand.New(rand.NewSource(time.Now().UnixNano()))
	in := bufio.NewReader(nc)
	for {
		request, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		id := request.Header.Get("X-Txn")
		worker.Lock()
		time.Sleep(brickWork)
		worker.Unlock()
		body := answerFor(id)
		answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		if _, err := io.WriteString(nc, answer); err != nil {
			return
		}
		if !r.bad.Load() || rng.Float64() >= copyShare {
			continue
		}
		late := copyLeast + time.Duration(rng.Int63n(int64(copyMost-copyLeast)))
		_ = nc.SetReadDeadline(time.Now().Add(late)) // a failure ends the connection below
		_, waiting := in.Peek(1)
		_ = nc.SetReadDeadline(time.Time{})
		if waiting == nil {
			continue // something else waits: only one answer
		}
		if !isTimeout(waiting) {
			return
		}
		r.copies.Add(1)
		r.record.add(fmt.Sprintf("s-%d", number), "second answer to %s, %v after the first, nothing else waiting", id, late)
		if _, err := io.WriteString(nc, answer); err != nil {
			return
		}
	}
}

func isTimeout(err error) bool {
	var failure net.Error
	return errors.As(err, &failure) && failure.Timeout()
}

// servePath is the network between the hosts and a brick: it passes all bytes on, pathDelay later.
func servePath(listener net.Listener, to string) {
	for {
		near, err := listener.Accept()
		if err != nil {
			return
		}
		go func() {
			far, err := net.Dial("tcp", to)
			if err != nil {
				_ = near.Close()
				return
			}
			go carry(near, far)
			carry(far, near)
		}()
	}
}

// piece is what arrived at one moment; the last one has no bytes.
type piece struct {
	at    time.Time
	bytes []byte
}

// carry passes bytes on in one direction, then the end.
func carry(from, to net.Conn) {
	pieces := make(chan piece, 1024)
	go func() {
		defer close(pieces)
		for {
			buffer := make([]byte, 16<<10)
			n, err := from.Read(buffer)
			if n > 0 {
				pieces <- piece{time.Now(), buffer[:n]}
			}
			if err != nil {
				return
			}
		}
	}()
	for p := range pieces {
		time.Sleep(time.Until(p.at.Add(pathDelay)))
		if _, err := to.Write(p.bytes); err != nil {
			break
		}
	}
	time.Sleep(pathDelay)
	_ = to.Close()   // the end of one side ends both
	_ = from.Close() // and the reader above
}

// copySettings are the settings of a small deployment like isafjordur-store: two rooms, figures of the site, and no probes or
// messages between hosts, which do not exist on sockets.
func copySettings() map[string]any {
	return map[string]any{"balancers": copyHosts,
		"classes": []any{map[string]any{"name": "read", "aim_us": 150000, "give_up_us": 1200000, "group": "all", "late_value": 0.15,
			"semantics": "repeatable", "window_us": 5000000, "worth": 3}},
		"client_habits": map[string]any{"marks_retry": true},
		"contract": map[string]any{"answer_slack_us": 8000, "ask_within_us": 10000000, "cold_from": 0.28, "cold_us": 16000000,
			"drain_grace_us": 2000000, "fall_multiple": 4.0, "overload_for_us": 1500000},
		"discovery":   "push",
		"family_info": map[string]any{"changes_data": []bool{false}, "cold_units": 10.0, "tells_elsewhere": true, "units_top": 8, "usual_units": 2.0},
		"limits": map[string]any{"cancel": true, "conn_idle_us": 30000000, "connect_timeout_us": 250000, "max_attempts": 3,
			"max_retry_after_us": 1000000, "may_probe": false, "peers": false, "retry_after": true, "second_copies": false},
		"plans":         []any{map[string]any{"name": "standard", "guaranteed": 8.0, "nominal": 10.0, "never_over": 0.0, "parts": 1.0, "worth_factor": 1.0}},
		"resolution_us": 2000, "zone": "north-room"}
}
