package decide

import (
	"math"
	"math/rand"
	"slices"

	"weirhaven/internal/capacity/forecast"
)

// Block is a part of a stretch that was played: what the bootstrap draws as one. Seconds are drawn, not requests: requests of one
// second share their faults.
type Block struct {
	Weight  float64                            // how many like its stretch the load has
	Tallies []map[forecast.Key]*forecast.Tally // what each probe found in it, in the order of the probes
}

// maxCopies bounds how often a block's latencies are repeated for its weight: quantiles hardly move with more.
const maxCopies = 8

// ConfidenceRange draws blocks anew (bootstrap), each stretch's among themselves, and returns the quantiles 0.05 and 0.95 of where
// the goals are crossed. The heaviest stretch decides the answer where a surge rules, so its blocks may not be displaced by others.
// Without loads both are 0. The time it takes grows with draws.
func ConfidenceRange(stretches [][]Block, loads []float64, goals []Goal, perStretch bool, draws int, rng *rand.Rand) (low, high float64) {
	if len(loads) == 0 {
		return 0, 0
	}
	var crossings []float64
	for range draws {
		drawn := resample(stretches, rng)
		probes := make([]Probe, len(loads))
		for i, times := range loads {
			probes[i] = Probe{times, Margin(drawn, i, goals, perStretch)}
		}
		times, _ := Crossing(probes)
		crossings = append(crossings, times)
	}
	slices.Sort(crossings)
	tail := len(crossings) / 20
	return crossings[tail], crossings[len(crossings)-1-tail]
}

// resample draws as many blocks as there are, with replacement.
func resample(stretches [][]Block, rng *rand.Rand) [][]Block {
	drawn := make([][]Block, len(stretches))
	for i, blocks := range stretches {
		for range blocks {
			drawn[i] = append(drawn[i], blocks[rng.Intn(len(blocks))])
		}
	}
	return drawn
}

// Margin returns the worst margin of the goals at a probe: over each stretch by itself, or over all by weight.
func Margin(stretches [][]Block, probe int, goals []Goal, perStretch bool) float64 {
	if !perStretch {
		margin, _ := WorstMargin(goals, Combine(stretches, probe))
		return margin
	}
	worst := math.Inf(1)
	for _, blocks := range stretches {
		margin, _ := WorstMargin(goals, Combine([][]Block{blocks}, probe))
		worst = math.Min(worst, margin)
	}
	return worst
}

// Combine adds up what a probe found in blocks, each as often as its weight, rounded, at least once.
func Combine(stretches [][]Block, probe int) map[forecast.Key]*forecast.Tally {
	sums := map[forecast.Key]*forecast.Tally{}
	for _, blocks := range stretches {
		for _, block := range blocks {
			if probe >= len(block.Tallies) {
				continue
			}
			times := max(int(math.Round(block.Weight)), 1)
			for key, tally := range block.Tallies[probe] {
				if sums[key] == nil {
					sums[key] = &forecast.Tally{}
				}
				addWeighted(sums[key], tally, times)
			}
		}
	}
	return sums
}

func addWeighted(sum, tally *forecast.Tally, times int) {
	sum.Requests += tally.Requests * times
	sum.InTarget += tally.InTarget * times
	sum.Late += tally.Late * times
	sum.Rejected += tally.Rejected * times
	sum.Aborted += tally.Aborted * times
	sum.Cancelled += tally.Cancelled * times
	sum.Submitted += tally.Submitted * times
	for range min(times, maxCopies) {
		sum.Latencies = append(sum.Latencies, tally.Latencies...)
	}
}
