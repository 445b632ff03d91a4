package decide

// ServerSearch searches for the least number of servers that meets all goals. More servers may not help at all: if two doublings in a row
// each reduce the missing margin by less than the fraction MinGain, the search reports that no number meets the goals. The guess must not
// be far too small: if there are many times too few servers, doubling them hardly changes the margin either.
type ServerSearch struct {
	Lowest, Highest int
	MinGain         float64         // fraction of the missing margin
	margins         map[int]float64 // by number of servers
	guess           int
	unreachable     bool
}

// NewServerSearch returns a search from 1 to highest that starts at guess, limited to that range.
func NewServerSearch(guess, highest int) *ServerSearch {
	return &ServerSearch{Lowest: 1, Highest: highest, MinGain: 0.05, margins: map[int]float64{}, guess: min(max(guess, 1), highest)}
}

// Next returns the number of servers to simulate next; ok is false when the search is over. Its margin must be passed to Record before
// the next call.
func (s *ServerSearch) Next() (n int, ok bool) {
	if len(s.margins) == 0 {
		return s.guess, true
	}
	low, high := s.bracket()
	switch {
	case high > 0 && high-low <= 1:
		return 0, false
	case high > 0 && low > 0:
		return (low + high) / 2, true
	case high > 0: // all numbers met the goals
		return max(high/2, s.Lowest), high > s.Lowest
	case low >= s.Highest || s.stalled():
		s.unreachable = true
		return 0, false
	}
	return min(low*2, s.Highest), true
}

// bracket returns as low the greatest number that missed a goal, and as high the least number above it that met all; 0 if there is none.
func (s *ServerSearch) bracket() (low, high int) {
	for n, margin := range s.margins {
		if margin < 0 {
			low = max(low, n)
		}
	}
	for n, margin := range s.margins {
		if margin >= 0 && n > low && (high == 0 || n < high) {
			high = n
		}
	}
	return low, high
}

// stalled reports whether the last two doublings both gained less than MinGain requires.
func (s *ServerSearch) stalled() bool {
	n, _ := s.bracket()
	last, ok := s.margins[n]
	half, okHalf := s.margins[n/2]
	quarter, okQuarter := s.margins[n/4]
	if !ok || !okHalf || !okQuarter {
		return false
	}
	needed := -s.MinGain * last
	return last-half < needed && last-quarter < needed
}

// Record adds the margin of a number of servers.
func (s *ServerSearch) Record(n int, margin float64) { s.margins[n] = margin }

// Found returns the least number that meets the goals; ok is false if none does.
func (s *ServerSearch) Found() (n int, ok bool) {
	_, high := s.bracket()
	return high, high > 0 && !s.unreachable
}

// Margins returns the margin of each number simulated. The caller must not modify the map.
func (s *ServerSearch) Margins() map[int]float64 { return s.margins }
