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

// soakCmd runs gateway processes under load and overlapping faults, and judges the invariants.
type soakCmd struct {
	Seed      int64         `help:"Draws the script." default:"1"`
	Processes int           `help:"Gateway processes." default:"30"`
	Length    time.Duration `help:"How long the load lasts." default:"60s"`
	Rate      float64       `help:"Requests a second at each process." default:"12"`
	Fault     []string      `aliases:"menu" help:"Inject only these faults (repeatable); all if absent. 'list' prints their names."`
	Program   string        `help:"The gateway's program; weirhaven-gateway beside this one if absent." type:"path"`
	Folder    string        `help:"Folder of configurations and logs; a temporary folder if absent." type:"path"`
}

// exitViolations is the exit status of a run in which an invariant was broken.
const exitViolations = 1

// Run soaks; an invariant that was violated ends the program with exitViolations.
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
		Directory: c.Folder, Out: os.Stdout})
	if err != nil {
		return err
	}
	for _, v := range report.Violations {
		fmt.Println(v)
	}
	fmt.Println(report)
	if len(report.Violations) > 0 {
		os.Exit(exitViolations)
	}
	return nil
}
