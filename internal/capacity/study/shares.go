package study

import (
	"cmp"
	"math"
	"slices"
	"time"

	"weirhaven/internal/capacity/decide"
	"weirhaven/internal/capacity/demand"
	"weirhaven/internal/capacity/forecast"
	"weirhaven/internal/pb"
)

// minImportance is the least importance that counts, so that a plan or request class that states none does not weigh 0.
const minImportance = 0.01

// shares returns the reachable work by plan and request class in the worst second of a phase. unreachable and total are the core seconds
// of the requests for unreachable shards and of all requests in that second.
func (s *Study) shares(load []demand.Request, p Phase, reachable map[int]bool) (all []decide.Share, unreachable, total float64) {
	worst := s.worstSecond(load, p)
	plans, classes := s.plansAndClasses()
	sums := map[forecast.Key]*decide.Share{}
	units := map[string]float64{} // by volume, so far: the first units of a volume are reserved
	for i := range load {
		r := &load[i]
		plan, class := plans[r.Plan], classes[r.Class]
		if int(r.Arrival/time.Second) != worst || plan == nil || class == nil {
			continue
		}
		work := s.cost(r)
		total += work
		if r.Shard >= 0 && !reachable[r.Shard] {
			unreachable += work
			continue
		}
		key := forecast.Key{Plan: r.Plan, Class: r.Class}
		if sums[key] == nil {
			sums[key] = &decide.Share{Plan: r.Plan, Class: r.Class, Weight: math.Max(plan.Importance, minImportance) * math.Max(class.Importance, minImportance)}
		}
		sum := sums[key]
		sum.Work += work
		sum.RequestRate++
		if units[r.Volume]+r.Units <= plan.Reservation {
			sum.Reserved += work
		}
		units[r.Volume] += r.Units
	}
	for _, share := range sums {
		all = append(all, *share)
	}
	slices.SortFunc(all, func(a, b decide.Share) int {
		return cmp.Or(cmp.Compare(a.Plan, b.Plan), cmp.Compare(a.Class, b.Class))
	})
	return all, unreachable, total
}

// worstSecond returns the second of a phase with the most work; the earliest if several have as much.
func (s *Study) worstSecond(load []demand.Request, p Phase) (worst int) {
	work := map[int]float64{}
	for i := range load {
		if r := &load[i]; r.Arrival >= p.From && r.Arrival < p.To {
			work[int(r.Arrival/time.Second)] += s.cost(r)
		}
	}
	highest := -1.0
	for second, w := range work {
		if w > highest || w == highest && second < worst {
			worst, highest = second, w
		}
	}
	return worst
}

// plansAndClasses returns the fleet's plans and request classes by name.
func (s *Study) plansAndClasses() (plans map[string]*pb.Plan, classes map[string]*pb.QueueType) {
	plans, classes = map[string]*pb.Plan{}, map[string]*pb.QueueType{}
	for _, plan := range s.Fleet.Plan {
		plans[plan.Name] = plan
	}
	for _, class := range s.Fleet.QueueType {
		classes[class.Name] = class
	}
	return plans, classes
}
