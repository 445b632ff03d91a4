package decide

import (
	"cmp"
	"math"
	"slices"
)

// LoadSearch searches for the greatest load that still meets all goals. It starts from a guess (the analytic limit), moves away from it
// until two probes enclose the limit, and then bisects on a logarithmic scale. Margins are noisy, so loads on both sides of the limit are
// probed and Crossing interpolates between them.
type LoadSearch struct {
	Lowest, Highest float64 // multiples of the captured load
	Resolution      float64 // the search ends once the ratio of the two loads around the limit is no larger
	MaxProbes       int
	probes          []Probe // sorted by load
	guess           float64
}

// Probe is a simulated load and its margin.
type Probe struct {
	LoadFactor float64 `json:"Times"` // multiple of the captured load
	Margin     float64 // the worst over all goals; negative: a goal is missed
}

// NewLoadSearch returns a search that starts at guess, limited to the range.
func NewLoadSearch(guess, lowest, highest, resolution float64, maxProbes int) *LoadSearch {
	return &LoadSearch{Lowest: lowest, Highest: highest, Resolution: resolution, MaxProbes: maxProbes, guess: math.Min(math.Max(guess, lowest), highest)}
}

// Next returns the load to probe next; ok is false when the search is over. Its margin must be passed to Record before the next call.
func (s *LoadSearch) Next() (factor float64, ok bool) {
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
	case low > 0: // all probes met the goals
		return math.Min(low*stepFactor(len(s.probes)), s.Highest), low < s.Highest
	}
	return math.Max(high/stepFactor(len(s.probes)), s.Lowest), high > s.Lowest
}

// stepFactor returns the ratio of a probe to the one before while all probes lie on one side of the limit. It grows with each probe, up
// to 2.
func stepFactor(probes int) float64 { return math.Min(1.15*math.Pow(1.2, float64(probes-1)), 2) }

// Record adds the margin of a load.
func (s *LoadSearch) Record(factor, margin float64) {
	s.probes = append(s.probes, Probe{factor, margin})
	slices.SortFunc(s.probes, func(a, b Probe) int { return cmp.Compare(a.LoadFactor, b.LoadFactor) })
}

// Probes returns all probes, sorted by load. The caller must not modify them.
func (s *LoadSearch) Probes() []Probe { return s.probes }

// Bracket returns as high the least load that missed a goal, and as low the greatest below it that met all; 0 if there is none.
func (s *LoadSearch) Bracket() (low, high float64) {
	for _, p := range s.probes {
		if p.Margin < 0 {
			return low, p.LoadFactor
		}
		low = p.LoadFactor
	}
	return low, 0
}

// Crossing returns the load at which the margin reaches 0, interpolated between the first probe that missed a goal and the one below it.
// probes must be sorted by load. If all probes lie on one side, ok is false and factor is the outermost probe towards the limit; 0
// without probes.
func Crossing(probes []Probe) (factor float64, ok bool) {
	for i, above := range probes {
		if above.Margin >= 0 {
			continue
		}
		if i == 0 {
			return above.LoadFactor, false
		}
		below := probes[i-1]
		fraction := below.Margin / math.Max(below.Margin-above.Margin, 1e-12)
		return below.LoadFactor * math.Pow(above.LoadFactor/below.LoadFactor, fraction), true
	}
	if len(probes) == 0 {
		return 0, false
	}
	return probes[len(probes)-1].LoadFactor, false
}
