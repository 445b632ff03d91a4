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
	"weirhaven/internal/pb"
	"weirhaven/internal/record"
	"weirhaven/internal/scenario"
	"weirhaven/internal/settings"
)

type scenarioList struct{}

// Run prints the scenarios that come with the program.
func (scenarioList) Run() error {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "SCENARIO\tLENGTH\tGATEWAYS\tFAULTS")
	for _, name := range scenario.Names() {
		d, err := scenario.Load(name)
		if err != nil {
			return err
		}
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\n", name, d.Length, d.Hosts, len(d.Trouble))
	}
	return w.Flush()
}

type scenarioRun struct {
	Scenario string          `arg:"" help:"Name of a scenario, or a file (.txtpb)."`
	Seed     int64           `default:"1" help:"All randomness comes from it."`
	Seeds    int             `default:"1" help:"Run this many seeds, from --seed on."`
	Jobs     int             `default:"1" help:"This many seeds at once."`
	JSON     bool            `name:"json" help:"Print JSON instead of a table."`
	Record   string          `help:"Keep the record in this folder." placeholder:"DIR"`
	Baseline string          `help:"Play the same seed with gateways that decide by this, too, and print both." enum:",direct" default:""`
	Gateways uint32          `aliases:"hosts" help:"This many gateways instead of the scenario's."`
	Program  string          `aliases:"edge" help:"The gateway's program; none: this program itself." type:"existingfile" placeholder:"PROGRAM"`
	Ages     []time.Duration `help:"Play the scenario without its discovery service, from saved endpoint lists of these ages, and with it, same seed; print a table." placeholder:"AGE"`
	Length   time.Duration   `help:"This long instead, the faults again and again."`
	State    time.Duration   `help:"Gateways log what they hold this often (JSON, to --logs); a table tells whether it stays flat."`
	Capture  string          `help:"Let gateways record their load into this folder; fleet.txtpb there describes the fleet." placeholder:"DIR"`
	Logs     string          `help:"Append what the gateways log to this file." placeholder:"FILE"`

	WithoutControllerFaults bool `aliases:"calm" help:"Play the same seed without faults of the controller, too, and print how the services compare."`
}

// armWithoutControllerFaults names the run in which the controller is left alone. Records and JSON output carry the name.
const armWithoutControllerFaults = "calm"

// arm is one way to decide, and what came of it.
type arm struct {
	Name    string
	Result  *scenario.Result `json:"-"`
	Kept    bool
	Verdict *audit.Verdict
	Exits   []string `json:",omitempty"`
}

// Run plays a scenario; it fails if a rule was broken in any run.
func (c *scenarioRun) Run() error {
	d, err := c.load()
	if err != nil {
		return err
	}
	if c.Capture != "" {
		if err := c.describeFleet(d); err != nil {
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
	return c.playSeeds(ctx, d, logs)
}

// load reads the scenario and applies the flags that change it.
func (c *scenarioRun) load() (*pb.Drill, error) {
	d, err := scenario.Load(c.Scenario)
	if err != nil {
		return nil, err
	}
	if c.Gateways > 0 {
		d.Hosts = c.Gateways
	}
	if c.Length > 0 {
		d = scenario.Extend(d, c.Length)
	}
	return d, nil
}

// describeFleet writes the fleet of the one run that is captured beside its captures.
func (c *scenarioRun) describeFleet(d *pb.Drill) error {
	if c.Seeds > 1 || c.Baseline != "" {
		return errors.New("--capture takes one run: no --seeds, no --baseline")
	}
	text, err := settings.Text(scenario.Describe(d, c.Seed))
	if err != nil {
		return err
	}
	if err := os.MkdirAll(c.Capture, 0o755); err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(c.Capture, "fleet.txtpb"), text, 0o644)
}

// played is what came of one seed.
type played struct {
	arms []arm
	err  error
}

// playSeeds plays all seeds, as many at once as --jobs allows, and shows them in their order.
func (c *scenarioRun) playSeeds(ctx context.Context, d *pb.Drill, logs io.Writer) error {
	done := make([]chan played, c.Seeds)
	for i := range done {
		done[i] = make(chan played, 1)
	}
	seeds := make(chan int)
	go func() { // ends with the last seed, or with the process
		for i := range done {
			seeds <- i
		}
		close(seeds)
	}()
	for range min(max(c.Jobs, 1), c.Seeds) {
		go func() { // as above
			for i := range seeds {
				arms, err := c.play(ctx, d, c.Seed+int64(i), logs)
				done[i] <- played{arms, err}
			}
		}()
	}
	broken := 0
	for i := range done {
		p := <-done[i]
		if p.err != nil {
			return p.err
		}
		if !p.arms[0].Kept {
			broken++
		}
		if err := c.show(d, c.Seed+int64(i), p.arms); err != nil {
			return err
		}
	}
	if broken > 0 {
		return fmt.Errorf("%d of %d runs broke a rule or ended badly", broken, c.Seeds)
	}
	return nil
}

// play plays one seed with the scheduler, and then as the flags ask for to compare.
func (c *scenarioRun) play(ctx context.Context, d *pb.Drill, seed int64, logs io.Writer) ([]arm, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	gateway := []string{self, "gateway", "--bound"}
	if c.Program != "" {
		gateway = []string{c.Program, "--bound"}
	}
	names := []string{"weirhaven"}
	if c.WithoutControllerFaults {
		names = append(names, armWithoutControllerFaults)
	}
	if c.Baseline != "" {
		names = append(names, c.Baseline)
	}
	var arms []arm
	for i, name := range names {
		if name == armWithoutControllerFaults {
			d = scenario.WithoutControllerFaults(d)
		} else if i > 0 {
			gateway = []string{self, "gateway", "--bound", "--baseline", name}
		}
		r, err := scenario.Run(ctx, d, scenario.Options{Seed: seed, Gateway: gateway, Arm: name, Logs: logs, StateInterval: c.State, Capture: c.Capture,
			Controller: []string{self, "controller", "--bound"}})
		if err != nil {
			return nil, err
		}
		arms = append(arms, arm{Name: name, Result: r, Kept: r.Verdict.Kept() && len(r.FailedExits) == 0 && r.Objects.Good(), Verdict: r.Verdict, Exits: r.FailedExits})
		if c.Record != "" {
			dir := c.Record
			if c.Seeds > 1 || i > 0 {
				dir = fmt.Sprintf("%s/%s-%d", c.Record, name, seed)
			}
			if err := record.Write(dir, r.Header, r.Observations); err != nil {
				return nil, err
			}
		}
	}
	return arms, nil
}

func (c *scenarioRun) show(d *pb.Drill, seed int64, arms []arm) error {
	if c.JSON {
		e := json.NewEncoder(os.Stdout)
		return e.Encode(map[string]any{"drill": d.Name, "seed": seed, "arms": arms})
	}
	if c.Seeds > 1 {
		for _, a := range arms {
			w := a.Verdict.Total()
			fmt.Printf("seed %d  %-10s service %.3f  late %d  rules broken %v  kept %v %v\n", seed, a.Name, w.Share(), a.Verdict.Totals.Late,
				a.Verdict.Violations[1:], a.Kept, a.Exits)
		}
		if !arms[0].Kept {
			printViolations(os.Stdout, arms[0].Verdict)
		}
		return nil
	}
	fmt.Printf("scenario %s, seed %d\n\n", d.Name, seed)
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
		if a.Result.Controller.Kills > 0 {
			fmt.Printf("%s: controller killed %d times, of these %d onto an older disk or none, stalled %d times\n", a.Name, a.Result.Controller.Kills, a.Result.Controller.Rollbacks,
				a.Result.Controller.Stalls)
		}
		if o := a.Result.Objects; o.Requests() > 0 {
			fmt.Printf("%s: objects: %v\n", a.Name, o)
		}
		if a.Name == armWithoutControllerFaults {
			fmt.Printf("service: %.3f of that without faults of the controller\n", arms[0].Verdict.Total().Share()/a.Verdict.Total().Share())
		}
	}
	printViolations(os.Stdout, arms[0].Verdict)
	return nil
}
