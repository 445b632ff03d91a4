package learn

import (
	"math"
	"slices"

	"gonum.org/v1/gonum/mat"
)

// costs are the service times of a core of speed 1, in seconds.
type costs struct {
	base, unit []float64 // by queue type: of an attempt, and of each unit
	roundTrip  float64   // of the network
}

// work is the service time of a sample.
func (c *costs) work(s *sample) float64 { return c.base[s.queueType] + c.unit[s.queueType]*s.units }

// network is the part of a sample's duration that the network takes: where it waited, the round trip passed meanwhile.
func (c *costs) network(s *sample) float64 {
	if s.idle {
		return c.roundTrip
	}
	return 0
}

// total is the duration of a sample.
func (c *costs) total(s *sample) float64 { return c.work(s) + c.network(s) }

const (
	fitIterations = 8
	// madToSigma turns a median absolute deviation into the standard deviation of a normal distribution.
	madToSigma = 1.4826
	// minBound is the least relative deviation that counts as far off.
	minBound = 0.05
)

// observation is a sample and its duration at speed 1 without a cache's help, in seconds.
type observation struct {
	sample *sample
	value  float64
}

// column is an unknown of the fit.
type column struct {
	factor func(s *sample) float64
	set    func(x float64)
}

// fitter is a least-squares fit of base and unit of each queue type, and of the network's round trip in what found the endpoint
// idle. It is relative, since the spread of service times grows with them, and robust: what lies far off counts less (Huber's
// weights), what lies very far off not at all.
type fitter struct {
	observations []observation
	weights      []float64
	columns      []column
	costs        costs
}

func fitCosts(endpoints []*endpoint, cacheSaves float64, types int) costs {
	f := &fitter{costs: costs{base: make([]float64, types), unit: make([]float64, types)}}
	f.observe(endpoints, cacheSaves)
	f.chooseColumns(types)
	f.initialWeights()
	for range fitIterations {
		if !f.solve() {
			break
		}
		f.forbidNegative()
		f.reweight()
	}
	return f.costs
}

func (f *fitter) observe(endpoints []*endpoint, cacheSaves float64) {
	for _, e := range endpoints {
		for i := range e.samples {
			s := &e.samples[i]
			value := s.duration * e.speed
			if s.cached {
				value /= 1 - cacheSaves
			}
			f.observations = append(f.observations, observation{s, value})
		}
	}
}

// chooseColumns takes an unknown for each cost that the samples can tell apart: base only where a queue type comes in several
// sizes, the round trip only where both idle and queued begins are seen.
func (f *fitter) chooseColumns(types int) {
	idle := 0
	seen := make([]int, types)
	sizes := make([]map[float64]bool, types)
	for q := range sizes {
		sizes[q] = map[float64]bool{}
	}
	for _, o := range f.observations {
		if o.sample.idle {
			idle++
		}
		seen[o.sample.queueType]++
		sizes[o.sample.queueType][o.sample.units] = true
	}
	for q := range types {
		if seen[q] == 0 {
			continue
		}
		if len(sizes[q]) > 1 && seen[q] >= minSamples {
			f.columns = append(f.columns, column{
				factor: func(s *sample) float64 { return indicator(s.queueType == q) },
				set:    func(x float64) { f.costs.base[q] = x }})
		}
		f.columns = append(f.columns, column{
			factor: func(s *sample) float64 { return indicator(s.queueType == q) * s.units },
			set:    func(x float64) { f.costs.unit[q] = x }})
	}
	if queued := len(f.observations) - idle; idle >= minSamples && queued >= minSamples {
		f.columns = append(f.columns, column{
			factor: func(s *sample) float64 { return indicator(s.idle) },
			set:    func(x float64) { f.costs.roundTrip = x }})
	}
}

func indicator(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// initialWeights make the first fit relative to the units.
func (f *fitter) initialWeights() {
	f.weights = make([]float64, len(f.observations))
	mean := 0.0
	for _, o := range f.observations {
		mean += o.value / float64(len(f.observations))
	}
	for i, o := range f.observations {
		f.weights[i] = 1 / math.Max(o.sample.units, 1e-9) / mean
	}
}

// solve solves the normal equations and sets the costs; false: they have no solution, the costs stay.
func (f *fitter) solve() bool {
	n := len(f.columns)
	left, right := f.normalEquations()
	for a := range n { // ridge regularization: nearly collinear columns stay solvable
		left.SetSym(a, a, left.At(a, a)*(1+1e-9)+1e-12)
	}
	var factors mat.Cholesky
	var solution mat.VecDense
	if !factors.Factorize(left) || factors.SolveVecTo(&solution, right) != nil {
		return false
	}
	for a := range n {
		f.columns[a].set(solution.AtVec(a))
	}
	return true
}

func (f *fitter) normalEquations() (*mat.SymDense, *mat.VecDense) {
	n := len(f.columns)
	left, right := mat.NewSymDense(n, nil), mat.NewVecDense(n, nil)
	for i, o := range f.observations {
		weight := f.weights[i] * f.weights[i]
		for a := range n {
			factor := f.columns[a].factor(o.sample)
			if factor == 0 {
				continue
			}
			right.SetVec(a, right.AtVec(a)+weight*factor*o.value)
			for b := a; b < n; b++ {
				left.SetSym(a, b, left.At(a, b)+weight*factor*f.columns[b].factor(o.sample))
			}
		}
	}
	return left, right
}

// forbidNegative fits a queue type with a negative cost again, by units alone.
func (f *fitter) forbidNegative() {
	c := &f.costs
	for q := range c.base {
		if !(c.base[q] < 0 || c.unit[q] < 0) {
			continue
		}
		sum, units := 0.0, 0.0
		for i, o := range f.observations {
			if o.sample.queueType == q {
				weight := f.weights[i] * o.sample.units
				sum, units = sum+weight*(o.value-c.network(o.sample)), units+weight*o.sample.units
			}
		}
		c.base[q], c.unit[q] = 0, math.Max(sum/math.Max(units, 1e-12), 0)
	}
	c.roundTrip = math.Max(c.roundTrip, 0)
}

// reweight lets what lies far off count less in the next iteration.
func (f *fitter) reweight() {
	deviations := make([]float64, len(f.observations))
	for i, o := range f.observations {
		deviations[i] = math.Abs(o.value/math.Max(f.costs.total(o.sample), minSeconds) - 1)
	}
	bound := math.Max(4*madToSigma*median(deviations), minBound)
	for i, o := range f.observations {
		f.weights[i] = 1 / math.Max(f.costs.total(o.sample), 1e-6) * math.Sqrt(math.Min(1, bound/math.Max(deviations[i], 1e-9)))
		if deviations[i] > 2*bound {
			f.weights[i] = 0
		}
	}
}

// median leaves the values in their order.
func median(values []float64) float64 {
	sorted := slices.Clone(values)
	slices.Sort(sorted)
	return sorted[len(sorted)/2]
}
