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

// byAge plays one seed with discovery up, then without it from saved lists of each age.
func (c *scenarioRun) byAge(ctx context.Context, d *pb.Drill, logs io.Writer) error {
	if d.List == nil {
		d.List = &pb.ListHabits{}
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(w, "endpoint list\tfirst served after\tservice in 10 s\tratio\tto drained endpoints past the grace\tpeak load of a warming endpoint\trules\t\n")
	broken, up := 0, 0.0
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
		r, err := scenario.Run(ctx, one, scenario.Options{Seed: c.Seed, Host: []string{self, "gateway", "--bound"}, Arm: name, Logs: logs})
		if err != nil {
			return err
		}
		first, part, press := audit.Opening(r.Header, r.Seen, 10*time.Second)
		rules := "kept"
		if !r.Verdict.Kept() || len(r.Exits) > 0 {
			rules, broken = fmt.Sprint("BROKEN ", r.Verdict.Breaches[1:], r.Exits), broken+1
		}
		if i < 0 {
			up = part
		}
		fmt.Fprintf(w, "%s\t%v\t%.3f\t%.3f\t%d\t%.2f of what is allowed\t%s\t\n", name, first.Round(time.Millisecond), part, part/max(up, 1e-9),
			r.Verdict.Breaches[3], press, rules)
	}
	_ = w.Flush()
	if broken > 0 {
		return errors.New("a rule is broken")
	}
	return nil
}
