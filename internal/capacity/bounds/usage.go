package bounds

import (
	"time"

	"weirhaven/internal/capacity/place"
	"weirhaven/internal/pb"
)

// seriesKey identifies a series: the load over time of one endpoint, zone, gateway or volume.
type seriesKey struct {
	kind    Kind // KindEndpoint, KindZone, KindGateway; KindPlanQuota for a volume
	subject string
}

// usage is the demand of the load on each resource.
type usage struct {
	window    time.Duration
	fleet     *windowPeak               // core seconds
	series    map[seriesKey]*windowPeak // core seconds; requests for a gateway, units for a volume
	volumes   map[string]string         // the plan of each volume
	planUnits map[string]float64
	planWork  map[string]float64 // core seconds
	unplaced  float64            // core seconds on shards that no endpoint holds
}

func newUsage(window time.Duration) *usage {
	return &usage{window: window, fleet: &windowPeak{window: window}, series: map[seriesKey]*windowPeak{},
		volumes: map[string]string{}, planUnits: map[string]float64{}, planWork: map[string]float64{}}
}

// measure adds up the load by resource.
func measure(in Input, byShard map[int][]*pb.Server) *usage {
	u := newUsage(Window(in.Fleet))
	cost := place.CostOf(in.Model, in.Fleet)
	for i := range in.Demand {
		request := &in.Demand[i]
		work := cost(request)
		u.volumes[request.Volume] = request.Plan
		u.fleet.add(request.Arrival, work)
		u.planUnits[request.Plan] += request.Units
		u.planWork[request.Plan] += work
		u.add(KindPlanQuota, request.Volume, request.Arrival, request.Units)
		u.add(KindGateway, request.Gateway, request.Arrival, float64(max(request.Attempts, 1)))
		if request.Shard < 0 {
			continue // a new object may be placed on any shard: it counts against the fleet only
		}
		u.addShard(byShard[request.Shard], request.Arrival, work)
	}
	return u
}

// addShard divides work evenly among the endpoints that hold a shard.
func (u *usage) addShard(holders []*pb.Server, now time.Duration, work float64) {
	if len(holders) == 0 {
		u.unplaced += work
	}
	for _, endpoint := range holders {
		u.add(KindEndpoint, endpoint.Name, now, work/float64(len(holders)))
		u.add(KindZone, endpoint.Zone, now, work/float64(len(holders)))
	}
}

func (u *usage) add(kind Kind, subject string, now time.Duration, value float64) {
	key := seriesKey{kind, subject}
	p := u.series[key]
	if p == nil {
		p = &windowPeak{window: u.window}
		u.series[key] = p
	}
	p.add(now, value)
}

// peak returns the mean rate of a resource in its worst window.
func (u *usage) peak(kind Kind, subject string) peakRate {
	return u.series[seriesKey{kind, subject}].rate()
}
