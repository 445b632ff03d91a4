package soak

import (
	"context"
	"math/rand"
	"os"
	"syscall"
	"time"
)

// secondKillDelay is the time between the start of a process and the second kill of a series.
const secondKillDelay = 500 * time.Millisecond

// restart starts a process again and reports a violation if it can't be started.
func (r *run) restart(p *process) {
	if err := p.start(); err != nil {
		r.report(Violation{Rule: "start", Process: p.name(), At: r.recorder.Now(), Detail: err.Error(), Log: p.path(".log")})
	}
}

// restartAfter ends a process and starts it again, unless another fault is already restarting it: two processes would need the
// same address.
func (r *run) restartAfter(p *process, end func()) {
	if !p.restarting.TryLock() {
		return
	}
	defer p.restarting.Unlock()
	end()
	r.restart(p)
}

// stopProcesses shuts processes down gracefully and starts them again.
func stopProcesses(_ context.Context, r *run, rng *rand.Rand) {
	forEachConcurrently(pickSome(rng, r.processes, 5), func(p *process) {
		r.restartAfter(p, p.stop)
	})
}

// killProcesses kills processes and starts them again.
func killProcesses(_ context.Context, r *run, rng *rand.Rand) {
	forEachConcurrently(pickSome(rng, r.processes, 4), func(p *process) {
		r.restartAfter(p, p.kill)
	})
}

// killInSeries kills processes twice, the second time soon after their start.
func killInSeries(ctx context.Context, r *run, rng *rand.Rand) {
	forEachConcurrently(pickSome(rng, r.processes, 4), func(p *process) {
		r.restartAfter(p, p.kill)
		wait(ctx, secondKillDelay)
		r.restartAfter(p, p.kill)
	})
}

// reloadProcesses reloads the configuration of processes.
func reloadProcesses(_ context.Context, r *run, rng *rand.Rand) {
	forEachConcurrently(pickSome(rng, r.processes, 3), func(p *process) {
		for range 1 + len(p.name())%2 { // once, or twice in quick succession
			if err := p.reload(); err != nil {
				r.report(Violation{Rule: "soak", Process: p.name(), Detail: err.Error()})
			}
		}
	})
}

// reloadWhileStopping reloads processes during their graceful shutdown.
func reloadWhileStopping(_ context.Context, r *run, rng *rand.Rand) {
	forEachConcurrently(pickSome(rng, r.processes, 6), func(p *process) {
		r.restartAfter(p, func() {
			done := make(chan struct{})
			go func() {
				defer close(done)
				time.Sleep(50 * time.Millisecond)
				_ = p.reload() // the process may already have ended
			}()
			p.stop()
			<-done
		})
	})
}

// reloadHalfWritten signals processes while their configuration file is half written, then reloads them.
func reloadHalfWritten(_ context.Context, r *run, rng *rand.Rand) {
	forEachConcurrently(pickSome(rng, r.processes, 4), func(p *process) {
		p.mu.Lock()
		whole, err := os.ReadFile(p.path(".json"))
		if err == nil {
			err = os.WriteFile(p.path(".json"), whole[:len(whole)/2], 0o600)
		}
		p.mu.Unlock()
		if err != nil {
			return
		}
		p.signal(syscall.SIGHUP)
		time.Sleep(100 * time.Millisecond)
		if err := p.reload(); err != nil {
			r.report(Violation{Rule: "soak", Process: p.name(), Detail: err.Error()})
		}
	})
}

// throttleProcesses suspends processes for 50 to 150 ms, repeatedly, as CPU throttling does.
func throttleProcesses(ctx context.Context, r *run, rng *rand.Rand) {
	for chosen := pickSome(rng, r.processes, 3); ctx.Err() == nil; wait(ctx, 200*time.Millisecond) {
		held := 50*time.Millisecond + time.Duration(rng.Int63n(int64(100*time.Millisecond)))
		began := r.recorder.Now()
		for _, p := range chosen {
			p.signal(syscall.SIGSTOP)
		}
		time.Sleep(held)
		for _, p := range chosen {
			p.signal(syscall.SIGCONT)
			p.recordSuspension(began, r.recorder.Now())
		}
	}
}
