package soak

import (
	"context"
	"math/rand"
	"sync"
	"time"
)

// setUntilDone sets a percentage or multiple to value until ctx ends, then to normal.
func (h *clientBehavior) setUntilDone(ctx context.Context, setting interface{ Store(int32) }, value, normal int32) {
	setting.Store(value)
	<-ctx.Done()
	setting.Store(normal)
}

// abandonRequests makes clients disconnect before the response for 40 % of their requests.
func abandonRequests(ctx context.Context, r *run, _ *rand.Rand) {
	r.load.behavior.setUntilDone(ctx, &r.load.behavior.abandonPercent, 40, 0)
}

// sendPiecewise makes clients send 60 % of their requests in two pieces.
func sendPiecewise(ctx context.Context, r *run, _ *rand.Rand) {
	r.load.behavior.setUntilDone(ctx, &r.load.behavior.piecewisePercent, 60, 0)
}

// reconnectClients makes clients open a new connection for 90 % of their requests.
func reconnectClients(ctx context.Context, r *run, _ *rand.Rand) {
	r.load.behavior.setUntilDone(ctx, &r.load.behavior.newConnectionPercent, 90, 0)
}

// burstRequests multiplies the request rate.
func burstRequests(ctx context.Context, r *run, _ *rand.Rand) {
	r.load.behavior.setUntilDone(ctx, &r.load.behavior.rateMultiple, 4, 1)
}

// pauseThenBurst pauses all clients until ctx ends, then multiplies the request rate for a second.
func pauseThenBurst(ctx context.Context, r *run, _ *rand.Rand) {
	r.load.behavior.paused.Store(true)
	<-ctx.Done()
	r.load.behavior.paused.Store(false)
	burst, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	r.load.behavior.setUntilDone(burst, &r.load.behavior.rateMultiple, 6, 1)
}

// minFloodClients is the least number of flooding clients of a process, more than its clients' part of the fewest descriptors.
const minFloodClients = 96

// floodClients returns the number of flooding clients of a process: usual clients hold at most a third of its descriptors.
func (d Deployment) floodClients() int { return max(minFloodClients, d.Sockets/3) }

// floodWithClients makes many clients send at once, in addition to the usual ones of a process. Each
// sends its requests on new connections and in two pieces.
func floodWithClients(ctx context.Context, r *run, rng *rand.Rand) {
	seed := rng.Int63()
	forEachConcurrently(pickSome(rng, r.processes, 8), func(p *process) {
		var clients sync.WaitGroup
		for client := range r.deployment.floodClients() {
			own := rand.New(rand.NewSource(seed + int64(p.number*r.deployment.Sockets+client)))
			clients.Add(1)
			go func() {
				defer clients.Done()
				r.load.floodFromOneClient(ctx, p.number, own)
			}()
		}
		clients.Wait()
	})
}

// holdIdleConnections uses up the descriptors of some processes with connections that send nothing or a partial request.
func holdIdleConnections(ctx context.Context, r *run, rng *rand.Rand) {
	r.load.behavior.socketsExhausted.Store(true)
	partial := rng.Intn(2) == 0
	forEachConcurrently(pickSome(rng, r.processes, 4), func(p *process) { r.load.holdIdle(ctx, p.number, r.deployment.Sockets, partial) })
	time.AfterFunc(time.Second, func() { r.load.behavior.socketsExhausted.Store(false) })
}

// floodFromOneClient sends requests one after the other until ctx ends.
func (l *load) floodFromOneClient(ctx context.Context, process int, rng *rand.Rand) {
	for ctx.Err() == nil {
		q := l.drawRequest(process, rng)
		q.piecewise, q.newConnection, q.closeAfter = true, true, true
		l.send(q)
		wait(ctx, time.Duration(rng.Int63n(int64(maxThinkTime))))
	}
}
