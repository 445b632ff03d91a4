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
	lossRuns  = 4 // forecasts of a loss, each with its own chance
	beforeFor = 6 * time.Second
	afterFor  = 8 * time.Second
)

// Loss is what losing something does.
type Loss struct {
	Target     string `json:"What"` // as the operator named it
	Bricks     []string
	Hosts      []string
	Phases     []Phase
	Overloaded int     `json:"Fell"` // endpoints that broke down while warming up, over all runs
	Pressure   float64 // the most work sent to an endpoint while warming up, as a part of what breaks it down
	Plans      []string
	InTarget   [][]float64 `json:"By"` // by plan, by second: the part in target
}

// timeline is when the phases of a loss begin, since the begin of what is played.
type timeline struct {
	lost, restored, warm, end time.Duration
}

// Lose plays the heaviest stretch with something lost in it: "zone=NAME", "brick=NAME", "host=NAME", several with commas. What is lost
// is replaced after the outage, which is cut to whole seconds.
func (s *Study) Lose(ctx context.Context, target string, outage time.Duration) (*Loss, error) {
	l, err := s.resolve(target)
	if err != nil {
		return nil, err
	}
	length := s.Requests[len(s.Requests)-1].Arrival + time.Second
	t := s.plan(outage, length)
	from := max(min((s.heaviest().From+s.Length/2-t.lost-(t.restored-t.lost)/2).Truncate(time.Second), length-t.end), 0)
	load := demand.Slice(s.Requests, from, from+t.end)
	if len(load) == 0 {
		return nil, fmt.Errorf("%w in the stretch around its heaviest", ErrEmptyLoad)
	}
	results, err := s.playLoss(ctx, l, t, load)
	if err != nil {
		return nil, err
	}
	for _, p := range t.phases() {
		if p.To-p.From >= time.Second/2 {
			l.Phases = append(l.Phases, s.phase(p, load, results, l))
		}
	}
	for _, r := range results {
		l.Overloaded += r.Fell
		l.Pressure = math.Max(l.Pressure, r.Pressure)
	}
	for _, plan := range s.Fleet.Plan {
		l.Plans, l.InTarget = append(l.Plans, plan.Name), append(l.InTarget, inTargetBySecond(results, plan.Name, t.end))
	}
	return l, nil
}

// resolve finds the endpoints and gateways that a target names. One gateway always remains: without any nothing would be asked for.
func (s *Study) resolve(target string) (*Loss, error) {
	l := &Loss{Target: target}
	for _, part := range strings.Split(target, ",") {
		kind, name, ok := strings.Cut(strings.TrimSpace(part), "=")
		found := len(l.Bricks) + len(l.Hosts)
		for _, endpoint := range s.Fleet.Brick {
			if kind == "zone" && endpoint.Zone == name || kind == "brick" && endpoint.Name == name {
				l.Bricks = append(l.Bricks, endpoint.Name)
			}
		}
		for _, gateway := range s.Fleet.Host {
			if kind == "zone" && gateway.Zone == name || kind == "host" && gateway.Name == name {
				l.Hosts = append(l.Hosts, gateway.Name)
			}
		}
		if !ok || found == len(l.Bricks)+len(l.Hosts) {
			return nil, fmt.Errorf("--lose %q: nothing of that name in the fleet; allowed: zone=NAME, brick=NAME, host=NAME", part)
		}
	}
	if len(l.Hosts) == len(s.Fleet.Host) {
		l.Hosts = l.Hosts[:len(l.Hosts)-1]
	}
	return l, nil
}

// plan lays the phases out. In a short capture each is shorter, but for the slow start, whose length the fleet states.
func (s *Study) plan(outage, length time.Duration) timeline {
	slowStart := settings.Duration(s.Fleet.Rules.ColdFor, 0)
	before, after := beforeFor, afterFor
	outage = max(outage.Truncate(time.Second), time.Second)
	if need := before + outage + slowStart + after; need > length {
		scale := float64(length) / float64(need)
		shorten := func(d time.Duration) time.Duration { // to whole seconds: results stand by second
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
	for _, stretch := range s.stretch {
		if stretch.Heaviest {
			return stretch
		}
	}
	return s.stretch[0]
}

func (s *Study) playLoss(ctx context.Context, l *Loss, t timeline, load []demand.Request) ([]*forecast.Result, error) {
	var events []forecast.Event
	for _, name := range l.Bricks {
		events = append(events, forecast.Event{At: t.lost, Brick: name, Down: true}, forecast.Event{At: t.restored, Brick: name})
	}
	for _, name := range l.Hosts {
		events = append(events, forecast.Event{At: t.lost, Host: name, Down: true}, forecast.Event{At: t.restored, Host: name})
	}
	s.Progress(fmt.Sprintf("losing %d bricks and %d hosts for %v, %d runs", len(l.Bricks), len(l.Hosts), t.restored-t.lost, lossRuns))
	results := make([]*forecast.Result, lossRuns)
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(s.Jobs)
	for i := range lossRuns {
		g.Go(func() (err error) {
			if err = ctx.Err(); err == nil {
				results[i], err = forecast.Run(forecast.Scenario{Fleet: s.Fleet, Model: s.Model, Wants: load, Events: events, Seed: s.Seed + int64(i)})
			}
			return err
		})
	}
	return results, g.Wait()
}

// inTargetBySecond is a plan's part in target over all runs.
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
		parts = append(parts, sum.Part())
	}
	return parts
}
