package learn

import (
	"math"

	"weirhaven/internal/pb"
)

// rounds is the number of passes over costs, speeds and cache: the estimate of each depends on the other two.
const rounds = 3

// minSeconds is the least divisor in a ratio of service times.
const minSeconds = 1e-9

// endpoint holds the data of one endpoint of the kind.
type endpoint struct {
	name     string
	attempts []attempt // by start
	samples  []sample
	speed    float64 // of each core
}

// learner estimates the model of one kind of endpoint.
type learner struct {
	kind      *pb.CapacityModel_KindModel
	types     []*pb.QueueType
	endpoints []*endpoint
	costs     costs
}

// learnKind returns the model of a kind and the speeds of its endpoints relative to the kind's mean; nil if there are too few samples.
func learnKind(kind *pb.ServerKind, names []string, attempts map[string][]attempt, types []*pb.QueueType) (
	*pb.CapacityModel_KindModel, []*pb.CapacityModel_BrickSpeed) {
	l := &learner{types: types}
	errors, served, samples := 0, 0, 0
	for _, name := range names {
		s := separate(attempts[name], max(int(kind.Cores), 1), types)
		errors, served, samples = errors+s.errors, served+s.served, samples+len(s.samples)
		l.endpoints = append(l.endpoints, &endpoint{name: name, attempts: attempts[name], samples: s.samples, speed: 1})
	}
	if samples < minSamples {
		return nil, nil
	}
	l.kind = &pb.CapacityModel_KindModel{Name: kind.Name, Errors: float64(errors) / math.Max(float64(served), 1),
		Fit: &pb.CapacityModel_Fit{Samples: uint32(samples)}}
	for range rounds {
		l.estimate()
	}
	l.kind.Way = l.costs.roundTrip
	l.learnInterruptions()
	mean := l.meanSpeed()
	l.learnWork(mean)
	l.compareUse()
	return l.kind, l.speeds(mean)
}

// estimate runs one round.
func (l *learner) estimate() {
	l.costs = fitCosts(l.endpoints, l.kind.Saves, len(l.types))
	for _, e := range l.endpoints {
		e.estimateSpeed(&l.costs, l.kind.Saves)
	}
	l.markOutliers()
	if l.kind.Remembers == 0 {
		l.kind.Remembers, l.kind.Saves = l.findCache()
	}
	l.markCached(int(l.kind.Remembers))
}

// estimateSpeed estimates the speed as the ratio of expected service time at speed 1 to measured service time, outliers left out.
func (e *endpoint) estimateSpeed(c *costs, cacheSaves float64) {
	expected, took := 0.0, 0.0
	for i := range e.samples {
		s := &e.samples[i]
		s.expected = c.work(s)
		if s.cached {
			s.expected *= 1 - cacheSaves
		}
		relative := (s.duration - c.network(s)) / math.Max(s.expected/e.speed, minSeconds)
		if !s.outlier && relative > 0 {
			expected, took = expected+s.expected, took+s.duration-c.network(s)
		}
	}
	if len(e.samples) >= minSamples && took > 0 {
		e.speed = expected / took
	}
}

func (l *learner) meanSpeed() float64 {
	mean := 0.0
	for _, e := range l.endpoints {
		mean += e.speed / float64(len(l.endpoints))
	}
	return mean
}

func (l *learner) speeds(mean float64) []*pb.CapacityModel_BrickSpeed {
	var speeds []*pb.CapacityModel_BrickSpeed
	for _, e := range l.endpoints {
		speeds = append(speeds, &pb.CapacityModel_BrickSpeed{Name: e.name, Kind: l.kind.Name, Speed: e.speed / mean, Samples: uint32(len(e.samples))})
	}
	return speeds
}

// compareUse sets the core seconds that the endpoints worked as captured, and as the model predicts for the same attempts.
func (l *learner) compareUse() {
	seen, modelled := 0.0, 0.0
	for _, e := range l.endpoints {
		for i := range e.samples {
			s := &e.samples[i]
			seen += s.duration - l.costs.network(s)
			work := s.expected / e.speed
			if s.write && l.kind.Deferred > 0 {
				work /= 1 - l.kind.Deferred
			}
			modelled += work
		}
		if n := len(e.samples); l.kind.PauseEvery > 0 && n > 1 {
			modelled += (e.samples[n-1].arrival - e.samples[0].arrival).Seconds() / l.kind.PauseEvery * l.kind.Pause
		}
	}
	l.kind.Fit.UseSeen, l.kind.Fit.UseTold = seen, modelled
}
