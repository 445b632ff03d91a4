// Package soak runs a few dozen gateway processes on loopback, under load and under several troubles at a time, and judges
// the invariants from what crossed the sockets and from the processes' own counters. One seed draws the whole script; the
// machine's scheduling stays its own.
package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand"
	"os"
	"sync"
	"time"

	"weirhaven/internal/fake/agent"
	"weirhaven/internal/fake/proxy"
	"weirhaven/internal/fake/storagenode"
	"weirhaven/internal/pb"
	"weirhaven/internal/record"
)

// Options are what a run is made of.
type Options struct {
	Seed      int64
	Processes int
	Length    time.Duration
	Rate      float64  // requests a second at each process; 0: usualRate
	Menu      []string // names of troubles; empty: all
	Program   []string // the command line of a gateway process
	Env       []string // more of its environment
	Logs      Logs     // who reads them
	Folder    string   // of configurations and logs; empty: a temporary one
	Out       io.Writer
}

// Logs is what becomes of the processes' logs.
type Logs int

// Who reads the logs of the processes.
const (
	LogsKept    Logs = iota // in a file of the run's folder
	LogsStalled             // a pipe that nobody reads
	LogsBroken              // a pipe whose reader has ended
)

// Report is how a run ended.
type Report struct {
	Seed        int64
	Processes   int
	Requests    int
	Completed   int
	Troubles    int
	Overlapping int
	Violations  []Violation
}

// Violation is one broken invariant.
type Violation struct {
	Rule    string
	Request uint64
	Process string
	At      time.Duration
	Detail  string
	Log     string
}

func (v Violation) String() string {
	return fmt.Sprintf("VIOLATION %s: request %d, process %s, at %.3f s: %s (log: %s)", v.Rule, v.Request, v.Process, v.At.Seconds(), v.Detail, v.Log)
}

func (r *Report) String() string {
	return fmt.Sprintf("soak seed %d: %d processes, %d requests, %d troubles (%d overlapping), %d violations", r.Seed, r.Processes, r.Requests,
		r.Troubles, r.Overlapping, len(r.Violations))
}

// server is one stand-in server behind its proxy.
type server struct {
	cell    int
	brick   *storagenode.Brick
	proxy   *proxy.Proxy
	entry   agent.Server
	retired bool // it drains, or has gone
}

// run is one run.
type run struct {
	options   Options
	folder    string
	rec       *record.Recorder
	discovery *agent.Discovery
	processes []*process
	load      *load
	troubles  troubles
	wg        sync.WaitGroup

	mu         sync.Mutex
	servers    []*server // in service, one for each cell
	all        []*server
	serial     int
	attempts   map[uint64]uint32
	violations []Violation
	down       bool       // discovery
	pipes      []*os.File // of logs that nobody reads
}

// Run plays a whole run. An error means that it could not be played, not that an invariant was broken.
func Run(ctx context.Context, o Options) (*Report, error) {
	r := &run{options: o, folder: o.Folder, rec: record.New(), discovery: agent.New(), attempts: map[uint64]uint32{}}
	if r.folder == "" {
		folder, err := os.MkdirTemp("", "weir-soak-")
		if err != nil {
			return nil, err
		}
		r.folder = folder
	}
	if err := os.MkdirAll(r.folder, 0o755); err != nil {
		return nil, err
	}
	defer r.close()
	if err := r.startServers(); err != nil {
		return nil, err
	}
	if err := r.startProcesses(); err != nil {
		return nil, err
	}
	if r.options.Rate <= 0 {
		r.options.Rate = usualRate
	}
	r.load = newLoad(r, rand.New(rand.NewSource(o.Seed)))
	bounded, cancel := context.WithTimeout(ctx, o.Length)
	defer cancel()
	r.load.start()
	r.playMenu(bounded, rand.New(rand.NewSource(o.Seed+1)))
	<-bounded.Done()
	r.wg.Wait()
	r.load.stop()
	r.stopProcesses()
	report := r.judge()
	return report, errors.Join(ctx.Err())
}

func (r *run) close() {
	for _, p := range r.processes {
		p.kill()
		p.agent.Close()
	}
	for _, s := range r.all {
		s.proxy.Close()
		s.brick.Stop()
	}
	for _, f := range r.pipes {
		_ = f.Close()
	}
}

func (r *run) violated(v Violation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, v)
}

// attempt numbers the attempts of a request, from 0.
func (r *run) attempt(command uint64) uint32 {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := r.attempts[command]
	r.attempts[command] = n + 1
	return n
}

func (r *run) startServers() error {
	for cell := range cells {
		if err := r.startServer(cell, false); err != nil {
			return err
		}
	}
	return nil
}

// startServer brings up the server of a cell and lists it; cold: it has just started, else long ago.
func (r *run) startServer(cell int, cold bool) error {
	r.mu.Lock()
	r.serial++
	id := fmt.Sprintf("s-%d", r.serial)
	seed := r.options.Seed*1000 + int64(r.serial)
	r.mu.Unlock()
	b, err := storagenode.Start(storagenode.Config{Name: id, Zone: "a", Address: "127.0.0.1:0", Cell: cell, Kind: serverKind, Speed: 1, Seed: seed, Cold: cold,
		FallMultiple: fallMultiple, FallAfter: fallAfter, TagWindow: tagWindow, Writes: writes(), Record: r.rec, Elsewhere: true, AttemptOf: r.attempt})
	if err != nil {
		return err
	}
	p, err := proxy.Start(b.Address())
	if err != nil {
		b.Stop()
		return err
	}
	s := &server{cell: cell, brick: b, proxy: p, entry: agent.Server{ID: id, Address: p.Address(), Zone: "a", Cell: cell, Phase: agent.InService, Size: 1}}
	if cold {
		s.entry.UpSince = b.Started().UnixMilli()
	}
	r.mu.Lock()
	r.all = append(r.all, s)
	if cell < len(r.servers) {
		r.servers[cell] = s
	} else {
		r.servers = append(r.servers, s)
	}
	r.mu.Unlock()
	r.list(s)
	return nil
}

// list tells discovery of a server's state, and notes from when on each process counts as told.
func (r *run) list(s *server) {
	r.discovery.Set(s.entry)
	for _, p := range r.processes {
		p.owed(s.entry)
	}
}

// seeListed notes that a process knows of an entry.
func (r *run) seeListed(p *process, s agent.Server) {
	how, age := "serving", int64(-1)
	if s.Phase != agent.InService {
		how = "draining"
	}
	if s.UpSince > 0 {
		age = int64(time.Since(time.UnixMilli(s.UpSince)))
	}
	r.rec.See(&pb.Seen{What: pb.Seen_LISTED, Host: uint32(p.number), Incarnation: p.incarnation.Load(), Brick: s.ID, How: how, Started: age, Cell: int32(s.Cell)})
}
