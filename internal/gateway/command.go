package gateway

import (
	"fmt"
	"io"
	"log/slog"

	"weirhaven/internal/engine"
	"weirhaven/internal/lifecycle"
	"weirhaven/internal/logging"
	"weirhaven/internal/pb"
	"weirhaven/internal/settings"
	"weirhaven/policy"
)

// Command is the command line of a gateway.
type Command struct {
	Config string `required:"" type:"existingfile" help:"Settings file in protobuf text format (proto/edge.proto)."`
	Bound  bool   `help:"Stop when standard input is closed, so that the gateway does not outlive its parent process."`
	Level  string `help:"Minimum log level: debug, info, warn, error. Overrides the settings."`
	Form   string `help:"Log format: text or json. Overrides the settings."`
}

// Execute runs a gateway until SIGTERM or SIGINT. Once the gateway serves, it prints READY and the addresses for clients and for
// peers. newScheduler returns the scheduler to use.
func (c *Command) Execute(newScheduler func(policy.Runtime, policy.Settings) engine.Scheduler) error {
	conf, err := settings.LoadGateway(c.Config)
	if err != nil {
		return err
	}
	if conf.Log == nil {
		conf.Log = &pb.Log{}
	}
	if c.Level != "" {
		conf.Log.Level = c.Level
	}
	if c.Form != "" {
		conf.Log.Form = c.Form
	}
	output := logging.Stderr()
	defer output.Close()
	log, err := Logger(output, conf.Log)
	if err != nil {
		return err
	}
	ctx, stop := lifecycle.Context(c.Bound)
	defer stop()
	return Run(ctx, conf, Options{Log: log, NewScheduler: newScheduler, Ready: func(clients, peers string) {
		fmt.Printf("READY %s %s\n", clients, peers)
	}})
}

// Logger returns a logger that writes to w with the level (empty: info) and the format (empty: text) of l. It rejects unknown
// levels and formats.
func Logger(w io.Writer, l *pb.Log) (*slog.Logger, error) {
	level := slog.LevelInfo
	if l.GetLevel() != "" {
		if err := level.UnmarshalText([]byte(l.Level)); err != nil {
			return nil, fmt.Errorf("log level %q; allowed: debug, info, warn, error", l.Level)
		}
	}
	options := &slog.HandlerOptions{Level: level}
	switch l.GetForm() {
	case "", "text":
		return slog.New(slog.NewTextHandler(w, options)), nil
	case "json":
		return slog.New(slog.NewJSONHandler(w, options)), nil
	}
	return nil, fmt.Errorf("log form %q; allowed: text, json", l.GetForm())
}
