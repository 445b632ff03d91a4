package report

import (
	"math"
	"slices"

	"weirhaven/internal/capacity/bounds"
	"weirhaven/internal/capacity/decide"
	"weirhaven/internal/capacity/study"
)

// JSON has no infinity. These stand for it in answer.json.
const (
	neverReached    = -1 // the factor of a limit
	unboundedMargin = 1  // the margin of a load at which no goal counts
)

// finite returns a copy of the answer that JSON can hold; the argument stays as it is.
func finite(a *Answer) *Answer {
	c := *a
	c.Limits = finiteLimits(a.Limits)
	if a.Growth != nil {
		c.Growth = finiteGrowth(a.Growth)
	}
	return &c
}

func finiteLimits(limits []bounds.Limit) []bounds.Limit {
	limits = slices.Clone(limits)
	for i := range limits {
		if math.IsInf(limits[i].Factor, 0) {
			limits[i].Factor = neverReached
		}
	}
	return limits
}

func finiteGrowth(growth *study.Growth) *study.Growth {
	g := *growth
	g.NearestLimits = finiteLimits(g.NearestLimits)
	if math.IsInf(g.Bound, 0) {
		g.Bound = neverReached
	}
	g.Probes = finiteProbes(g.Probes)
	return &g
}

func finiteProbes(probes []decide.Probe) []decide.Probe {
	probes = slices.Clone(probes)
	for i := range probes {
		if math.IsInf(probes[i].Margin, 0) {
			probes[i].Margin = unboundedMargin
		}
	}
	return probes
}
