package bounds

import (
	"math"

	"weirhaven/internal/pb"
)

// Speeds returns a function that gives an endpoint's capacity in core seconds a second, pauses taken off. A speed learnt for the
// endpoint counts before the one stated for its kind; where there is neither, a core has speed 1.
func Speeds(f *pb.CapacityFleet, m *pb.CapacityModel) func(endpoint *pb.Server) float64 {
	learnt := map[string]float64{}
	for _, endpoint := range m.Brick {
		learnt[endpoint.Name+" "+endpoint.Kind] = endpoint.Speed
	}
	cores, stated := map[string]float64{}, map[string]float64{}
	for _, kind := range f.Kind {
		cores[kind.Name], stated[kind.Name] = math.Max(float64(kind.Cores), 1), kind.Speed
	}
	uptime := uptimes(m)
	return func(endpoint *pb.Server) float64 {
		speed := learnt[endpoint.Name+" "+endpoint.Kind]
		if speed == 0 {
			speed = 1
			if _, known := uptime[endpoint.Kind]; !known && stated[endpoint.Kind] > 0 {
				speed = stated[endpoint.Kind]
			}
		}
		if part := uptime[endpoint.Kind]; part > 0 {
			speed *= part
		}
		return speed * cores[endpoint.Kind]
	}
}

// uptimes is the part of the time that an endpoint of each learnt kind isn't paused.
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
