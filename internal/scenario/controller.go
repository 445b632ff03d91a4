package scenario

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/protobuf/proto"

	"weirhaven/internal/pb"
	"weirhaven/internal/settings"
)

// controllerProcess is the process of a scenario's controller. It is nil for a scenario without one.
type controllerProcess struct {
	r            *runner
	address      string
	settingsPath string
	store        string
	mu           sync.Mutex
	cmd          *exec.Cmd
	exited       chan struct{}
	stalled      bool // by SIGSTOP
	shutDown     bool
	faults       ControllerFaults
}

// WithoutControllerFaults returns a copy of a scenario without the faults of the controller.
func WithoutControllerFaults(d *pb.Drill) *pb.Drill {
	c := proto.Clone(d).(*pb.Drill)
	c.Trouble = slices.DeleteFunc(c.Trouble, func(t *pb.Trouble) bool { return t.Kind >= pb.Trouble_PLANNER_KILL })
	return c
}

func (r *runner) startController(ctx context.Context) error {
	if len(r.options.Controller) == 0 {
		return fmt.Errorf("scenario %s needs a controller, but no command for it is set", r.scenario.Name)
	}
	l, err := net.Listen("tcp", r.ip+":0") // the port stays free after Close: no other run uses this IP address
	if err != nil {
		return err
	}
	address := l.Addr().String()
	_ = l.Close()
	p := &controllerProcess{r: r, address: address, settingsPath: filepath.Join(r.directory, "planner.txtpb"), store: filepath.Join(r.directory, "planner.db")}
	conf := &pb.PlannerConf{Name: "planner", Listen: address, ListService: r.discovery.Address(), Store: p.store, Plain: true, Fleet: r.scenario.Fleet, Plan: r.scenario.Plan, Edges: r.scenario.Hosts,
		Lease: "500ms", Recover: "500ms"}
	n := 0
	for _, g := range r.scenario.Volumes {
		for range g.Count {
			conf.Volume = append(conf.Volume, &pb.PlannedVolume{Name: volumeName(g.Plan, n), Plan: g.Plan, Hosts: min(g.Hosts, r.scenario.Hosts)})
			n++
		}
	}
	text, err := settings.Text(conf)
	if err != nil {
		return err
	}
	if err := os.WriteFile(p.settingsPath, text, 0o600); err != nil {
		return err
	}
	r.controller = p
	return p.start(ctx)
}

func (p *controllerProcess) start(ctx context.Context) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.shutDown {
		return nil
	}
	cmd := exec.Command(p.r.options.Controller[0], append(slices.Clone(p.r.options.Controller[1:]), "--config", p.settingsPath)...)
	cmd.Env = append(os.Environ(), p.r.options.Env...)
	tail := &logTail{to: p.r.options.Logs}
	cmd.Stderr = tail
	out, err := cmd.StdoutPipe()
	if err != nil {
		return err
	}
	if _, err := cmd.StdinPipe(); err != nil { // the controller exits when this pipe is closed
		return err
	}
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start the controller: %w", err)
	}
	p.cmd, p.exited, p.stalled = cmd, make(chan struct{}), false
	exited := p.exited
	ready := make(chan bool, 1)
	go func() {
		line, _ := bufio.NewReader(out).ReadString('\n')
		if strings.HasPrefix(line, "READY ") {
			ready <- true
		}
		_ = cmd.Wait()
		close(exited)
	}()
	select {
	case <-ready:
		return nil
	case <-exited:
		return fmt.Errorf("the controller exited before it served\n%s", tail.last())
	case <-time.After(20 * time.Second):
		_ = cmd.Process.Kill()
		return fmt.Errorf("the controller did not serve within 20 s\n%s", tail.last())
	case <-ctx.Done():
		_ = cmd.Process.Kill()
		return ctx.Err()
	}
}

// waitUpToDate waits until the controller knows all endpoints and all gateways have its current snapshot.
func (p *controllerProcess) waitUpToDate(ctx context.Context, gateways int) error {
	if p == nil {
		return nil
	}
	conn, err := grpc.NewClient("passthrough:///"+p.address, grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	for end := time.Now().Add(20 * time.Second); ; {
		t, err := pb.NewPlanningClient(conn).Status(ctx, &pb.StatusAsk{Edges: true, View: true})
		upToDate, endpoints := 0, 0
		for _, x := range t.GetItem() {
			if x.Brick != nil {
				endpoints++
			}
		}
		for _, e := range t.GetEdge() {
			if e.Generation == t.Generation && t.Generation > 0 {
				upToDate++
			}
		}
		if err == nil && upToDate == gateways && endpoints >= len(p.r.placements) {
			return nil
		}
		if time.Now().After(end) {
			if err == nil {
				return fmt.Errorf("the controller did not bring %d gateways up to date within 20 s: %s %s", gateways, t.GetPhase(), t.GetWhy())
			}
			return fmt.Errorf("the controller did not bring %d gateways up to date within 20 s: %w", gateways, err)
		}
		if !waitUntil(ctx, time.Now().Add(20*time.Millisecond)) {
			return ctx.Err()
		}
	}
}

// sigkill ends the process with SIGKILL.
func (p *controllerProcess) sigkill() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		_ = p.cmd.Process.Kill()
		<-p.exited
		p.cmd = nil
	}
}

func (p *controllerProcess) kill() {
	if p != nil {
		p.mu.Lock()
		p.shutDown = true
		p.mu.Unlock()
		p.sigkill()
	}
}

func (p *controllerProcess) faultCounts() ControllerFaults {
	if p == nil {
		return ControllerFaults{}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

func (p *controllerProcess) count(f func(t *ControllerFaults)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f(&p.faults)
}

// playControllerFault injects a fault into the controller.
func (r *runner) playControllerFault(ctx context.Context, t *pb.Trouble, begin, end time.Time, back time.Duration, rng *rand.Rand) {
	p := r.controller
	if p == nil {
		return
	}
	interval := time.Duration(t.Extra * float64(time.Second))
	switch t.Kind {
	case pb.Trouble_PLANNER_KILL:
		for at := begin; at.Before(end); at = at.Add(max(interval, 100*time.Millisecond)) {
			if !waitUntil(ctx, at.Add(time.Duration(rng.Int63n(int64(max(interval/2, time.Millisecond)))))) {
				return
			}
			p.count(func(t *ControllerFaults) { t.Kills++ })
			p.sigkill()
			if !waitUntil(ctx, time.Now().Add(back)) || p.start(ctx) != nil {
				return
			}
		}
	case pb.Trouble_PLANNER_STALL:
		p.mu.Lock()
		if p.cmd != nil {
			_ = p.cmd.Process.Signal(syscall.SIGSTOP)
			p.faults.Stalls++
		}
		cmd := p.cmd
		p.mu.Unlock()
		waitUntil(ctx, end)
		if cmd != nil {
			_ = cmd.Process.Signal(syscall.SIGCONT)
		}
	case pb.Trouble_PLANNER_OLD:
		oldStore := p.store + ".old"
		if interval > 0 { // the store is copied while the controller is down: it can't be copied while it is in use
			p.sigkill()
			if copyFile(p.store, oldStore) != nil || p.start(ctx) != nil {
				return
			}
			if !waitUntil(ctx, time.Now().Add(interval)) {
				return
			}
		}
		p.count(func(t *ControllerFaults) { t.Kills++; t.Rollbacks++ })
		p.sigkill()
		_ = os.Remove(p.store)
		if interval > 0 {
			_ = os.Rename(oldStore, p.store)
		}
		if waitUntil(ctx, time.Now().Add(back)) {
			_ = p.start(ctx) // on an error the gateways keep their last snapshot
		}
	}
}

func copyFile(from, to string) error {
	in, err := os.Open(from)
	if err != nil {
		return err
	}
	defer func() { _ = in.Close() }()
	out, err := os.Create(to)
	if err != nil {
		return err
	}
	if _, err := io.Copy(out, in); err != nil {
		_ = out.Close()
		return err
	}
	return out.Close()
}
