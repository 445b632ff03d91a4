package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"google.golang.org/protobuf/proto"

	"weirhaven/internal/audit"
	"weirhaven/internal/pb"
	"weirhaven/internal/scenario"
)

// startupSpan is the part of a run that is judged as its start.
const startupSpan = 10 * time.Second

// compareListAges runs one seed with the discovery service, and then without it from a saved endpoint list of each age.
func (c *scenarioRun) compareListAges(ctx context.Context, d *pb.Drill, logs io.Writer) error {
	if d.List == nil {
		d.List = &pb.ListHabits{}
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(w, "endpoint list\tfirst served after\tservice in 10 s\tratio\tto drained endpoints past the grace\tpeak load of a warming endpoint\trules\t\n")
	broken, shareWithDiscovery := 0, 0.0
	for i := -1; i < len(c.Ages); i++ {
		one := proto.Clone(d).(*pb.Drill)
		name := "discovery up"
		if one.List.Absent = i >= 0; i >= 0 {
			one.List.SavedAge, name = c.Ages[i].String(), c.Ages[i].String()+" old"
		}
		self, err := os.Executable()
		if err != nil {
			return err
		}
		r, err := scenario.Run(ctx, one, scenario.Options{Seed: c.Seed, Gateway: []string{self, "gateway", "--bound"}, Arm: name, Logs: logs})
		if err != nil {
			return err
		}
		startup := audit.JudgeStartup(r.Header, r.Observations, startupSpan)
		rules := "kept"
		if !r.Verdict.Kept() || len(r.FailedExits) > 0 {
			rules, broken = fmt.Sprint("BROKEN ", r.Verdict.Violations[1:], r.FailedExits), broken+1
		}
		if i < 0 {
			shareWithDiscovery = startup.Share
		}
		fmt.Fprintf(w, "%s\t%v\t%.3f\t%.3f\t%d\t%.2f of what is allowed\t%s\t\n", name, startup.FirstServed.Round(time.Millisecond), startup.Share,
			startup.Share/max(shareWithDiscovery, 1e-9), r.Verdict.Violations[3], startup.Pressure, rules)
	}
	_ = w.Flush()
	if broken > 0 {
		return errors.New("a rule is broken")
	}
	return nil
}
