package learn

import (
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"
)

// cacheSizes are those looked at, in objects.
var cacheSizes = []int{1, 2, 3, 4, 6, 8, 12, 16, 24, 32, 64, 128, 256}

const (
	// minSignificance is how many standard errors hits and misses must differ by. By chance the largest difference of a dozen sizes
	// is rarely over 3.
	minSignificance = 5.0
	minSaving       = 0.05 // part of the service time that a hit must save
	maxSaving       = 0.95
)

// findCache returns how many objects an endpoint caches and the part of the service time that a hit saves: the size under which
// hits and misses differ most surely; 0, 0 for none. It leaves samples marked for the last size.
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

// hitsAndMisses are service times as a part of what they should be without a cache.
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

// markCached marks what a cache of a size would have held: objects come in when missed, the oldest is evicted.
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
