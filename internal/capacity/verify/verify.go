// Package verify compares forecasts with measurements of fake endpoints on loopback. It records a scenario, learns a model from the
// capture, and then forecasts and runs each case.
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
	forecastRuns = 5 // forecasts per case; their mean reduces the random error
)

// Figures are the compared figures of a forecast or a run.
type Figures struct {
	InTarget    float64       // fraction of the requests that completed within the latency objective
	P99         time.Duration // latency of completed requests
	Utilization float64       // mean of the endpoints' cores
}

// Comparison holds the figures of a case: forecast, measured, and the naive estimate from the mean load.
type Comparison struct {
	Case                      string
	Forecast, Measured, Naive Figures
	// Relative deviations of InTarget, P99 and Utilization from the measurement, in this order.
	Deviation, NaiveDeviation [3]float64
}

// Within reports whether the figures of the forecast, and of the naive estimate, deviate from the measurement by at most the fraction
// tolerance.
func (c Comparison) Within(tolerance float64) (forecast, naive bool) {
	return within(c.Deviation, tolerance), within(c.NaiveDeviation, tolerance)
}

func within(deviation [3]float64, tolerance float64) bool {
	return !slices.ContainsFunc(deviation[:], func(x float64) bool { return math.Abs(x) > tolerance })
}

func deviation(a, b Figures) [3]float64 {
	relative := func(x, y float64) float64 { return x/math.Max(y, 1e-9) - 1 }
	return [3]float64{relative(a.InTarget, b.InTarget), relative(a.P99.Seconds(), b.P99.Seconds()), relative(a.Utilization, b.Utilization)}
}

// Recording is a recorded load and the model learnt from it.
type Recording struct {
	Fleet    *pb.CapacityFleet
	Model    *pb.CapacityModel
	Requests []demand.Request
	Load     *capture.Load
}

// Record runs a scenario with capturing gateways and learns a model from the capture, which it removes.
func Record(ctx context.Context, d *pb.Drill, o scenario.Options) (*Recording, error) {
	dir, err := os.MkdirTemp("", "weirhaven-verify-")
	if err != nil {
		return nil, err
	}
	defer func() { _ = os.RemoveAll(dir) }() // a leftover temporary folder is harmless
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
	return &Recording{Fleet: fleet, Model: model, Requests: requests, Load: load}, nil
}

// Run forecasts and runs one case.
func Run(ctx context.Context, d *pb.Drill, recorded *Recording, c Case, o scenario.Options) (Comparison, error) {
	result := Comparison{Case: c.Name}
	fleet, load := recorded.Fleet, recorded.Requests
	played := proto.Clone(d).(*pb.Drill)
	length := min(caseLength, settings.Duration(d.Length, caseLength))
	played.Length = length.String()
	c.Apply(played)
	if c.Relocated { // an added endpoint has its kind's mean speed
		fleet = scenario.Describe(played, o.Seed)
		load = place.Relocate(load, recorded.Fleet, fleet, place.CostOf(recorded.Model, recorded.Fleet), bounds.Speeds(fleet, recorded.Model))
	}
	load = demand.Slice(load, 0, length)
	for i := range int64(forecastRuns) {
		offered := c.Transform(load, rand.New(rand.NewSource(o.Seed+i)))
		r, err := forecast.Run(forecast.Scenario{Fleet: fleet, Model: recorded.Model, Requests: offered, Events: c.Events, Seed: o.Seed + i})
		if err != nil {
			return result, err
		}
		figures := ForecastFigures(r)
		result.Forecast.InTarget += figures.InTarget / forecastRuns
		result.Forecast.P99 += figures.P99 / forecastRuns
		result.Forecast.Utilization += figures.Utilization / forecastRuns
		result.Naive = naive(fleet, recorded.Model, offered)
	}
	run, err := scenario.Run(ctx, played, o)
	if err != nil {
		return result, err
	}
	result.Measured = measure(played, run.Observations)
	result.Deviation, result.NaiveDeviation = deviation(result.Forecast, result.Measured), deviation(result.Naive, result.Measured)
	return result, nil
}

// ForecastFigures returns the figures of a forecast.
func ForecastFigures(r *forecast.Result) Figures {
	total := r.Total()
	figures := Figures{InTarget: total.InTargetRatio(), P99: total.Quantile(0.99)}
	for _, endpoint := range r.Endpoints {
		for _, done := range endpoint.WorkDone {
			figures.Utilization += done / float64(len(endpoint.WorkDone)*len(r.Endpoints))
		}
	}
	return figures
}
