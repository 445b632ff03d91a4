// Package decide holds the decisions of capacity planning: whether a goal is met, which load or number of servers to simulate next, the
// confidence interval of an answer, and which work to shed first. It has no I/O, clock or goroutine; the caller passes the random
// generator. It reads the tallies of a forecast but doesn't depend on how a forecast is computed.
package decide

import (
	"fmt"
	"math"
	"slices"
	"strings"

	"weirhaven/internal/capacity/forecast"
)

// Measure is the figure that a goal bounds, as an operator writes it.
type Measure string

// The measures: fractions of the requests from 0 to 1, and quantiles of the latency in seconds.
const (
	MeasureInTarget Measure = "target"  // fraction completed within the latency objective
	MeasureRejected Measure = "busy"    // fraction rejected as overloaded
	MeasureAborted  Measure = "aborted" // fraction aborted
	MeasureP50      Measure = "p50"
	MeasureP99      Measure = "p99"
	MeasureP999     Measure = "p999"
)

// quantile returns the latency quantile that m denotes; ok is false if m is a fraction of the requests.
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

// Goal bounds a measure over the requests of a plan and a request class.
type Goal struct {
	Text    string // as the operator wrote it
	Plan    string // empty: all
	Class   string // empty: all
	Measure Measure
	Bound   float64 // a fraction from 0 to 1, or seconds
	AtLeast bool    // the measure must be at least Bound; otherwise at most
}

// Value returns the goal's measure over the tallies of a forecast. ok is false if they hold no request that the goal covers.
func (g Goal) Value(tallies map[forecast.Key]*forecast.Tally) (value float64, ok bool) {
	sum := &forecast.Tally{}
	for key, tally := range tallies {
		if g.covers(key) {
			sum.Add(tally)
		}
	}
	requests := float64(sum.Requests - sum.Cancelled) // a request cancelled by its client is no evidence about the service
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

// covers reports whether the goal applies to the requests of a key.
func (g Goal) covers(key forecast.Key) bool {
	return (g.Plan == "" || g.Plan == key.Plan) && (g.Class == "" || g.Class == key.Class)
}

// Met reports whether a value meets the goal.
func (g Goal) Met(value float64) bool { return g.Margin(value) >= 0 }

// Lower bounds of the divisor of a margin, without which the noise of a goal near the end of its range would give large margins.
const (
	minRoomAtLeast = 0.01  // fraction of the requests
	minRoomAtMost  = 0.001 // fraction of the requests, or seconds
)

// Margin returns by how much a value meets the goal; a negative margin means that it is missed. The margin is relative to the distance
// between the bound and the best possible value, so that the margins of different goals compare.
func (g Goal) Margin(value float64) float64 {
	if g.AtLeast {
		return (value - g.Bound) / math.Max(1-g.Bound, minRoomAtLeast)
	}
	return (g.Bound - value) / math.Max(g.Bound, minRoomAtMost)
}

// WorstMargin returns the least margin over goals, and the index of its goal. Goals without requests in the tallies are left out; if
// all are, it returns +Inf and -1.
func WorstMargin(goals []Goal, tallies map[forecast.Key]*forecast.Tally) (margin float64, index int) {
	margin, index = math.Inf(1), -1
	for i, g := range goals {
		if value, ok := g.Value(tallies); ok && g.Margin(value) < margin {
			margin, index = g.Margin(value), i
		}
	}
	return margin, index
}

// CheckNames returns an error for the first goal that names an unknown plan or request class.
func CheckNames(goals []Goal, plans, classes []string) error {
	for _, g := range goals {
		if g.Plan != "" && !slices.Contains(plans, g.Plan) {
			return fmt.Errorf("goal %q: no plan %q; there are %s", g.Text, g.Plan, strings.Join(plans, ", "))
		}
		if g.Class != "" && !slices.Contains(classes, g.Class) {
			return fmt.Errorf("goal %q: no queue type %q; there are %s", g.Text, g.Class, strings.Join(classes, ", "))
		}
	}
	return nil
}
