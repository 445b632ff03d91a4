package cli

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"weirhaven/internal/soak"
)

// soakCmd runs gateway processes under load and overlapping faults, and checks the invariants.
type soakCmd struct {
	Seed      int64         `help:"Seed that determines the load and the faults." default:"1"`
	Processes int           `help:"Number of gateway processes." default:"30"`
	Length    time.Duration `help:"Duration of the load." default:"60s"`
	Rate      float64       `help:"Mean requests per second at each process." default:"12"`
	Fault     []string      `aliases:"menu" help:"Fault to inject, repeatable; without it, all faults. 'list' prints the names."`
	MemoryMB  int           `name:"memory-mb" help:"Memory limit of each process in MiB; 0: drawn by the seed."`
	Sockets   int           `help:"Descriptors of each process; 0: drawn by the seed."`
	Deadline  time.Duration `help:"Deadline of the requests; 0: drawn by the seed."`
	Program   string        `help:"Program of the gateways; without it, weirhaven-gateway in the folder of this program." type:"path"`
	Folder    string        `help:"Folder for configurations and logs; without it, a temporary folder." type:"path"`
}

// exitViolations is the exit status of a run in which an invariant was violated.
const exitViolations = 1

// limits returns the deployment of the seed with the values that the flags set.
func (c *soakCmd) limits() *soak.Deployment {
	limits := soak.DeploymentOf(c.Seed)
	if c.MemoryMB > 0 {
		limits.MemoryMB = c.MemoryMB
	}
	if c.Sockets > 0 {
		limits.Sockets = c.Sockets
	}
	if c.Deadline > 0 {
		limits.RequestTimeout = c.Deadline
	}
	return &limits
}

// Run runs the soak test. It exits the program with exitViolations if an invariant was violated.
func (c *soakCmd) Run() error {
	if len(c.Fault) == 1 && c.Fault[0] == "list" {
		for _, name := range soak.Names() {
			fmt.Println(name)
		}
		return nil
	}
	program := c.Program
	if program == "" {
		self, err := os.Executable()
		if err != nil {
			return err
		}
		program = filepath.Join(filepath.Dir(self), "weirhaven-gateway")
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	report, err := soak.Run(ctx, soak.Options{Seed: c.Seed, Processes: c.Processes, Length: c.Length, Rate: c.Rate, Faults: c.Fault, Program: []string{program, "platform"},
		Limits: c.limits(), Directory: c.Folder, Out: os.Stdout})
	if err != nil {
		return err
	}
	for _, v := range report.Violations {
		fmt.Println(v)
	}
	fmt.Printf("peak private memory %d KiB, limit %d MiB, %d sockets, deadline %v, %d of %d requests served\n", report.PeakMemory, report.Limits.MemoryMB, report.Limits.Sockets,
		report.Limits.RequestTimeout, report.Completed, report.Requests)
	fmt.Println(report)
	if len(report.Violations) > 0 {
		os.Exit(exitViolations)
	}
	return nil
}
