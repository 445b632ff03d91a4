package decide

import (
	"math"
	"math/rand"
	"slices"

	"weirhaven/internal/capacity/forecast"
)

// Block is a short part of a simulated interval of the load, and the unit of resampling. The bootstrap draws blocks rather than
// requests, as requests of the same second are correlated.
type Block struct {
	Weight  float64                            // number of intervals of the load that this block's interval stands for
	Tallies []map[forecast.Key]*forecast.Tally // by probe
}

// maxCopies limits how often a block's latencies are repeated for its weight; more copies hardly change the quantiles.
const maxCopies = 8

// ConfidenceRange returns the 0.05 and 0.95 quantiles of the load at which a goal is first missed, by bootstrap; both are 0 without
// loads. Blocks are resampled within their interval: where a surge determines the limit, the blocks of the heaviest interval must not be
// replaced by others. The running time grows with draws.
func ConfidenceRange(stretches [][]Block, loads []float64, goals []Goal, perStretch bool, draws int, rng *rand.Rand) (low, high float64) {
	if len(loads) == 0 {
		return 0, 0
	}
	var crossings []float64
	for range draws {
		drawn := resample(stretches, rng)
		probes := make([]Probe, len(loads))
		for i, factor := range loads {
			probes[i] = Probe{factor, Margin(drawn, i, goals, perStretch)}
		}
		factor, _ := Crossing(probes)
		crossings = append(crossings, factor)
	}
	slices.Sort(crossings)
	tail := len(crossings) / 20
	return crossings[tail], crossings[len(crossings)-1-tail]
}

// resample draws as many blocks from each interval as it has, with replacement.
func resample(stretches [][]Block, rng *rand.Rand) [][]Block {
	drawn := make([][]Block, len(stretches))
	for i, blocks := range stretches {
		for range blocks {
			drawn[i] = append(drawn[i], blocks[rng.Intn(len(blocks))])
		}
	}
	return drawn
}

// Margin returns the worst margin of the goals at a probe: the worst of all intervals if perStretch is set, otherwise that of all
// intervals combined by weight.
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

// Combine sums a probe's tallies over blocks, each multiplied by its weight, which is rounded and at least 1.
func Combine(stretches [][]Block, probe int) map[forecast.Key]*forecast.Tally {
	sums := map[forecast.Key]*forecast.Tally{}
	for _, blocks := range stretches {
		for _, block := range blocks {
			if probe >= len(block.Tallies) {
				continue
			}
			copies := max(int(math.Round(block.Weight)), 1)
			for key, tally := range block.Tallies[probe] {
				if sums[key] == nil {
					sums[key] = &forecast.Tally{}
				}
				addWeighted(sums[key], tally, copies)
			}
		}
	}
	return sums
}

// addWeighted adds a tally to sum, multiplied by copies.
func addWeighted(sum, tally *forecast.Tally, copies int) {
	sum.Requests += tally.Requests * copies
	sum.InTarget += tally.InTarget * copies
	sum.Late += tally.Late * copies
	sum.Rejected += tally.Rejected * copies
	sum.Aborted += tally.Aborted * copies
	sum.Cancelled += tally.Cancelled * copies
	sum.Submitted += tally.Submitted * copies
	for range min(copies, maxCopies) {
		sum.Latencies = append(sum.Latencies, tally.Latencies...)
	}
}
