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

// Parameters of the search for the greatest load; loads are multiples of the captured load.
const (
	lowestLoad     = 1.0 / 16
	highestLoad    = 32
	loadResolution = 1.05 // ratio of the two loads around the limit at which the search ends
	maxLoadProbes  = 16
	bootstrapDraws = 200
)

// nearestLimits is the number of analytic limits that an answer lists.
const nearestLimits = 3

// Growth is the answer to how far the load can grow.
type Growth struct {
	LoadFactor    float64        `json:"Times"` // multiple of the captured load at which the worst interval first misses a goal
	Low, High     float64        // 90% confidence interval of LoadFactor, by bootstrap
	Reached       bool           // false: all loads simulated met the goals, or all missed one; LoadFactor is then the outermost of them
	MissedGoal    string         `json:"Goal"`
	Value         float64        // measure of the missed goal just beyond the limit
	NearestLimits []bounds.Limit `json:"First"`
	Bound         float64        // load factor of the nearest analytic limit
	Naive         float64        // capacity divided by the mean load, for comparison
	Probes        []decide.Probe `json:"Tries"`
	Plans         []Curve
	BusiestName   string
	Busiest       float64 // utilization of the busiest endpoint in its busiest second, just beyond the limit
	Rejected      int     `json:"Turned"` // attempts that found a queue full, just beyond the limit
	Budget        float64 // highest use of a gateway's retry budget, as a fraction of it, just beyond the limit
	InFlight      int     // most requests open at one gateway, just beyond the limit
}

// Curve is the fraction of a plan's requests in target as the load grows.
type Curve struct {
	Plan        string
	LoadFactors []float64 `json:"Times"`
	InTarget    []float64 `json:"Part"`
}

// probeResult is the result of the simulations of one load.
type probeResult struct {
	loadFactor float64 // multiple of the captured load
	*loadResult
}

// FindLoadLimit searches for the smallest load, as a multiple of the captured load, at which a goal is missed.
func (s *Study) FindLoadLimit(ctx context.Context) (*Growth, error) {
	usual := bounds.Usual(s.Limits(s.Fleet, s.Requests))
	g := &Growth{Bound: math.Inf(1), Naive: s.naiveGrowth(), NearestLimits: usual[:min(nearestLimits, len(usual))]}
	if len(usual) > 0 {
		g.Bound = usual[0].Factor
	}
	probes, err := s.searchLoad(ctx, g)
	if err != nil {
		return nil, err
	}
	g.LoadFactor, g.Reached = decide.Crossing(g.Probes)
	blocks, loads := s.blocksByProbe(probes)
	g.Low, g.High = decide.ConfidenceRange(blocks, loads, s.Goals, true, bootstrapDraws, rand.New(rand.NewSource(s.Seed)))
	for i, p := range probes {
		s.addCurves(g, p)
		if g.MissedGoal == "" && (p.loadFactor >= g.LoadFactor || i == len(probes)-1) {
			s.describeMiss(g, p.loadResult)
		}
	}
	return g, nil
}

// naiveGrowth returns the capacity divided by the mean load.
func (s *Study) naiveGrowth() float64 {
	work := 0.0
	for _, second := range s.Work() {
		work += second
	}
	return s.Capacity() / math.Max(work/(s.Requests[len(s.Requests)-1].Arrival.Seconds()+1e-9), 1e-12)
}

// searchLoad simulates loads until the search ends, and returns the results sorted by load.
func (s *Study) searchLoad(ctx context.Context, g *Growth) ([]probeResult, error) {
	guess := 1.0
	if g.Bound > 0 && !math.IsInf(g.Bound, 1) {
		guess = g.Bound
	}
	search := decide.NewLoadSearch(guess, lowestLoad, highestLoad, loadResolution, maxLoadProbes)
	var probes []probeResult
	for {
		factor, ok := search.Next()
		if !ok {
			break
		}
		p, err := s.runStretches(ctx, s.Fleet, s.Requests, factor)
		if err != nil {
			return nil, err
		}
		margin := decide.Margin(p.blocks, 0, s.Goals, true)
		search.Record(factor, margin)
		probes = append(probes, probeResult{factor, p})
		low, high := search.Bracket()
		s.Progress(fmt.Sprintf("load x %.2f: margin %+.2f; the limit is between %.2f and %s", factor, margin, low, formatBound(high)))
	}
	slices.SortFunc(probes, func(a, b probeResult) int { return cmp.Compare(a.loadFactor, b.loadFactor) })
	g.Probes = search.Probes()
	return probes, nil
}

// formatBound formats the upper end of the search range; "?" while it is unknown.
func formatBound(high float64) string {
	if high == 0 {
		return "?"
	}
	return fmt.Sprintf("%.2f", high)
}

// blocksByProbe groups the probes' tallies by block, so that the bootstrap can resample blocks.
func (s *Study) blocksByProbe(probes []probeResult) (blocks [][]decide.Block, loads []float64) {
	blocks, loads = make([][]decide.Block, len(s.stretches)), make([]float64, len(probes))
	for k, p := range probes {
		loads[k] = p.loadFactor
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

// addCurves adds a probe's result to the curve of each plan.
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
		curve.LoadFactors, curve.InTarget = append(curve.LoadFactors, p.loadFactor), append(curve.InTarget, tally.InTargetRatio())
	}
}

// describeMiss records which goal the worst interval of a load just beyond the limit missed, and the utilization there.
func (s *Study) describeMiss(g *Growth, p *loadResult) {
	worst := math.Inf(1)
	for i, blocks := range p.blocks {
		found := decide.Combine([][]decide.Block{blocks}, 0)
		margin, goal := decide.WorstMargin(s.Goals, found)
		if goal < 0 || margin >= worst {
			continue
		}
		worst = margin
		g.MissedGoal = s.Goals[goal].Text
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
