package cli

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"text/tabwriter"
	"time"

	"weirhaven/internal/capacity/report"
	"weirhaven/internal/capacity/verify"
	"weirhaven/internal/scenario"
)

type capacityVerify struct {
	Scenario string  `default:"capacity" aliases:"drill" help:"Scenario to record."`
	Seed     int64   `default:"1" help:"Seed of the random number generator."`
	Only     string  `help:"Run only the cases whose name contains this text."`
	Aim      float64 `default:"0.15" help:"Largest relative deviation of each figure in a good forecast; 0.15 is 15 percent."`
}

// Run measures and forecasts each case, and prints the deviations.
func (c *capacityVerify) Run() error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	d, err := scenario.Load(c.Scenario)
	if err != nil {
		return err
	}
	self, err := os.Executable()
	if err != nil {
		return err
	}
	o := scenario.Options{Seed: c.Seed, Gateway: []string{self, "gateway", "--bound"}}
	fmt.Fprintln(os.Stderr, "recording", d.Name, "for", d.Length)
	l, err := verify.Record(ctx, d, o)
	if err != nil {
		return err
	}
	report.Model(os.Stdout, l.Model)
	fmt.Println()
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "CASE\tIN TARGET\tFORECAST\tOFF\tNAIVE\tP99\tFORECAST\tOFF\tNAIVE\tUSE\tFORECAST\tOFF\tNAIVE\tGOOD\tNAIVE GOOD")
	good, naiveGood, total := 0, 0, 0
	for _, x := range verify.Cases(d, l.Fleet) {
		if !strings.Contains(x.Name, c.Only) {
			continue
		}
		fmt.Fprintln(os.Stderr, "case", x.Name)
		r, err := verify.Run(ctx, d, l, x, o)
		if err != nil {
			return err
		}
		m, f, n := r.Measured, r.Forecast, r.Naive
		g, ng := r.Within(c.Aim)
		if total++; g {
			good++
		}
		if ng {
			naiveGood++
		}
		fmt.Fprintf(w, "%s\t%.3f\t%.3f\t%+.0f%%\t%.3f\t%v\t%v\t%+.0f%%\t%v\t%.3f\t%.3f\t%+.0f%%\t%.3f\t%v\t%v\n", x.Name, m.InTarget, f.InTarget, 100*r.Deviation[0], n.InTarget,
			m.P99.Round(time.Millisecond), f.P99.Round(time.Millisecond), 100*r.Deviation[1], n.P99.Round(time.Millisecond), m.Utilization, f.Utilization, 100*r.Deviation[2], n.Utilization, g, ng)
	}
	_ = w.Flush()
	fmt.Printf("\n%d of %d forecasts within %.0f%%, %d of the naive forecasts\n", good, total, 100*c.Aim, naiveGood)
	return nil
}
