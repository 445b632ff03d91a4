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
	Seed     int64           `default:"1" help:"Seed of the random number generator."`
	Seeds    int             `default:"1" help:"Number of consecutive seeds to run, starting at --seed."`
	Jobs     int             `default:"1" help:"Number of seeds to run in parallel."`
	JSON     bool            `name:"json" help:"Print JSON instead of a table."`
	Record   string          `help:"Write the record to this folder." placeholder:"DIR"`
	Baseline string          `help:"Also run the seed with gateways that use this baseline algorithm, and print both results." enum:",direct" default:""`
	Gateways uint32          `aliases:"hosts" help:"Number of gateways, instead of the scenario's number."`
	Program  string          `aliases:"edge" help:"Program of the gateways; without it, this program." type:"existingfile" placeholder:"PROGRAM"`
	Ages     []time.Duration `help:"Run the seed with the discovery service, and then without it from a saved endpoint list of each of these ages; print a table." placeholder:"AGE"`
	Length   time.Duration   `help:"Duration instead of the scenario's own; the faults repeat."`
	State    time.Duration   `help:"Interval at which gateways log their resource use (JSON, to --logs); a table compares early and late values to show growth."`
	Capture  string          `help:"Record the load of the gateways to this folder, with a description of the fleet in fleet.txtpb." placeholder:"DIR"`
	Logs     string          `help:"Append the logs of the gateways to this file." placeholder:"FILE"`

	WithoutControllerFaults bool `aliases:"calm" help:"Also run the seed without faults of the controller, and print the ratio of the service."`
}

// armWithoutControllerFaults is the name of the arm without faults of the controller, in records and JSON output.
const armWithoutControllerFaults = "calm"

// arm is one variant of a run (the scheduler, a baseline, or no faults of the controller) with its result.
type arm struct {
	Name    string
	Result  *scenario.Result `json:"-"`
	Kept    bool
	Verdict *audit.Verdict
	Exits   []string `json:",omitempty"`
}

// Run runs a scenario. It returns an error if the scheduler failed a check with any seed.
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
		return c.compareListAges(ctx, d, logs)
	}
	return c.runSeeds(ctx, d, logs)
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

// describeFleet writes the description of the captured run's fleet to the folder of its captures.
func (c *scenarioRun) describeFleet(d *pb.Drill) error {
	if c.Seeds > 1 || c.Baseline != "" {
		return errors.New("--capture records a single run: it can't be combined with --seeds or --baseline")
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

// seedResult holds the arms of one seed, or the error that ended it.
type seedResult struct {
	arms []arm
	err  error
}

// runSeeds runs all seeds, at most --jobs of them in parallel, and prints the results in the order of the seeds.
func (c *scenarioRun) runSeeds(ctx context.Context, d *pb.Drill, logs io.Writer) error {
	done := make([]chan seedResult, c.Seeds)
	for i := range done {
		done[i] = make(chan seedResult, 1)
	}
	seeds := make(chan int)
	go func() { // ends with the last seed, or with the process
		for i := range done {
			seeds <- i
		}
		close(seeds)
	}()
	for range min(max(c.Jobs, 1), c.Seeds) {
		go func() { // ends with the last seed, or with the process
			for i := range seeds {
				arms, err := c.runSeed(ctx, d, c.Seed+int64(i), logs)
				done[i] <- seedResult{arms, err}
			}
		}()
	}
	failed := 0
	for i := range done {
		p := <-done[i]
		if p.err != nil {
			return p.err
		}
		if !p.arms[0].Kept {
			failed++
		}
		if err := c.show(d, c.Seed+int64(i), p.arms); err != nil {
			return err
		}
	}
	if failed > 0 {
		return fmt.Errorf("%d of %d runs failed: rule broken, object check failed or process exited with an error", failed, c.Seeds)
	}
	return nil
}

// runSeed runs one seed with the scheduler, followed by the arms for comparison that the flags select.
func (c *scenarioRun) runSeed(ctx context.Context, d *pb.Drill, seed int64, logs io.Writer) ([]arm, error) {
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
	printVerdicts(os.Stdout, names, verdicts)
	for _, a := range arms {
		for _, x := range a.Exits {
			fmt.Printf("%s: %s\n", a.Name, x)
		}
		if a.Result.Controller.Kills > 0 {
			fmt.Printf("%s: controller killed %d times, restarted from an older or empty disk %d times, stalled %d times\n", a.Name, a.Result.Controller.Kills, a.Result.Controller.Rollbacks,
				a.Result.Controller.Stalls)
		}
		if o := a.Result.Objects; o.Requests() > 0 {
			fmt.Printf("%s: objects: %v\n", a.Name, o)
		}
		if a.Name == armWithoutControllerFaults {
			fmt.Printf("service: %.3f of the service without faults of the controller\n", arms[0].Verdict.Total().Share()/a.Verdict.Total().Share())
		}
	}
	printViolations(os.Stdout, arms[0].Verdict)
	return nil
}
