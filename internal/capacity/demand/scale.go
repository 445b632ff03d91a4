package demand

import (
	"cmp"
	"math/rand"
	"slices"
	"time"
)

// jitter is the stretch around its original within which a copy arrives, so that copies don't come all at once.
const jitter = time.Second

// requestClass is what a copy has in common with its original.
type requestClass struct{ volume, queueType string }

// Scale returns the load made the given times as large: each request stands so many times, the last one by chance. A copy comes
// within half a second of its original and asks for what another request of the same volume and queue type asked for: copies for
// the same object would make batches that no client makes. Volumes stay the same ones, each asking for more. At 1 it returns the
// load itself.
func Scale(load []Request, times float64, rng *rand.Rand) []Request {
	if times == 1 {
		return load
	}
	classes, last := classify(load)
	var scaled []Request
	for _, original := range load {
		for remaining := times; remaining > 0; remaining-- {
			if remaining < 1 && rng.Float64() >= remaining {
				break
			}
			r := original
			if remaining != times {
				r = copyOf(original, load, classes[requestClass{original.Volume, original.Class}], last, rng)
			}
			scaled = append(scaled, r)
		}
	}
	slices.SortStableFunc(scaled, func(a, b Request) int { return cmp.Compare(a.Arrival, b.Arrival) })
	return scaled
}

// classify returns the indexes of the requests of each class, and the last arrival.
func classify(load []Request) (classes map[requestClass][]int, last time.Duration) {
	classes = map[requestClass][]int{}
	for i, r := range load {
		class := requestClass{r.Volume, r.Class}
		classes[class] = append(classes[class], i)
		last = max(last, r.Arrival)
	}
	return classes, last
}

// copyOf draws a request of the same class, and when it arrives.
func copyOf(original Request, load []Request, class []int, last time.Duration, rng *rand.Rand) Request {
	r := load[class[rng.Intn(len(class))]]
	arrival := original.Arrival + time.Duration(rng.Int63n(int64(jitter))) - jitter/2
	r.Arrival = min(max(arrival, 0), last)
	return r
}
