package report

import (
	"math"
	"slices"

	"weirhaven/internal/capacity/bounds"
	"weirhaven/internal/capacity/decide"
	"weirhaven/internal/capacity/study"
)

// Values that replace infinity in answer.json, as JSON has none.
const (
	neverReached    = -1 // factor of a limit
	unboundedMargin = 1  // margin of a load for which no goal has requests
)

// finite returns a copy of the answer without infinite values. It leaves a unchanged.
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
