package learn

import (
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"

	"weirhaven/internal/pb"
)

// maxVariation is the greatest coefficient of variation in a model.
const maxVariation = 5

// residuals holds measured and expected service times.
type residuals struct {
	relative       [][]float64 // by request class: service time divided by the expected one
	took, expected []float64   // seconds
}

// learnWork sets the work of each request class at the kind's mean speed, and the share of the variance that it explains.
func (l *learner) learnWork(meanSpeed float64) {
	r := l.queuedResiduals()
	if len(r.took) < minSamples { // attempts hardly ever queue: use those that found the core idle too
		l.addIdleResiduals(r)
	}
	for q, class := range l.types {
		count := l.count(q)
		if count < minSamples {
			continue
		}
		scale := 1 / meanSpeed
		if class.Writes {
			scale /= 1 - l.kind.Deferred // samples show only the work that was not deferred
		}
		work := &pb.CapacityModel_Work{QueueType: class.Name, Base: l.costs.base[q] * scale, Unit: l.costs.unit[q] * scale, Samples: uint32(count)}
		if len(r.relative[q]) >= minSamples {
			work.Vary = variation(r.relative[q])
		}
		l.kind.Work = append(l.kind.Work, work)
	}
	l.kind.Fit.Explained = math.Max(0, 1-squares(r.took, r.expected)/math.Max(stat.Variance(r.took, nil)*float64(len(r.took)-1), 1e-18))
}

// queuedResiduals returns the residuals of queued samples, whose durations hold no network time, and counts these samples in the fit.
func (l *learner) queuedResiduals() *residuals {
	r := &residuals{relative: make([][]float64, len(l.types))}
	for _, e := range l.endpoints {
		for i := range e.samples {
			s := &e.samples[i]
			if s.idle {
				continue
			}
			l.kind.Fit.Busy++
			if s.outlier {
				continue
			}
			r.relative[s.class] = append(r.relative[s.class], s.duration*e.speed/math.Max(s.expected, minSeconds))
			r.took, r.expected = append(r.took, s.duration), append(r.expected, s.expected/e.speed)
		}
	}
	return r
}

// addIdleResiduals replaces took and expected by those of all samples, and adds all samples to relative.
func (l *learner) addIdleResiduals(r *residuals) {
	r.took, r.expected = nil, nil
	for _, e := range l.endpoints {
		for i := range e.samples {
			s := &e.samples[i]
			service := s.duration - l.costs.network(s)
			if s.outlier || service <= 0 {
				continue
			}
			r.relative[s.class] = append(r.relative[s.class], service*e.speed/math.Max(s.expected, minSeconds))
			r.took, r.expected = append(r.took, s.duration), append(r.expected, s.expected/e.speed+l.costs.network(s))
		}
	}
}

func (l *learner) count(class int) (n int) {
	for _, e := range l.endpoints {
		for i := range e.samples {
			if e.samples[i].class == class {
				n++
			}
		}
	}
	return n
}

// variation returns the coefficient of variation of the lognormal distribution with the same 0.1 and 0.9 quantiles as the values, which it
// sorts. It uses quantiles because the tail is missing: outliers are left out.
func variation(values []float64) float64 {
	slices.Sort(values)
	n := len(values)
	low, high := math.Max(values[n/10], 1e-3), math.Max(values[n-1-n/10], 1e-3)
	sigma := math.Log(high/low) / (2 * 1.2816) // 1.2816: the 0.9 quantile of the normal distribution
	return math.Min(math.Sqrt(math.Exp(sigma*sigma)-1), maxVariation)
}

func squares(a, b []float64) (sum float64) {
	for i := range a {
		sum += (a[i] - b[i]) * (a[i] - b[i])
	}
	return sum
}
