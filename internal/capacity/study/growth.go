package study

import (
	"cmp"
	"context"
	"fmt"
	"math"
	"math/rand"
	"slices"

	"weirhaven/internal/capacity/bounds"
	"weirhaven/internal/capacity/decide"
	"weirhaven/internal/capacity/forecast"
)

// The search for the greatest load: its range in times the captured load, its resolution, its probes, and the bootstrap's draws.
const (
	lowestLoad     = 1.0 / 16
	highestLoad    = 32
	loadResolution = 1.05
	maxLoadProbes  = 16
	bootstrapDraws = 200
)

// nearestLimits is how many analytic limits an answer shows.
const nearestLimits = 3

// Growth is how far the load may grow.
type Growth struct {
	Times       float64 // the load at which a goal is first missed, in the worst stretch
	Low, High   float64 // 90% confidence interval by bootstrap, as multiples of the load
	Reached     bool    // false: no limit within what was looked at; Times is then the most that was looked at
	Goal        string
	Value       float64 // of the goal's measure, just beyond
	First       []bounds.Limit
	Bound       float64        // by sums alone
	Naive       float64        // mean load over capacity, for comparison
	Probes      []decide.Probe `json:"Tries"`
	Plans       []Curve
	BusiestName string
	Busiest     float64 // use of the busiest endpoint in a second, just beyond
	Rejected    int     `json:"Turned"` // attempts that found a queue full, just beyond
	Budget      float64 // most used by a gateway, as a part of its budget, just beyond
	InFlight    int
}

// Curve is a plan's part in target over loads.
type Curve struct {
	Plan  string
	Times []float64
	Part  []float64
}

// probed is what came of a load.
type probeResult struct {
	times float64
	*loadResult
}

// FindLoadLimit looks for the first limit that the load meets as it grows.
func (s *Study) FindLoadLimit(ctx context.Context) (*Growth, error) {
	usual := bounds.Usual(s.Limits(s.Fleet, s.Requests))
	g := &Growth{Bound: math.Inf(1), Naive: s.naiveGrowth(), First: usual[:min(nearestLimits, len(usual))]}
	if len(usual) > 0 {
		g.Bound = usual[0].Factor
	}
	probes, err := s.searchLoad(ctx, g)
	if err != nil {
		return nil, err
	}
	g.Times, g.Reached = decide.Crossing(g.Probes)
	blocks, loads := s.blocksByProbe(probes)
	g.Low, g.High = decide.ConfidenceRange(blocks, loads, s.Goals, true, bootstrapDraws, rand.New(rand.NewSource(s.Seed)))
	for i, p := range probes {
		s.addCurves(g, p)
		if g.Goal == "" && (p.times >= g.Times || i == len(probes)-1) {
			s.describeBeyond(g, p.loadResult)
		}
	}
	return g, nil
}

// naiveGrowth is capacity over the mean load.
func (s *Study) naiveGrowth() float64 {
	work := 0.0
	for _, second := range s.Work() {
		work += second
	}
	return s.Capacity() / math.Max(work/(s.Requests[len(s.Requests)-1].Arrival.Seconds()+1e-9), 1e-12)
}

// searchLoad plays loads until the search ends, and returns them by load.
func (s *Study) searchLoad(ctx context.Context, g *Growth) ([]probeResult, error) {
	guess := 1.0
	if g.Bound > 0 && !math.IsInf(g.Bound, 1) {
		guess = g.Bound
	}
	search := decide.NewLoadSearch(guess, lowestLoad, highestLoad, loadResolution, maxLoadProbes)
	var probes []probeResult
	for {
		times, ok := search.Next()
		if !ok {
			break
		}
		p, err := s.runStretches(ctx, s.Fleet, s.Requests, times)
		if err != nil {
			return nil, err
		}
		margin := decide.Margin(p.blocks, 0, s.Goals, true)
		search.Record(times, margin)
		probes = append(probes, probeResult{times, p})
		low, high := search.Bracket()
		s.Progress(fmt.Sprintf("load x %.2f: margin %+.2f; the edge is between %.2f and %s", times, margin, low, upTo(high)))
	}
	slices.SortFunc(probes, func(a, b probeResult) int { return cmp.Compare(a.times, b.times) })
	g.Probes = search.Probes()
	return probes, nil
}

func upTo(high float64) string {
	if high == 0 {
		return "?"
	}
	return fmt.Sprintf("%.2f", high)
}

// blocksByProbe puts what each probe found in a block side by side, so that the bootstrap can draw blocks anew.
func (s *Study) blocksByProbe(probes []probeResult) (blocks [][]decide.Block, loads []float64) {
	blocks, loads = make([][]decide.Block, len(s.stretches)), make([]float64, len(probes))
	for k, p := range probes {
		loads[k] = p.times
		for i := range s.stretches {
			for b, block := range p.blocks[i] {
				if b >= len(blocks[i]) {
					blocks[i] = append(blocks[i], decide.Block{Weight: block.Weight, Tallies: make([]map[forecast.Key]*forecast.Tally, len(probes))})
				}
				blocks[i][b].Tallies[k] = block.Tallies[0]
			}
		}
	}
	return blocks, loads
}

// addCurves adds a point to each plan's curve.
func (s *Study) addCurves(g *Growth, p probeResult) {
	byPlan := map[string]*forecast.Tally{}
	for key, tally := range decide.Combine(p.blocks, 0) {
		if byPlan[key.Plan] == nil {
			byPlan[key.Plan] = &forecast.Tally{}
		}
		byPlan[key.Plan].Add(tally)
	}
	for _, plan := range s.Fleet.Plan {
		tally := byPlan[plan.Name]
		if tally == nil {
			continue
		}
		i := slices.IndexFunc(g.Plans, func(c Curve) bool { return c.Plan == plan.Name })
		if i < 0 {
			g.Plans, i = append(g.Plans, Curve{Plan: plan.Name}), len(g.Plans)
		}
		curve := &g.Plans[i]
		curve.Times, curve.Part = append(curve.Times, p.times), append(curve.Part, tally.InTargetRatio())
	}
}

// describeBeyond says what was short in the worst stretch of a load just beyond the limit.
func (s *Study) describeBeyond(g *Growth, p *loadResult) {
	worst := math.Inf(1)
	for i, blocks := range p.blocks {
		found := decide.Combine([][]decide.Block{blocks}, 0)
		margin, goal := decide.WorstMargin(s.Goals, found)
		if goal < 0 || margin >= worst {
			continue
		}
		worst = margin
		g.Goal = s.Goals[goal].Text
		g.Value, _ = s.Goals[goal].Value(found)
		r := p.results[i]
		g.Busiest, g.Rejected, g.Budget, g.InFlight = 0, r.Rejected, r.BudgetUsed, r.MaxInFlight
		for _, endpoint := range r.Endpoints {
			if endpoint.Peak() > g.Busiest {
				g.Busiest, g.BusiestName = endpoint.Peak(), endpoint.Name
			}
		}
	}
}
