package study

import (
	"context"
	"fmt"
	"math"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"weirhaven/internal/capacity/demand"
	"weirhaven/internal/capacity/forecast"
	"weirhaven/internal/capacity/sample"
	"weirhaven/internal/settings"
)

const (
	lossRuns     = 4 // simulations of a loss, each with its own seed
	beforeLength = 6 * time.Second
	afterLength  = 8 * time.Second
)

// Loss describes the service while endpoints and gateways are lost.
type Loss struct {
	Target     string   `json:"What"` // as the operator named it
	Endpoints  []string `json:"Bricks"`
	Gateways   []string `json:"Hosts"`
	Phases     []Phase
	Overloaded int     `json:"Fell"` // endpoints that broke down while warming up, over all runs
	Pressure   float64 // highest load on an endpoint while warming up, as a fraction of the load that breaks it down
	Plans      []string
	InTarget   [][]float64 `json:"By"` // fraction of requests in target, by plan and second
}

// timeline holds when the phases of a loss begin, measured from the start of the simulated load.
type timeline struct {
	lost, restored, warm, end time.Duration
}

// SimulateLoss simulates the heaviest interval of the load while a target is lost: "zone=NAME", "brick=NAME" or "host=NAME", several
// separated by commas. Replacements start after the outage, which is truncated to whole seconds.
func (s *Study) SimulateLoss(ctx context.Context, target string, outage time.Duration) (*Loss, error) {
	l, err := s.resolve(target)
	if err != nil {
		return nil, err
	}
	length := s.Requests[len(s.Requests)-1].Arrival + time.Second
	t := s.schedulePhases(outage, length)
	from := max(min((s.heaviest().From+s.Length/2-t.lost-(t.restored-t.lost)/2).Truncate(time.Second), length-t.end), 0)
	load := demand.Slice(s.Requests, from, from+t.end)
	if len(load) == 0 {
		return nil, fmt.Errorf("%w around the heaviest interval", ErrEmptyLoad)
	}
	results, err := s.playLoss(ctx, l, t, load)
	if err != nil {
		return nil, err
	}
	for _, p := range t.phases() {
		if p.To-p.From >= time.Second/2 {
			l.Phases = append(l.Phases, s.summarizePhase(p, load, results, l))
		}
	}
	for _, r := range results {
		l.Overloaded += r.Overloaded
		l.Pressure = math.Max(l.Pressure, r.Pressure)
	}
	for _, plan := range s.Fleet.Plan {
		l.Plans, l.InTarget = append(l.Plans, plan.Name), append(l.InTarget, inTargetBySecond(results, plan.Name, t.end))
	}
	return l, nil
}

// resolve returns the endpoints and gateways that a target names. One gateway always remains, as without any no request would be
// received.
func (s *Study) resolve(target string) (*Loss, error) {
	l := &Loss{Target: target}
	for _, part := range strings.Split(target, ",") {
		kind, name, ok := strings.Cut(strings.TrimSpace(part), "=")
		found := len(l.Endpoints) + len(l.Gateways)
		for _, endpoint := range s.Fleet.Brick {
			if kind == "zone" && endpoint.Zone == name || kind == "brick" && endpoint.Name == name {
				l.Endpoints = append(l.Endpoints, endpoint.Name)
			}
		}
		for _, gateway := range s.Fleet.Host {
			if kind == "zone" && gateway.Zone == name || kind == "host" && gateway.Name == name {
				l.Gateways = append(l.Gateways, gateway.Name)
			}
		}
		if !ok || found == len(l.Endpoints)+len(l.Gateways) {
			return nil, fmt.Errorf("--lose %q: the fleet has nothing of that name; allowed: zone=NAME, brick=NAME, host=NAME", part)
		}
	}
	if len(l.Gateways) == len(s.Fleet.Host) {
		l.Gateways = l.Gateways[:len(l.Gateways)-1]
	}
	return l, nil
}

// schedulePhases sets the length of the phases. All but the slow start, whose length the fleet states, are shortened to fit a short
// capture.
func (s *Study) schedulePhases(outage, length time.Duration) timeline {
	slowStart := settings.Duration(s.Fleet.Rules.ColdFor, 0)
	before, after := beforeLength, afterLength
	outage = max(outage.Truncate(time.Second), time.Second)
	if need := before + outage + slowStart + after; need > length {
		scale := float64(length) / float64(need)
		shorten := func(d time.Duration) time.Duration { // to whole seconds, as results are reported by second
			return max(time.Duration(float64(d)*scale).Truncate(time.Second), time.Second)
		}
		before, outage, after = shorten(before), shorten(outage), shorten(after)
	}
	return timeline{lost: before, restored: before + outage, warm: before + outage + slowStart, end: before + outage + slowStart + after}
}

func (t timeline) phases() []Phase {
	skip := min(warmUp, (t.lost / 2).Truncate(time.Second))
	return []Phase{{Name: phaseBefore, From: skip, To: t.lost}, {Name: phaseOutage, From: t.lost, To: t.restored},
		{Name: phaseSlowStart, From: t.restored, To: t.warm}, {Name: phaseAfter, From: t.warm, To: t.end}}
}

func (s *Study) heaviest() sample.Interval {
	for _, stretch := range s.stretches {
		if stretch.Heaviest {
			return stretch
		}
	}
	return s.stretches[0]
}

func (s *Study) playLoss(ctx context.Context, l *Loss, t timeline, load []demand.Request) ([]*forecast.Result, error) {
	var events []forecast.Event
	for _, name := range l.Endpoints {
		events = append(events, forecast.Event{At: t.lost, Endpoint: name, Down: true}, forecast.Event{At: t.restored, Endpoint: name})
	}
	for _, name := range l.Gateways {
		events = append(events, forecast.Event{At: t.lost, Gateway: name, Down: true}, forecast.Event{At: t.restored, Gateway: name})
	}
	s.Progress(fmt.Sprintf("losing %d endpoints and %d gateways for %v, %d runs", len(l.Endpoints), len(l.Gateways), t.restored-t.lost, lossRuns))
	results := make([]*forecast.Result, lossRuns)
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(s.Jobs)
	for i := range lossRuns {
		g.Go(func() (err error) {
			if err = ctx.Err(); err == nil {
				results[i], err = forecast.Run(forecast.Scenario{Fleet: s.Fleet, Model: s.Model, Requests: load, Events: events, Seed: s.Seed + int64(i)})
			}
			return err
		})
	}
	return results, g.Wait()
}

// inTargetBySecond returns the fraction of a plan's requests in target for each second, over all runs.
func inTargetBySecond(results []*forecast.Result, plan string, length time.Duration) []float64 {
	var parts []float64
	for second := range int(length / time.Second) {
		sum := &forecast.Tally{}
		for _, r := range results {
			if second >= len(r.Blocks) {
				continue
			}
			for key, tally := range r.Blocks[second] {
				if key.Plan == plan {
					sum.Add(tally)
				}
			}
		}
		parts = append(parts, sum.InTargetRatio())
	}
	return parts
}
