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
	Answer capacityAnswer `cmd:"" default:"withargs" help:"The first limit as the load grows, the fewest endpoints for goals, what a loss does."`
	Learn  capacityLearn  `cmd:"" help:"How endpoints and clients behave, as a capture shows; printed with its fit."`
	Verify capacityVerify `cmd:"" help:"Record a scenario, forecast it with more load, fewer endpoints, a zone lost, run each on loopback, compare."`
}

type capacityInputs struct {
	Load  []string `required:"" help:"Captures: folders or files (*.wcap)." placeholder:"PATH"`
	Fleet string   `required:"" type:"existingfile" help:"The fleet described (proto/capacity.proto); weirhavenctl fleet export writes one." placeholder:"FILE"`
}

// read reads and aligns a capture and checks the fleet described.
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
		fmt.Fprintln(os.Stderr, "weirhavenctl:", err, "; their times are taken as they are")
	}
	return l, f, nil
}

type capacityLearn struct {
	capacityInputs
	Out string `help:"Write the model here, protobuf text format." placeholder:"FILE"`
}

// Run learns a model from captures, prints it and, with --out, writes it.
func (c *capacityLearn) Run() error {
	l, f, err := c.read()
	if err != nil {
		return err
	}
	m, _, err := learnt(l, f, c.Load)
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

func learnt(l *capture.Load, f *pb.CapacityFleet, paths []string) (*pb.CapacityModel, []demand.Request, error) {
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

// captureInput tells what bounds need of the capture itself.
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
	Model     string        `type:"existingfile" help:"A model learnt before; none: it is learnt from the load." placeholder:"FILE"`
	Goal      []string      `help:"Such as 'plan=priority target>=0.99' or 'queue=read p99<=250ms'; several count together. None: target>=0.95." sep:"none"`
	Lose      []string      `help:"zone=NAME, brick=NAME or host=NAME; several at once with commas. More than one --lose: each by itself." sep:"none"`
	Gone      time.Duration `help:"What is lost is gone this long before its replacement starts cold." default:"15s"`
	Servers   bool          `help:"Look for the fewest endpoints of each kind, too."`
	Only      bool          `help:"Leave out the search for the first limit."`
	Seed      int64         `default:"1" help:"All chance comes from it."`
	Stretch   time.Duration `default:"20s" help:"Length of what is played at a time."`
	Stretches int           `default:"5" help:"How many stretches are played, the heaviest always."`
	Jobs      int           `help:"So many at once; 0: as many as there are cores."`
	Out       string        `help:"Put answer.txt, answer.json and charts into this folder." placeholder:"DIR"`
}

// Run answers from captures and a fleet's description, prints the answer and, with --out, writes it to a folder.
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

// model reads the model that the flags name, or learns one from the load; offered is what clients asked for.
func (c *capacityAnswer) model(l *capture.Load, f *pb.CapacityFleet) (m *pb.CapacityModel, offered []demand.Request, err error) {
	if c.Model == "" {
		return learnt(l, f, c.Load)
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

// search plays what the flags ask for: the load's growth, the fewest endpoints, losses. A signal ends it.
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
	for _, what := range c.Lose {
		loss, err := s.SimulateLoss(ctx, what, c.Gone)
		if err != nil {
			return err
		}
		a.Losses = append(a.Losses, loss)
	}
	return nil
}
