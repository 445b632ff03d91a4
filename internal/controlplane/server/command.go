package server

import (
	"fmt"
	"io"
	"log/slog"

	"weirhaven/internal/lifecycle"
	"weirhaven/internal/logging"
	"weirhaven/internal/pb"
	"weirhaven/internal/settings"
)

// Command defines the controller's command line.
type Command struct {
	Config string `required:"" type:"existingfile" help:"Settings, protobuf text format (proto/plan.proto, PlannerConf)."`
	Bound  bool   `help:"Exit when standard input is closed, so that the controller does not outlive its parent process."`
}

// Execute runs a controller until SIGTERM or SIGINT. It prints READY and its address to standard output once it is serving. logger
// creates the controller's log.
func (c *Command) Execute(logger func(io.Writer, *pb.Log) (*slog.Logger, error)) error {
	conf := &pb.PlannerConf{}
	if err := settings.Load(c.Config, conf); err != nil {
		return err
	}
	output := logging.Stderr()
	defer output.Close()
	log, err := logger(output, conf.Log)
	if err != nil {
		return err
	}
	ctx, stop := lifecycle.Context(c.Bound)
	defer stop()
	return Run(ctx, conf, Options{Log: log, Ready: func(address string) { fmt.Println("READY", address) }})
}
