package soak

import (
	"fmt"
	"os"
	"syscall"
	"time"

	"weirhaven/internal/pb"
)

// signal sends a signal to the process unless it has exited.
func (p *process) signal(s os.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.exited:
	default:
		_ = p.cmd.Process.Signal(s)
	}
}

// reload moves the process to another agent by a new configuration and SIGHUP. The old agent is closed after reloadWithin/2.
func (p *process) reload() error {
	next, err := p.run.discovery.Listen(p.onNotified)
	if err != nil {
		return err
	}
	p.mu.Lock()
	old := p.agent
	p.agent = next
	text, err := configuration(p, p.run.discovery.Whole(), len(p.run.processes))
	if err == nil {
		err = os.WriteFile(p.path(".json"), text, 0o600)
	}
	p.mu.Unlock()
	if err != nil {
		return err
	}
	p.signal(syscall.SIGHUP)
	time.AfterFunc(reloadWithin/2, old.Close)
	return nil
}

// kill kills the process and waits for its exit.
func (p *process) kill() {
	if !p.recordEnd("killed") {
		return
	}
	p.serving.Store(false)
	_ = p.cmd.Process.Kill()
	<-p.exited
}

// recordEnd records that this run ends the process. It returns false if that is already recorded or the process never ran.
func (p *process) recordEnd(cause string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil || p.endedByRun {
		return false
	}
	p.endedByRun = true
	p.run.recorder.See(&pb.Seen{What: pb.Seen_HOST_DOWN, Host: uint32(p.number), Incarnation: p.incarnation.Load(), How: cause})
	return true
}

// stop sends SIGTERM, and SIGKILL after the longest deadline and killGrace.
func (p *process) stop() {
	p.stopWith(func() { p.signal(syscall.SIGTERM) })
}

// stopWith stops the process. send sends the signals, SIGTERM among them. SIGKILL follows after the longest deadline and
// killGrace.
func (p *process) stopWith(send func()) {
	if !p.recordEnd("stopping") {
		return
	}
	p.stopSignaledAt.Store(int64(p.run.recorder.Now()))
	kill := time.NewTimer(p.run.deployment.killDelay())
	defer kill.Stop()
	send()
	select {
	case <-p.exited:
		if p.exit != nil {
			p.run.report(Violation{Rule: "crash", Process: p.name(), At: p.run.recorder.Now(), Detail: "exited with an error after SIGTERM: " + p.exit.Error(), Log: p.path(".log")})
		}
	case <-kill.C:
		_ = p.cmd.Process.Kill()
		<-p.exited
	}
	p.serving.Store(false)
}

// takesNewClients reports whether clients open new connections to the process: from its readiness until newClientsAfterStop
// after SIGTERM, by which time the platform has taken a stopping process out of service.
func (p *process) takesNewClients() bool {
	since := time.Duration(p.stopSignaledAt.Load())
	return p.serving.Load() && (since == 0 || p.run.recorder.Now()-since <= newClientsAfterStop)
}

// crashed reports whether the process exited without being stopped or killed by this run.
func (p *process) crashed() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.exited:
		return !p.endedByRun
	default:
		return false
	}
}

// shutDownProcesses stops all processes and reports those that had already crashed.
func (r *run) shutDownProcesses() {
	forEachConcurrently(r.processes, func(p *process) {
		if p.crashed() {
			r.report(Violation{Rule: "crash", Process: p.name(), At: r.recorder.Now(), Detail: fmt.Sprintf("ended by itself: %v", p.exit), Log: p.path(".log")})
		}
		p.stop()
	})
}
