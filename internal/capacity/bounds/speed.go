package bounds

import (
	"math"

	"weirhaven/internal/pb"
)

// Speeds returns a function that returns an endpoint's capacity in core seconds per second, without the time it is paused. The speed learnt
// for the endpoint takes precedence over the one configured for its kind; without either, a core has speed 1.
func Speeds(f *pb.CapacityFleet, m *pb.CapacityModel) func(endpoint *pb.Server) float64 {
	learnt := map[string]float64{}
	for _, endpoint := range m.Brick {
		learnt[endpoint.Name+" "+endpoint.Kind] = endpoint.Speed
	}
	cores, configured := map[string]float64{}, map[string]float64{}
	for _, kind := range f.Kind {
		cores[kind.Name], configured[kind.Name] = math.Max(float64(kind.Cores), 1), kind.Speed
	}
	uptime := uptimes(m)
	return func(endpoint *pb.Server) float64 {
		speed := learnt[endpoint.Name+" "+endpoint.Kind]
		if speed == 0 {
			speed = 1
			if _, known := uptime[endpoint.Kind]; !known && configured[endpoint.Kind] > 0 {
				speed = configured[endpoint.Kind]
			}
		}
		if share := uptime[endpoint.Kind]; share > 0 {
			speed *= share
		}
		return speed * cores[endpoint.Kind]
	}
}

// uptimes returns, for each learnt kind, the share of the time that its endpoints are not paused.
func uptimes(m *pb.CapacityModel) map[string]float64 {
	uptime := map[string]float64{}
	for _, kind := range m.Kind {
		uptime[kind.Name] = 1
		if kind.PauseEvery > 0 {
			uptime[kind.Name] = kind.PauseEvery / (kind.PauseEvery + kind.Pause)
		}
	}
	return uptime
}
