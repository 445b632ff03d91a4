// Package soak runs a few dozen gateway processes on loopback, under load and with several faults at a time, and judges
// the invariants from what crossed the sockets and from the processes' own logs. One seed draws the whole script; the
// machine's scheduling stays its own.
//
// Invariants: a fault undoes itself when its time is over, except that silenced watches stay silent and that replaced
// processes and endpoints stay replaced; whatever a client or an endpoint sends or receives is in the record. The package
// doesn't know the gateway's inside: it judges the program as its users see it.
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
	Seed      int64         // draws the load and the faults
	Processes int           // gateway processes
	Length    time.Duration // of the load
	Rate      float64       // requests a second at each process; 0: defaultRate
	Faults    []string      // names of the faults to inject; empty: all
	Program   []string      // the command line of a gateway process
	Env       []string      // added to its environment, as KEY=VALUE
	Logs      Logs          // what becomes of the processes' logs
	Directory string        // for configurations and logs; empty: a temporary one
	Out       io.Writer     // a line for each fault that is injected
}

// Logs is what becomes of the processes' logs. The zero value keeps them.
type Logs int

// Uses of the logs.
const (
	LogsKept    Logs = iota // in a file of the run's directory
	LogsStalled             // a pipe that is not read
	LogsBroken              // a pipe whose reader has ended
)

// run is the state of one run.
type run struct {
	options    Options
	directory  string
	recorder   *record.Recorder
	discovery  *agent.Discovery
	processes  []*process
	load       *load
	faults     activeFaults
	faultGroup sync.WaitGroup

	mu            sync.Mutex
	endpoints     []*endpoint // in service, by shard
	allEndpoints  []*endpoint
	serial        int
	attempts      map[uint64]uint32
	violations    []Violation
	discoveryDown bool       // so processes miss changes
	pipes         []*os.File // of logs that are not read
}

// Run plays a whole run and returns its report. It returns an error when the run could not be played or ctx ended, not
// when an invariant was broken.
func Run(ctx context.Context, options Options) (*Report, error) {
	if options.Rate <= 0 {
		options.Rate = defaultRate
	}
	r := &run{options: options, directory: options.Directory, recorder: record.New(), discovery: agent.New(), attempts: map[uint64]uint32{}}
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
	r.injectFaults(bounded, rand.New(rand.NewSource(options.Seed+1)))
	<-bounded.Done()
	r.faultGroup.Wait()
	r.load.stop()
	r.shutDownProcesses()
	return r.judge(), ctx.Err()
}

// makeDirectory makes the run's directory, a temporary one if the options name none.
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

// close ends everything that the run started.
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

// nextAttempt numbers the attempts of a request, from 0.
func (r *run) nextAttempt(request uint64) uint32 {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := r.attempts[request]
	r.attempts[request] = n + 1
	return n
}
