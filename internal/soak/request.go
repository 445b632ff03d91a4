package soak

import (
	"fmt"
	"math/rand"
	"strings"
	"sync/atomic"
	"time"
)

// request is one request of a client.
type request struct {
	number        uint64
	process       int // number of the process that it is sent to
	class         int // index in classes
	plan          int // index in plans
	volume        string
	object        string
	shard         int
	units         int
	piecewise     bool          // sent in two pieces
	abandonAfter  time.Duration // time after sending at which the client disconnects; 0: it waits for the response
	newConnection bool          // sent on a new connection
	closeAfter    bool          // the client closes the connection after the response
	padding       int           // additional bytes of the body of a write
}

// drawRequest draws a request to a process. A change of the number or the order of the draws changes the load of every seed.
func (l *load) drawRequest(process int, rng *rand.Rand) request {
	q := request{number: l.lastRequest.Add(1), process: process, shard: rng.Intn(shardCount), units: 1}
	count := len(l.run.processes)
	volume := (process + count - rng.Intn(min(gatewaysPerVolume, count))) % count // the requests of a volume are spread over gatewaysPerVolume processes
	q.volume, q.object = fmt.Sprintf("%016x", volume+1), fmt.Sprintf("%016x", rng.Intn(1000))
	if volume%4 == limitedPlanIndex {
		q.plan = limitedPlanIndex
	}
	if rng.Float64() < meanUnits-1 {
		q.units = 2
	}
	q.class = drawClass(rng)
	percent := func(chance *atomic.Int32) bool { return rng.Intn(100) < int(chance.Load()) }
	q.piecewise, q.newConnection = percent(&l.behavior.piecewisePercent), percent(&l.behavior.newConnectionPercent)
	if percent(&l.behavior.abandonPercent) {
		q.abandonAfter = 1 + time.Duration(rng.Int63n(int64(300*time.Millisecond)))
	}
	return q
}

// drawClass draws a request class by its share.
func drawClass(rng *rand.Rand) (class int) {
	remaining := rng.Float64()
	for i, c := range classes {
		class = i
		if remaining -= c.requestShare; remaining < 0 {
			break
		}
	}
	return class
}

// text returns the request in its wire format, with the client's timeout.
func (q *request) text(timeout time.Duration) string {
	c := classes[q.class]
	var b strings.Builder
	fmt.Fprintf(&b, "%s /%s/%s/%s HTTP/1.1\r\nHost: x\r\nX-Txn: %d\r\nX-Lane: %s\r\nTier: %s\r\nX-Remaining-Ms: %d\r\nIO-Info: units=%d,shard=%d,hosts=%d\r\n",
		c.method, c.name, q.volume, q.object, q.number, c.name, plans[q.plan].Name, timeout.Milliseconds(), q.units, q.shard, gatewaysPerVolume)
	if c.idempotencyKey {
		fmt.Fprintf(&b, "Idempotency-Key: k%d\r\n", q.number)
	}
	if c.method == "PUT" {
		body := strings.Repeat("x", 64*q.units+q.padding)
		fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(body), body)
	} else {
		b.WriteString("\r\n")
	}
	return b.String()
}
