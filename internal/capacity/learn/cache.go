package learn

import (
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"
)

// cacheSizes are the candidate cache sizes, in objects.
var cacheSizes = []int{1, 2, 3, 4, 6, 8, 12, 16, 24, 32, 64, 128, 256}

const (
	// minSignificance is the least difference between the means of hits and misses, in standard errors. By chance, the largest difference
	// over a dozen sizes rarely exceeds 3.
	minSignificance = 5.0
	minSaving       = 0.05 // least share of the service time that a hit saves
	maxSaving       = 0.95
)

// findCache estimates how many objects an endpoint caches, and the share of the service time that a hit saves. It takes the size for which
// hits and misses differ most significantly, and returns 0, 0 if none does. On return, samples are marked for the last candidate size.
func (l *learner) findCache() (size uint32, saves float64) {
	best := minSignificance
	for _, candidate := range cacheSizes {
		l.markCached(candidate)
		hits, misses := l.hitsAndMisses()
		if len(hits) < minSamples || len(misses) < minSamples {
			continue
		}
		hit, miss := stat.Mean(hits, nil), stat.Mean(misses, nil)
		standardError := math.Sqrt(stat.Variance(hits, nil)/float64(len(hits)) + stat.Variance(misses, nil)/float64(len(misses)))
		significance := (miss - hit) / math.Max(standardError, 1e-12)
		if significance > best && hit < (1-minSaving)*miss {
			best, size, saves = significance, uint32(candidate), math.Min(1-hit/miss, maxSaving)
		}
	}
	return size, saves
}

// hitsAndMisses returns the service times of hits and of misses, each divided by the expected service time without a cache.
func (l *learner) hitsAndMisses() (hits, misses []float64) {
	for _, e := range l.endpoints {
		for i := range e.samples {
			s := &e.samples[i]
			if s.object == 0 || s.outlier {
				continue
			}
			relative := (s.duration - l.costs.network(s)) * e.speed / math.Max(l.costs.work(s), minSeconds)
			if s.cached {
				hits = append(hits, relative)
			} else {
				misses = append(misses, relative)
			}
		}
	}
	return hits, misses
}

// markCached marks the samples that a cache of the given size would have served. A miss adds its object, and the oldest object is evicted.
func (l *learner) markCached(size int) {
	for _, e := range l.endpoints {
		var cache []uint64
		for i := range e.samples {
			s := &e.samples[i]
			s.cached = size > 0 && s.object != 0 && slices.Contains(cache, s.object)
			if size == 0 || s.object == 0 || s.cached {
				continue
			}
			cache = append(cache, s.object)
			if len(cache) > size {
				cache = cache[1:]
			}
		}
	}
}
