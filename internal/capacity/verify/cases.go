package verify

import (
	"math/rand"
	"slices"
	"time"

	"weirhaven/internal/capacity/demand"
	"weirhaven/internal/capacity/forecast"
	"weirhaven/internal/pb"
)

// Case is a change of the recorded scenario, applied to the run and to the forecast.
type Case struct {
	Name      string
	Apply     func(d *pb.Drill)                                            // changes the scenario that is run
	Transform func(load []demand.Request, rng *rand.Rand) []demand.Request // returns the changed load for the forecast; leaves load unchanged
	Events    []forecast.Event
	Relocated bool // the case changes the fleet
}

// Start and end of the failures in a case, from the start of the run.
const (
	failAt    = 4 * time.Second
	recoverAt = 8 * time.Second
)

// The surge of one service plan, from failAt.
const (
	surgePlan   = "basic"
	surgeLength = 5 * time.Second
	surgeTimes  = 4
)

// Cases returns the ten cases by which forecasts are verified.
func Cases(_ *pb.Drill, f *pb.CapacityFleet) []Case {
	return append(loadCases(), append(fleetCases(), failureCases(f)...)...)
}

func loadCases() []Case {
	return []Case{
		{Name: "as recorded", Apply: scaleDemand(1), Transform: scaleLoad(1)},
		{Name: "load x 0.6", Apply: scaleDemand(0.6), Transform: scaleLoad(0.6)},
		{Name: "load x 1.25", Apply: scaleDemand(1.25), Transform: scaleLoad(1.25)},
		{Name: "load x 1.5", Apply: scaleDemand(1.5), Transform: scaleLoad(1.5)},
		{Name: "load x 2", Apply: scaleDemand(2), Transform: scaleLoad(2)},
		{Name: "surge of plan basic x 4", Transform: addSurge, Apply: func(d *pb.Drill) {
			d.Trouble = append(d.Trouble, &pb.Trouble{Kind: pb.Trouble_PLAN_BURST, At: "4s", Length: "5s", Size: surgeTimes, Plan: surgePlan})
		}},
	}
}

func fleetCases() []Case {
	return []Case{
		{Name: "one brick fewer", Transform: scaleLoad(1), Relocated: true, Apply: func(d *pb.Drill) { d.Bricks[len(d.Bricks)-1].Count-- }},
		{Name: "two bricks more, load x 1.5", Transform: scaleLoad(1.5), Relocated: true, Apply: func(d *pb.Drill) {
			scaleDemand(1.5)(d)
			first := d.Bricks[0]
			d.Bricks = append(d.Bricks, &pb.BrickGroup{Kind: first.Kind, Count: 2, Zone: first.Zone, Speed: first.Speed})
		}},
	}
}

// failureCases returns the loss of the zone of the last endpoint, and the loss of a gateway.
func failureCases(f *pb.CapacityFleet) []Case {
	zone := f.Brick[len(f.Brick)-1].Zone
	var events []forecast.Event
	var shards []uint32
	for _, endpoint := range f.Brick {
		if endpoint.Zone == zone {
			events = append(events, forecast.Event{At: failAt, Endpoint: endpoint.Name, Down: true, Unannounced: true},
				forecast.Event{At: recoverAt, Endpoint: endpoint.Name, Unannounced: true})
			shards = append(shards, endpoint.Cell)
		}
	}
	return []Case{
		{Name: "zone " + zone + " lost for 4 s", Transform: scaleLoad(1), Events: events, Apply: crash(pb.Trouble_BRICK_CRASH, shards)},
		{Name: "one host lost for 4 s", Transform: scaleLoad(1), Apply: crash(pb.Trouble_HOST_CRASH, []uint32{1}),
			Events: []forecast.Event{{At: failAt, Gateway: "host-1", Down: true}, {At: recoverAt, Gateway: "host-1"}}},
	}
}

func crash(kind pb.Trouble_Kind, on []uint32) func(d *pb.Drill) {
	return func(d *pb.Drill) {
		d.Trouble = append(d.Trouble, &pb.Trouble{Kind: kind, At: failAt.String(), On: on, Back: (recoverAt - failAt).String()})
	}
}

func scaleDemand(times float64) func(d *pb.Drill) {
	return func(d *pb.Drill) {
		for _, volume := range d.Volumes {
			volume.Demand *= times
		}
	}
}

func scaleLoad(times float64) func(load []demand.Request, rng *rand.Rand) []demand.Request {
	return func(load []demand.Request, rng *rand.Rand) []demand.Request { return demand.Scale(load, times, rng) }
}

// addSurge adds copies of requests of the plan, drawn from the whole load: copies of the few seconds of the surge alone would repeat
// their random deviations.
func addSurge(load []demand.Request, rng *rand.Rand) []demand.Request {
	surged := slices.Clone(load)
	copies := (surgeTimes - 1) * surgeLength.Seconds() / load[len(load)-1].Arrival.Seconds() // of each request
	for _, r := range load {
		for remaining := copies; r.Plan == surgePlan && remaining > 0; remaining-- {
			if remaining >= 1 || rng.Float64() < remaining {
				r.Arrival = failAt + time.Duration(rng.Int63n(int64(surgeLength)))
				surged = append(surged, r)
			}
		}
	}
	slices.SortStableFunc(surged, func(a, b demand.Request) int { return int(a.Arrival - b.Arrival) })
	return surged
}
