package place

import (
	"weirhaven/internal/capacity/demand"
	"weirhaven/internal/capacity/model"
	"weirhaven/internal/pb"
)

// Cost is the mean work of a request on a core of speed 1, in seconds.
type Cost func(request *demand.Request) float64

// CostOf reads the cost off a model: by the first kind that knows the queue type, else by the mean unit over all that was learnt.
func CostOf(m *pb.CapacityModel, _ *pb.CapacityFleet) Cost {
	meanUnit := meanUnitCost(m)
	return func(request *demand.Request) float64 {
		for _, kind := range m.Kind {
			if work := model.Work(kind, request.Class, request.Units, -1); work > 0 {
				return work
			}
		}
		return meanUnit * request.Units
	}
}

// meanUnitCost is the work of a request of one unit, weighted by the samples of each queue type; 0 where nothing was learnt.
func meanUnitCost(m *pb.CapacityModel) float64 {
	work, samples := 0.0, 0.0
	for _, kind := range m.Kind {
		for _, w := range kind.Work {
			work, samples = work+(w.Unit+w.Base)*float64(w.Samples), samples+float64(w.Samples)
		}
	}
	if samples > 0 {
		work /= samples
	}
	return work
}
