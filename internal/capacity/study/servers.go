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
	// guessReserve is the factor by which the first number of servers simulated exceeds the analytic bound.
	guessReserve = 1.2
	// gatewayUtilization is the fraction of a gateway's maximum request rate up to which its queue stays short.
	gatewayUtilization = 0.7
	// ampleFactor is the multiple of the fleet's endpoints for which a goal that no number of servers meets is explained.
	ampleFactor = 4
)

// Servers is the number of servers of one kind that the goals need.
type Servers struct {
	Kind    string
	Current int `json:"Now"`
	Least   int
	Found   bool            // false: no number of servers meets the goals
	Reason  string          `json:"Why"`   // why no number of servers meets the goals; empty if one does
	Margins map[int]float64 `json:"Tried"` // margin by number of servers simulated
	Cost    float64         // of the least number of servers
}

// FindLeastServers searches for the least number of endpoints of each kind that meets the goals while the other kinds stay unchanged. For
// gateways it computes the number from their stated request rate.
func (s *Study) FindLeastServers(ctx context.Context) ([]Servers, error) {
	var all []Servers
	for _, kind := range s.Fleet.Kind {
		now := s.countServers(kind.Name)
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

func (s *Study) countServers(kind string) (n int) {
	for _, endpoint := range s.Fleet.Brick {
		if endpoint.Kind == kind {
			n++
		}
	}
	return n
}

func (s *Study) leastOf(ctx context.Context, kind *pb.ServerKind, now int) (Servers, error) {
	search := decide.NewServerSearch(s.guessServers(now), max(64*now, 256))
	found := Servers{Kind: kind.Name, Current: now}
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
		found.Reason = s.explainUnmet(last, kind.Name)
	}
	return found, nil
}

// guessServers scales the current number of servers by the fleet's analytic limit.
func (s *Study) guessServers(now int) int {
	guess := now
	for _, l := range bounds.Usual(s.Limits(s.Fleet, s.Requests)) {
		if l.Kind == bounds.KindFleet && l.Factor > 0 && !math.IsInf(l.Factor, 1) {
			guess = int(math.Ceil(float64(now)/l.Factor*guessReserve)) + 1
		}
	}
	return guess
}

// leastGateways divides the request rate of the worst window by what the largest gateway handles. It returns false if no gateway states its
// maximum rate.
func (s *Study) leastGateways() (Servers, bool) {
	maxRate := 0.0
	for _, gateway := range s.Fleet.Host {
		maxRate = math.Max(maxRate, gateway.Commands)
	}
	if maxRate <= 0 {
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
	n := int(math.Ceil(peak / (gatewayUtilization * maxRate)))
	return Servers{Kind: "host", Current: len(s.Fleet.Host), Least: max(n, 1), Found: true}, true
}

// explainUnmet explains, for each goal missed with the last number of servers simulated, why more servers don't help.
func (s *Study) explainUnmet(p *loadResult, kind string) string {
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
