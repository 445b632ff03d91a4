package place

import (
	"weirhaven/internal/capacity/demand"
	"weirhaven/internal/capacity/model"
	"weirhaven/internal/pb"
)

// Cost returns the mean work of a request, in core seconds at speed 1.
type Cost func(request *demand.Request) float64

// CostOf returns the cost function of a model. It uses the first kind that has samples of the request class, else the mean cost per unit over
// all samples.
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

// meanUnitCost returns the work of a request of one unit, weighted by the samples of each request class; 0 if there are none.
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
