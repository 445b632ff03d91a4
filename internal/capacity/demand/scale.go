package demand

import (
	"cmp"
	"math/rand"
	"slices"
	"time"
)

// jitter is the length of the interval around the original in which copies arrive, so that they don't arrive at once.
const jitter = time.Second

// copyGroup holds the properties that a copy has in common with its original.
type copyGroup struct{ volume, class string }

// Scale returns the load multiplied by factor. Each request occurs as often as the integer part says, and once more with the probability of the
// fractional part. A copy arrives within half a second of its original and repeats a random request of the same volume and class: copies
// for the same object would form batches that no client sends. The set of volumes stays the same. If factor is 1, Scale returns the load
// itself.
func Scale(load []Request, factor float64, rng *rand.Rand) []Request {
	if factor == 1 {
		return load
	}
	groups, last := groupRequests(load)
	var scaled []Request
	for _, original := range load {
		for remaining := factor; remaining > 0; remaining-- {
			if remaining < 1 && rng.Float64() >= remaining {
				break
			}
			r := original
			if remaining != factor {
				r = copyOf(original, load, groups[copyGroup{original.Volume, original.Class}], last, rng)
			}
			scaled = append(scaled, r)
		}
	}
	slices.SortStableFunc(scaled, func(a, b Request) int { return cmp.Compare(a.Arrival, b.Arrival) })
	return scaled
}

// groupRequests returns the indexes of the requests of each group, and the last arrival.
func groupRequests(load []Request) (groups map[copyGroup][]int, last time.Duration) {
	groups = map[copyGroup][]int{}
	for i, r := range load {
		group := copyGroup{r.Volume, r.Class}
		groups[group] = append(groups[group], i)
		last = max(last, r.Arrival)
	}
	return groups, last
}

// copyOf returns a random request of the same group with a random arrival near the original's.
func copyOf(original Request, load []Request, group []int, last time.Duration, rng *rand.Rand) Request {
	r := load[group[rng.Intn(len(group))]]
	arrival := original.Arrival + time.Duration(rng.Int63n(int64(jitter))) - jitter/2
	r.Arrival = min(max(arrival, 0), last)
	return r
}
