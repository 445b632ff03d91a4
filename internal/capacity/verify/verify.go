// Package verify compares forecasts with what simulated endpoints on loopback then did: a scenario is recorded, its endpoints are
// learnt, and each case is forecast and run.
package verify

import (
	"context"
	"math"
	"math/rand"
	"os"
	"path/filepath"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"weirhaven/internal/capacity/bounds"
	"weirhaven/internal/capacity/demand"
	"weirhaven/internal/capacity/forecast"
	"weirhaven/internal/capacity/learn"
	"weirhaven/internal/capacity/place"
	"weirhaven/internal/capture"
	"weirhaven/internal/pb"
	"weirhaven/internal/scenario"
	"weirhaven/internal/settings"
)

const (
	caseLength   = 14 * time.Second
	forecastRuns = 5 // whose mean is taken: one forecast is as much chance as one run
)

// Figures are what is compared.
type Figures struct {
	InTarget    float64       // part of the requests that completed within the latency objective
	P99         time.Duration // latency of what completed
	Utilization float64       // of the endpoints' cores, in the mean
}

// Comparison is a case's forecast, what was measured, and what a mean rate over a mean work would have said.
type Comparison struct {
	Case                      string
	Forecast, Measured, Naive Figures
	// Deviations of InTarget, P99 and Utilization, as a part of what was measured.
	Deviation, NaiveDeviation [3]float64
}

// Good says whether all figures of the forecast, and of the naive one, are within a part of what was measured.
func (c Comparison) Good(part float64) (forecast, naive bool) {
	return within(c.Deviation, part), within(c.NaiveDeviation, part)
}

func within(deviation [3]float64, part float64) bool {
	return !slices.ContainsFunc(deviation[:], func(x float64) bool { return math.Abs(x) > part })
}

func deviation(a, b Figures) [3]float64 {
	relative := func(x, y float64) float64 { return x/math.Max(y, 1e-9) - 1 }
	return [3]float64{relative(a.InTarget, b.InTarget), relative(a.P99.Seconds(), b.P99.Seconds()), relative(a.Utilization, b.Utilization)}
}

// Learnt is what was recorded and read off it.
type Learnt struct {
	Fleet    *pb.CapacityFleet
	Model    *pb.CapacityModel
	Requests []demand.Request
	Load     *capture.Load
}

// Record plays a scenario with its gateways capturing, and learns from it. The capture is removed.
func Record(ctx context.Context, d *pb.Drill, o scenario.Options) (*Learnt, error) {
	dir, err := os.MkdirTemp("", "weirhaven-verify-")
	if err != nil {
		return nil, err
	}
	defer func() { _ = os.RemoveAll(dir) }() // what remains in the temporary folder harms nobody
	o.Capture = filepath.Join(dir, "capture")
	if _, err := scenario.Run(ctx, d, o); err != nil {
		return nil, err
	}
	load, err := capture.Read(o.Capture)
	if err != nil {
		return nil, err
	}
	if err := load.Align(); err != nil {
		return nil, err
	}
	fleet := scenario.Describe(d, o.Seed)
	requests, clients := demand.FoldRetries(load.Records)
	model, err := learn.Model(load.Records, fleet, clients)
	if err != nil {
		return nil, err
	}
	return &Learnt{Fleet: fleet, Model: model, Requests: requests, Load: load}, nil
}

// Run forecasts one case and plays it.
func Run(ctx context.Context, d *pb.Drill, l *Learnt, c Case, o scenario.Options) (Comparison, error) {
	result := Comparison{Case: c.Name}
	fleet, load := l.Fleet, l.Requests
	played := proto.Clone(d).(*pb.Drill)
	length := min(caseLength, settings.Duration(d.Length, caseLength))
	played.Length = length.String()
	c.Apply(played)
	if c.Relocated { // an endpoint that was not there before counts with its kind's mean speed
		fleet = scenario.Describe(played, o.Seed)
		load = place.Relocate(load, l.Fleet, fleet, place.CostOf(l.Model, l.Fleet), bounds.Speeds(fleet, l.Model))
	}
	load = demand.Slice(load, 0, length)
	for i := range int64(forecastRuns) {
		offered := c.Transform(load, rand.New(rand.NewSource(o.Seed+i)))
		r, err := forecast.Run(forecast.Scenario{Fleet: fleet, Model: l.Model, Wants: offered, Events: c.Events, Seed: o.Seed + i})
		if err != nil {
			return result, err
		}
		figures := ForecastFigures(r)
		result.Forecast.InTarget += figures.InTarget / forecastRuns
		result.Forecast.P99 += figures.P99 / forecastRuns
		result.Forecast.Utilization += figures.Utilization / forecastRuns
		result.Naive = naive(fleet, l.Model, offered)
	}
	run, err := scenario.Run(ctx, played, o)
	if err != nil {
		return result, err
	}
	result.Measured = measure(played, run.Seen)
	result.Deviation, result.NaiveDeviation = deviation(result.Forecast, result.Measured), deviation(result.Naive, result.Measured)
	return result, nil
}

// ForecastFigures are those of a forecast.
func ForecastFigures(r *forecast.Result) Figures {
	total := r.Total()
	figures := Figures{InTarget: total.Part(), P99: total.Quantile(0.99)}
	for _, endpoint := range r.Bricks {
		for _, done := range endpoint.Done {
			figures.Utilization += done / float64(len(endpoint.Done)*len(r.Bricks))
		}
	}
	return figures
}
