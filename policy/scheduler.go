package policy

import (
	"fmt"
	"math"
	"math/rand"
	"slices"
	"time"
)

const (
	// demandPeriod is the interval (taken from the paper) at which demand is measured and capacity is divided among volumes and gateways.
	demandPeriod = time.Second
	// congestionShare is the congestion threshold as a fraction of the shortest latency objective.
	congestionShare = 0.25
	// minCongestionThreshold keeps periods that derive from the threshold above the timer resolution.
	minCongestionThreshold = time.Millisecond
	// sweepsPerThreshold is the number of sweeps per congestion threshold.
	sweepsPerThreshold = 4
	// maxDuration is longer than any wait.
	maxDuration = time.Duration(math.MaxInt64)
)

// Scheduler makes all decisions of one gateway. It is not safe for concurrent use: all calls, including timers, must come from one
// goroutine.
type Scheduler struct {
	runtime  Runtime
	settings Settings
	rng      *rand.Rand

	startedAt           time.Duration
	gateways            float64       // number of gateways in service, at least 1
	congestionThreshold time.Duration // latency above which an endpoint is congested: the paper's Lc
	shortestObjective   time.Duration // shortest latency objective of all classes
	timerMargin         time.Duration // how much earlier than its deadline a timer is set
	sharedHealthChecks  bool          // health checks and gossip are allowed, so that one gateway checks an outlier for all
	slowStart           slowStartBudget
	retryBudget         retryBudget
	suspensions         suspensionLog

	classes      map[string]*class
	plans        map[string]*ServicePlan
	volumes      []*Volume
	endpoints    []*Endpoint
	shards       map[int]*shard
	orderingKeys map[string]*orderingKey
	givenUp      map[retryFingerprint][]time.Duration // times at which requests that were given up were first received
	listFailures int                                  // consecutive failures
}

// class is a request class with measurements from its responses.
type class struct {
	RequestClass
	responseTimePerUnit float64 // mean response time in seconds per unit
	serviceTimePerUnit  float64 // response time at an idle endpoint, in seconds per unit
}

// shard holds the endpoints with a shard's data and the queues for them.
type shard struct {
	endpoints []*Endpoint
	queues    []*volumeQueue
}

// New creates the scheduler of a gateway, without any measurements, and starts its timers.
func New(runtime Runtime, settings Settings) *Scheduler {
	settings.TypicalUnits = math.Max(settings.TypicalUnits, 1)
	s := &Scheduler{
		runtime:            runtime,
		settings:           settings,
		rng:                rand.New(rand.NewSource(settings.Seed)),
		startedAt:          runtime.Now(),
		timerMargin:        2 * settings.TimerResolution,
		sharedHealthChecks: settings.HealthChecks && settings.Gossip,
		slowStart:          newSlowStartBudget(settings),
		retryBudget:        newRetryBudget(settings),
		classes:            map[string]*class{},
		plans:              map[string]*ServicePlan{},
		shards:             map[int]*shard{},
		orderingKeys:       map[string]*orderingKey{},
		givenUp:            map[retryFingerprint][]time.Duration{},
	}
	s.addClasses()
	s.addPlans()
	gateways := max(settings.Gateways, 1)
	s.SetGateways(gateways, gateways)
	s.startTimers()
	return s
}

func (s *Scheduler) addClasses() {
	s.shortestObjective = maxDuration
	for _, c := range s.settings.Classes {
		s.classes[c.Name] = &class{RequestClass: c}
		s.shortestObjective = min(s.shortestObjective, c.LatencyObjective)
	}
	s.congestionThreshold = max(time.Duration(float64(s.shortestObjective)*congestionShare), minCongestionThreshold)
	s.suspensions.tolerance = max(time.Duration(float64(s.congestionThreshold)*suspendedShare), 2*s.timerMargin)
	for _, c := range s.classes {
		c.responseTimePerUnit = s.congestionThreshold.Seconds() / s.settings.TypicalUnits
		c.serviceTimePerUnit = s.congestionThreshold.Seconds() / s.settings.TypicalUnits / 2
	}
}

func (s *Scheduler) addPlans() {
	for _, plan := range s.settings.Plans {
		plan.Weight = math.Max(plan.Weight, minVolumeWeight)
		s.plans[plan.Name] = &plan
	}
}

func (s *Scheduler) startTimers() {
	if s.settings.PollEndpointList {
		jitter := time.Duration(s.rng.Int63n(int64(demandPeriod) / 4))
		s.runtime.After(jitter, s.runtime.RequestEndpointList)
	}
	s.runtime.After(demandPeriod, s.runDemandPeriod)
	s.scheduleSweep(s.runtime.Now())
}

// SetGateways sets the number of gateways in service, this one included, and the number of shares into which the slow-start budgets
// of endpoints are divided. That number must include every gateway that may still be sending, even an unreachable one. With 0 shares
// this gateway sends nothing to endpoints in slow start.
func (s *Scheduler) SetGateways(serving, slowStartShares int) {
	s.gateways = math.Max(1, float64(serving))
	s.slowStart.split(slowStartShares)
}

// runDemandPeriod runs once per demand period: it measures demand (demand.go), divides the limits (concurrency.go) and deletes
// expired state.
func (s *Scheduler) runDemandPeriod() {
	now := s.runtime.Now()
	for _, v := range s.volumes {
		s.measureDemand(v, now)
	}
	s.removeExpiredGivenUp(now)
	s.removeIdleOrderingKeys(now)
	for _, e := range s.endpoints {
		s.splitLimit(e)
		s.fillEndpoint(e)
	}
	s.runtime.After(demandPeriod, s.runDemandPeriod)
}

// sweep runs sweepsPerThreshold times per congestion threshold: it updates limits (concurrency.go), sheds requests that can't
// complete in time (admission.go), and serves queues that were waiting for pace, a rate limit or slow start.
func (s *Scheduler) sweep() {
	now := s.runtime.Now()
	s.suspensions.sweepStarted(now)
	for _, e := range s.endpoints {
		if now-e.limitUpdatedAt >= limitPeriods*s.congestionThreshold {
			s.updateLimit(e, now)
		}
	}
	for _, v := range s.volumes {
		for _, queue := range v.queues {
			if len(queue.waiting) == 0 {
				continue
			}
			s.shedLate(queue, now)
			s.serveQueue(queue)
		}
	}
	s.scheduleSweep(now)
}

func (s *Scheduler) scheduleSweep(now time.Duration) {
	period := s.congestionThreshold / sweepsPerThreshold
	s.suspensions.sweepDueAt = now + period
	s.runtime.After(period, s.sweep)
}

func (s *Scheduler) log(format string, args ...any) { s.runtime.Log(fmt.Sprintf(format, args...)) }

// without removes the first element equal to x from the list, in place, and returns the list.
func without[T comparable](list []T, x T) []T {
	if i := slices.Index(list, x); i >= 0 {
		return slices.Delete(list, i, i+1)
	}
	return list
}
