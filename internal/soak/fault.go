package soak

import (
	"context"
	"fmt"
	"math/rand"
	"slices"
	"sync"
	"time"
)

// faultKind is one entry of the catalog. inject keeps the fault up until ctx ends, and then undoes it.
type faultKind struct {
	name   string
	inject func(ctx context.Context, r *run, rng *rand.Rand)
}

// faultKinds is the catalog. Its order matters: a seed draws by index.
var faultKinds = []faultKind{
	{"stop", stopProcesses},
	{"kill", killProcesses},
	{"reload", reloadProcesses},
	{"reload-while-stopping", reloadWhileStopping},
	{"reload-half-written", reloadHalfWritten},
	{"throttle", throttleProcesses},
	{"discovery-down", stopDiscovery},
	{"watch-silent", silenceWatches},
	{"watch-reset", resetWatches},
	{"agent-slow", slowAgents},
	{"agent-refuses", rejectWatches},
	{"drain", drainEndpoints},
	{"server-crash", crashEndpoint},
	{"server-hangs", hangEndpoints},
	{"server-fails", failEndpoints},
	{"answers-lost", loseResponses},
	{"answers-copied", duplicateResponses},
	{"answers-endless", truncateResponses},
	{"servers-close-idle", closeIdleConnections},
	{"connects-late", delayConnects},
	{"network-silent", silenceNetwork},
	{"network-reset", resetNetwork},
	{"clients-leave", abandonRequests},
	{"clients-slow", sendPiecewise},
	{"clients-reconnect", reconnectClients},
	{"burst", burstRequests},
	{"quiet-then-burst", pauseThenBurst},
	{"clients-many", floodWithClients},
	{"crowd", holdIdleConnections},
	{"signals-in-series", signalSeries},
	{"stop-crowded", stopCrowded},
}

// Names returns the names of all faults, as Options.Faults takes them.
func Names() []string {
	names := make([]string, len(faultKinds))
	for i, kind := range faultKinds {
		names[i] = kind.name
	}
	return names
}

// Times of the script.
const (
	quietPeriod         = 2 * time.Second // before the first fault, and after the last
	minFaultLength      = 500 * time.Millisecond
	maxFaultLength      = 4 * time.Second
	meanFaultInterval   = 600 * time.Millisecond // between the beginnings of two faults
	maxConcurrentFaults = 3
	maxThinkTime        = 50 * time.Millisecond   // of a flooding client between two requests
	agentDelay          = 3500 * time.Millisecond // before a slowed agent answers a watch, at most
)

// activeFaults counts the faults of a run and holds those that are up now.
type activeFaults struct {
	mu          sync.Mutex
	running     map[string]bool
	injected    int
	overlapping int
}

// begin claims a fault. It returns false if the fault is up already, or if maxConcurrentFaults are.
func (a *activeFaults) begin(name string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.running == nil {
		a.running = map[string]bool{}
	}
	if a.running[name] || len(a.running) >= maxConcurrentFaults {
		return false
	}
	if a.injected++; len(a.running) > 0 {
		a.overlapping++
	}
	a.running[name] = true
	return true
}

// end releases a fault that begin claimed.
func (a *activeFaults) end(name string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.running, name)
}

// injectFaults draws faults until shortly before ctx ends. Whoever waits for r.faultGroup waits for those still up.
func (r *run) injectFaults(ctx context.Context, rng *rand.Rand) {
	enabled := r.enabledFaults()
	if len(enabled) == 0 {
		return
	}
	end := time.Now().Add(r.options.Length - quietPeriod - maxFaultLength)
	wait(ctx, quietPeriod/2)
	for time.Now().Before(end) && ctx.Err() == nil {
		r.injectOne(ctx, enabled, rng)
		wait(ctx, time.Duration(rng.ExpFloat64()*float64(meanFaultInterval)))
	}
}

// enabledFaults returns the faults that the options choose, in the order of the catalog.
func (r *run) enabledFaults() []faultKind {
	if len(r.options.Faults) == 0 {
		return faultKinds
	}
	return slices.DeleteFunc(slices.Clone(faultKinds), func(kind faultKind) bool { return !slices.Contains(r.options.Faults, kind.name) })
}

// injectOne draws a fault and injects it, unless it or maxConcurrentFaults are up.
func (r *run) injectOne(ctx context.Context, enabled []faultKind, rng *rand.Rand) {
	kind := enabled[rng.Intn(len(enabled))]
	length := minFaultLength + time.Duration(rng.Int63n(int64(maxFaultLength-minFaultLength)))
	own := rand.New(rand.NewSource(rng.Int63()))
	if !r.faults.begin(kind.name) {
		return
	}
	fmt.Fprintf(r.options.Out, "%8.3f s  %s for %v\n", r.recorder.Now().Seconds(), kind.name, length.Round(time.Millisecond))
	r.faultGroup.Add(1)
	go func() {
		defer r.faultGroup.Done()
		defer r.faults.end(kind.name)
		bounded, cancel := context.WithTimeout(ctx, length)
		defer cancel()
		kind.inject(bounded, r, own)
	}()
}

// wait returns after d, or when ctx ends if that is earlier.
func wait(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// pickSome draws from 1 up to a divisor-th of all, and at least 1.
func pickSome[T any](rng *rand.Rand, all []T, divisor int) []T {
	picked := slices.Clone(all)
	rng.Shuffle(len(picked), func(i, j int) { picked[i], picked[j] = picked[j], picked[i] })
	return picked[:1+rng.Intn(max(len(picked)/divisor, 1))]
}

// forEachConcurrently calls work for each item in a goroutine of its own and waits for them all.
func forEachConcurrently[T any](all []T, work func(T)) {
	var wg sync.WaitGroup
	for _, item := range all {
		wg.Add(1)
		go func() {
			defer wg.Done()
			work(item)
		}()
	}
	wg.Wait()
}
