package learn

import (
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"

	"weirhaven/internal/pb"
)

// maxVariation bounds the coefficient of variation that a model states.
const maxVariation = 5

// residuals compare samples with the model.
type residuals struct {
	relative       [][]float64 // by queue type: service time as a part of the expected
	took, expected []float64   // seconds
}

// learnWork states the work of each queue type at the kind's mean speed, and how well it explains the samples.
func (l *learner) learnWork(meanSpeed float64) {
	r := l.queuedResiduals()
	if len(r.took) < minSamples { // hardly ever two at once: idle begins must do
		l.addIdleResiduals(r)
	}
	for q, queueType := range l.types {
		count := l.count(q)
		if count < minSamples {
			continue
		}
		scale := 1 / meanSpeed
		if queueType.Writes {
			scale /= 1 - l.kind.Deferred // what is seen at once is what was not deferred
		}
		work := &pb.CapacityModel_Work{QueueType: queueType.Name, Base: l.costs.base[q] * scale, Unit: l.costs.unit[q] * scale, Samples: uint32(count)}
		if len(r.relative[q]) >= minSamples {
			work.Vary = variation(r.relative[q])
		}
		l.kind.Work = append(l.kind.Work, work)
	}
	l.kind.Fit.Explained = math.Max(0, 1-squares(r.took, r.expected)/math.Max(stat.Variance(r.took, nil)*float64(len(r.took)-1), 1e-18))
}

// queuedResiduals are those of samples that waited: the network is not in them. It also counts these.
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
			r.relative[s.queueType] = append(r.relative[s.queueType], s.duration*e.speed/math.Max(s.expected, minSeconds))
			r.took, r.expected = append(r.took, s.duration), append(r.expected, s.expected/e.speed)
		}
	}
	return r
}

// addIdleResiduals replaces took and expected by those of all samples, and adds to the relative ones.
func (l *learner) addIdleResiduals(r *residuals) {
	r.took, r.expected = nil, nil
	for _, e := range l.endpoints {
		for i := range e.samples {
			s := &e.samples[i]
			service := s.duration - l.costs.network(s)
			if s.outlier || service <= 0 {
				continue
			}
			r.relative[s.queueType] = append(r.relative[s.queueType], service*e.speed/math.Max(s.expected, minSeconds))
			r.took, r.expected = append(r.took, s.duration), append(r.expected, s.expected/e.speed+l.costs.network(s))
		}
	}
}

func (l *learner) count(queueType int) (n int) {
	for _, e := range l.endpoints {
		for i := range e.samples {
			if e.samples[i].queueType == queueType {
				n++
			}
		}
	}
	return n
}

// variation is the coefficient of variation of a lognormal distribution that has the quantiles 0.1 and 0.9 of the values, which it
// sorts. Quantiles are taken since outliers, the tail, are cut off.
func variation(values []float64) float64 {
	slices.Sort(values)
	n := len(values)
	low, high := math.Max(values[n/10], 1e-3), math.Max(values[n-1-n/10], 1e-3)
	sigma := math.Log(high/low) / (2 * 1.2816) // the normal distribution's quantile 0.9
	return math.Min(math.Sqrt(math.Exp(sigma*sigma)-1), maxVariation)
}

func squares(a, b []float64) (sum float64) {
	for i := range a {
		sum += (a[i] - b[i]) * (a[i] - b[i])
	}
	return sum
}
