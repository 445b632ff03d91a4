// Package decide holds the capacity planner's decisions: what a goal is and whether it is met, which load or number of servers to
// look at next, how sure an answer is, and what to shed first. It has no I/O, clock or goroutine; chance comes from the caller's
// generator. It knows the tallies of a forecast, and not how a forecast is made.
package decide

import (
	"fmt"
	"math"
	"slices"
	"strings"

	"weirhaven/internal/capacity/forecast"
)

// Measure is what of the service a goal bounds. Its text is as an operator writes it.
type Measure string

// The measures: parts of the requests from 0 to 1, and quantiles of latency in seconds.
const (
	MeasureInTarget Measure = "target"  // part completed within the latency objective
	MeasureRejected Measure = "busy"    // part rejected as overloaded
	MeasureAborted  Measure = "aborted" // part aborted
	MeasureP50      Measure = "p50"
	MeasureP99      Measure = "p99"
	MeasureP999     Measure = "p999"
)

// quantile is the one of latency that a measure stands for; ok is false where it stands for a part of the requests.
func (m Measure) quantile() (q float64, ok bool) {
	switch m {
	case MeasureP50:
		return 0.5, true
	case MeasureP99:
		return 0.99, true
	case MeasureP999:
		return 0.999, true
	}
	return 0, false
}

// Goal is a service goal: of the requests of a plan and a queue type, a measure and its bound.
type Goal struct {
	Text    string // as the operator wrote it
	Plan    string // empty: all
	Class   string // empty: all
	Measure Measure
	Bound   float64 // a part from 0 to 1, or seconds
	AtLeast bool    // the measure must be at least the bound; else at most
}

// Value returns the goal's measure in what a forecast found. ok is false where the forecast has no request that counts.
func (g Goal) Value(tallies map[forecast.Key]*forecast.Tally) (value float64, ok bool) {
	sum := &forecast.Tally{}
	for key, tally := range tallies {
		if g.covers(key) {
			sum.Add(tally)
		}
	}
	requests := float64(sum.Requests - sum.Cancelled) // what its client cancelled says nothing of the service
	if requests == 0 {
		return 0, false
	}
	if q, ok := g.Measure.quantile(); ok {
		return sum.Quantile(q).Seconds(), true
	}
	switch g.Measure {
	case MeasureRejected:
		return float64(sum.Rejected) / requests, true
	case MeasureAborted:
		return float64(sum.Aborted) / requests, true
	default:
		return float64(sum.InTarget) / requests, true
	}
}

func (g Goal) covers(key forecast.Key) bool {
	return (g.Plan == "" || g.Plan == key.Plan) && (g.Class == "" || g.Class == key.Class)
}

// Met says whether a value meets the goal.
func (g Goal) Met(value float64) bool { return g.Margin(value) >= 0 }

// The least room that a margin is a part of: a goal with hardly any room would turn chance into large margins.
const (
	minRoomAtLeast = 0.01  // a part of the requests
	minRoomAtMost  = 0.001 // a part of the requests, or seconds
)

// Margin is by how much a value meets the goal, as a part of the bound's room, so that it compares between goals: 0 just so, below
// 0 not.
func (g Goal) Margin(value float64) float64 {
	if g.AtLeast {
		return (value - g.Bound) / math.Max(1-g.Bound, minRoomAtLeast)
	}
	return (g.Bound - value) / math.Max(g.Bound, minRoomAtMost)
}

// WorstMargin returns the least margin over goals, and the index of its goal. Goals for which the forecast has no request don't
// count; where none counts it returns +Inf and -1.
func WorstMargin(goals []Goal, tallies map[forecast.Key]*forecast.Tally) (margin float64, index int) {
	margin, index = math.Inf(1), -1
	for i, g := range goals {
		if value, ok := g.Value(tallies); ok && g.Margin(value) < margin {
			margin, index = g.Margin(value), i
		}
	}
	return margin, index
}

// CheckNames returns an error for the first goal that names a plan or queue type which neither the fleet nor the load has; nil if
// there is none.
func CheckNames(goals []Goal, plans, queueTypes []string) error {
	for _, g := range goals {
		if g.Plan != "" && !slices.Contains(plans, g.Plan) {
			return fmt.Errorf("goal %q: no plan %q; there are %s", g.Text, g.Plan, strings.Join(plans, ", "))
		}
		if g.Class != "" && !slices.Contains(queueTypes, g.Class) {
			return fmt.Errorf("goal %q: no queue type %q; there are %s", g.Text, g.Class, strings.Join(queueTypes, ", "))
		}
	}
	return nil
}
