package learn

import (
	"math"
	"slices"

	"gonum.org/v1/gonum/mat"
)

// costs holds service times on a core of speed 1, in seconds.
type costs struct {
	base, unit []float64 // by request class: per attempt, and per unit
	roundTrip  float64   // of the network
}

// work returns the service time of a sample.
func (c *costs) work(s *sample) float64 { return c.base[s.class] + c.unit[s.class]*s.units }

// network returns the part of a sample's duration that the network takes. It is 0 for an attempt that was queued: its round trip passed while
// the core was busy.
func (c *costs) network(s *sample) float64 {
	if s.idle {
		return c.roundTrip
	}
	return 0
}

// total returns the expected duration of a sample.
func (c *costs) total(s *sample) float64 { return c.work(s) + c.network(s) }

const (
	fitIterations = 8
	// madToSigma turns a median absolute deviation into the standard deviation of a normal distribution.
	madToSigma = 1.4826
	// minBound is the least relative deviation from which on a sample loses weight.
	minBound = 0.05
)

// observation is a sample with its duration normalized to speed 1 and no cache.
type observation struct {
	sample *sample
	value  float64 // seconds
}

// column is an unknown of the fit: its coefficient for each sample, and where its solution goes.
type column struct {
	factor func(s *sample) float64
	set    func(x float64)
}

// fitter fits base and unit of each request class, and the network's round trip for attempts that found the core idle, by weighted least
// squares. Residuals are relative, since the spread of service times grows with the service time. The fit is robust: samples far from it
// have less weight (Huber's weights), samples very far from it have none.
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

// chooseColumns adds a column for each cost that the samples determine: base only for a request class with several sizes in units, the
// round trip only if there are both samples that found the core idle and samples that were queued.
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
		seen[o.sample.class]++
		sizes[o.sample.class][o.sample.units] = true
	}
	for q := range types {
		if seen[q] == 0 {
			continue
		}
		if len(sizes[q]) > 1 && seen[q] >= minSamples {
			f.columns = append(f.columns, column{
				factor: func(s *sample) float64 { return indicator(s.class == q) },
				set:    func(x float64) { f.costs.base[q] = x }})
		}
		f.columns = append(f.columns, column{
			factor: func(s *sample) float64 { return indicator(s.class == q) * s.units },
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

// initialWeights weights the first fit by the inverse of the units.
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

// solve solves the normal equations and sets the costs. It reports false if they have no solution; the costs then stay as they are.
func (f *fitter) solve() bool {
	n := len(f.columns)
	left, right := f.normalEquations()
	for a := range n { // ridge regularization keeps nearly collinear columns solvable
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

// forbidNegative fits each request class that got a negative cost again, with the cost per unit alone.
func (f *fitter) forbidNegative() {
	c := &f.costs
	for q := range c.base {
		if !(c.base[q] < 0 || c.unit[q] < 0) {
			continue
		}
		sum, units := 0.0, 0.0
		for i, o := range f.observations {
			if o.sample.class == q {
				weight := f.weights[i] * o.sample.units
				sum, units = sum+weight*(o.value-c.network(o.sample)), units+weight*o.sample.units
			}
		}
		c.base[q], c.unit[q] = 0, math.Max(sum/math.Max(units, 1e-12), 0)
	}
	c.roundTrip = math.Max(c.roundTrip, 0)
}

// reweight reduces the weight of samples far from the fit in the next iteration.
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

// median returns the median (of an even number, the upper one) and leaves the order of values unchanged.
func median(values []float64) float64 {
	sorted := slices.Clone(values)
	slices.Sort(sorted)
	return sorted[len(sorted)/2]
}
