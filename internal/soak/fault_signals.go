package soak

import (
	"context"
	"math/rand"
	"syscall"
	"time"
)

// Delays of the signals of a series.
const (
	repeatedSignalDelay = 100 * time.Millisecond
	maxStartDelay       = 40 * time.Millisecond  // longest time between the start of a process and SIGTERM
	idleFillDelay       = 300 * time.Millisecond // time for idle clients to use up the descriptors before SIGTERM
)

// signalSeries sends processes several signals in quick succession, each series with a graceful shutdown, and starts them
// again.
func signalSeries(_ context.Context, r *run, rng *rand.Rand) {
	series := []func(p *process, rng *rand.Rand){reloadTwiceThenStop, stopTwice, stopDuringReload, reloadDuringStop, stopBeforeReady}
	forEachConcurrently(pickSome(rng, r.processes, 4), func(p *process) {
		own := rand.New(rand.NewSource(int64(p.number)))
		r.restartAfter(p, func() { series[p.number%len(series)](p, own) })
	})
}

func reloadTwiceThenStop(p *process, _ *rand.Rand) {
	p.reloadOrReport()
	p.reloadOrReport()
	p.stop()
}

func stopTwice(p *process, _ *rand.Rand) {
	p.stopWith(func() {
		p.signal(syscall.SIGTERM)
		time.Sleep(repeatedSignalDelay)
		p.signal(syscall.SIGTERM)
	})
}

// stopDuringReload sends SIGTERM right after SIGHUP, while the process reads the new configuration.
func stopDuringReload(p *process, _ *rand.Rand) {
	p.stopWith(func() {
		p.reloadOrReport()
		p.signal(syscall.SIGTERM)
	})
}

func reloadDuringStop(p *process, rng *rand.Rand) {
	p.stopWith(func() {
		p.signal(syscall.SIGTERM)
		time.Sleep(time.Duration(rng.Int63n(int64(p.run.deployment.RequestTimeout))))
		p.reloadOrReport()
	})
}

// stopBeforeReady stops the process, starts it again and stops it before it is ready.
func stopBeforeReady(p *process, rng *rand.Rand) {
	p.stop()
	if err := p.launch(p.run.discovery.Whole()); err != nil {
		p.run.report(Violation{Rule: "start", Process: p.name(), At: p.run.recorder.Now(), Detail: err.Error(), Log: p.path(".log")})
		return
	}
	time.Sleep(time.Duration(rng.Int63n(int64(maxStartDelay))))
	p.stopStarting()
}

// stopStarting stops a process that is not ready yet. SIGTERM may kill it, because its signal handler may not be installed.
func (p *process) stopStarting() {
	if !p.recordEnd("stopping") {
		return
	}
	p.signal(syscall.SIGTERM)
	select {
	case <-p.exited:
	case <-time.After(p.run.deployment.killDelay()):
		_ = p.cmd.Process.Kill()
		<-p.exited
	}
}

// reloadOrReport reloads the process. It reports a failure of the run itself, not of the process, under the rule soak.
func (p *process) reloadOrReport() {
	if err := p.reload(); err != nil {
		p.run.report(Violation{Rule: "soak", Process: p.name(), Detail: err.Error()})
	}
}

// stopCrowded stops processes whose descriptors are used up by idle clients. The clients stay connected until the process ends.
func stopCrowded(ctx context.Context, r *run, rng *rand.Rand) {
	r.load.behavior.socketsExhausted.Store(true)
	partial := rng.Intn(2) == 0
	forEachConcurrently(pickSome(rng, r.processes, 4), func(p *process) {
		r.restartAfter(p, func() {
			fillCtx, stopFilling := context.WithCancel(context.Background())
			fillEnded := make(chan struct{})
			go func() {
				defer close(fillEnded)
				r.load.holdIdle(fillCtx, p.number, r.deployment.Sockets, partial)
			}()
			wait(ctx, idleFillDelay)
			p.stop()
			stopFilling()
			<-fillEnded
		})
	})
	time.AfterFunc(time.Second, func() { r.load.behavior.socketsExhausted.Store(false) })
}
