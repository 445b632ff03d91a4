package cli

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"weirhaven/internal/capacity/bounds"
	"weirhaven/internal/capacity/decide"
	"weirhaven/internal/capacity/demand"
	"weirhaven/internal/capacity/learn"
	"weirhaven/internal/capacity/report"
	"weirhaven/internal/capacity/study"
	"weirhaven/internal/capture"
	"weirhaven/internal/pb"
	"weirhaven/internal/settings"
)

type capacityCmd struct {
	Answer capacityAnswer `cmd:"" default:"withargs" help:"Forecast the first limit as the load grows, the fewest endpoints that meet the goals, and the effect of losses."`
	Learn  capacityLearn  `cmd:"" help:"Fit a model of endpoints and clients to a capture; print the model with its goodness of fit."`
	Verify capacityVerify `cmd:"" help:"Record a scenario, forecast variants of it (more load, fewer endpoints, a lost zone), run each variant on loopback and compare."`
}

type capacityInputs struct {
	Load  []string `required:"" help:"Captures: folders or files (*.wcap)." placeholder:"PATH"`
	Fleet string   `required:"" type:"existingfile" help:"Description of the fleet (proto/capacity.proto), as written by weirhavenctl fleet export." placeholder:"FILE"`
}

// read reads and aligns the captures, and reads and checks the description of the fleet.
func (c *capacityInputs) read() (*capture.Load, *pb.CapacityFleet, error) {
	f := &pb.CapacityFleet{}
	if err := settings.Load(c.Fleet, f); err != nil {
		return nil, nil, err
	}
	l, err := capture.Read(c.Load...)
	if err != nil {
		return nil, nil, err
	}
	if err := l.Align(); err != nil {
		fmt.Fprintln(os.Stderr, "weirhavenctl:", err, "; using the recorded times without clock alignment")
	}
	return l, f, nil
}

type capacityLearn struct {
	capacityInputs
	Out string `help:"Write the model to this file, in protobuf text format." placeholder:"FILE"`
}

// Run fits a model to captures, prints it and, with --out, writes it to a file.
func (c *capacityLearn) Run() error {
	l, f, err := c.read()
	if err != nil {
		return err
	}
	m, _, err := learnModel(l, f, c.Load)
	if err != nil {
		return err
	}
	report.Model(os.Stdout, m)
	if c.Out == "" {
		return nil
	}
	text, err := settings.Text(m)
	if err != nil {
		return err
	}
	return os.WriteFile(c.Out, text, 0o644)
}

// learnModel fits a model to a capture. The second result holds the clients' requests, with retries folded into the first request.
func learnModel(l *capture.Load, f *pb.CapacityFleet, paths []string) (*pb.CapacityModel, []demand.Request, error) {
	w, clients := demand.FoldRetries(l.Records)
	m, err := learn.Model(l.Records, f, clients)
	if err != nil {
		return nil, nil, err
	}
	if in, err := report.Digest(paths...); err == nil && len(in) > 0 {
		m.Capture = in[0].SHA256[:16]
	}
	return m, w, nil
}

// captureInput returns the figures of the capture from which package bounds computes limits.
func captureInput(l *capture.Load) (in bounds.Input) {
	held := time.Duration(0)
	for _, x := range l.Records {
		if m := x.GetCommand(); m != nil {
			in.Requests++
			in.ExtraAttempts += float64(max(len(m.Dispatch)-1, 0))
			held += time.Duration(m.Took)
		}
	}
	if in.Requests > 0 {
		in.HoldTime = held / time.Duration(in.Requests)
	}
	from, to := l.Span()
	in.Span = to - from
	return in
}

type capacityAnswer struct {
	capacityInputs
	Model     string        `type:"existingfile" help:"Model written by capacity learn; without it, the model is fitted to the load." placeholder:"FILE"`
	Goal      []string      `help:"Goal such as 'plan=priority target>=0.99' or 'queue=read p99<=250ms'; repeatable, all goals must be met. Without it: target>=0.95." sep:"none"`
	Lose      []string      `help:"Loss to simulate: zone=NAME, brick=NAME (an endpoint) or host=NAME (a gateway); commas join simultaneous losses. Repeatable, each --lose is simulated separately." sep:"none"`
	Gone      time.Duration `help:"Time between a loss and the cold start of the replacement." default:"15s"`
	Servers   bool          `help:"Also search for the fewest endpoints of each kind."`
	Only      bool          `help:"Skip the search for the first limit and, without --servers, for the fewest endpoints."`
	Seed      int64         `default:"1" help:"Seed of the random number generator."`
	Stretch   time.Duration `default:"20s" help:"Duration of one simulated interval of the captured load."`
	Stretches int           `default:"5" help:"Number of simulated intervals; the one with the highest load is always among them."`
	Jobs      int           `help:"Number of parallel simulations; 0: the number of cores."`
	Out       string        `help:"Write answer.txt, answer.json and charts to this folder." placeholder:"DIR"`
}

// Run forecasts capacity from captures and a description of the fleet, prints the answer and, with --out, writes it to a folder.
func (c *capacityAnswer) Run() error {
	start := time.Now()
	l, f, err := c.read()
	if err != nil {
		return err
	}
	model, offered, err := c.model(l, f)
	if err != nil {
		return err
	}
	goals, err := c.goals()
	if err != nil {
		return err
	}
	s := &study.Study{Fleet: f, Model: model, Requests: offered, Goals: goals, Seed: c.Seed, Length: c.Stretch, Stretches: c.Stretches, Jobs: c.Jobs, Captured: captureInput(l),
		Progress: func(line string) {
			fmt.Fprintf(os.Stderr, "%6.1fs %s\n", time.Since(start).Seconds(), line)
		}}
	if err := s.Prepare(); err != nil {
		return err
	}
	a := &report.Answer{Captured: int(s.Captured.Requests), Requests: len(offered), Folded: int(model.Client.GetFolded()), LostLines: l.Lost, TornBlocks: l.Torn.Blocks, Span: s.Captured.Span,
		Seed: c.Seed, Capacity: s.Capacity(), Work: s.Work(), Limits: s.Limits(f, offered)}
	if a.Inputs, err = report.Digest(append(c.Load, c.Fleet)...); err != nil {
		return err
	}
	if err := c.search(s, a); err != nil {
		return err
	}
	a.Elapsed = time.Since(start)
	report.Text(os.Stdout, a)
	if c.Out != "" {
		return report.Write(c.Out, a)
	}
	return nil
}

// model reads the model that --model names, or fits one to the load. offered holds the requests of the clients, without their retries.
func (c *capacityAnswer) model(l *capture.Load, f *pb.CapacityFleet) (m *pb.CapacityModel, offered []demand.Request, err error) {
	if c.Model == "" {
		return learnModel(l, f, c.Load)
	}
	m = &pb.CapacityModel{}
	if err := settings.Load(c.Model, m); err != nil {
		return nil, nil, err
	}
	offered, _ = demand.FoldRetries(l.Records)
	return m, offered, nil
}

func (c *capacityAnswer) goals() (goals []decide.Goal, err error) {
	for _, text := range c.Goal {
		g, err := decide.ParseGoal(text)
		if err != nil {
			return nil, err
		}
		goals = append(goals, g)
	}
	return goals, nil
}

// search runs the studies that the flags select: growth of the load, fewest endpoints, losses. SIGTERM or an interrupt cancels it.
func (c *capacityAnswer) search(s *study.Study, a *report.Answer) (err error) {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if !c.Only {
		if a.Growth, err = s.FindLoadLimit(ctx); err != nil {
			return err
		}
	}
	if c.Servers || len(c.Goal) > 0 && !c.Only {
		if a.Servers, err = s.FindLeastServers(ctx); err != nil {
			return err
		}
	}
	for _, loss := range c.Lose {
		result, err := s.SimulateLoss(ctx, loss, c.Gone)
		if err != nil {
			return err
		}
		a.Losses = append(a.Losses, result)
	}
	return nil
}
