package decide

// ServerSearch looks for the least number of servers that meets all goals. More servers may not help at all: where doubling them
// twice closes less than the part MinGain of what is missing each time, no number does, and that is the answer. The guess must not
// be far too small: among many times too few servers twice as many hardly show either.
type ServerSearch struct {
	Lowest, Highest int
	MinGain         float64         // part of the missing margin
	margins         map[int]float64 // by number of servers
	guess           int
	unreachable     bool
}

// NewServerSearch returns a search that starts at a guess, or at the end of the range nearest to it.
func NewServerSearch(guess, highest int) *ServerSearch {
	return &ServerSearch{Lowest: 1, Highest: highest, MinGain: 0.05, margins: map[int]float64{}, guess: min(max(guess, 1), highest)}
}

// Next returns the number to look at; false: the search is over. Record takes what came of it before Next is called again.
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
	case high > 0: // all were enough
		return max(high/2, s.Lowest), high > s.Lowest
	case low >= s.Highest || s.stalled():
		s.unreachable = true
		return 0, false
	}
	return min(low*2, s.Highest), true
}

// bracket returns the greatest number that was not enough, and the least above it that was; 0: there is none.
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

// stalled says whether neither of the last two doublings gained what it must.
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

// Record takes the margin that a number of servers has.
func (s *ServerSearch) Record(n int, margin float64) { s.margins[n] = margin }

// Found returns the least number that meets the goals; false: none does.
func (s *ServerSearch) Found() (n int, ok bool) {
	_, high := s.bracket()
	return high, high > 0 && !s.unreachable
}

// Margins returns the margin of each number looked at. The map belongs to the search.
func (s *ServerSearch) Margins() map[int]float64 { return s.margins }
