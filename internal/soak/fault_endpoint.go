package soak

import (
	"context"
	"math/rand"
	"time"

	"weirhaven/internal/fake/storagenode"
)

// drainEndpoints replaces endpoints; each one drains first.
func drainEndpoints(ctx context.Context, r *run, rng *rand.Rand) {
	forEachConcurrently(pickSome(rng, r.currentEndpoints(), 2), func(e *endpoint) { r.replace(ctx, e) })
}

// crashEndpoint stops an endpoint without draining it. Another one, which goes through slow start, replaces it.
func crashEndpoint(ctx context.Context, r *run, rng *rand.Rand) {
	e := pickSome(rng, r.currentEndpoints(), 8)[0]
	e.node.Stop()
	e.proxy.Reset()
	wait(ctx, 300*time.Millisecond)
	r.replace(ctx, e)
}

// withConditions sets faults of some endpoints until ctx ends.
func (r *run) withConditions(ctx context.Context, rng *rand.Rand, divisor int, set func(*storagenode.Conditions)) {
	chosen := pickSome(rng, r.currentEndpoints(), divisor)
	for _, e := range chosen {
		e.node.Set(set)
	}
	<-ctx.Done()
	for _, e := range chosen {
		e.node.Set(func(c *storagenode.Conditions) { *c = storagenode.Conditions{} })
	}
}

// hangEndpoints makes endpoints accept requests without working on them.
func hangEndpoints(ctx context.Context, r *run, rng *rand.Rand) {
	r.withConditions(ctx, rng, 2, func(c *storagenode.Conditions) { c.Pause, c.PauseInterval = time.Hour, 2*time.Hour })
}

// failEndpoints makes endpoints answer 70 % of the attempts with an error.
func failEndpoints(ctx context.Context, r *run, rng *rand.Rand) {
	r.withConditions(ctx, rng, 4, func(c *storagenode.Conditions) { c.ErrorShare = 0.7 })
}

// loseResponses drops responses. With even odds, each lost response also resets its connection.
func loseResponses(ctx context.Context, r *run, rng *rand.Rand) {
	reset := rng.Intn(2) == 0
	r.withConditions(ctx, rng, 2, func(c *storagenode.Conditions) { c.LostShare, c.ResetOnLoss = 0.2, reset })
}

// duplicateResponses sends responses twice on the same connection.
func duplicateResponses(ctx context.Context, r *run, rng *rand.Rand) {
	r.withConditions(ctx, rng, 1, func(c *storagenode.Conditions) { c.DuplicateShare = 0.2 })
}

// truncateResponses sends responses without a length and resets the connection in the middle of the body.
func truncateResponses(ctx context.Context, r *run, rng *rand.Rand) {
	r.withConditions(ctx, rng, 2, func(c *storagenode.Conditions) { c.TruncatedShare = 0.2 })
}

// closeIdleConnections closes each connection after its response.
func closeIdleConnections(ctx context.Context, r *run, rng *rand.Rand) {
	r.withConditions(ctx, rng, 1, func(c *storagenode.Conditions) { c.CloseIdle = true })
}
