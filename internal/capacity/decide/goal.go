// Package decide holds the capacity planner's decisions: what a goal is and whether it is met, where to look next, how sure an
// answer is, and what to give up first. It has no I/O, clock or goroutine.
package decide

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"weirhaven/internal/capacity/forecast"
)

// Goal is a service goal: of the wants of a plan and a queue type (empty: all), a measure at a bound.
type Goal struct {
	Text       string
	Plan, Type string
	What       string // target, p99, p999, p50, busy, aborted
	Bound      float64
	Least      bool // the measure must be at least the bound; else at most
}

// ParseGoal reads one such as "plan=priority target>=0.99" or "queue=read p99<=250ms" or "busy<=0.01".
func ParseGoal(text string) (Goal, error) {
	g := Goal{Text: text}
	bad := func(what, want string) (Goal, error) {
		return g, fmt.Errorf("goal %q: %s; %s", text, what, want)
	}
	for _, f := range strings.Fields(text) {
		at, least := strings.Index(f, ">="), true
		if at < 0 {
			at, least = strings.Index(f, "<="), false
		}
		if at < 0 {
			k, v, ok := strings.Cut(f, "=")
			switch {
			case ok && k == "plan" && v != "":
				g.Plan = v
			case ok && (k == "queue" || k == "queue_type") && v != "":
				g.Type = v
			default:
				return bad(strconv.Quote(f)+" is no part of a goal", `allowed: plan=NAME, queue=NAME, and one measure such as target>=0.99, p99<=250ms, busy<=0.01`)
			}
			continue
		}
		if g.What != "" {
			return bad("two measures", "give each a --goal of its own")
		}
		g.What, g.Least = f[:at], least
		v := f[at+2:]
		var err error
		switch g.What {
		case "p50", "p99", "p999":
			var d time.Duration
			if d, err = time.ParseDuration(v); err == nil {
				g.Bound = d.Seconds()
			}
		case "target", "busy", "aborted":
			if g.Bound, err = strconv.ParseFloat(v, 64); err == nil && !(g.Bound >= 0 && g.Bound <= 1) {
				err = fmt.Errorf("allowed: 0 to 1")
			}
		default:
			return bad(strconv.Quote(g.What)+" is no measure", "allowed: target, busy, aborted, p50, p99, p999")
		}
		if err != nil {
			return bad(fmt.Sprintf("%q: %v", v, err), "a part such as 0.99, or a time such as 250ms")
		}
		if g.Least != (g.What == "target") {
			return bad("a bound on the wrong side", "target>=, all others <=")
		}
	}
	if g.What == "" {
		return bad("no measure", "such as target>=0.99")
	}
	return g, nil
}

// Value is the measure in what a forecast found; ok is false where it has no such want.
func (g Goal) Value(all map[forecast.Key]*forecast.Tally) (x float64, ok bool) {
	sum := &forecast.Tally{}
	for k, t := range all {
		if (g.Plan == "" || g.Plan == k.Plan) && (g.Type == "" || g.Type == k.Type) {
			sum.Add(t)
		}
	}
	n := float64(sum.Wanted - sum.Left)
	if n == 0 {
		return 0, false
	}
	switch g.What {
	case "target":
		return float64(sum.InTarget) / n, true
	case "busy":
		return float64(sum.Busy) / n, true
	case "aborted":
		return float64(sum.Aborted) / n, true
	}
	q := map[string]float64{"p50": 0.5, "p99": 0.99, "p999": 0.999}[g.What]
	return sum.Quantile(q).Seconds(), true
}

// Met tells whether a value meets it, and Margin by how much: 0 just so, below 0 not, as a part of the bound's room.
func (g Goal) Met(x float64) bool { return g.Margin(x) >= 0 }

// Margin is comparable between goals.
func (g Goal) Margin(x float64) float64 {
	if g.Least {
		return (x - g.Bound) / math.Max(1-g.Bound, 0.01)
	}
	return (g.Bound - x) / math.Max(g.Bound, 0.001)
}

// Worst is the least margin over goals, and whose it is; goals whose wants the forecast does not have don't count.
func Worst(goals []Goal, all map[forecast.Key]*forecast.Tally) (margin float64, which int) {
	margin, which = math.Inf(1), -1
	for i, g := range goals {
		if x, ok := g.Value(all); ok && g.Margin(x) < margin {
			margin, which = g.Margin(x), i
		}
	}
	return margin, which
}

// Unknown returns an error for the first goal that names a plan or request class which neither the fleet nor the load has; nil if there is none.
func Unknown(goals []Goal, plans, types []string) error {
	for _, g := range goals {
		if g.Plan != "" && !slices.Contains(plans, g.Plan) {
			return fmt.Errorf("goal %q: no plan %q; there are %s", g.Text, g.Plan, strings.Join(plans, ", "))
		}
		if g.Type != "" && !slices.Contains(types, g.Type) {
			return fmt.Errorf("goal %q: no queue type %q; there are %s", g.Text, g.Type, strings.Join(types, ", "))
		}
	}
	return nil
}
