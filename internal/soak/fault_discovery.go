package soak

import (
	"context"
	"math/rand"

	"weirhaven/internal/fake/agent"
)

// stopDiscovery takes discovery down. Processes miss changes meanwhile and are notified of them when it is back.
func stopDiscovery(ctx context.Context, r *run, _ *rand.Rand) {
	set := func(down bool) {
		r.mu.Lock()
		r.discoveryDown = down
		r.mu.Unlock()
		r.discovery.Down(down)
	}
	set(true)
	<-ctx.Done()
	set(false)
	for _, e := range r.discovery.Whole().Members {
		for _, p := range r.processes {
			p.expectNotified(e)
		}
	}
}

// forSomeAgents calls change for the agents of some processes.
func (r *run) forSomeAgents(rng *rand.Rand, divisor int, change func(*agent.Agent)) {
	for _, p := range pickSome(rng, r.processes, divisor) {
		p.mu.Lock()
		change(p.agent)
		p.mu.Unlock()
	}
}

// forAllAgents calls change for the agent of each process.
func (r *run) forAllAgents(change func(*agent.Agent)) {
	for _, p := range r.processes {
		p.mu.Lock()
		change(p.agent)
		p.mu.Unlock()
	}
}

// silenceWatches makes the open watches of some processes silent for good; new ones work.
func silenceWatches(_ context.Context, r *run, rng *rand.Rand) {
	r.forSomeAgents(rng, 2, (*agent.Agent).Silence)
}

// resetWatches resets the watches of some processes.
func resetWatches(_ context.Context, r *run, rng *rand.Rand) {
	r.forSomeAgents(rng, 1, (*agent.Agent).Reset)
}

// slowAgents delays the response to new watches, and resets the open ones so that processes open new ones.
func slowAgents(ctx context.Context, r *run, rng *rand.Rand) {
	r.forSomeAgents(rng, 2, func(a *agent.Agent) {
		a.Slow(agentDelay)
		a.Reset()
	})
	<-ctx.Done()
	r.forAllAgents(func(a *agent.Agent) { a.Slow(0) })
}

// rejectWatches answers new watches with an error, and resets the open ones so that processes open new ones.
func rejectWatches(ctx context.Context, r *run, rng *rand.Rand) {
	r.forSomeAgents(rng, 2, func(a *agent.Agent) {
		a.Refuse(true)
		a.Reset()
	})
	<-ctx.Done()
	r.forAllAgents(func(a *agent.Agent) { a.Refuse(false) })
}
