package soak

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"weirhaven/internal/fake/agent"
	"weirhaven/internal/fake/loopback"
	"weirhaven/internal/pb"
)

// process is one gateway process and its agent.
type process struct {
	r           *run
	number      int
	address     string
	incarnation atomic.Uint32
	serving     atomic.Bool

	mu     sync.Mutex
	agent  *agent.Agent
	cmd    *exec.Cmd
	exited chan struct{}
	exit   error
	ended  bool // by this run

	held []interval // stopped by this run for longer than a process may be held up

	known struct {
		sync.Mutex
		told map[string]int64 // by server: what was told last, as a mark
	}
}

// interval is a stretch of the run.
type interval struct{ from, to time.Duration }

// noteHeld notes that the process was stopped. The machine may have made more of it than was meant.
func (p *process) noteHeld(from, to time.Duration) {
	if to-from <= heldUp {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.held = append(p.held, interval{from, to})
}

// heldBeyond is by how much the process was stopped for longer than allowed within a stretch of the run.
func (p *process) heldBeyond(from, to time.Duration) (beyond time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, h := range p.held {
		if h.from < to && h.to > from {
			beyond = max(beyond, h.to-h.from-heldUp)
		}
	}
	return beyond
}

// tellWithin is when a change counts as told at the latest, whether it arrived or not, after it could be reached.
const (
	tellWithin   = 6 * time.Second
	reloadWithin = 4 * time.Second
	startTimeout = 10 * time.Second
)

func (p *process) name() string { return fmt.Sprintf("g-%d", p.number) }

func (p *process) file(kind string) string {
	return filepath.Join(p.r.folder, p.name()+kind)
}

// makeProcesses gives each process its address and its agent.
func (r *run) makeProcesses() error {
	ip := loopback.IP()
	for i := range r.options.Processes {
		held, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return err
		}
		defer func() { _ = held.Close() }() // once all have their addresses
		p := &process{r: r, number: i, address: held.Addr().String()}
		p.known.told = map[string]int64{}
		if p.agent, err = r.discovery.Listen(p.told); err != nil {
			return err
		}
		r.processes = append(r.processes, p)
	}
	return nil
}

func (r *run) startProcesses() error {
	if err := r.makeProcesses(); err != nil {
		return err
	}
	errs := make([]error, len(r.processes))
	together(r.processes, func(p *process) { errs[p.number] = p.start() })
	return errors.Join(errs...)
}

// start starts the process and waits until it is ready.
func (p *process) start() error {
	known := p.r.discovery.Whole()
	if err := p.launch(known); err != nil {
		return err
	}
	return p.awaitReady(known)
}

func (p *process) launch(known agent.List) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	text, err := configuration(p, known, len(p.r.processes))
	if err == nil {
		err = os.WriteFile(p.file(".json"), text, 0o600)
	}
	if err != nil {
		return err
	}
	log, err := p.openLog()
	if err != nil {
		return err
	}
	cmd := exec.Command(p.r.options.Program[0], p.r.options.Program[1:]...)
	cmd.Env = append(append(os.Environ(), p.r.options.Env...), "EDGE_CONFIG="+p.file(".json"))
	cmd.Stderr = log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // none is left over if this program is killed
	if err := cmd.Start(); err != nil {
		_ = log.Close()
		return fmt.Errorf("start %s: %w", p.name(), err)
	}
	p.incarnation.Add(1)
	exited := make(chan struct{})
	p.cmd, p.exited, p.ended = cmd, exited, false
	go func() {
		p.exit = cmd.Wait()
		_ = log.Close()
		close(exited)
	}()
	return nil
}

// openLog is where the process writes its log.
func (p *process) openLog() (*os.File, error) {
	if p.r.options.Logs == LogsKept {
		return os.OpenFile(p.file(".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	}
	reader, writer, err := os.Pipe()
	if err != nil {
		return nil, err
	}
	if p.r.options.Logs == LogsBroken {
		_ = reader.Close()
	} else {
		p.r.mu.Lock()
		p.r.pipes = append(p.r.pipes, reader)
		p.r.mu.Unlock()
	}
	return writer, nil
}

func (p *process) awaitReady(known agent.List) error {
	began := time.Now()
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		answer, err := client.Get("http://" + p.address + "/-/ready")
		if err == nil {
			_ = answer.Body.Close()
			if answer.StatusCode == http.StatusOK {
				break
			}
		}
		select {
		case <-p.exited:
			return fmt.Errorf("%s ended at its start: %w (log: %s)", p.name(), exitError(p.exit), p.file(".log"))
		case <-time.After(20 * time.Millisecond):
		}
		if time.Since(began) > startTimeout {
			return fmt.Errorf("%s was not ready within %v (log: %s)", p.name(), startTimeout, p.file(".log"))
		}
	}
	for _, s := range known.Members {
		p.r.seeListed(p, s)
	}
	p.r.rec.See(&pb.Seen{What: pb.Seen_HOST_UP, Host: uint32(p.number), Incarnation: p.incarnation.Load()})
	p.serving.Store(true)
	return nil
}

// told hears of an entry that the agent wrote to the process.
func (p *process) told(s agent.Server) {
	p.known.Lock()
	p.known.told[s.ID] = mark(s)
	p.known.Unlock()
	p.r.seeListed(p, s)
}

// mark tells two states of a server apart.
func mark(s agent.Server) int64 {
	phases := map[string]int64{agent.InService: 1, agent.Terminating: 2, agent.Terminated: 3}
	return s.UpSince*4 + phases[s.Phase]
}

// owed lets an entry count as told at the latest moment at which it does, unless it was told before.
func (p *process) owed(s agent.Server) {
	p.r.mu.Lock()
	down := p.r.down
	p.r.mu.Unlock()
	if down { // the list is retold when discovery returns
		return
	}
	time.AfterFunc(tellWithin, func() {
		p.known.Lock()
		told := p.known.told[s.ID] == mark(s)
		p.known.Unlock()
		if !told && p.serving.Load() {
			p.r.seeListed(p, s)
		}
	})
}

// signal sends a signal to the process if it runs.
func (p *process) signal(s os.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.exited:
	default:
		_ = p.cmd.Process.Signal(s)
	}
}

// reload moves the process to another agent, by a new configuration and SIGHUP. The old agent speaks on for a moment.
func (p *process) reload() error {
	next, err := p.r.discovery.Listen(p.told)
	if err != nil {
		return err
	}
	p.mu.Lock()
	old := p.agent
	p.agent = next
	text, err := configuration(p, p.r.discovery.Whole(), len(p.r.processes))
	if err == nil {
		err = os.WriteFile(p.file(".json"), text, 0o600)
	}
	p.mu.Unlock()
	if err != nil {
		return err
	}
	p.signal(syscall.SIGHUP)
	time.AfterFunc(reloadWithin/2, old.Close)
	return nil
}

// kill ends the process at once.
func (p *process) kill() {
	if !p.end("killed") {
		return
	}
	p.serving.Store(false)
	_ = p.cmd.Process.Kill()
	<-p.exited
}

// end notes that this run ends the process; false: it has done so before, or the process never ran.
func (p *process) end(how string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil || p.ended {
		return false
	}
	p.ended = true
	p.r.rec.See(&pb.Seen{What: pb.Seen_HOST_DOWN, Host: uint32(p.number), Incarnation: p.incarnation.Load(), How: how})
	return true
}

// stop is SIGTERM, and SIGKILL after the longest deadline and killGrace.
func (p *process) stop() {
	if !p.end("stopping") {
		return
	}
	p.signal(syscall.SIGTERM)
	select {
	case <-p.exited:
		if p.exit != nil {
			p.r.violated(Violation{Rule: "crash", Process: p.name(), At: p.r.rec.Now(), Detail: "told to stop: " + p.exit.Error(), Log: p.file(".log")})
		}
	case <-time.After(requestTime + killGrace):
		_ = p.cmd.Process.Kill()
		<-p.exited
	}
	p.serving.Store(false)
}

// crashed tells of a process that ended by itself.
func (p *process) crashed() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.exited:
		return !p.ended
	default:
		return false
	}
}

func (r *run) stopProcesses() {
	together(r.processes, func(p *process) {
		if p.crashed() {
			r.violated(Violation{Rule: "crash", Process: p.name(), At: r.rec.Now(), Detail: fmt.Sprintf("ended by itself: %v", p.exit), Log: p.file(".log")})
		}
		p.stop()
	})
}

// mostGoroutines bounds those of a process: two for each descriptor, and what it needs besides.
const mostGoroutines = 2*sockets + 50

// stateFigures finds heap and goroutines in a state line.
var stateFigures = regexp.MustCompile(`msg=state .*heap=(\d+) .*goroutines=(\d+)`)

func figure(text string) int {
	n, _ := strconv.Atoi(text)
	return n
}

// counters reads a process's log for invariants that its own checks found broken, panics, and the largest figures of its state.
func (p *process) counters() (violations []Violation) {
	f, err := os.Open(p.file(".log"))
	if err != nil {
		return nil
	}
	defer func() { _ = f.Close() }()
	lines := bufio.NewScanner(f)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		text := lines.Text()
		if found := stateFigures.FindStringSubmatch(text); found != nil && (figure(found[1]) > memoryMB<<20/2 || figure(found[2]) > mostGoroutines) {
			violations = append(violations, Violation{Rule: "bounded state", Process: p.name(), Detail: text, Log: p.file(".log")})
		}
		if strings.Contains(text, "invariant broken") || strings.Contains(text, "panic") || strings.Contains(text, "fatal error") {
			violations = append(violations, Violation{Rule: "own check", Process: p.name(), Detail: text, Log: p.file(".log")})
		}
	}
	return violations
}

// errExitedCleanly stands for the end of a process with exit status 0, which exec reports as no error.
var errExitedCleanly = errors.New("exit status 0")

// exitError returns the error with which a process ended; it is never nil.
func exitError(err error) error {
	if err == nil {
		return errExitedCleanly
	}
	return err
}
