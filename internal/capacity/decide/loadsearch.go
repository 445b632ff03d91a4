package decide

import (
	"cmp"
	"math"
	"slices"
)

// LoadSearch looks for the greatest load that still meets all goals. It starts from a guess (the analytic bound's), steps away from
// it until the answer lies between two loads probed, and then halves what is between, on a logarithmic scale. Margins are noisy:
// loads near the crossing are probed on both sides of it, and the curve of all probes gives the answer (Crossing).
type LoadSearch struct {
	Lowest, Highest float64 // times the load
	Resolution      float64 // ends once the ratio of the two loads around the crossing is no larger
	MaxProbes       int
	probes          []Probe // by load
	guess           float64
}

// Probe is a load that was forecast, and how it met the goals.
type Probe struct {
	LoadFactor float64 // the captured load
	Margin     float64 // the worst over all goals; below 0: one is missed
}

// NewLoadSearch returns a search that starts at a guess, or at the end of the range nearest to it.
func NewLoadSearch(guess, lowest, highest, resolution float64, maxProbes int) *LoadSearch {
	return &LoadSearch{Lowest: lowest, Highest: highest, Resolution: resolution, MaxProbes: maxProbes, guess: math.Min(math.Max(guess, lowest), highest)}
}

// Next returns the load to probe; false: the search is over. Record takes what came of it before Next is called again.
func (s *LoadSearch) Next() (times float64, ok bool) {
	if len(s.probes) >= s.MaxProbes {
		return 0, false
	}
	if len(s.probes) == 0 {
		return s.guess, true
	}
	low, high := s.Bracket()
	switch {
	case low > 0 && high > 0:
		return math.Sqrt(low * high), high/low > s.Resolution
	case low > 0: // all met the goals
		return math.Min(low*stepFactor(len(s.probes)), s.Highest), low < s.Highest
	}
	return math.Max(high/stepFactor(len(s.probes)), s.Lowest), high > s.Lowest
}

// stepFactor is how far a probe lies from the one before while all are on one side: further each time, at most twice as far.
func stepFactor(probes int) float64 { return math.Min(1.15*math.Pow(1.2, float64(probes-1)), 2) }

// Record takes what came of a probe.
func (s *LoadSearch) Record(times, margin float64) {
	s.probes = append(s.probes, Probe{times, margin})
	slices.SortFunc(s.probes, func(a, b Probe) int { return cmp.Compare(a.LoadFactor, b.LoadFactor) })
}

// Probes returns all probes, by load. They belong to the search.
func (s *LoadSearch) Probes() []Probe { return s.probes }

// Bracket returns the least load that missed a goal, and the greatest below it that met all; 0: there is none.
func (s *LoadSearch) Bracket() (low, high float64) {
	for _, p := range s.probes {
		if p.Margin < 0 {
			return low, p.LoadFactor
		}
		low = p.LoadFactor
	}
	return low, 0
}

// Crossing returns the load at which the margin is 0, between the first probe that missed a goal and the one below it. ok is false
// where all probes are on one side: then it is the outermost probe there, 0 without probes. Probes come by load.
func Crossing(probes []Probe) (times float64, ok bool) {
	for i, above := range probes {
		if above.Margin >= 0 {
			continue
		}
		if i == 0 {
			return above.LoadFactor, false
		}
		below := probes[i-1]
		part := below.Margin / math.Max(below.Margin-above.Margin, 1e-12)
		return below.LoadFactor * math.Pow(above.LoadFactor/below.LoadFactor, part), true
	}
	if len(probes) == 0 {
		return 0, false
	}
	return probes[len(probes)-1].LoadFactor, false
}
