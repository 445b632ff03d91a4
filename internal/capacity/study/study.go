// Package study answers capacity questions. It simulates intervals of a captured load in parallel, as internal/capacity/decide selects
// them, and combines the results.
package study

import (
	"context"
	"errors"
	"math/rand"
	"runtime"
	"time"

	"golang.org/x/sync/errgroup"

	"weirhaven/internal/capacity/bounds"
	"weirhaven/internal/capacity/decide"
	"weirhaven/internal/capacity/demand"
	"weirhaven/internal/capacity/forecast"
	"weirhaven/internal/capacity/place"
	"weirhaven/internal/capacity/sample"
	"weirhaven/internal/pb"
)

// ErrEmptyLoad is returned if the capture holds no requests.
var ErrEmptyLoad = errors.New("the capture holds no requests")

// Study answers questions about one load, fleet and model. Prepare must be called before all other methods. Its methods must not be
// called concurrently.
type Study struct {
	Fleet     *pb.CapacityFleet
	Model     *pb.CapacityModel
	Requests  []demand.Request
	Goals     []decide.Goal
	Seed      int64
	Length    time.Duration // of each simulated interval of the load; 0: 20 s
	Stretches int           // number of simulated intervals; 0: 5
	Jobs      int           // simulations run in parallel; 0: as many as cores
	// Progress receives progress messages. nil: none.
	Progress func(line string)

	Captured  bounds.Input // ExtraAttempts, Requests, HoldTime and Span as captured
	stretches []sample.Interval
	cost      place.Cost
	speed     func(*pb.Server) float64
}

// warmUp is simulated before each interval, so that gateways have measured their load. Its results aren't counted.
const warmUp = 3 * time.Second

// Prepare validates the study, sets defaults and selects the intervals to simulate.
func (s *Study) Prepare() error {
	if len(s.Requests) == 0 {
		return ErrEmptyLoad
	}
	if s.Length == 0 {
		s.Length = 20 * time.Second
	}
	if s.Stretches == 0 {
		s.Stretches = 5
	}
	if s.Jobs <= 0 {
		s.Jobs = runtime.NumCPU()
	}
	if s.Progress == nil {
		s.Progress = func(string) {}
	}
	s.cost, s.speed = place.CostOf(s.Model, s.Fleet), bounds.Speeds(s.Fleet, s.Model)
	s.stretches = sample.Choose(s.Work(), s.Length, s.Stretches)
	var plans, classes []string
	for _, p := range s.Fleet.Plan {
		plans = append(plans, p.Name)
	}
	for _, q := range s.Fleet.QueueType {
		classes = append(classes, q.Name)
	}
	if err := decide.CheckNames(s.Goals, plans, classes); err != nil {
		return err
	}
	if len(s.Goals) == 0 {
		g, err := decide.ParseGoal("target>=0.95")
		if err != nil {
			return err
		}
		s.Goals = []decide.Goal{g}
	}
	return nil
}

// Work returns the work of the load in each second, in core seconds.
func (s *Study) Work() []float64 {
	work := make([]float64, int(s.Requests[len(s.Requests)-1].Arrival/time.Second)+1)
	for i := range s.Requests {
		work[int(s.Requests[i].Arrival/time.Second)] += s.cost(&s.Requests[i])
	}
	return work
}

// Capacity returns the capacity of all endpoints together, in cores.
func (s *Study) Capacity() (sum float64) {
	for _, b := range s.Fleet.Brick {
		sum += s.speed(b)
	}
	return sum
}

// Limits returns the analytic limits of a fleet under a load.
func (s *Study) Limits(f *pb.CapacityFleet, all []demand.Request) []bounds.Limit {
	in := s.Captured
	in.Fleet, in.Model, in.Demand = f, s.Model, all
	return bounds.Limits(in)
}

// loadResult holds the results of one load on one fleet, by interval.
type loadResult struct {
	blocks  [][]decide.Block // by interval; Tallies holds one probe
	results []*forecast.Result
}

// runStretches simulates the selected intervals of a load scaled by a factor.
func (s *Study) runStretches(ctx context.Context, f *pb.CapacityFleet, all []demand.Request, factor float64) (*loadResult, error) {
	p := &loadResult{blocks: make([][]decide.Block, len(s.stretches)), results: make([]*forecast.Result, len(s.stretches))}
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(s.Jobs)
	for i, stretch := range s.stretches {
		g.Go(func() error {
			if err := ctx.Err(); err != nil {
				return err
			}
			rng := rand.New(rand.NewSource(s.Seed + int64(i)))
			from := max(stretch.From-warmUp, 0)
			load := demand.Scale(demand.Slice(all, from, stretch.To), factor, rng)
			if len(load) == 0 {
				return nil
			}
			r, err := forecast.Run(forecast.Scenario{Fleet: f, Model: s.Model, Requests: load, Seed: s.Seed + int64(i)})
			if err != nil {
				return err
			}
			p.results[i] = r
			skip := int((stretch.From - from) / time.Second)
			weight := stretch.Weight
			for b := skip; b < len(r.Blocks) && b < int((stretch.To-from)/time.Second)+1; b++ {
				p.blocks[i] = append(p.blocks[i], decide.Block{Weight: weight, Tallies: []map[forecast.Key]*forecast.Tally{r.Blocks[b]}})
			}
			return nil
		})
	}
	return p, g.Wait()
}
