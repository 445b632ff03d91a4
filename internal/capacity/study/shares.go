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

// minImportance keeps a plan or queue type without a stated importance from weighing nothing.
const minImportance = 0.01

// shares are the work by plan and queue type in a phase's worst second, of what can be reached; unreachable and total are core
// seconds of all that is asked for in it.
func (s *Study) shares(load []demand.Request, p Phase, reachable map[int]bool) (all []decide.Share, unreachable, total float64) {
	worst := s.worstSecond(load, p)
	plans, types := s.rules()
	sums := map[forecast.Key]*decide.Share{}
	units := map[string]float64{} // by volume, so far: the first of it are reserved
	for i := range load {
		r := &load[i]
		plan, queueType := plans[r.Plan], types[r.Class]
		if int(r.Arrival/time.Second) != worst || plan == nil || queueType == nil {
			continue
		}
		work := s.cost(r)
		total += work
		if r.Shard >= 0 && !reachable[r.Shard] {
			unreachable += work
			continue
		}
		key := forecast.Key{Plan: r.Plan, Type: r.Class}
		if sums[key] == nil {
			sums[key] = &decide.Share{Plan: r.Plan, QueueType: r.Class, Weight: math.Max(plan.Importance, minImportance) * math.Max(queueType.Importance, minImportance)}
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
		return cmp.Or(cmp.Compare(a.Plan, b.Plan), cmp.Compare(a.QueueType, b.QueueType))
	})
	return all, unreachable, total
}

// worstSecond is the one of a phase in which most work is asked for, the first of several.
func (s *Study) worstSecond(load []demand.Request, p Phase) (worst int) {
	work := map[int]float64{}
	for i := range load {
		if r := &load[i]; r.Arrival >= p.From && r.Arrival < p.To {
			work[int(r.Arrival/time.Second)] += s.cost(r)
		}
	}
	most := -1.0
	for second, w := range work {
		if w > most || w == most && second < worst {
			worst, most = second, w
		}
	}
	return worst
}

// rules are the fleet's plans and queue types by name.
func (s *Study) rules() (plans map[string]*pb.Plan, types map[string]*pb.QueueType) {
	plans, types = map[string]*pb.Plan{}, map[string]*pb.QueueType{}
	for _, plan := range s.Fleet.Plan {
		plans[plan.Name] = plan
	}
	for _, queueType := range s.Fleet.QueueType {
		types[queueType.Name] = queueType
	}
	return plans, types
}
