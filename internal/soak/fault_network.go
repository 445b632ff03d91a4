package soak

import (
	"context"
	"math/rand"
	"time"

	"weirhaven/internal/fake/proxy"
)

// withNetworkFault sets a network fault at the proxies of some endpoints until ctx ends.
func (r *run) withNetworkFault(ctx context.Context, rng *rand.Rand, divisor int, fault proxy.Fault) {
	chosen := pickSome(rng, r.currentEndpoints(), divisor)
	for _, e := range chosen {
		e.proxy.Set(fault)
	}
	<-ctx.Done()
	for _, e := range chosen {
		e.proxy.Set(proxy.Fault{})
	}
}

// delayConnects delays new connections to endpoints.
func delayConnects(ctx context.Context, r *run, rng *rand.Rand) {
	r.withNetworkFault(ctx, rng, 2, proxy.Fault{ConnectDelay: 200 * time.Millisecond})
}

// silenceNetwork drops all bytes in both directions and leaves connections open, as a partition does.
func silenceNetwork(ctx context.Context, r *run, rng *rand.Rand) {
	r.withNetworkFault(ctx, rng, 3, proxy.Fault{Silent: true})
}

// resetNetwork resets the connections to endpoints, repeatedly.
func resetNetwork(ctx context.Context, r *run, rng *rand.Rand) {
	for ; ctx.Err() == nil; wait(ctx, 100*time.Millisecond) {
		for _, e := range pickSome(rng, r.currentEndpoints(), 1) {
			e.proxy.Reset()
		}
	}
}
