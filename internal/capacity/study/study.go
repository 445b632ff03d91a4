// Package study answers capacity questions: it plays stretches of a captured load on all cores, by the decisions of
// internal/capacity/decide, and puts together what came of them.
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

// ErrEmptyLoad is returned where the capture holds no request.
var ErrEmptyLoad = errors.New("the capture holds no command")

// Study is one load, one fleet, one model. Prepare comes before all other methods; they run one at a time.
type Study struct {
	Fleet    *pb.CapacityFleet
	Model    *pb.CapacityModel
	Requests []demand.Request
	Goals    []decide.Goal
	Seed     int64
	// Length and Stretches of what is played: 20 s, 5.
	Length    time.Duration
	Stretches int
	Jobs      int // 0: as many as cores
	// Progress takes a line on what is being done; nil: none.
	Progress func(line string)

	Captured bounds.Input // ExtraAttempts, Requests, HoldTime and Span as captured
	stretch  []sample.Interval
	cost     place.Cost
	speed    func(*pb.Server) float64
}

// warmUp is played before a stretch, so that gateways know their load; it isn't counted.
const warmUp = 3 * time.Second

// Prepare works out what is played.
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
	s.stretch = sample.Choose(s.Work(), s.Length, s.Stretches)
	var plans, types []string
	for _, p := range s.Fleet.Plan {
		plans = append(plans, p.Name)
	}
	for _, q := range s.Fleet.QueueType {
		types = append(types, q.Name)
	}
	if err := decide.CheckNames(s.Goals, plans, types); err != nil {
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

// Work is what the load asks for in each second, in core seconds.
func (s *Study) Work() []float64 {
	work := make([]float64, int(s.Requests[len(s.Requests)-1].Arrival/time.Second)+1)
	for i := range s.Requests {
		work[int(s.Requests[i].Arrival/time.Second)] += s.cost(&s.Requests[i])
	}
	return work
}

// Capacity is the capacity of all endpoints together, in cores.
func (s *Study) Capacity() (sum float64) {
	for _, b := range s.Fleet.Brick {
		sum += s.speed(b)
	}
	return sum
}

// Limits are the analytic bounds.
func (s *Study) Limits(f *pb.CapacityFleet, all []demand.Request) []bounds.Limit {
	in := s.Captured
	in.Fleet, in.Model, in.Demand = f, s.Model, all
	return bounds.Limits(in)
}

// played is what came of one load on one fleet, stretch by stretch.
type played struct {
	blocks  [][]decide.Block // of each stretch; one probe in Tallies
	results []*forecast.Result
}

// play plays the stretches of a load, so many times as large.
func (s *Study) play(ctx context.Context, f *pb.CapacityFleet, all []demand.Request, times float64) (*played, error) {
	p := &played{blocks: make([][]decide.Block, len(s.stretch)), results: make([]*forecast.Result, len(s.stretch))}
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(s.Jobs)
	for i, st := range s.stretch {
		g.Go(func() error {
			if err := ctx.Err(); err != nil {
				return err
			}
			rng := rand.New(rand.NewSource(s.Seed + int64(i)))
			from := max(st.From-warmUp, 0)
			load := demand.Scale(demand.Slice(all, from, st.To), times, rng)
			if len(load) == 0 {
				return nil
			}
			r, err := forecast.Run(forecast.Scenario{Fleet: f, Model: s.Model, Wants: load, Seed: s.Seed + int64(i)})
			if err != nil {
				return err
			}
			p.results[i] = r
			skip := int((st.From - from) / time.Second)
			weight := st.Weight
			for b := skip; b < len(r.Blocks) && b < int((st.To-from)/time.Second)+1; b++ {
				p.blocks[i] = append(p.blocks[i], decide.Block{Weight: weight, Tallies: []map[forecast.Key]*forecast.Tally{r.Blocks[b]}})
			}
			return nil
		})
	}
	return p, g.Wait()
}
