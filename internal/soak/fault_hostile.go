package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand"
	"strings"
	"sync/atomic"
	"time"

	"weirhaven/internal/fake/hostile"
	"weirhaven/internal/pb"
)

const (
	// hostileConnectionShare is the share of a process's descriptors that hostile clients try to hold.
	hostileConnectionShare = 0.6
	// maxHostileConnections keeps the run's own descriptors within its limit.
	maxHostileConnections = 600
	// hostileRate bounds the connects and batches of requests of hostile clients, per second.
	hostileRate = 3000
	// firstHostileID is the ID of the first request of a hostile client. The audit ignores these requests.
	firstHostileID = 1 << 40
	// departingRequests is the number of requests that a client sends at once before it disconnects.
	departingRequests = 300
	// returnDelay is the time after which such a client comes again with the same requests.
	returnDelay = 400 * time.Millisecond
	// departingWriteTime is how long such a client writes before it disconnects, at most.
	departingWriteTime = 50 * time.Millisecond
)

// departingPaddings are the additional bytes of the writes of a client that disconnects. One of them is drawn for each.
var departingPaddings = []int{0, 1 << 10, 16 << 10, 48 << 10}

// lastHostileID is the ID of the last request of a hostile client, over all runs of this program.
var lastHostileID atomic.Uint64

// hostileFaults returns a fault for each behavior of hostile clients.
func hostileFaults() (kinds []faultKind) {
	for _, behavior := range hostile.Behaviors {
		kinds = append(kinds, faultKind{"hostile-" + behavior.Name, func(ctx context.Context, r *run, rng *rand.Rand) { r.attack(ctx, rng, behavior) }})
	}
	return kinds
}

// attack lets hostile clients misuse some processes until ctx ends. It reports those that were owed an error or a close and got
// neither.
func (r *run) attack(ctx context.Context, rng *rand.Rand, behavior hostile.Behavior) {
	seed := rng.Int63()
	forEachConcurrently(pickSome(rng, r.processes, 8), func(p *process) {
		if r.deployment.Cores > 0 {
			go p.limitCPU(ctx, r.deployment.Cores)
		}
		var stats hostile.Stats
		incarnation := p.incarnation.Load()
		behavior.Run(ctx, r.hostileTarget(p), rand.New(rand.NewSource(seed+int64(p.number))), &stats)
		if n := stats.Unanswered.Load(); n > 0 && p.incarnation.Load() == incarnation && p.stopSignaledAt.Load() == 0 {
			r.report(Violation{Rule: "bad clients get an error", Process: p.name(), At: r.recorder.Now(), Log: p.path(".log"),
				Detail: fmt.Sprintf("%s: %d of %d connections got neither an error nor a close", behavior.Name, n, stats.Connections.Load())})
		}
	})
}

// hostileTarget returns a process as the target of hostile clients. Their valid requests belong to the plan without a limit.
func (r *run) hostileTarget(p *process) hostile.Target {
	valid := func(c class, volume int) string {
		q := request{class: classIndex(c.name), volume: fmt.Sprintf("%016x", 1<<32+volume), object: fmt.Sprintf("%016x", volume), units: 1,
			shard: volume % shardCount, number: firstHostileID + lastHostileID.Add(1)}
		return q.text(r.deployment.RequestTimeout)
	}
	return hostile.Target{Address: p.address, Rate: hostileRate, Connections: min(int(float64(r.deployment.Sockets)*hostileConnectionShare), maxHostileConnections),
		Read: func(volume int) string { return valid(classes[0], volume) },
		WriteHead: func(length int, fields string) string {
			head, _, _ := strings.Cut(valid(classes[1], 0), "Content-Length")
			return head + fields + fmt.Sprintf("Content-Length: %d\r\n\r\n", length)
		}}
}

// classIndex returns the index of a class in classes.
func classIndex(name string) int {
	for i, c := range classes {
		if c.name == name {
			return i
		}
	}
	return 0
}

// departUnread makes clients send many requests at once, disconnect at once, and come again with the same requests.
func departUnread(ctx context.Context, r *run, rng *rand.Rand) {
	seed := rng.Int63()
	forEachConcurrently(pickSome(rng, r.processes, 4), func(p *process) {
		own := rand.New(rand.NewSource(seed + int64(p.number)))
		if r.deployment.Cores > 0 {
			go p.limitCPU(ctx, r.deployment.Cores)
		}
		for ctx.Err() == nil {
			texts, numbers := r.load.sendAndDepart(p.number, own)
			wait(ctx, returnDelay)
			if own.Intn(2) == 0 { // half of the clients don't come again: nothing of them may begin any more
				r.load.markReturned(numbers)
				r.load.sendUnrecorded(p.number, texts)
			}
			wait(ctx, returnDelay)
		}
	})
}

// markReturned records that clients send requests again that they had left. What reaches an endpoint from now on may be of either
// sending; the audit judges that nothing takes effect twice.
func (l *load) markReturned(numbers []uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, number := range numbers {
		l.returned[number] = l.run.recorder.Now()
	}
}

// sendAndDepart sends departingRequests requests at once and disconnects. It returns the requests' texts and numbers.
func (l *load) sendAndDepart(process int, rng *rand.Rand) (texts string, numbers []uint64) {
	c, err := l.connect(process, true)
	if err != nil {
		return "", nil
	}
	var text strings.Builder
	requests := make([]request, departingRequests)
	padding := departingPaddings[rng.Intn(len(departingPaddings))]
	for i := range requests {
		q := l.drawRequest(process, rng)
		q.plan, q.abandonAfter, q.padding = 0, 0, padding
		requests[i] = q
		numbers = append(numbers, q.number)
		l.recordAsked(q, c)
		text.WriteString(q.text(l.run.deployment.RequestTimeout))
	}
	_ = c.conn.SetWriteDeadline(time.Now().Add(departingWriteTime))
	_, _ = io.WriteString(c.conn, text.String())
	l.mu.Lock()
	for _, q := range requests {
		l.abandoned[q.number] = l.run.recorder.Now()
	}
	l.mu.Unlock()
	_ = c.conn.Close()
	for _, q := range requests {
		l.run.recorder.See(&pb.Seen{What: pb.Seen_GIVEN_UP, Host: uint32(process), Command: q.number})
		l.run.recorder.See(&pb.Seen{What: pb.Seen_UNANSWERED, Host: uint32(process), Command: q.number, How: "client"})
	}
	return text.String(), numbers
}

// sendUnrecorded sends requests that were sent before, without recording them, and reads what is answered for a while.
func (l *load) sendUnrecorded(process int, texts string) {
	c, err := l.connect(process, true)
	if err != nil {
		return
	}
	_ = c.conn.SetDeadline(time.Now().Add(returnDelay))
	_, _ = io.WriteString(c.conn, texts)
	_, _ = io.Copy(io.Discard, c.conn)
	_ = c.conn.Close()
}
