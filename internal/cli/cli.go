// Package cli holds weirhavenctl's commands.
package cli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"text/tabwriter"
	"time"

	"weirhaven/internal/audit"
	"weirhaven/internal/controlplane/server"
	"weirhaven/internal/fake/direct"
	"weirhaven/internal/gateway"
	"weirhaven/internal/pb"
	"weirhaven/internal/record"
	"weirhaven/internal/scenario"
	"weirhaven/internal/settings"
)

// CLI is the command line.
type CLI struct {
	Drill struct {
		List   drillList   `cmd:"" help:"List the drills that come with the program."`
		Run    drillRun    `cmd:"" help:"Play a scripted day on loopback, audit it, exit 0 only if all rules are kept."`
		Import drillImport `cmd:"" help:"Turn a bench day file into a drill, scaled down to this machine."`
	} `cmd:"" help:"Scripted days with stand-ins and faults."`
	Audit  auditDir `cmd:"" help:"Judge a record again."`
	Config struct {
		Check configCheck `cmd:"" help:"Check a settings file."`
	} `cmd:"" help:"Settings."`
	Fleet struct {
		Show   fleetShow   `cmd:"" help:"What a host believes of each brick, how old, from whom, why."`
		Dump   fleetDump   `cmd:"" help:"The same from a store on disk."`
		Export fleetExport `cmd:"" help:"Write the fleet as a host believes it, for the capacity planner."`
		Forget fleetForget `cmd:"" help:"Let a host forget a brick with its drain, or another host with its part."`
	} `cmd:"" help:"What hosts believe of the fleet."`
	Capacity capacityCmd `cmd:"" help:"What breaks first as the load grows, how many servers it takes, what a loss does."`
	Capture  captureCmd  `cmd:"" help:"The load that hosts record."`
	Object   objectCmd   `cmd:"" help:"Objects, over a host's object API."`
	Plan     planCmd     `cmd:"" help:"The planner."`
	Soak     soakCmd     `cmd:"" help:"Gateway processes under load and overlapping troubles; exits 1 if an invariant was broken."`
	Keys     struct {
		Make keysMake `cmd:"" help:"Make keys and certificates, for tests and first installations."`
	} `cmd:"" help:"Keys between the programs."`
	Standin struct {
		Brick  standinBrick  `cmd:"" help:"A stand-in for a brick."`
		Lister standinLister `cmd:"" help:"A stand-in for the list service."`
		Client standinClient `cmd:"" help:"A stand-in for clients."`
	} `cmd:"" help:"Start one stand-in alone."`
	Edge    edgeRun    `cmd:"" hidden:"" help:"A host, as weirhaven-gateway; drills start theirs by it."`
	Planner plannerRun `cmd:"" hidden:"" help:"A planner, as weirhaven-controller; drills start theirs by it."`
}

type edgeRun struct {
	gateway.Command
	Baseline string `help:"Decide by a baseline instead of the module." enum:",direct" default:""`
}

func (c *edgeRun) Run() error {
	if c.Baseline == "direct" {
		return c.Execute(direct.Start)
	}
	return c.Execute(gateway.Start)
}

type plannerRun struct{ server.Command }

func (c *plannerRun) Run() error { return c.Execute(gateway.Logger) }

type drillList struct{}

func (drillList) Run() error {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "DRILL\tLENGTH\tHOSTS\tTROUBLES")
	for _, name := range scenario.Names() {
		d, err := scenario.Load(name)
		if err != nil {
			return err
		}
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\n", name, d.Length, d.Hosts, len(d.Trouble))
	}
	return w.Flush()
}

type drillRun struct {
	Drill    string          `arg:"" help:"Name of a drill, or a file (.txtpb)."`
	Seed     int64           `default:"1" help:"All chance comes from it."`
	Seeds    int             `default:"1" help:"Run so many seeds, from --seed on."`
	Jobs     int             `default:"1" help:"So many seeds at once."`
	JSON     bool            `name:"json" help:"Print JSON instead of a table."`
	Record   string          `help:"Keep the record in this folder." placeholder:"DIR"`
	Baseline string          `help:"Play the same seed with hosts that decide by this, too, and print both." enum:",direct" default:""`
	Hosts    uint32          `help:"So many hosts instead of the drill's."`
	Edge     string          `help:"The host program; none: this program itself." type:"existingfile" placeholder:"PROGRAM"`
	Ages     []time.Duration `help:"Play the drill without its list service, from saved lists of these ages, and with it, same seed; print a table." placeholder:"AGE"`
	Length   time.Duration   `help:"So long instead, the troubles again and again."`
	State    time.Duration   `help:"Hosts log what they hold this often (JSON, to --logs); a table tells whether it stays flat."`
	Calm     bool            `help:"Play the same seed with the planner left in peace, too, and print how the services compare."`
	Capture  string          `help:"Let hosts record their load into this folder; fleet.txtpb there describes the fleet." placeholder:"DIR"`
	Logs     string          `help:"Append what the hosts log to this file." placeholder:"FILE"`
}

// arm is one way to decide, and what came of it.
type arm struct {
	Name    string
	Result  *scenario.Result `json:"-"`
	Kept    bool
	Verdict *audit.Verdict
	Exits   []string `json:",omitempty"`
}

func (c *drillRun) Run() error {
	d, err := scenario.Load(c.Drill)
	if err != nil {
		return err
	}
	if c.Hosts > 0 {
		d.Hosts = c.Hosts
	}
	if c.Length > 0 {
		d = scenario.Stretch(d, c.Length)
	}
	if c.Capture != "" {
		if c.Seeds > 1 || c.Baseline != "" {
			return errors.New("--capture takes one run: no --seeds, no --baseline")
		}
		text, err := settings.Text(scenario.Describe(d, c.Seed))
		if err == nil {
			err = os.MkdirAll(c.Capture, 0o755)
		}
		if err == nil {
			err = os.WriteFile(filepath.Join(c.Capture, "fleet.txtpb"), text, 0o644)
		}
		if err != nil {
			return err
		}
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	var logs io.Writer
	if c.Logs != "" {
		f, err := os.OpenFile(c.Logs, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
		if err != nil {
			return fmt.Errorf("logs: %w", err)
		}
		defer func() { _ = f.Close() }()
		logs = f
	}
	if c.State > 0 {
		states := &states{to: logs}
		logs = states
		defer states.print(os.Stdout)
	}
	if len(c.Ages) > 0 {
		return c.byAge(ctx, d, logs)
	}
	type outcome struct {
		arms []arm
		err  error
	}
	done := make([]chan outcome, c.Seeds)
	for i := range done {
		done[i] = make(chan outcome, 1)
	}
	seeds := make(chan int)
	go func() {
		for i := range done {
			seeds <- i
		}
		close(seeds)
	}()
	for range min(max(c.Jobs, 1), c.Seeds) {
		go func() {
			for i := range seeds {
				arms, err := c.play(ctx, d, c.Seed+int64(i), logs)
				done[i] <- outcome{arms, err}
			}
		}()
	}
	broken := 0
	for i := range done {
		o := <-done[i]
		if o.err != nil {
			return o.err
		}
		if !o.arms[0].Kept {
			broken++
		}
		if err := c.show(d, c.Seed+int64(i), o.arms); err != nil {
			return err
		}
	}
	if broken > 0 {
		return fmt.Errorf("%d of %d runs broke a rule or ended badly", broken, c.Seeds)
	}
	return nil
}

// play plays one seed, with the module and then with the baseline.
func (c *drillRun) play(ctx context.Context, d *pb.Drill, seed int64, logs io.Writer) ([]arm, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	host := []string{self, "edge", "--bound"}
	if c.Edge != "" {
		host = []string{c.Edge, "--bound"}
	}
	names := []string{"weirhaven"}
	if c.Calm {
		names = append(names, "calm")
	}
	if c.Baseline != "" {
		names = append(names, c.Baseline)
	}
	var arms []arm
	for i, name := range names {
		if name == "calm" {
			d = scenario.Calm(d)
		} else if i > 0 {
			host = []string{self, "edge", "--bound", "--baseline", name}
		}
		r, err := scenario.Run(ctx, d, scenario.Options{Seed: seed, Host: host, Arm: name, Logs: logs, State: c.State, Capture: c.Capture,
			Planner: []string{self, "planner", "--bound"}})
		if err != nil {
			return nil, err
		}
		arms = append(arms, arm{Name: name, Result: r, Kept: r.Verdict.Kept() && len(r.Exits) == 0 && r.Objects.Good(), Verdict: r.Verdict, Exits: r.Exits})
		if c.Record != "" {
			dir := c.Record
			if c.Seeds > 1 || i > 0 {
				dir = fmt.Sprintf("%s/%s-%d", c.Record, name, seed)
			}
			if err := record.Write(dir, r.Header, r.Seen); err != nil {
				return nil, err
			}
		}
	}
	return arms, nil
}

func (c *drillRun) show(d *pb.Drill, seed int64, arms []arm) error {
	if c.JSON {
		e := json.NewEncoder(os.Stdout)
		return e.Encode(map[string]any{"drill": d.Name, "seed": seed, "arms": arms})
	}
	if c.Seeds > 1 {
		for _, a := range arms {
			w := a.Verdict.Whole()
			fmt.Printf("seed %d  %-10s service %.3f  late %d  rules broken %v  kept %v %v\n", seed, a.Name, w.Part(), a.Verdict.Sums.Late,
				a.Verdict.Breaches[1:], a.Kept, a.Exits)
		}
		if !arms[0].Kept {
			breaches(os.Stdout, arms[0].Verdict)
		}
		return nil
	}
	fmt.Printf("drill %s, seed %d\n\n", d.Name, seed)
	names := make([]string, len(arms))
	verdicts := make([]*audit.Verdict, len(arms))
	for i, a := range arms {
		names[i], verdicts[i] = a.Name, a.Verdict
	}
	table(os.Stdout, names, verdicts)
	for _, a := range arms {
		for _, x := range a.Exits {
			fmt.Printf("%s: %s\n", a.Name, x)
		}
		if a.Result.Planner.Kills > 0 {
			fmt.Printf("%s: planner killed %d times, of these %d onto an older disk or none, stalled %d times\n", a.Name, a.Result.Planner.Kills, a.Result.Planner.Old,
				a.Result.Planner.Stalls)
		}
		if o := a.Result.Objects; o.Requests() > 0 {
			fmt.Printf("%s: objects: %v\n", a.Name, o)
		}
		if a.Name == "calm" {
			fmt.Printf("service: %.3f of that with the planner left in peace\n", arms[0].Verdict.Whole().Part()/a.Verdict.Whole().Part())
		}
	}
	breaches(os.Stdout, arms[0].Verdict)
	return nil
}

// table prints verdicts side by side.
func table(out io.Writer, names []string, vs []*audit.Verdict) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	row := func(name string, f func(v *audit.Verdict) string) {
		fmt.Fprint(w, name, "\t")
		for _, v := range vs {
			fmt.Fprint(w, f(v), "\t")
		}
		fmt.Fprintln(w)
	}
	fmt.Fprint(w, "\t")
	for _, n := range names {
		fmt.Fprint(w, n, "\t")
	}
	fmt.Fprintln(w)
	count := func(name string, f func(s audit.Sums) int) {
		row(name, func(v *audit.Verdict) string { return fmt.Sprint(f(v.Sums)) })
	}
	count("commands taken", func(s audit.Sums) int { return s.Taken })
	count("completed", func(s audit.Sums) int { return s.Completed })
	count("busy-replied", func(s audit.Sums) int { return s.BusyReplied })
	count("aborted", func(s audit.Sums) int { return s.Aborted })
	count("late", func(s audit.Sums) int { return s.Late })
	count("client or host gone", func(s audit.Sums) int { return s.Unanswered })
	count("not asked: no host", func(s audit.Sums) int { return s.Unreached })
	count("dispatches", func(s audit.Sums) int { return s.Dispatches })
	count("further dispatches", func(s audit.Sums) int { return s.Further })
	row("service", func(v *audit.Verdict) string { return fmt.Sprintf("%.3f", v.Whole().Part()) })
	for _, s := range vs[0].Service {
		row("  "+s.Plan+" "+s.QueueType, func(v *audit.Verdict) string {
			for _, x := range v.Service {
				if x.Plan == s.Plan && x.QueueType == s.QueueType {
					return fmt.Sprintf("%.3f", x.Part())
				}
			}
			return "-"
		})
	}
	for n := 1; n < len(audit.Rules); n++ {
		row(fmt.Sprintf("rule %d, %s", n, audit.Rules[n]), func(v *audit.Verdict) string {
			if v.Breaches[n] == 0 {
				return "kept"
			}
			return fmt.Sprintf("BROKEN %d times", v.Breaches[n])
		})
	}
	_ = w.Flush()
}

func breaches(out io.Writer, v *audit.Verdict) {
	for _, b := range v.First {
		if b == nil {
			continue
		}
		fmt.Fprintf(out, "\nrule %d first broken at %v: %s\n", b.Rule, b.At.Round(time.Microsecond), b.What)
		for _, l := range b.Trace {
			fmt.Fprintln(out, " ", l)
		}
	}
}

type auditDir struct {
	Dir  string `arg:"" type:"existingdir" help:"Folder of a record."`
	JSON bool   `name:"json" help:"Print JSON instead of a table."`
}

func (c *auditDir) Run() error {
	h, seen, err := record.Read(c.Dir)
	if err != nil {
		return err
	}
	v := audit.Judge(h, seen)
	if c.JSON {
		if err := json.NewEncoder(os.Stdout).Encode(v); err != nil {
			return err
		}
	} else {
		fmt.Printf("drill %s, seed %d, %d lines\n\n", h.Drill, h.Seed, len(seen))
		table(os.Stdout, []string{h.Arm}, []*audit.Verdict{v})
		breaches(os.Stdout, v)
	}
	if !v.Kept() {
		return errors.New("a rule is broken")
	}
	return nil
}

type configCheck struct {
	File string `arg:"" type:"existingfile" help:"Settings of a host (weirhaven-gateway)."`
}

func (c *configCheck) Run() error {
	e, err := settings.LoadEdge(c.File)
	if err != nil {
		return err
	}
	fmt.Printf("%s: host %s, %d queue types, %d plans, %d volumes, %d bricks: all in range\n", c.File, e.Name, len(e.QueueType),
		len(e.Plan), len(e.Volume), len(e.Brick))
	return nil
}
