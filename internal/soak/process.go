package soak

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"weirhaven/internal/fake/agent"
	"weirhaven/internal/fake/loopback"
	"weirhaven/internal/pb"
)

// process is one gateway process and its discovery agent.
type process struct {
	run         *run
	number      int
	address     string
	incarnation atomic.Uint32
	serving     atomic.Bool
	// stopSignaledAt is when the run began to stop the process, in ns since the beginning of the run; 0 before.
	stopSignaledAt atomic.Int64

	restarting sync.Mutex // held by the fault that restarts the process

	mu         sync.Mutex
	agent      *agent.Agent
	cmd        *exec.Cmd
	exited     chan struct{}
	exit       error
	endedByRun bool // this run stopped or killed the process

	peakMemory  atomic.Int64 // highest private memory of all incarnations, in KiB
	suspensions []timeRange  // suspensions longer than maxProcessStall

	known struct {
		sync.Mutex
		notified map[string]int64 // entryVersion last written to the process, by endpoint
	}
}

// Times of a process.
const (
	// notifyWithin is the time after a change of the list at which a process counts as notified, even if it wasn't, unless
	// discovery is down.
	notifyWithin = 6 * time.Second
	reloadWithin = 4 * time.Second
	startTimeout = 10 * time.Second
)

// name returns the process's name in its configuration and in file names.
func (p *process) name() string { return fmt.Sprintf("g-%d", p.number) }

// path returns the path of the process's file with an extension.
func (p *process) path(extension string) string {
	return filepath.Join(p.run.directory, p.name()+extension)
}

// makeProcesses creates the processes with their addresses and agents, without starting them.
func (r *run) makeProcesses() error {
	ip := loopback.IP()
	for i := range r.options.Processes {
		listener, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return err
		}
		defer func() { _ = listener.Close() }() // at the end, so that no two processes get the same address
		p := &process{run: r, number: i, address: listener.Addr().String()}
		p.known.notified = map[string]int64{}
		if p.agent, err = r.discovery.Listen(p.onNotified); err != nil {
			return err
		}
		r.processes = append(r.processes, p)
	}
	return nil
}

// startProcesses starts all processes and waits until they are ready.
func (r *run) startProcesses() error {
	if err := r.makeProcesses(); err != nil {
		return err
	}
	errs := make([]error, len(r.processes))
	forEachConcurrently(r.processes, func(p *process) { errs[p.number] = p.start() })
	return errors.Join(errs...)
}

// start starts the process and waits until it is ready.
func (p *process) start() error {
	known := p.run.discovery.Whole()
	if err := p.launch(known); err != nil {
		return err
	}
	return p.awaitReady(known)
}

// launch writes the configuration and starts the program, without waiting until it is ready.
func (p *process) launch(known agent.List) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	text, err := configuration(p, known, len(p.run.processes))
	if err == nil {
		err = os.WriteFile(p.path(".json"), text, 0o600)
	}
	if err != nil {
		return err
	}
	logFile, err := p.openLog()
	if err != nil {
		return err
	}
	cmd := exec.Command(p.run.options.Program[0], p.run.options.Program[1:]...)
	cmd.Env = append(append(os.Environ(), p.run.options.Env...), "EDGE_CONFIG="+p.path(".json"))
	cmd.Stderr = logFile
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // so that no process outlives this program
	if err := cmd.Start(); err != nil {
		_ = logFile.Close()
		return fmt.Errorf("start %s: %w", p.name(), err)
	}
	p.incarnation.Add(1)
	p.stopSignaledAt.Store(0)
	exited := make(chan struct{})
	p.cmd, p.exited, p.endedByRun = cmd, exited, false
	go func() {
		p.exit = cmd.Wait()
		_ = logFile.Close()
		close(exited)
	}()
	return nil
}

// openLog opens the destination of the process's log.
func (p *process) openLog() (*os.File, error) {
	if p.run.options.Logs == LogsKept {
		return os.OpenFile(p.path(".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	}
	reader, writer, err := os.Pipe()
	if err != nil {
		return nil, err
	}
	if p.run.options.Logs == LogsBroken {
		_ = reader.Close()
	} else {
		p.run.mu.Lock()
		p.run.pipes = append(p.run.pipes, reader)
		p.run.mu.Unlock()
	}
	return writer, nil
}

// awaitReady waits until the readiness check of the process succeeds.
func (p *process) awaitReady(known agent.List) error {
	began := time.Now()
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		response, err := client.Get("http://" + p.address + "/-/ready")
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				break
			}
		}
		select {
		case <-p.exited:
			return fmt.Errorf("%s exited during startup: %w (log: %s)", p.name(), exitError(p.exit), p.path(".log"))
		case <-time.After(20 * time.Millisecond):
		}
		if time.Since(began) > startTimeout {
			return fmt.Errorf("%s was not ready within %v (log: %s)", p.name(), startTimeout, p.path(".log"))
		}
	}
	for _, s := range known.Members {
		p.run.recordEntry(p, s)
	}
	p.run.recorder.See(&pb.Seen{What: pb.Seen_HOST_UP, Host: uint32(p.number), Incarnation: p.incarnation.Load()})
	p.serving.Store(true)
	return nil
}

// errExitedCleanly stands for exit status 0, which exec doesn't report as an error.
var errExitedCleanly = errors.New("exit status 0")

// exitError returns the exit error of a process, or errExitedCleanly if it is nil.
func exitError(err error) error {
	if err == nil {
		return errExitedCleanly
	}
	return err
}
