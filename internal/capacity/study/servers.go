package study

import (
	"context"
	"fmt"
	"math"
	"slices"
	"strings"

	"weirhaven/internal/capacity/bounds"
	"weirhaven/internal/capacity/decide"
	"weirhaven/internal/capacity/place"
	"weirhaven/internal/pb"
)

const (
	// guessReserve is by how much the first number looked at exceeds the analytic bound.
	guessReserve = 1.2
	// gatewayUtilization is the part of a gateway's request rate that keeps its queue short.
	gatewayUtilization = 0.7
	// ampleFactor is how many times the fleet's endpoints are ample when a goal's failure is explained.
	ampleFactor = 4
)

// Servers is how many servers of a kind it takes.
type Servers struct {
	Kind    string
	Now     int
	Least   int
	Found   bool
	Why     string          // where no number does
	Margins map[int]float64 `json:"Tried"` // by number
	Cost    float64         // of the least
}

// FindLeastServers looks for the least servers of each kind that meet the goals, the other kinds as they are; and of gateways, by what each
// carries.
func (s *Study) FindLeastServers(ctx context.Context) ([]Servers, error) {
	var all []Servers
	for _, kind := range s.Fleet.Kind {
		now := s.count(kind.Name)
		if now == 0 {
			continue
		}
		found, err := s.leastOf(ctx, kind, now)
		if err != nil {
			return nil, err
		}
		all = append(all, found)
	}
	if gateways, ok := s.leastGateways(); ok {
		all = append(all, gateways)
	}
	return all, nil
}

func (s *Study) count(kind string) (n int) {
	for _, endpoint := range s.Fleet.Brick {
		if endpoint.Kind == kind {
			n++
		}
	}
	return n
}

func (s *Study) leastOf(ctx context.Context, kind *pb.ServerKind, now int) (Servers, error) {
	search := decide.NewServerSearch(s.guessServers(now), max(64*now, 256))
	found := Servers{Kind: kind.Name, Now: now}
	var last *loadResult
	for {
		n, ok := search.Next()
		if !ok {
			break
		}
		f, err := place.ResizeFleet(s.Fleet, kind.Name, n)
		if err != nil {
			return found, err
		}
		last, err = s.runStretches(ctx, f, place.Relocate(s.Requests, s.Fleet, f, s.cost, s.speed), 1)
		if err != nil {
			return found, err
		}
		margin := decide.Margin(last.blocks, 0, s.Goals, true)
		search.Record(n, margin)
		s.Progress(fmt.Sprintf("%d of kind %s: margin %+.2f", n, kind.Name, margin))
	}
	found.Least, found.Found = search.Found()
	found.Margins = search.Margins()
	found.Cost = float64(found.Least) * math.Max(kind.Cost, 1)
	if !found.Found && last != nil {
		found.Why = s.explain(last, kind.Name)
	}
	return found, nil
}

// guessServers scales the number by the fleet's analytic bound.
func (s *Study) guessServers(now int) int {
	guess := now
	for _, l := range bounds.Usual(s.Limits(s.Fleet, s.Requests)) {
		if l.Kind == bounds.KindFleet && l.Factor > 0 && !math.IsInf(l.Factor, 1) {
			guess = int(math.Ceil(float64(now)/l.Factor*guessReserve)) + 1
		}
	}
	return guess
}

// leastGateways compares the requests of the worst window with what a gateway carries; false: no gateway states it.
func (s *Study) leastGateways() (Servers, bool) {
	most := 0.0
	for _, gateway := range s.Fleet.Host {
		most = math.Max(most, gateway.Commands)
	}
	if most <= 0 {
		return Servers{}, false
	}
	peak, window := 0.0, bounds.Window(s.Fleet)
	oldest, within := 0, 0.0
	for i := range s.Requests {
		for within++; s.Requests[i].Arrival-s.Requests[oldest].Arrival >= window; oldest++ {
			within--
		}
		peak = math.Max(peak, within/window.Seconds())
	}
	n := int(math.Ceil(peak / (gatewayUtilization * most)))
	return Servers{Kind: "host", Now: len(s.Fleet.Host), Least: max(n, 1), Found: true}, true
}

// explain says for each goal that is missed with many servers why they don't help.
func (s *Study) explain(p *loadResult, kind string) string {
	f, err := place.ResizeFleet(s.Fleet, kind, ampleFactor*len(s.Fleet.Brick))
	if err != nil {
		return err.Error()
	}
	relocated := place.Relocate(s.Requests, s.Fleet, f, s.cost, s.speed)
	limits := s.Limits(f, relocated)
	var singleShard []string
	for volume, shards := range place.VolumeShards(relocated, f) {
		if len(shards) == 1 {
			singleShard = append(singleShard, volume)
		}
	}
	slices.Sort(singleShard)
	var reasons []string
	for _, g := range s.Goals {
		worst, value := 0.0, 0.0
		for _, blocks := range p.blocks {
			if x, ok := g.Value(decide.Combine([][]decide.Block{blocks}, 0)); ok && g.Margin(x) < worst {
				worst, value = g.Margin(x), x
			}
		}
		if worst < 0 {
			reasons = append(reasons, decide.ExplainUnmet(g, value, limits, singleShard))
		}
	}
	return strings.Join(reasons, "\n")
}
