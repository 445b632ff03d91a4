package report

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"weirhaven/internal/capacity/bounds"
	"weirhaven/internal/capacity/study"
)

// Text writes the answer as text. It ignores the writer's errors; the caller finds them when it closes or flushes the writer.
func Text(out io.Writer, a *Answer) {
	writeLoad(out, a)
	if a.Growth != nil {
		writeGrowth(out, a.Growth)
	}
	writeConditional(out, a.Limits)
	if len(a.Servers) > 0 {
		writeServers(out, a.Servers)
	}
	for _, l := range a.Losses {
		writeLoss(out, l)
	}
	writeSources(out, a)
}

func newTable(out io.Writer) *tabwriter.Writer { return tabwriter.NewWriter(out, 0, 0, 2, ' ', 0) }

func writeLoad(out io.Writer, a *Answer) {
	table := newTable(out)
	fmt.Fprintf(table, "load\t%d captured requests in %v, folded into %d (%d client retries)\n", a.Captured, a.Span.Round(time.Millisecond), a.Requests, a.Folded)
	if a.LostLines > 0 || a.TornBlocks > 0 {
		fmt.Fprintf(table, "left out\t%d lines lost by gateways, %d damaged blocks\n", a.LostLines, a.TornBlocks)
	}
	fmt.Fprintf(table, "work\t%.2f cores on average, %.2f in the worst second, of %.2f\n", mean(a.Work), slices.Max(a.Work), a.Capacity)
	_ = table.Flush()
}

func writeGrowth(out io.Writer, g *study.Growth) {
	fmt.Fprintln(out, "\nThe first limit")
	switch {
	case g.Reached:
		fmt.Fprintf(out, "  at %.2f times the load (%.2f to %.2f) the goal %q is missed: %.4g\n", g.LoadFactor, g.Low, g.High, g.MissedGoal, g.Value)
	case g.LoadFactor < 1:
		fmt.Fprintf(out, "  the goal %q is missed at every load simulated, down to %.2f times: %.4g\n", g.MissedGoal, g.LoadFactor, g.Value)
	default:
		fmt.Fprintf(out, "  none up to %.2f times the load\n", g.LoadFactor)
	}
	fmt.Fprintf(out, "  by analytic limits %.2f times; by mean load over capacity %.2f times\n", g.Bound, g.Naive)
	order := []string{"first", "then", "then"}
	for i, l := range g.NearestLimits {
		fmt.Fprintf(out, "  %s: %s\n", order[i], l)
	}
	if g.BusiestName != "" {
		fmt.Fprintf(out, "  just beyond: endpoint %s %.0f%% utilized in its worst second, %d attempts found a queue full, %.0f%% of a gateway's retry budget used, %d requests in flight at one gateway\n",
			g.BusiestName, 100*g.Busiest, g.Rejected, 100*g.Budget, g.InFlight)
	}
}

// writeConditional writes the limits that hold only under a condition.
func writeConditional(out io.Writer, limits []bounds.Limit) {
	for _, l := range limits {
		if l.Condition != "" {
			fmt.Fprintf(out, "  when %s: %s\n", l.Condition, l)
		}
	}
}

func writeServers(out io.Writer, servers []study.Servers) {
	fmt.Fprintln(out, "\nServers")
	table := newTable(out)
	fmt.Fprintln(table, "  KIND\tNOW\tLEAST\t")
	for _, s := range servers {
		least := fmt.Sprint(s.Least)
		if !s.Found {
			least = "none suffices"
		}
		fmt.Fprintf(table, "  %s\t%d\t%s\t\n", s.Kind, s.Current, least)
	}
	_ = table.Flush()
	for _, s := range servers {
		if s.Reason != "" {
			fmt.Fprintf(out, "  %s: %s\n", s.Kind, s.Reason)
		}
	}
}

func writeLoss(out io.Writer, l *study.Loss) {
	fmt.Fprintf(out, "\nLosing %s: endpoints %v, gateways %v\n", l.Target, l.Endpoints, l.Gateways)
	for _, p := range l.Phases {
		writePhase(out, p)
	}
	fmt.Fprintf(out, "  highest load on an endpoint while warming up: %.2f of the load that breaks it down; broken down: %d\n", l.Pressure, l.Overloaded)
}

func writePhase(out io.Writer, p study.Phase) {
	met := "reservations can be met"
	if !p.ReservationsMet {
		met = "RESERVATIONS CAN'T BE MET"
	}
	fmt.Fprintf(out, "  %s (%v): %.2f cores up, %.2f needed for reachable shards, %.2f of them reserved: %s; %.0f%% of the work is for unreachable shards\n", p.Name,
		(p.To - p.From).Round(100*time.Millisecond), p.Capacity, p.Demand, p.Reserved, met, 100*p.Unreachable)
	table := newTable(out)
	fmt.Fprintln(table, "    PLAN\tREQUEST CLASS\tIN TARGET\tRANGE\tP99\tREQUESTS")
	for _, s := range p.Service {
		fmt.Fprintf(table, "    %s\t%s\t%.3f\t%.3f-%.3f\t%v\t%d\n", s.Plan, s.Class, s.InTarget, s.Low, s.High, s.P99.Round(time.Millisecond), s.Requests)
	}
	_ = table.Flush()
	for i, shed := range p.Shed {
		fmt.Fprintf(out, "    shed %d: %.0f%% of %s %s (%.2f cores)\n", i+1, 100*shed.Fraction, shed.Plan, shed.Class, shed.Work)
	}
}

func writeSources(out io.Writer, a *Answer) {
	fmt.Fprintf(out, "\ncomputed in %v, seed %d, from\n", a.Elapsed.Round(time.Millisecond), a.Seed)
	for _, input := range a.Inputs {
		fmt.Fprintf(out, "  %s  %s\n", input.SHA256[:16], input.File)
	}
}

func mean(values []float64) (m float64) {
	for _, v := range values {
		m += v / float64(len(values))
	}
	return m
}
