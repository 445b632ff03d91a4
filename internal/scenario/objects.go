package scenario

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
	"math/rand"
	"net"
	"net/http"
	"sync"
	"time"

	"weirhaven/client"
	"weirhaven/internal/settings"
)

// ObjectCounts counts the object requests of a run and the wrong results.
type ObjectCounts struct {
	Puts, Gets, Ranges, Deletes, Uploads int
	Failed                               int // requests that got an error or no response
	Wrong                                int // reads whose bytes match no possible content
	Lost                                 int // reads that found no object although every possible content is one
	Checked                              int // names read after the workers ended
	FirstError                           string
}

// Requests returns the number of requests sent.
func (o ObjectCounts) Requests() int { return o.Puts + o.Gets + o.Ranges + o.Deletes + o.Uploads }

// Good reports whether no read returned wrong bytes and no object was lost.
func (o ObjectCounts) Good() bool { return o.Wrong == 0 && o.Lost == 0 }

func (o ObjectCounts) String() string {
	return fmt.Sprintf("%d puts, %d of them in parts, %d reads, %d range reads, %d deletes; %d failed; %d names checked after the run; %d wrong, %d lost %s", o.Puts, o.Uploads, o.Gets,
		o.Ranges, o.Deletes, o.Failed, o.Checked, o.Wrong, o.Lost, o.FirstError)
}

// content is an object's content, generated from a seed.
type content struct {
	seed int64
	size int
}

func (c content) bytes() []byte {
	b := make([]byte, c.size)
	rand.New(rand.NewSource(c.seed)).Read(b)
	if c.size >= 8 {
		binary.BigEndian.PutUint64(b, uint64(c.seed))
	}
	return b
}

// object is a name with the contents that a read may return; nil stands for no object. After a write whose outcome is unknown there
// is more than one.
type object struct {
	volume, name string
	candidates   []*content
}

// objectClients sends object requests over HTTP and checks the responses.
type objectClients struct {
	r       *runner
	mu      sync.Mutex
	totals  ObjectCounts
	objects [][]*object
	clients []*client.Client
	stop    context.CancelFunc
	wg      sync.WaitGroup
}

// reserveObjectPorts chooses for each gateway the address of its object API, which it keeps over restarts.
func (r *runner) reserveObjectPorts() error {
	for _, p := range r.gateways {
		l, err := net.Listen("tcp", r.ip+":0")
		if err != nil {
			return err
		}
		defer func() { _ = l.Close() }()
		p.objectAddress = l.Addr().String()
	}
	return nil
}

func (r *runner) startObjectClients(ctx context.Context) *objectClients {
	o := &objectClients{r: r}
	ctx, o.stop = context.WithCancel(ctx)
	volumes := 0
	for _, g := range r.scenario.Volumes {
		volumes += int(g.Count)
	}
	for i := range int(r.scenario.Objects.Workers) {
		c, err := client.New(client.Config{Endpoint: "http://" + r.gateways[i%len(r.gateways)].objectAddress, Repeats: 4, Wait: time.Second,
			HTTP: &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 2}}})
		if err != nil {
			continue
		}
		var objects []*object
		for n := range int(r.scenario.Objects.Names) {
			at := (i*7 + n) % volumes
			objects = append(objects, &object{volume: volumeName(r.planOfVolume(at), at), name: fmt.Sprintf("worker %d/%d", i, n), candidates: []*content{nil}})
		}
		o.clients, o.objects = append(o.clients, c), append(o.objects, objects)
		seed := r.rng.Int63()
		o.wg.Add(1)
		go func() {
			defer o.wg.Done()
			o.run(ctx, c, objects, rand.New(rand.NewSource(seed)))
		}()
	}
	return o
}

func (r *runner) planOfVolume(number int) string {
	for _, g := range r.scenario.Volumes {
		if number < int(g.Count) {
			return g.Plan
		}
		number -= int(g.Count)
	}
	return ""
}

func (o *objectClients) count(f func(s *ObjectCounts)) {
	o.mu.Lock()
	defer o.mu.Unlock()
	f(&o.totals)
}

func (o *objectClients) counts() ObjectCounts {
	if o == nil {
		return ObjectCounts{}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.totals
}

func (o *objectClients) run(ctx context.Context, c *client.Client, objects []*object, rng *rand.Rand) {
	l := o.r.scenario.Objects
	pause := settings.Duration(l.Pause, 10*time.Millisecond)
	for ctx.Err() == nil {
		n := objects[rng.Intn(len(objects))]
		switch x := rng.Float64(); {
		case x < 0.4:
			o.put(ctx, c, n, content{rng.Int63(), int(math.Exp(rng.Float64() * math.Log(float64(l.Largest))))}, rng.Float64() < l.Parts)
		case x < 0.45:
			o.count(func(s *ObjectCounts) { s.Deletes++ })
			err := c.Delete(ctx, n.volume, n.name)
			o.writeEnded(n, nil, err)
		case x < 0.7:
			o.get(ctx, c, n, 0, 0)
		default:
			from := rng.Int63n(int64(l.Largest))
			o.get(ctx, c, n, from, 1+rng.Int63n(64<<10))
		}
		waitUntil(ctx, time.Now().Add(pause))
	}
}

// writeEnded updates the possible contents of a name after a write.
func (o *objectClients) writeEnded(n *object, written *content, err error) {
	if err == nil {
		n.candidates = []*content{written}
		return
	}
	// The write may have happened even if the last attempt can't have run, because an earlier one may have.
	o.count(func(s *ObjectCounts) { s.Failed++ })
	n.candidates = append(n.candidates, written)
}

func (o *objectClients) put(ctx context.Context, c *client.Client, n *object, x content, parts bool) {
	options := client.PutOptions{}
	if parts {
		x.size = 5<<20 + x.size%(1<<20)
		options.Part = 5 << 20
		o.count(func(s *ObjectCounts) { s.Uploads++ })
	}
	o.count(func(s *ObjectCounts) { s.Puts++ })
	b := x.bytes()
	_, err := c.Put(ctx, n.volume, n.name, bytes.NewReader(b), int64(len(b)), options)
	o.writeEnded(n, &x, err)
}

// get reads an object, or a range of it if size is above 0, and verifies the result.
func (o *objectClients) get(ctx context.Context, c *client.Client, n *object, from, size int64) {
	if size > 0 {
		o.count(func(s *ObjectCounts) { s.Ranges++ })
	} else {
		o.count(func(s *ObjectCounts) { s.Gets++ })
	}
	_, body, err := c.Get(ctx, n.volume, n.name, from, size)
	var e *client.Error
	if client.NotFound(err) {
		o.verify(n, nil, false, from, size)
		return
	}
	if errors.As(err, &e) && e.Status == http.StatusRequestedRangeNotSatisfiable {
		return
	}
	if err == nil {
		defer func() { _ = body.Close() }()
		var b []byte
		if b, err = io.ReadAll(body); err == nil {
			o.verify(n, b, true, from, size)
			return
		}
	}
	if ctx.Err() == nil {
		o.count(func(s *ObjectCounts) { s.Failed++ })
	}
}

// verify counts a read result that matches none of the object's possible contents as wrong or lost.
func (o *objectClients) verify(n *object, got []byte, found bool, from, size int64) {
	for _, x := range n.candidates {
		switch {
		case x == nil && !found:
		case x == nil || !found:
			continue
		default:
			want := x.bytes()
			if from > int64(len(want)) {
				continue
			}
			if want = want[from:]; size > 0 {
				want = want[:min(size, int64(len(want)))]
			}
			if !bytes.Equal(got, want) {
				continue
			}
		}
		return
	}
	o.count(func(s *ObjectCounts) {
		if found {
			s.Wrong++
		} else {
			s.Lost++
		}
		if s.FirstError == "" {
			s.FirstError = fmt.Sprintf("(first: %s/%s, %d bytes read from offset %d, range length %d, found %v, %d possible contents)", n.volume, n.name, len(got), from, size, found, len(n.candidates))
		}
	})
}

// finish ends the workers, then reads every name.
func (o *objectClients) finish(ctx context.Context) {
	if o == nil {
		return
	}
	o.stop()
	o.wg.Wait()
	var wg sync.WaitGroup
	for i, objects := range o.objects {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for _, n := range objects {
				for range 20 { // endpoints may still be in slow start
					before := o.counts().Failed
					o.get(ctx, o.clients[i], n, 0, 0)
					if o.counts().Failed == before || !waitUntil(ctx, time.Now().Add(100*time.Millisecond)) {
						break
					}
				}
				o.count(func(s *ObjectCounts) { s.Checked++ })
			}
		}()
	}
	wg.Wait()
}
