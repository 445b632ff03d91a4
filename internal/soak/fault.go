package soak

import (
	"context"
	"fmt"
	"math/rand"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"weirhaven/internal/fake/agent"
	"weirhaven/internal/fake/proxy"
	"weirhaven/internal/fake/storagenode"
)

// trouble is one entry of the menu: it plays until ctx ends, and puts things right again.
type trouble struct {
	name string
	play func(ctx context.Context, r *run, rng *rand.Rand)
}

// menu is all troubles. Two or three of them overlap at any time.
var menu = []trouble{
	{"stop", stopSome},
	{"kill", killSome},
	{"reload", reloadSome},
	{"reload-while-stopping", reloadWhileStopping},
	{"reload-half-written", reloadHalfWritten},
	{"throttle", throttleSome},
	{"discovery-down", discoveryDown},
	{"watch-silent", func(_ context.Context, r *run, rng *rand.Rand) { r.eachAgent(rng, 2, (*agent.Agent).Silence) }},
	{"watch-reset", func(_ context.Context, r *run, rng *rand.Rand) { r.eachAgent(rng, 1, (*agent.Agent).Reset) }},
	{"agent-slow", agentSlow},
	{"agent-refuses", agentRefuses},
	{"drain", drainSome},
	{"server-crash", crashServer},
	{"server-hangs", hangServers},
	{"server-fails", failServer},
	{"answers-lost", loseAnswers},
	{"answers-copied", copyAnswers},
	{"answers-endless", endlessAnswers},
	{"servers-close-idle", closeIdle},
	{"connects-late", connectsLate},
	{"network-silent", networkSilent},
	{"network-reset", networkReset},
	{"clients-leave", func(ctx context.Context, r *run, _ *rand.Rand) {
		r.load.habits.with(ctx, &r.load.habits.leave, 40, 0)
	}},
	{"clients-slow", func(ctx context.Context, r *run, _ *rand.Rand) {
		r.load.habits.with(ctx, &r.load.habits.pieces, 60, 0)
	}},
	{"clients-reconnect", func(ctx context.Context, r *run, _ *rand.Rand) {
		r.load.habits.with(ctx, &r.load.habits.fresh, 90, 0)
	}},
	{"burst", func(ctx context.Context, r *run, _ *rand.Rand) { r.load.habits.with(ctx, &r.load.habits.burst, 4, 1) }},
	{"quiet-then-burst", quietThenBurst},
	{"clients-many", manyClients},
	{"crowd", crowd},
}

// Names lists the menu.
func Names() []string {
	names := make([]string, len(menu))
	for i, t := range menu {
		names[i] = t.name
	}
	return names
}

// Times of the script.
const (
	quiet       = 2 * time.Second // before the first trouble, and after the last
	leastLength = 500 * time.Millisecond
	mostLength  = 4 * time.Second
	meanGap     = 600 * time.Millisecond // between the beginnings of two troubles
	mostAtOnce  = 3
	// thinkTime is how long one of many clients waits at most before it asks again.
	thinkTime = 50 * time.Millisecond
	// slowAgent is how late an agent answers at most.
	slowAgent = 3500 * time.Millisecond
)

// troubles counts what is played.
type troubles struct {
	mu          sync.Mutex
	running     map[string]bool
	played      int
	overlapping int
}

// begin claims a trouble unless it is being played, or as many are as may be.
func (t *troubles) begin(name string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.running == nil {
		t.running = map[string]bool{}
	}
	if t.running[name] || len(t.running) >= mostAtOnce {
		return false
	}
	if t.played++; len(t.running) > 0 {
		t.overlapping++
	}
	t.running[name] = true
	return true
}

func (t *troubles) end(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.running, name)
}

// playMenu draws troubles until shortly before ctx ends.
func (r *run) playMenu(ctx context.Context, rng *rand.Rand) {
	chosen := menu
	if len(r.options.Menu) > 0 {
		chosen = slices.DeleteFunc(slices.Clone(menu), func(t trouble) bool { return !slices.Contains(r.options.Menu, t.name) })
	}
	if len(chosen) == 0 {
		return
	}
	end := time.Now().Add(r.options.Length - quiet - mostLength)
	for pause(ctx, quiet/2); time.Now().Before(end) && ctx.Err() == nil; pause(ctx, time.Duration(rng.ExpFloat64()*float64(meanGap))) {
		t := chosen[rng.Intn(len(chosen))]
		length := leastLength + time.Duration(rng.Int63n(int64(mostLength-leastLength)))
		own := rand.New(rand.NewSource(rng.Int63()))
		if !r.troubles.begin(t.name) {
			continue
		}
		fmt.Fprintf(r.options.Out, "%8.3f s  %s for %v\n", r.rec.Now().Seconds(), t.name, length.Round(time.Millisecond))
		r.wg.Add(1)
		go func() {
			defer r.wg.Done()
			defer r.troubles.end(t.name)
			bounded, cancel := context.WithTimeout(ctx, length)
			defer cancel()
			t.play(bounded, r, own)
		}()
	}
}

// pause waits unless ctx ends before.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// some draws one of n things, and so many more.
func some[T any](rng *rand.Rand, all []T, part int) []T {
	picked := slices.Clone(all)
	rng.Shuffle(len(picked), func(i, j int) { picked[i], picked[j] = picked[j], picked[i] })
	return picked[:1+rng.Intn(max(len(picked)/part, 1))]
}

// together runs f for each of them at once.
func together[T any](all []T, f func(T)) {
	var wg sync.WaitGroup
	for _, x := range all {
		wg.Add(1)
		go func() {
			defer wg.Done()
			f(x)
		}()
	}
	wg.Wait()
}

// again starts a process; one that can't be started is a violation.
func (r *run) again(p *process) {
	if err := p.start(); err != nil {
		r.violated(Violation{Rule: "start", Process: p.name(), At: r.rec.Now(), Detail: err.Error(), Log: p.file(".log")})
	}
}

func stopSome(_ context.Context, r *run, rng *rand.Rand) {
	together(some(rng, r.processes, 5), func(p *process) {
		p.stop()
		r.again(p)
	})
}

func killSome(_ context.Context, r *run, rng *rand.Rand) {
	together(some(rng, r.processes, 4), func(p *process) {
		p.kill()
		r.again(p)
	})
}

func reloadSome(_ context.Context, r *run, rng *rand.Rand) {
	together(some(rng, r.processes, 3), func(p *process) {
		for range 1 + len(p.name())%2 { // once, or twice in quick succession
			if err := p.reload(); err != nil {
				r.violated(Violation{Rule: "soak", Process: p.name(), Detail: err.Error()})
			}
		}
	})
}

func reloadWhileStopping(_ context.Context, r *run, rng *rand.Rand) {
	together(some(rng, r.processes, 6), func(p *process) {
		done := make(chan struct{})
		go func() {
			defer close(done)
			time.Sleep(50 * time.Millisecond)
			_ = p.reload() // the process may already have ended
		}()
		p.stop()
		<-done
		r.again(p)
	})
}

// reloadHalfWritten signals processes while their new configuration is being written.
func reloadHalfWritten(_ context.Context, r *run, rng *rand.Rand) {
	together(some(rng, r.processes, 4), func(p *process) {
		p.mu.Lock()
		whole, err := os.ReadFile(p.file(".json"))
		if err == nil {
			err = os.WriteFile(p.file(".json"), whole[:len(whole)/2], 0o600)
		}
		p.mu.Unlock()
		if err != nil {
			return
		}
		p.signal(syscall.SIGHUP)
		time.Sleep(100 * time.Millisecond)
		if err := p.reload(); err != nil {
			r.violated(Violation{Rule: "soak", Process: p.name(), Detail: err.Error()})
		}
	})
}

// quietThenBurst lets nobody ask for a while, and then everybody.
func quietThenBurst(ctx context.Context, r *run, _ *rand.Rand) {
	r.load.habits.quiet.Store(true)
	<-ctx.Done()
	r.load.habits.quiet.Store(false)
	burst, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	r.load.habits.with(burst, &r.load.habits.burst, 6, 1)
}

// throttleSome holds processes up for 50 to 150 ms, again and again.
func throttleSome(ctx context.Context, r *run, rng *rand.Rand) {
	for chosen := some(rng, r.processes, 3); ctx.Err() == nil; pause(ctx, 200*time.Millisecond) {
		held := 50*time.Millisecond + time.Duration(rng.Int63n(int64(100*time.Millisecond)))
		began := r.rec.Now()
		for _, p := range chosen {
			p.signal(syscall.SIGSTOP)
		}
		time.Sleep(held)
		for _, p := range chosen {
			p.signal(syscall.SIGCONT)
			p.noteHeld(began, r.rec.Now())
		}
	}
}

func discoveryDown(ctx context.Context, r *run, _ *rand.Rand) {
	set := func(down bool) {
		r.mu.Lock()
		r.down = down
		r.mu.Unlock()
		r.discovery.Down(down)
	}
	set(true)
	<-ctx.Done()
	set(false)
	for _, s := range r.discovery.Whole().Members {
		for _, p := range r.processes {
			p.owed(s)
		}
	}
}

func (r *run) eachAgent(rng *rand.Rand, part int, f func(*agent.Agent)) {
	for _, p := range some(rng, r.processes, part) {
		p.mu.Lock()
		f(p.agent)
		p.mu.Unlock()
	}
}

func agentSlow(ctx context.Context, r *run, rng *rand.Rand) {
	r.eachAgent(rng, 2, func(a *agent.Agent) {
		a.Slow(slowAgent)
		a.Reset()
	})
	<-ctx.Done()
	r.everyAgent(func(a *agent.Agent) { a.Slow(0) })
}

func agentRefuses(ctx context.Context, r *run, rng *rand.Rand) {
	r.eachAgent(rng, 2, func(a *agent.Agent) {
		a.Refuse(true)
		a.Reset()
	})
	<-ctx.Done()
	r.everyAgent(func(a *agent.Agent) { a.Refuse(false) })
}

func (r *run) everyAgent(f func(*agent.Agent)) {
	for _, p := range r.processes {
		p.mu.Lock()
		f(p.agent)
		p.mu.Unlock()
	}
}

// inService is the servers now.
func (r *run) inService() []*server {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.servers)
}

// replace starts another server of the cell and drains the one that was there; it goes away later.
func (r *run) replace(ctx context.Context, s *server) {
	r.mu.Lock()
	taken := s.retired
	s.retired = true
	r.mu.Unlock()
	if taken {
		return
	}
	if err := r.startServer(s.cell, true); err != nil {
		return
	}
	s.entry.Phase = agent.Terminating
	r.list(s)
	pause(ctx, tellWithin)
	s.entry.Phase = agent.Terminated
	r.list(s)
}

func drainSome(ctx context.Context, r *run, rng *rand.Rand) {
	together(some(rng, r.inService(), 2), func(s *server) { r.replace(ctx, s) })
}

// crashServer ends a server without notice; another takes its place, cold.
func crashServer(ctx context.Context, r *run, rng *rand.Rand) {
	s := some(rng, r.inService(), 8)[0]
	s.brick.Stop()
	s.proxy.Reset()
	pause(ctx, 300*time.Millisecond)
	r.replace(ctx, s)
}

// during sets conditions of some servers until ctx ends.
func (r *run) during(ctx context.Context, rng *rand.Rand, part int, set func(*storagenode.Conditions)) {
	chosen := some(rng, r.inService(), part)
	for _, s := range chosen {
		s.brick.Set(set)
	}
	<-ctx.Done()
	for _, s := range chosen {
		s.brick.Set(func(c *storagenode.Conditions) { *c = storagenode.Conditions{} })
	}
}

func hangServers(ctx context.Context, r *run, rng *rand.Rand) {
	r.during(ctx, rng, 2, func(c *storagenode.Conditions) { c.Pause, c.PauseEvery = time.Hour, 2*time.Hour })
}

func failServer(ctx context.Context, r *run, rng *rand.Rand) {
	r.during(ctx, rng, 4, func(c *storagenode.Conditions) { c.Errors = 0.7 })
}

func loseAnswers(ctx context.Context, r *run, rng *rand.Rand) {
	reset := rng.Intn(2) == 0
	r.during(ctx, rng, 2, func(c *storagenode.Conditions) { c.Lost, c.Reset = 0.2, reset })
}

func copyAnswers(ctx context.Context, r *run, rng *rand.Rand) {
	r.during(ctx, rng, 1, func(c *storagenode.Conditions) { c.Copies = 0.2 })
}

func endlessAnswers(ctx context.Context, r *run, rng *rand.Rand) {
	r.during(ctx, rng, 2, func(c *storagenode.Conditions) { c.Endless = 0.2 })
}

func closeIdle(ctx context.Context, r *run, rng *rand.Rand) {
	r.during(ctx, rng, 1, func(c *storagenode.Conditions) { c.CloseIdle = true })
}

func (r *run) proxies(ctx context.Context, rng *rand.Rand, part int, t proxy.Trouble) {
	chosen := some(rng, r.inService(), part)
	for _, s := range chosen {
		s.proxy.Set(t)
	}
	<-ctx.Done()
	for _, s := range chosen {
		s.proxy.Set(proxy.Trouble{})
	}
}

func connectsLate(ctx context.Context, r *run, rng *rand.Rand) {
	r.proxies(ctx, rng, 2, proxy.Trouble{ConnectDelay: 200 * time.Millisecond})
}

func networkSilent(ctx context.Context, r *run, rng *rand.Rand) {
	r.proxies(ctx, rng, 3, proxy.Trouble{Silent: true})
}

func networkReset(ctx context.Context, r *run, rng *rand.Rand) {
	for ; ctx.Err() == nil; pause(ctx, 100*time.Millisecond) {
		for _, s := range some(rng, r.inService(), 1) {
			s.proxy.Reset()
		}
	}
}

// with gives a habit a value until ctx ends.
func (h *habits) with(ctx context.Context, habit interface{ Store(int32) }, value, usual int32) {
	habit.Store(value)
	<-ctx.Done()
	habit.Store(usual)
}

// manyClients lets more clients ask some processes at once than these hold connections for, each on a new connection and in
// two pieces.
func manyClients(ctx context.Context, r *run, rng *rand.Rand) {
	seed := rng.Int63()
	together(some(rng, r.processes, 8), func(p *process) {
		var wg sync.WaitGroup
		for client := range sockets {
			own := rand.New(rand.NewSource(seed + int64(p.number*sockets+client)))
			wg.Add(1)
			go func() {
				defer wg.Done()
				for ctx.Err() == nil {
					q := r.load.draw(p.number, own)
					q.pieces, q.fresh, q.once = true, true, true
					r.load.ask(q)
					pause(ctx, time.Duration(own.Int63n(int64(thinkTime))))
				}
			}()
		}
		wg.Wait()
	})
}

// crowd fills the descriptors of some processes with clients that say nothing, or half of a request.
func crowd(ctx context.Context, r *run, rng *rand.Rand) {
	r.load.habits.crowding.Store(true)
	half := rng.Intn(2) == 0
	together(some(rng, r.processes, 4), func(p *process) { r.load.idle(ctx, p.number, sockets, half) })
	time.AfterFunc(time.Second, func() { r.load.habits.crowding.Store(false) })
}
