package decide

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"
)

// GoalError reports why a text is not a valid goal.
type GoalError struct {
	Goal    string // the whole text
	Problem string
	Allowed string // what is allowed instead
}

// Error returns the goal, the problem and what is allowed, on one line.
func (e *GoalError) Error() string {
	return fmt.Sprintf("goal %q: %s; %s", e.Goal, e.Problem, e.Allowed)
}

var errNotAFraction = errors.New("allowed: 0 to 1")

// ParseGoal parses a goal such as "plan=priority target>=0.99", "queue=read p99<=250ms" or "busy<=0.01". Its error is a *GoalError.
func ParseGoal(text string) (Goal, error) {
	g := Goal{Text: text}
	for _, field := range strings.Fields(text) {
		parse := g.parseScope
		if strings.Contains(field, ">=") || strings.Contains(field, "<=") {
			parse = g.parseBound
		}
		if err := parse(field); err != nil {
			return Goal{}, err
		}
	}
	if g.Measure == "" {
		return Goal{}, g.invalid("no measure", "such as target>=0.99")
	}
	return g, nil
}

func (g *Goal) invalid(problem, allowed string) error {
	return &GoalError{Goal: g.Text, Problem: problem, Allowed: allowed}
}

// parseScope parses plan=NAME or queue=NAME.
func (g *Goal) parseScope(field string) error {
	key, name, _ := strings.Cut(field, "=")
	switch {
	case key == "plan" && name != "":
		g.Plan = name
	case (key == "queue" || key == "queue_type") && name != "":
		g.Class = name
	default:
		return g.invalid(strconv.Quote(field)+" is not part of a goal", `allowed: plan=NAME, queue=NAME, and one measure such as target>=0.99, p99<=250ms, busy<=0.01`)
	}
	return nil
}

// parseBound parses a measure with its bound, such as p99<=250ms.
func (g *Goal) parseBound(field string) error {
	if g.Measure != "" {
		return g.invalid("two measures", "give each measure its own --goal")
	}
	measure, value, atLeast := strings.Cut(field, ">=")
	if !atLeast {
		measure, value, _ = strings.Cut(field, "<=")
	}
	g.Measure, g.AtLeast = Measure(measure), atLeast
	parse, ok := boundParsers[g.Measure]
	if !ok {
		return g.invalid(strconv.Quote(measure)+" is not a measure", "allowed: target, busy, aborted, p50, p99, p999")
	}
	bound, err := parse(value)
	if err != nil {
		return g.invalid(fmt.Sprintf("%q: %v", value, err), "allowed: a fraction such as 0.99, or a duration such as 250ms")
	}
	g.Bound = bound
	if g.AtLeast != (g.Measure == MeasureInTarget) {
		return g.invalid("wrong comparison", "allowed: >= for target, <= for all other measures")
	}
	return nil
}

var boundParsers = map[Measure]func(value string) (float64, error){
	MeasureInTarget: parseFraction, MeasureRejected: parseFraction, MeasureAborted: parseFraction,
	MeasureP50: parseSeconds, MeasureP99: parseSeconds, MeasureP999: parseSeconds,
}

func parseFraction(value string) (float64, error) {
	fraction, err := strconv.ParseFloat(value, 64)
	if err != nil {
		return 0, err
	}
	if !(fraction >= 0 && fraction <= 1) { // also rejects NaN
		return 0, errNotAFraction
	}
	return fraction, nil
}

func parseSeconds(value string) (float64, error) {
	d, err := time.ParseDuration(value)
	return d.Seconds(), err
}
