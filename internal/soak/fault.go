package soak

import (
	"context"
	"fmt"
	"math/rand"
	"slices"
	"sync"
	"time"
)

// faultKind is one entry of the fault catalog. inject keeps the fault active until ctx ends, then undoes it.
type faultKind struct {
	name   string
	inject func(ctx context.Context, r *run, rng *rand.Rand)
}

// faultKinds is the fault catalog. Its order determines which faults a seed draws.
var faultKinds = append([]faultKind{
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
	{"clients-depart-unread", departUnread},
	{"kills-in-series", killInSeries},
}, hostileFaults()...)

// Names returns the names of all faults, as Options.Faults takes them.
func Names() []string {
	names := make([]string, len(faultKinds))
	for i, kind := range faultKinds {
		names[i] = kind.name
	}
	return names
}

// Timing of the faults.
const (
	quietPeriod         = 2 * time.Second // half of it passes before the first fault, all of it after the last
	minFaultLength      = 500 * time.Millisecond
	maxFaultLength      = 4 * time.Second
	meanFaultInterval   = 600 * time.Millisecond // mean time between the beginnings of two faults
	maxConcurrentFaults = 3
	maxThinkTime        = 50 * time.Millisecond   // longest pause of a flooding client between two requests
	agentDelay          = 3500 * time.Millisecond // time before a slowed agent answers a watch
)

// activeFaults counts the faults of a run and tracks the active ones.
type activeFaults struct {
	mu          sync.Mutex
	running     map[string]bool
	injected    int // number of faults so far
	overlapping int // number of faults that began while another one was active
}

// begin marks a fault as active. It returns false if the fault or maxConcurrentFaults others are already active.
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

// end marks a fault as no longer active.
func (a *activeFaults) end(name string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.running, name)
}

// injectFaults injects random faults until shortly before the end of the load. Some may still be active when it returns: wait
// for r.faultGroup.
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

// enabledFaults returns the faults that the options select, in the order of the catalog.
func (r *run) enabledFaults() []faultKind {
	if len(r.options.Faults) == 0 {
		return faultKinds
	}
	return slices.DeleteFunc(slices.Clone(faultKinds), func(kind faultKind) bool { return !slices.Contains(r.options.Faults, kind.name) })
}

// injectOne draws a fault and injects it, unless it or maxConcurrentFaults others are already active.
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

// wait waits for d or until ctx ends, whichever is earlier.
func wait(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// pickSome draws a random number of items, from 1 to len(all)/divisor.
func pickSome[T any](rng *rand.Rand, all []T, divisor int) []T {
	picked := slices.Clone(all)
	rng.Shuffle(len(picked), func(i, j int) { picked[i], picked[j] = picked[j], picked[i] })
	return picked[:1+rng.Intn(max(len(picked)/divisor, 1))]
}

// forEachConcurrently calls work for each item in its own goroutine and waits for all of them.
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
