package study

import (
	"cmp"
	"slices"
	"time"

	"weirhaven/internal/capacity/decide"
	"weirhaven/internal/capacity/demand"
	"weirhaven/internal/capacity/forecast"
)

// Names of the phases of a loss, as printed.
const (
	phaseBefore    = "before"
	phaseOutage    = "while it is gone"
	phaseSlowStart = "while its replacement is cold"
	phaseAfter     = "after"
)

// Phase is the interval before, during or after an outage, or the slow start after it.
type Phase struct {
	Name            string
	From, To        time.Duration
	Service         []Service
	Capacity        float64       // cores of the endpoints that are up
	Demand          float64       `json:"Asked"` // cores that requests for reachable shards need, in the worst second
	Unreachable     float64       `json:"Lost"`  // fraction of the work that needs an unreachable shard
	Reserved        float64       // the part of Demand that reservations cover, cores
	ReservationsMet bool          `json:"Met"` // the reserved work fits the capacity
	Shed            []decide.Shed `json:"GiveUp"`
}

// Service is the service that the requests of a plan and a request class received.
type Service struct {
	Plan      string
	Class     string  `json:"Type"`
	InTarget  float64 `json:"Part"` // fraction of the requests, over all runs
	Low, High float64 // range of InTarget over the runs
	P99       time.Duration
	Requests  int `json:"Wanted"` // mean per run
}

// summarizePhase combines the simulated service in a phase with the capacity and demand computed for it.
func (s *Study) summarizePhase(p Phase, load []demand.Request, results []*forecast.Result, l *Loss) Phase {
	p.Service = p.service(results)
	reachable := s.reachable(&p, l)
	shares, unreachable, total := s.shares(load, p, reachable)
	for _, share := range shares {
		p.Demand += share.Work
		p.Reserved += share.Reserved
	}
	if total > 0 {
		p.Unreachable = unreachable / total
	}
	p.Shed, p.ReservationsMet = decide.ShedToFit(shares, p.Capacity)
	return p
}

// reachable returns the shards that some endpoint serves in a phase, and sets the phase's capacity.
func (s *Study) reachable(p *Phase, l *Loss) map[int]bool {
	shards := map[int]bool{}
	for _, endpoint := range s.Fleet.Brick {
		lost := slices.Contains(l.Endpoints, endpoint.Name)
		if lost && p.Name == phaseOutage {
			continue
		}
		speed := s.speed(endpoint)
		if lost && p.Name == phaseSlowStart {
			speed *= (1 + s.Fleet.Rules.ColdFrom) / 2 // mean speed over the linear slow start
		}
		shards[int(endpoint.Cell)] = true
		p.Capacity += speed
	}
	return shards
}

// service sums the results of all runs in a phase by plan and request class.
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
		all = append(all, Service{Plan: key.Plan, Class: key.Class, InTarget: sum.InTargetRatio(), Low: slices.Min(parts[key]), High: slices.Max(parts[key]),
			P99: sum.Quantile(0.99), Requests: sum.Requests / len(results)})
	}
	slices.SortFunc(all, func(a, b Service) int { return cmp.Or(cmp.Compare(a.Plan, b.Plan), cmp.Compare(a.Class, b.Class)) })
	return all
}

// tallies sums the seconds of a phase in the result of one run.
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
