// Package soak runs a few dozen gateway processes on loopback, under load and with several faults at a time. It checks the
// system's invariants from the traffic on the sockets and from the processes' logs. One seed determines the load and the
// faults; the scheduling by the operating system still varies between runs.
//
// Invariants: a fault is undone when its time is over, except that silenced watches stay silent and that replaced processes
// and endpoints stay replaced; the record has everything that a client or an endpoint sends or receives. The package doesn't
// depend on the gateway's internals: it tests the program from outside.
package soak

import (
	"context"
	"io"
	"math/rand"
	"os"
	"sync"
	"time"

	"weirhaven/internal/fake/agent"
	"weirhaven/internal/record"
)

// Options configure a run.
type Options struct {
	Seed      int64         // determines the load and the faults
	Processes int           // number of gateway processes
	Length    time.Duration // duration of the load
	Rate      float64       // mean requests a second at each process; 0: defaultRate
	Faults    []string      // names of the faults to inject; empty: all
	Program   []string      // command line of a gateway process
	Env       []string      // additions to its environment, as KEY=VALUE
	Limits    *Deployment   // nil: drawn by the seed
	Logs      Logs          // destination of the processes' logs
	Directory string        // directory for configurations and logs; empty: a temporary one
	Out       io.Writer     // receives a line for each injected fault
}

// Logs is the destination of the processes' logs. The zero value keeps them.
type Logs int

// Destinations of the logs.
const (
	LogsKept    Logs = iota // a file in the run's directory
	LogsStalled             // a pipe that nobody reads
	LogsBroken              // a pipe whose read end is closed
)

// run is the state of one run.
type run struct {
	options    Options
	deployment Deployment
	directory  string
	recorder   *record.Recorder
	discovery  *agent.Discovery
	processes  []*process
	load       *load
	faults     activeFaults
	faultGroup sync.WaitGroup

	mu            sync.Mutex
	endpoints     []*endpoint // endpoints in service, by shard
	allEndpoints  []*endpoint
	serial        int               // number of the last endpoint
	attempts      map[uint64]uint32 // number of attempts so far, by request
	violations    []Violation
	discoveryDown bool       // processes miss changes meanwhile
	pipes         []*os.File // read ends of LogsStalled
}

// Run executes a whole run and returns its report. It returns an error if the run could not be executed or ctx ended. A
// broken invariant is no error: the report has it as a violation.
func Run(ctx context.Context, options Options) (*Report, error) {
	if options.Rate <= 0 {
		options.Rate = defaultRate
	}
	if options.Limits == nil {
		limits := DeploymentOf(options.Seed)
		options.Limits = &limits
	}
	r := &run{options: options, deployment: *options.Limits, directory: options.Directory, recorder: record.New(), discovery: agent.New(), attempts: map[uint64]uint32{}}
	if err := r.makeDirectory(); err != nil {
		return nil, err
	}
	defer r.close()
	if err := r.startEndpoints(); err != nil {
		return nil, err
	}
	if err := r.startProcesses(); err != nil {
		return nil, err
	}
	r.load = newLoad(r, rand.New(rand.NewSource(options.Seed)))
	bounded, cancel := context.WithTimeout(ctx, options.Length)
	defer cancel()
	r.load.start()
	memoryWatched := make(chan struct{})
	watching, stopWatching := context.WithCancel(context.Background())
	go func() {
		defer close(memoryWatched)
		r.watchMemory(watching)
	}()
	r.injectFaults(bounded, rand.New(rand.NewSource(options.Seed+1)))
	<-bounded.Done()
	r.faultGroup.Wait()
	r.load.stop()
	r.shutDownProcesses()
	stopWatching()
	<-memoryWatched
	return r.judge(), ctx.Err()
}

// makeDirectory creates the run's directory, or a temporary one if the options name none.
func (r *run) makeDirectory() error {
	if r.directory == "" {
		directory, err := os.MkdirTemp("", "weir-soak-")
		if err != nil {
			return err
		}
		r.directory = directory
	}
	return os.MkdirAll(r.directory, 0o755)
}

// close stops all processes, agents, endpoints and proxies of the run.
func (r *run) close() {
	for _, p := range r.processes {
		p.kill()
		p.agent.Close()
	}
	for _, e := range r.allEndpoints {
		e.proxy.Close()
		e.node.Stop()
	}
	for _, pipe := range r.pipes {
		_ = pipe.Close()
	}
}

// report adds a violation. Any goroutine may call it.
func (r *run) report(v Violation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, v)
}

// nextAttempt returns the number, from 0, of the next attempt of a request.
func (r *run) nextAttempt(request uint64) uint32 {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := r.attempts[request]
	r.attempts[request] = n + 1
	return n
}
