package main

import (
	"bufio"
	"fmt"
	"math/rand"
	"net"
	"sync"
	"time"
)

func init() { cases["latetag"] = playLateTag }

// Figures of the case.
const (
	tagWindow   = time.Second            // bricks remember a tag for so long (settings: tag_window)
	tagSlack    = 200 * time.Millisecond // on sockets limits are longer by 50 ms, and the gateway may be held up for 150 ms
	tagLength   = 60 * time.Second
	tagBricks   = 5
	tagRate     = 25 // requests a second
	latestReady = 1500 * time.Millisecond
)

// tagRun is one run of the case.
type tagRun struct {
	*environment

	mu       sync.Mutex
	firstRun map[string]time.Time // when an attempt with the tag first reached a brick
	applied  map[string]int       // how often a write with the tag took effect
	answers  map[string]int       // final answers by verb
	twice    int
}

// playLateTag: connections to bricks are reset under requests, and some new ones come up late. A tagged write may be sent again only
// while the bricks remember its tag.
func playLateTag(e *environment) (int, error) {
	r := &tagRun{environment: e, firstRun: map[string]time.Time{}, applied: map[string]int{}, answers: map[string]int{}}
	bricks := ""
	for i := range tagBricks {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return cannot, err
		}
		defer func() { _ = listener.Close() }()
		name := fmt.Sprintf("brick-%d", i)
		bricks += brickLine(name, listener, i)
		b := &tagBrick{run: r, name: name, rng: rand.New(rand.NewSource(int64(40 + i)))}
		go b.serve(listener)
	}
	address, err := freeAddress()
	if err != nil {
		return cannot, err
	}
	settings := fmt.Sprintf(`name: "host-0"
listen: %q
hosts: 1
%sfleet { cancel: true max_dispatches: 4 resolution: "2ms" answer_slack: "8ms" drain_grace: "250ms" usual_units: 2 most_units: 8 max_pause: "1s" }
queue_type { name: "order-update" service_target: "600ms" command_timeout: "3s" importance: 3 late_share: 0.1 semantics: TAGGED group: ALL tag_window: %q writes: true }
plan { name: "standard" nominal: 50 weight: 1 importance: 1 }
volume { name: "yard" plan: "standard" hosts: 1 }
bounds { connect: "2s" }
`, address, bricks, tagWindow.String())
	gateway, err := e.startLineGateway("host-0", settings, address)
	if err != nil {
		return cannot, err
	}
	defer gateway.kill()
	if err := r.load(address); err != nil {
		return cannot, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	e.record.add("case", "answers %v; %d writes took effect, %d of them twice", r.answers, len(r.applied), r.twice)
	switch {
	case r.answers["DONE"] < 100:
		return cannot, fmt.Errorf("only %d requests were completed", r.answers["DONE"])
	case r.twice > 0:
		return broken, nil
	}
	return held, nil
}

// load sends requests, each with a tag of its own, and reads their answers.
func (r *tagRun) load(address string) error {
	nc, in, err := dialLine(address, "client-0")
	if err != nil {
		return err
	}
	defer func() { _ = nc.Close() }()
	go func() { // ends with the connection
		for {
			m, err := readLine(in)
			if err != nil {
				return
			}
			r.mu.Lock()
			r.answers[m.verb]++
			r.mu.Unlock()
			r.record.add("client", "request %d: %s %s", m.id, m.verb, m.fields.Get("May-Have-Run"))
		}
	}()
	for n := range int(tagLength.Seconds()) * tagRate {
		tag := fmt.Sprintf("t-%d", n+1)
		r.record.add("client", "request %d: sent with tag %s", n+1, tag)
		message := formatLine(fmt.Sprintf("RUN %d", n+1), []byte("an order"), "Volume: yard", "Queue-Type: order-update",
			fmt.Sprintf("Object: order/%d", n), fmt.Sprintf("Cell: %d", n%tagBricks), "Units: 1", "Timeout: 3000000", "Tag: "+tag)
		if _, err := nc.Write(message); err != nil {
			return err
		}
		time.Sleep(time.Second / tagRate)
	}
	time.Sleep(4 * time.Second) // until the last request's time is over
	return nil
}

// tagBrick is a brick. It knows a repeat by its tag for tagWindow after the first attempt with that tag; all bricks of the run share what
// they know.
type tagBrick struct {
	run  *tagRun
	name string

	mu  sync.Mutex
	rng *rand.Rand
}

func (b *tagBrick) random() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.rng.Float64()
}

func (b *tagBrick) serve(listener net.Listener) {
	for {
		nc, err := listener.Accept()
		if err != nil {
			return
		}
		go b.serveConnection(nc)
	}
}

// serveConnection greets, for a third of the connections late, and runs the attempts that come. After a while the connection is reset,
// under whatever is in work then.
func (b *tagBrick) serveConnection(nc net.Conn) {
	defer func() { _ = nc.Close() }()
	if b.run.trouble && b.random() < 1.0/3 {
		late := time.Duration(b.random() * float64(latestReady))
		b.run.record.add(b.name, "this connection comes up %v late", late.Round(time.Millisecond))
		time.Sleep(late)
	}
	if _, err := nc.Write(greeting("brick", b.name)); err != nil {
		return
	}
	if b.run.trouble {
		reset := time.AfterFunc(500*time.Millisecond+time.Duration(b.random()*float64(1500*time.Millisecond)), func() {
			b.run.record.add(b.name, "the connection is reset")
			_ = nc.(*net.TCPConn).SetLinger(0) // so that the close is a reset
			_ = nc.Close()
		})
		defer reset.Stop()
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
		work := 100*time.Millisecond + time.Duration(b.random()*float64(400*time.Millisecond))
		b.run.reached(b.name, m)
		go func() {
			time.Sleep(work)
			writing.Lock()
			defer writing.Unlock()
			_, _ = nc.Write(formatLine(fmt.Sprintf("DONE %d", m.id), []byte("done"))) // fails if the connection was reset meanwhile
		}()
	}
}

// reached lets an attempt take effect, unless its tag is known.
func (r *tagRun) reached(brick string, m *lineMessage) {
	r.mu.Lock()
	defer r.mu.Unlock()
	tag, now := m.fields.Get("Tag"), time.Now()
	first, known := r.firstRun[tag]
	if !known {
		r.firstRun[tag] = now
		r.applied[tag] = 1
		r.record.add(brick, "%s runs", tag)
		return
	}
	age := now.Sub(first)
	if age <= tagWindow+tagSlack {
		r.record.add(brick, "%s came again after %v: known, not run again", tag, age.Round(time.Millisecond))
		return
	}
	r.applied[tag]++
	r.twice++
	r.record.add(brick, "%s came again after %v (Dispatch %s): the tag is forgotten, IT RUNS A SECOND TIME", tag, age.Round(time.Millisecond), m.fields.Get("Dispatch"))
}
