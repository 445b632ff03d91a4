package bounds

import (
	"math"
	"time"

	"weirhaven/internal/capacity/demand"
	"weirhaven/internal/pb"
	"weirhaven/internal/settings"
)

// Input holds the data that the bounds are computed from.
type Input struct {
	Fleet  *pb.CapacityFleet
	Model  *pb.CapacityModel
	Demand []demand.Request // sorted by arrival
	// ExtraAttempts (retries and hedged attempts) and Requests are counts over Span, as captured.
	ExtraAttempts, Requests float64
	HoldTime                time.Duration // mean time that a gateway holds a request; 0: unknown
	Span                    time.Duration // length of the capture; 0: unknown
}

// analysis collects the limits of one input.
type analysis struct {
	Input
	usage    *usage
	byShard  map[int][]*pb.Server
	speed    func(endpoint *pb.Server) float64
	capacity float64 // of all endpoints, in cores
	limits   []Limit
}

// Limits returns all limits, the nearest first. A limit that depends on an unknown input or a missing setting is left out.
func Limits(in Input) []Limit {
	a := &analysis{Input: in, byShard: map[int][]*pb.Server{}, speed: Speeds(in.Fleet, in.Model)}
	for _, endpoint := range in.Fleet.Brick {
		a.byShard[int(endpoint.Cell)] = append(a.byShard[int(endpoint.Cell)], endpoint)
		a.capacity += a.speed(endpoint)
	}
	a.usage = measure(in, a.byShard)
	a.addFleet()
	a.addEndpoints()
	a.addSlowStart()
	a.addZones()
	a.addGateways()
	a.addPlanQuotas()
	a.addReservations()
	a.addInFlight()
	a.addAttemptBudget()
	a.addUnplaced()
	sortNearest(a.limits)
	return a.limits
}

func (a *analysis) add(l Limit) { a.limits = append(a.limits, l) }

func (a *analysis) addFleet() {
	a.add(newLimit(KindFleet, "all bricks", a.usage.fleet.rate(), a.capacity, "cores"))
}

func (a *analysis) addEndpoints() {
	for _, endpoint := range a.Fleet.Brick {
		a.add(newLimit(KindEndpoint, endpoint.Name, a.usage.peak(KindEndpoint, endpoint.Name), a.speed(endpoint), "cores"))
	}
}

// addSlowStart adds the limit of the endpoint whose replacement would be the first to be overloaded during slow start. It considers only
// endpoints that hold a shard alone: where there are other holders, they take the load until the replacement is warm.
func (a *analysis) addSlowStart() {
	initial := a.Fleet.Rules.ColdFrom // share of its capacity that an endpoint starts with
	if initial <= 0 || initial >= 1 {
		return
	}
	nearest := Limit{Factor: math.Inf(1)}
	for _, endpoint := range a.Fleet.Brick {
		peak := a.usage.peak(KindEndpoint, endpoint.Name)
		if peak.rate <= 0 || len(a.byShard[int(endpoint.Cell)]) != 1 {
			continue
		}
		l := newLimit(KindSlowStart, endpoint.Name, peak, a.speed(endpoint)*initial, "cores")
		if l.Factor < nearest.Factor {
			l.Condition = "its replacement has just come up"
			nearest = l
		}
	}
	if nearest.Subject != "" {
		a.add(nearest)
	}
}

func (a *analysis) addZones() {
	zones := map[string]float64{}
	for _, endpoint := range a.Fleet.Brick {
		zones[endpoint.Zone] += a.speed(endpoint)
	}
	for zone, capacity := range zones {
		a.add(newLimit(KindZone, zone, a.usage.peak(KindZone, zone), capacity, "cores"))
	}
}

func (a *analysis) addGateways() {
	for _, gateway := range a.Fleet.Host {
		if gateway.Commands > 0 {
			a.add(newLimit(KindGateway, gateway.Name, a.usage.peak(KindGateway, gateway.Name), gateway.Commands, "commands/s"))
		}
	}
}

// addInFlight applies Little's law: the number of requests in flight is their rate times the mean time that each is held.
func (a *analysis) addInFlight() {
	b := a.Fleet.Bounds
	if b == nil || b.CommandsAConnection <= 0 || b.Connections <= 0 || a.HoldTime <= 0 {
		return
	}
	capacity := float64(b.CommandsAConnection) * float64(b.Connections)
	for _, gateway := range a.Fleet.Host {
		peak := a.usage.peak(KindGateway, gateway.Name)
		peak.rate *= a.HoldTime.Seconds()
		a.add(newLimit(KindInFlight, gateway.Name, peak, capacity, "commands"))
	}
}

// addAttemptBudget compares a gateway's retries and hedged attempts with its budget: a fixed allowance plus a share of its requests. The
// share grows with the load and the allowance doesn't, so only the attempts beyond the share count against the allowance.
func (a *analysis) addAttemptBudget() {
	b := a.Fleet.Rules.Budget
	if b == nil || a.Requests <= 0 || a.Span <= 0 {
		return
	}
	perGateway := settings.Duration(b.Span, time.Second).Seconds() / a.Span.Seconds() / math.Max(float64(len(a.Fleet.Host)), 1)
	used, share := a.ExtraAttempts*perGateway, b.Share*a.Requests*perGateway
	factor := math.Inf(1)
	if used > share {
		factor = b.Free / (used - share)
	}
	a.add(Limit{Kind: KindAttemptBudget, Subject: "further dispatches", Factor: factor, Used: used, Capacity: b.Free + share, Unit: "a host within " + b.Span})
}

func (a *analysis) addUnplaced() {
	if a.usage.unplaced > 0 {
		a.add(Limit{Kind: KindShard, Subject: "data on no brick", Factor: 0, Used: a.usage.unplaced, Unit: "core seconds",
			Condition: "the fleet has no brick for some cells of the load"})
	}
}
