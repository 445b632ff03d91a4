package study

import (
	"cmp"
	"slices"
	"time"

	"weirhaven/internal/capacity/decide"
	"weirhaven/internal/capacity/demand"
	"weirhaven/internal/capacity/forecast"
)

// The phases of a loss, as printed.
const (
	phaseBefore    = "before"
	phaseOutage    = "while it is gone"
	phaseSlowStart = "while its replacement is cold"
	phaseAfter     = "after"
)

// Phase is a stretch of a loss.
type Phase struct {
	Name        string
	From, To    time.Duration
	Service     []Service
	Capacity    float64       // cores there
	Asked       float64       // cores asked for of what can be reached, in the worst second
	Unreachable float64       `json:"Lost"` // part of the work that lies on nothing that serves
	Reserved    float64       // cores that reservations in use promise, of what can be reached
	Met         bool          // the reserves can be met
	Shed        []decide.Shed `json:"GiveUp"`
}

// Service is the part in target of a plan and queue type, and its range over the runs.
type Service struct {
	Plan, Type string
	Part       float64
	Low, High  float64
	P99        time.Duration
	Wanted     int
}

// phase is what came of one stretch of a loss, and what sums say of it.
func (s *Study) phase(p Phase, load []demand.Request, results []*forecast.Result, l *Loss) Phase {
	p.Service = p.service(results)
	reachable := s.reachable(&p, l)
	shares, unreachable, total := s.shares(load, p, reachable)
	for _, share := range shares {
		p.Asked += share.Work
		p.Reserved += share.Reserved
	}
	if total > 0 {
		p.Unreachable = unreachable / total
	}
	p.Shed, p.Met = decide.ShedToFit(shares, p.Capacity)
	return p
}

// reachable returns the shards that an endpoint serves in a phase, and adds up the phase's capacity.
func (s *Study) reachable(p *Phase, l *Loss) map[int]bool {
	shards := map[int]bool{}
	for _, endpoint := range s.Fleet.Brick {
		lost := slices.Contains(l.Bricks, endpoint.Name)
		if lost && p.Name == phaseOutage {
			continue
		}
		speed := s.speed(endpoint)
		if lost && p.Name == phaseSlowStart {
			speed *= (1 + s.Fleet.Rules.ColdFrom) / 2 // the mean while it warms up
		}
		shards[int(endpoint.Cell)] = true
		p.Capacity += speed
	}
	return shards
}

// service sums up what the runs found in a phase, by plan and queue type.
func (p Phase) service(results []*forecast.Result) (all []Service) {
	sums, parts := map[forecast.Key]*forecast.Tally{}, map[forecast.Key][]float64{}
	for _, r := range results {
		for key, tally := range p.tallies(r) {
			if sums[key] == nil {
				sums[key] = &forecast.Tally{}
			}
			sums[key].Add(tally)
			parts[key] = append(parts[key], tally.InTargetRatio())
		}
	}
	for key, sum := range sums {
		all = append(all, Service{Plan: key.Plan, Type: key.Class, Part: sum.InTargetRatio(), Low: slices.Min(parts[key]), High: slices.Max(parts[key]),
			P99: sum.Quantile(0.99), Wanted: sum.Requests / len(results)})
	}
	slices.SortFunc(all, func(a, b Service) int { return cmp.Or(cmp.Compare(a.Plan, b.Plan), cmp.Compare(a.Type, b.Type)) })
	return all
}

// tallies are those of one run in the phase's seconds.
func (p Phase) tallies(r *forecast.Result) map[forecast.Key]*forecast.Tally {
	sums := map[forecast.Key]*forecast.Tally{}
	for second := int(p.From / time.Second); second < int((p.To+time.Second-1)/time.Second) && second < len(r.Blocks); second++ {
		for key, tally := range r.Blocks[second] {
			if sums[key] == nil {
				sums[key] = &forecast.Tally{}
			}
			sums[key].Add(tally)
		}
	}
	return sums
}
