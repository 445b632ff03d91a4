// Package report puts capacity answers into a folder: a table, JSON, charts (SVG), and the digests of what they were worked out from.
package report

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"os"
	"path/filepath"
	"slices"
	"text/tabwriter"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"weirhaven/internal/capacity/bounds"
	"weirhaven/internal/capacity/study"
	"weirhaven/internal/pb"
)

// Answer is all that was asked and answered.
type Answer struct {
	Inputs   []Input
	Commands int
	Wants    int
	Folded   int // repeats taken for what they are
	Lost     uint64
	Torn     int
	Span     time.Duration
	Seed     int64
	Took     time.Duration
	Capacity float64
	Work     []float64 // asked for by second, core seconds
	Limits   []bounds.Limit
	Growth   *study.Growth   `json:",omitempty"`
	Servers  []study.Servers `json:",omitempty"`
	Losses   []*study.Loss   `json:",omitempty"`
}

// Input is a file that it was worked out from.
type Input struct{ File, SHA256 string }

// Digest of files; of a folder, of all in it.
func Digest(paths ...string) (all []Input, err error) {
	for _, p := range paths {
		err := filepath.WalkDir(p, func(name string, d os.DirEntry, err error) error {
			if err != nil || d.IsDir() {
				return err
			}
			f, err := os.Open(name)
			if err != nil {
				return err
			}
			defer func() { _ = f.Close() }()
			h := sha256.New()
			if _, err := io.Copy(h, f); err != nil {
				return err
			}
			all = append(all, Input{name, hex.EncodeToString(h.Sum(nil))})
			return nil
		})
		if err != nil {
			return nil, err
		}
	}
	return all, nil
}

// Text is the answer for reading.
func Text(out io.Writer, a *Answer) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "load\t%d commands in %v, taken for %d wants (%d were repeats)\n", a.Commands, a.Span.Round(time.Millisecond), a.Wants, a.Folded)
	if a.Lost > 0 || a.Torn > 0 {
		fmt.Fprintf(w, "left out\t%d lines lost by hosts, %d torn blocks\n", a.Lost, a.Torn)
	}
	fmt.Fprintf(w, "asked for\t%.2f cores in the mean, %.2f in the worst second, of %.2f\n", mean(a.Work), slices.Max(a.Work), a.Capacity)
	_ = w.Flush()
	if g := a.Growth; g != nil {
		fmt.Fprintln(out, "\nThe first limit")
		if g.Reached {
			fmt.Fprintf(out, "  at %.2f times the load (%.2f to %.2f) the goal %q is missed: %.4g\n", g.Times, g.Low, g.High, g.Goal, g.Value)
		} else if g.Times < 1 {
			fmt.Fprintf(out, "  the goal %q is missed at every load looked at, down to %.2f times: %.4g\n", g.Goal, g.Times, g.Value)
		} else {
			fmt.Fprintf(out, "  none up to %.2f times the load\n", g.Times)
		}
		fmt.Fprintf(out, "  by sums alone %.2f times; mean load over capacity would say %.2f\n", g.Bound, g.Naive)
		names := []string{"first", "then", "then"}
		for i, l := range g.First {
			fmt.Fprintf(out, "  %s: %s\n", names[i], l)
		}
		if g.BusiestName != "" {
			fmt.Fprintf(out, "  just beyond: brick %s busy %.0f%% in its worst second, %d dispatches found a queue full, %.0f%% of a host's budget of further dispatches, %d commands held by one host\n",
				g.BusiestName, 100*g.Busiest, g.Turned, 100*g.Budget, g.InFlight)
		}
	}
	for _, l := range a.Limits {
		if l.Condition != "" {
			fmt.Fprintf(out, "  when %s: %s\n", l.Condition, l)
		}
	}
	if len(a.Servers) > 0 {
		fmt.Fprintln(out, "\nServers")
		fmt.Fprintln(w, "  KIND\tNOW\tLEAST\t")
		for _, s := range a.Servers {
			least := fmt.Sprint(s.Least)
			if !s.Found {
				least = "none is enough"
			}
			fmt.Fprintf(w, "  %s\t%d\t%s\t\n", s.Kind, s.Now, least)
		}
		_ = w.Flush()
		for _, s := range a.Servers {
			if s.Why != "" {
				fmt.Fprintf(out, "  %s: %s\n", s.Kind, s.Why)
			}
		}
	}
	for _, l := range a.Losses {
		fmt.Fprintf(out, "\nLosing %s: bricks %v, hosts %v\n", l.What, l.Bricks, l.Hosts)
		for _, p := range l.Phases {
			met := "reserves can be met"
			if !p.Met {
				met = "RESERVES CAN'T BE MET"
			}
			fmt.Fprintf(out, "  %s (%v): %.2f cores there, %.2f asked for of what can be reached, %.2f of them reserved: %s; %.0f%% of the work lies on what is gone\n", p.Name,
				(p.To - p.From).Round(100*time.Millisecond), p.Capacity, p.Asked, p.Reserved, met, 100*p.Lost)
			fmt.Fprintln(w, "    PLAN\tQUEUE TYPE\tIN TARGET\tRANGE\tP99\tWANTS")
			for _, s := range p.Service {
				fmt.Fprintf(w, "    %s\t%s\t%.3f\t%.3f-%.3f\t%v\t%d\n", s.Plan, s.Type, s.Part, s.Low, s.High, s.P99.Round(time.Millisecond), s.Wanted)
			}
			_ = w.Flush()
			for i, g := range p.GiveUp {
				fmt.Fprintf(out, "    give up %d: %.0f%% of %s %s (%.2f cores)\n", i+1, 100*g.Part, g.Plan, g.QueueType, g.Work)
			}
		}
		fmt.Fprintf(out, "  most pressure on a cold brick: %.2f of what pushes it over; pushed over: %d\n", l.Pressure, l.Fell)
	}
	fmt.Fprintf(out, "\nworked out in %v, seed %d, from\n", a.Took.Round(time.Millisecond), a.Seed)
	for _, i := range a.Inputs {
		fmt.Fprintf(out, "  %s  %s\n", i.SHA256[:16], i.File)
	}
}

func mean(x []float64) (m float64) {
	for _, v := range x {
		m += v / float64(len(x))
	}
	return m
}

// Write puts it all into a folder.
func Write(dir string, a *Answer) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return fmt.Errorf("answer: %w", err)
	}
	b, err := json.MarshalIndent(finite(a), "", " ")
	if err != nil {
		return err
	}
	f, err := os.Create(filepath.Join(dir, "answer.txt"))
	if err != nil {
		return err
	}
	Text(f, a)
	err = errors.Join(f.Close(), os.WriteFile(filepath.Join(dir, "answer.json"), b, 0o644), loadChart(dir, a))
	if a.Growth != nil {
		err = errors.Join(err, growthChart(dir, a.Growth))
	}
	for i, l := range a.Losses {
		err = errors.Join(err, lossChart(dir, i, l))
	}
	return err
}

// finite is the answer with what JSON can't hold left out: a limit that is never reached has the factor -1.
func finite(a *Answer) *Answer {
	fix := func(all []bounds.Limit) []bounds.Limit {
		all = slices.Clone(all)
		for i := range all {
			if math.IsInf(all[i].Factor, 0) {
				all[i].Factor = -1
			}
		}
		return all
	}
	c := *a
	c.Limits = fix(a.Limits)
	if a.Growth != nil {
		g := *a.Growth
		g.First = fix(g.First)
		if math.IsInf(g.Bound, 0) {
			g.Bound = -1
		}
		g.Tries = slices.Clone(g.Tries)
		for i := range g.Tries {
			if math.IsInf(g.Tries[i].Margin, 0) {
				g.Tries[i].Margin = 1
			}
		}
		c.Growth = &g
	}
	return &c
}

func chart(title, x, y string) *plot.Plot {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, x, y
	p.Add(plotter.NewGrid())
	p.Legend.Top = true
	return p
}

func lines(p *plot.Plot, names []string, xs, ys [][]float64) error {
	var vs []any
	for i, n := range names {
		pts := make(plotter.XYs, len(xs[i]))
		for j := range pts {
			pts[j].X, pts[j].Y = xs[i][j], ys[i][j]
		}
		if len(pts) > 0 {
			vs = append(vs, n, pts)
		}
	}
	return plotutil.AddLines(p, vs...)
}

func save(p *plot.Plot, dir, name string) error {
	return p.Save(18*vg.Centimeter, 10*vg.Centimeter, filepath.Join(dir, name))
}

func loadChart(dir string, a *Answer) error {
	p := chart("work asked for", "second of the capture", "cores")
	t, c := make([]float64, len(a.Work)), make([]float64, len(a.Work))
	for i := range t {
		t[i], c[i] = float64(i), a.Capacity
	}
	if err := lines(p, []string{"asked for", "all bricks"}, [][]float64{t, t}, [][]float64{a.Work, c}); err != nil {
		return err
	}
	p.Y.Min = 0
	return save(p, dir, "load.svg")
}

func growthChart(dir string, g *study.Growth) error {
	p := chart("service as the load grows", "times the captured load", "in target")
	var names []string
	var xs, ys [][]float64
	for _, c := range g.Plans {
		names, xs, ys = append(names, c.Plan), append(xs, c.Times), append(ys, c.Part)
	}
	if err := lines(p, names, xs, ys); err != nil {
		return err
	}
	p.Y.Min, p.Y.Max = 0, 1
	return save(p, dir, "growth.svg")
}

func lossChart(dir string, i int, l *study.Loss) error {
	p := chart("losing "+l.What, "second", "in target")
	var xs [][]float64
	for _, by := range l.By {
		x := make([]float64, len(by))
		for j := range x {
			x[j] = float64(j)
		}
		xs = append(xs, x)
	}
	if err := lines(p, l.Plans, xs, l.By); err != nil {
		return err
	}
	p.Y.Min, p.Y.Max = 0, 1
	return save(p, dir, fmt.Sprintf("loss-%d.svg", i+1))
}

// Model spells a learnt model and its fit.
func Model(out io.Writer, m *pb.CapacityModel) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	for _, k := range m.Kind {
		f := k.Fit
		fmt.Fprintf(w, "kind %s\t%d dispatches told apart, %d of them begun busy; the model explains %.0f%% of how their works differ\n", k.Name, f.GetSamples(),
			f.GetBusy(), 100*f.GetExplained())
		fmt.Fprintf(w, "  work done\t%.3f core seconds as captured, %.3f as the model tells it (%+.1f%%)\n", f.GetUseSeen(), f.GetUseTold(),
			100*(f.GetUseTold()/math.Max(f.GetUseSeen(), 1e-12)-1))
		for _, x := range k.Work {
			fmt.Fprintf(w, "  %s\t%.3f ms and %.3f ms a unit, spread %.2f\t(%d)\n", x.QueueType, 1e3*x.Base, 1e3*x.Unit, x.Vary, x.Samples)
		}
		fmt.Fprintf(w, "  way\t%.3f ms\n", 1e3*k.Way)
		if k.Remembers > 0 {
			fmt.Fprintf(w, "  cache\t%d pieces, a hit saves %.0f%%\n", k.Remembers, 100*k.Saves)
		}
		if k.Deferred > 0 {
			fmt.Fprintf(w, "  deferred\t%.0f%% of a write's work, done each %.2f s\n", 100*k.Deferred, k.Flush)
		}
		if k.Pause > 0 {
			fmt.Fprintf(w, "  pauses\t%.0f ms each %.2f s\n", 1e3*k.Pause, k.PauseEvery)
		}
		if k.Errors > 0 {
			fmt.Fprintf(w, "  errors\t%.2f%%\n", 100*k.Errors)
		}
	}
	fmt.Fprintln(w, "brick\tspeed beside its kind")
	for _, b := range m.Brick {
		fmt.Fprintf(w, "  %s\t%.3f\t(%d)\n", b.Name, b.Speed, b.Samples)
	}
	if c := m.Client; c != nil {
		fmt.Fprintf(w, "clients\t%.0f%% of those without success ask again, after %.0f ms; %d repeats folded into %d wants; %.1f%% leave\n", 100*c.Repeats, 1e3*c.Wait,
			c.Folded, c.Firsts, 100*c.Leaves)
	}
	_ = w.Flush()
}
