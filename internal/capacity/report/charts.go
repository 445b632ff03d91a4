package report

import (
	"fmt"
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"weirhaven/internal/capacity/study"
)

// The size of every chart.
const (
	chartWidth  = 18 * vg.Centimeter
	chartHeight = 10 * vg.Centimeter
)

// series is one line of a chart.
type series struct {
	name string
	x, y []float64
}

// bySecond returns a series with one value per second, from second 0.
func bySecond(name string, values []float64) series {
	seconds := make([]float64, len(values))
	for i := range seconds {
		seconds[i] = float64(i)
	}
	return series{name: name, x: seconds, y: values}
}

func newChart(title, x, y string) *plot.Plot {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, x, y
	p.Add(plotter.NewGrid())
	p.Legend.Top = true
	return p
}

// addSeries draws each series that has points.
func addSeries(p *plot.Plot, all []series) error {
	var namesAndPoints []any // name and points alternate, as plotutil expects
	for _, s := range all {
		points := make(plotter.XYs, len(s.x))
		for i := range points {
			points[i].X, points[i].Y = s.x[i], s.y[i]
		}
		if len(points) > 0 {
			namesAndPoints = append(namesAndPoints, s.name, points)
		}
	}
	return plotutil.AddLines(p, namesAndPoints...)
}

func save(p *plot.Plot, dir, name string) error {
	return p.Save(chartWidth, chartHeight, filepath.Join(dir, name))
}

func loadChart(dir string, a *Answer) error {
	p := newChart("work of the load", "second of the capture", "cores")
	capacity := make([]float64, len(a.Work))
	for i := range capacity {
		capacity[i] = a.Capacity
	}
	if err := addSeries(p, []series{bySecond("load", a.Work), bySecond("capacity of all endpoints", capacity)}); err != nil {
		return err
	}
	p.Y.Min = 0
	return save(p, dir, "load.svg")
}

func growthChart(dir string, g *study.Growth) error {
	p := newChart("service as the load grows", "multiple of the captured load", "fraction in target")
	var all []series
	for _, c := range g.Plans {
		all = append(all, series{name: c.Plan, x: c.LoadFactors, y: c.InTarget})
	}
	if err := addSeries(p, all); err != nil {
		return err
	}
	p.Y.Min, p.Y.Max = 0, 1
	return save(p, dir, "growth.svg")
}

// lossChart draws a loss to loss-N.svg, where N is number.
func lossChart(dir string, number int, l *study.Loss) error {
	p := newChart("losing "+l.Target, "second", "fraction in target")
	var all []series
	for i, plan := range l.Plans {
		all = append(all, bySecond(plan, l.InTarget[i]))
	}
	if err := addSeries(p, all); err != nil {
		return err
	}
	p.Y.Min, p.Y.Max = 0, 1
	return save(p, dir, fmt.Sprintf("loss-%d.svg", number))
}
