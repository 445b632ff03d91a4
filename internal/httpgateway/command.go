package httpgateway

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"weirhaven/internal/engine"
	"weirhaven/internal/httpgateway/config"
	"weirhaven/internal/logging"
	"weirhaven/policy"
)

// Command is the command line of the gateway.
type Command struct {
	Config        string        `env:"EDGE_CONFIG" required:"" help:"The platform's configuration, JSON."`
	StateInterval time.Duration `name:"state" default:"5s" help:"How often totals are logged; 0: never."`
	Debug         bool          `env:"EDGE_DEBUG" help:"Log each request and each attempt, with its outcome and reason."`

	// Customize is a hook for tests that changes the gateway before it runs.
	Customize func(*Gateway) `kong:"-"`
}

// Execute runs the gateway until SIGTERM or SIGINT and then shuts it down gracefully. SIGHUP reloads the configuration. It
// returns an error if the configuration can't be read or the gateway can't listen on the client address.
func (c *Command) Execute(newScheduler func(policy.Runtime, policy.Settings) engine.Scheduler) error {
	// The handlers are installed first: a signal that arrives during startup must not kill the process.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	cfg, err := config.Load(c.Config)
	if err != nil {
		return err
	}
	applyLimits(cfg.Limits)
	output := logging.Stderr()
	defer output.Close()
	log := slog.New(slog.NewTextHandler(output, &slog.HandlerOptions{Level: c.logLevel()}))
	g := &Gateway{Config: cfg, Log: log, NewScheduler: newScheduler, StateInterval: c.StateInterval}
	if c.Customize != nil {
		c.Customize(g)
	}
	reloads := make(chan *config.Config, 1)
	go c.reload(hangups, reloads, g.Log) // runs until the process exits
	return g.Run(ctx, reloads)
}

func (c *Command) logLevel() slog.Level {
	if c.Debug {
		return slog.LevelDebug
	}
	return slog.LevelInfo
}

// garbagePercent is the garbage that the runtime lets grow beside the live heap, in percent of that. The live heap is a few MB, so
// that collections would take much of a part of a core otherwise.
const garbagePercent = 200

// applyLimits configures the Go runtime for the platform's limits. The soft memory limit is half of the allowed memory; the
// other half is for the program itself, its stacks and the kernel.
func applyLimits(limits config.Limits) {
	if limits.Cores <= 1 {
		runtime.GOMAXPROCS(1)
	}
	debug.SetGCPercent(garbagePercent)
	debug.SetMemoryLimit(int64(limits.MemoryMB) << 20 / 2)
}

// reload reads the configuration again on each signal and sends it to reloads. A newer configuration replaces one that was
// not received yet.
func (c *Command) reload(hangups <-chan os.Signal, reloads chan *config.Config, log *slog.Logger) {
	for range hangups {
		next, err := loadWithRetry(c.Config)
		if err != nil {
			log.Error("reload failed; the old configuration stays in force", "err", err)
			continue
		}
		select {
		case <-reloads:
		default:
		}
		reloads <- next
	}
}

// Retries of reading the configuration. A file that is still being written fails to parse.
const (
	loadAttempts      = 10
	loadRetryInterval = 50 * time.Millisecond
)

func loadWithRetry(path string) (cfg *config.Config, err error) {
	for range loadAttempts {
		if cfg, err = config.Load(path); err == nil {
			return cfg, nil
		}
		time.Sleep(loadRetryInterval)
	}
	return nil, err
}
