package verify

import (
	"math"
	"time"

	"weirhaven/internal/capacity/bounds"
	"weirhaven/internal/capacity/demand"
	"weirhaven/internal/capacity/place"
	"weirhaven/internal/pb"
	"weirhaven/internal/settings"
)

// naive estimates the figures from the mean load alone: one queue for all endpoints (M/M/c by its utilization), with exponentially
// distributed latency.
func naive(f *pb.CapacityFleet, m *pb.CapacityModel, load []demand.Request) Figures {
	speed, capacity := bounds.Speeds(f, m), 0.0
	for _, endpoint := range f.Brick {
		capacity += speed(endpoint)
	}
	objectives := map[string]float64{} // latency objective by request class, seconds
	for _, q := range f.QueueType {
		objectives[q.Name] = settings.Duration(q.ServiceTarget, 0).Seconds()
	}
	cost, work, objective := place.CostOf(m, f), 0.0, 0.0
	for i := range load {
		work += cost(&load[i])
		objective += objectives[load[i].Class] / float64(len(load))
	}
	span := load[len(load)-1].Arrival.Seconds()
	utilization := math.Min(work/span/capacity, 1)
	if utilization >= 1 {
		return Figures{InTarget: capacity * span / work, P99: time.Duration(objective * float64(time.Second)), Utilization: utilization}
	}
	service := work / float64(len(load)) / (capacity / float64(len(f.Brick)))
	latency := service / (1 - utilization)
	return Figures{InTarget: 1 - math.Exp(-objective/latency), P99: time.Duration(latency * math.Log(100) * float64(time.Second)), Utilization: utilization}
}
