package report

import (
	"fmt"
	"io"
	"math"
	"text/tabwriter"

	"weirhaven/internal/pb"
)

// Model writes a learnt model and its fit as text.
func Model(out io.Writer, m *pb.CapacityModel) {
	table := newTable(out)
	for _, kind := range m.Kind {
		writeKind(table, kind)
	}
	fmt.Fprintln(table, "endpoint\tspeed relative to its kind")
	for _, endpoint := range m.Brick {
		fmt.Fprintf(table, "  %s\t%.3f\t(%d)\n", endpoint.Name, endpoint.Speed, endpoint.Samples)
	}
	if c := m.Client; c != nil {
		fmt.Fprintf(table, "clients\t%.0f%% retry after a failure, after %.0f ms; %d retries folded into %d requests; %.1f%% cancel\n", 100*c.Repeats, 1e3*c.Wait,
			c.Folded, c.Firsts, 100*c.Leaves)
	}
	_ = table.Flush()
}

func writeKind(table *tabwriter.Writer, kind *pb.CapacityModel_KindModel) {
	fit := kind.Fit
	fmt.Fprintf(table, "kind %s\t%d attempts sampled, %d of them started on a busy endpoint; the model explains %.0f%% of the variance of their work\n", kind.Name, fit.GetSamples(),
		fit.GetBusy(), 100*fit.GetExplained())
	fmt.Fprintf(table, "  work done\t%.3f core seconds as captured, %.3f by the model (%+.1f%%)\n", fit.GetUseSeen(), fit.GetUseTold(),
		100*(fit.GetUseTold()/math.Max(fit.GetUseSeen(), 1e-12)-1))
	for _, work := range kind.Work {
		fmt.Fprintf(table, "  %s\t%.3f ms and %.3f ms per unit, coefficient of variation %.2f\t(%d)\n", work.QueueType, 1e3*work.Base, 1e3*work.Unit, work.Vary, work.Samples)
	}
	fmt.Fprintf(table, "  round trip\t%.3f ms\n", 1e3*kind.Way)
	if kind.Remembers > 0 {
		fmt.Fprintf(table, "  cache\t%d objects, a hit saves %.0f%%\n", kind.Remembers, 100*kind.Saves)
	}
	if kind.Deferred > 0 {
		fmt.Fprintf(table, "  deferred\t%.0f%% of a write's work, done every %.2f s\n", 100*kind.Deferred, kind.Flush)
	}
	if kind.Pause > 0 {
		fmt.Fprintf(table, "  pauses\t%.0f ms every %.2f s\n", 1e3*kind.Pause, kind.PauseEvery)
	}
	if kind.Errors > 0 {
		fmt.Fprintf(table, "  errors\t%.2f%%\n", 100*kind.Errors)
	}
}
