package soak

import (
	"context"
	"math/rand"
	"syscall"
	"time"
)

// Times between signals of a series.
const (
	repeatedSignalDelay = 100 * time.Millisecond
	maxStartDelay       = 40 * time.Millisecond // before a process that starts is told to stop, at most
	idleFillDelay        = 300 * time.Millisecond
)

// signalSeries sends processes signals in series, each ending in a graceful shutdown, and starts them again.
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

// stopDuringReload signals SIGTERM right behind SIGHUP: the new configuration is read meanwhile.
func stopDuringReload(p *process, _ *rand.Rand) {
	p.stopWith(func() {
		p.reloadOrReport()
		p.signal(syscall.SIGTERM)
	})
}

func reloadDuringStop(p *process, rng *rand.Rand) {
	p.stopWith(func() {
		p.signal(syscall.SIGTERM)
		time.Sleep(time.Duration(rng.Int63n(int64(requestTimeout))))
		p.reloadOrReport()
	})
}

// stopBeforeReady stops the process, starts it again and stops that one while it starts.
func stopBeforeReady(p *process, rng *rand.Rand) {
	p.stop()
	if err := p.launch(p.run.discovery.Whole()); err != nil {
		p.run.report(Violation{Rule: "start", Process: p.name(), At: p.run.recorder.Now(), Detail: err.Error(), Log: p.path(".log")})
		return
	}
	time.Sleep(time.Duration(rng.Int63n(int64(maxStartDelay))))
	p.stopStarting()
}

// stopStarting stops a process that is not ready yet. It may end by the signal itself, before it has taken hold of signals.
func (p *process) stopStarting() {
	if !p.recordEnd("stopping") {
		return
	}
	p.signal(syscall.SIGTERM)
	select {
	case <-p.exited:
	case <-time.After(requestTimeout + killGrace):
		_ = p.cmd.Process.Kill()
		<-p.exited
	}
}

// reloadOrReport reloads the process; where that can't be done it is the run's fault and reported as such.
func (p *process) reloadOrReport() {
	if err := p.reload(); err != nil {
		p.run.report(Violation{Rule: "soak", Process: p.name(), Detail: err.Error()})
	}
}

// stopCrowded stops processes whose descriptors idle clients have filled and go on filling until the process ends.
func stopCrowded(ctx context.Context, r *run, rng *rand.Rand) {
	r.load.behavior.socketsExhausted.Store(true)
	partial := rng.Intn(2) == 0
	forEachConcurrently(pickSome(rng, r.processes, 4), func(p *process) {
		r.restartAfter(p, func() {
			fillCtx, stopFilling := context.WithCancel(context.Background())
			fillEnded := make(chan struct{})
			go func() {
				defer close(fillEnded)
				r.load.holdIdle(fillCtx, p.number, sockets, partial)
			}()
			wait(ctx, idleFillDelay)
			p.stop()
			stopFilling()
			<-fillEnded
		})
	})
	time.AfterFunc(time.Second, func() { r.load.behavior.socketsExhausted.Store(false) })
}
