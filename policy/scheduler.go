package policy

import (
	"fmt"
	"math"
	"math/rand"
	"slices"
	"time"
)

const (
	// demandPeriod is how often demand is measured and capacity is divided among volumes and gateways.
	demandPeriod = time.Second
	// congestionShare is the congestion threshold as a part of the shortest latency objective.
	congestionShare = 0.25
	// minCongestionThreshold keeps periods that derive from the threshold above the resolution of timers.
	minCongestionThreshold = time.Millisecond
	// sweepsPerThreshold is how many times within a congestion threshold queues are swept.
	sweepsPerThreshold = 4
	// never is longer than any wait.
	maxDuration = time.Duration(math.MaxInt64)
)

// Scheduler decides for one gateway. It is not safe for concurrent use: all calls, timers included, come from one goroutine.
type Scheduler struct {
	runtime  Runtime
	settings Settings
	rng      *rand.Rand

	startedAt           time.Duration
	gateways            float64       // that serve now, at least 1
	congestionThreshold time.Duration // latency beyond which an endpoint is congested: the paper's Lc
	shortestObjective   time.Duration // the shortest latency objective of all classes
	timerMargin         time.Duration // how much sooner a deadline's timer is set
	sharedHealthChecks  bool          // health checks and gossip are allowed: one gateway checks an outlier for all
	slowStart           slowStartBudget
	retryBudget         retryBudget
	suspensions         suspensionLog

	classes      map[string]*class
	plans        map[string]*ServicePlan
	volumes      []*Volume
	endpoints    []*Endpoint
	shards       map[int]*shard
	orderingKeys map[string]*orderingKey
	givenUp      map[retryFingerprint][]time.Duration // when requests that were given up were first received
	listFailures int                                  // in a row
}

// class is a request class with what its answers have shown.
type class struct {
	RequestClass
	responseTimePerUnit float64 // mean seconds that an answer takes for a unit
	serviceTimePerUnit  float64 // the same where nothing was before it at the endpoint
}

// shard holds what belongs together: the endpoints with its data and the queues for them.
type shard struct {
	endpoints []*Endpoint
	queues    []*volumeQueue
}

// New makes the scheduler of a gateway that knows nothing yet, and sets its first timers.
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

// SetGateways says how many gateways serve, this one included, and over how many the slow-start budgets of endpoints are split:
// every gateway that may still be sending counts there, also one that is not heard of. 0: this gateway has no share yet and sends
// nothing to endpoints in slow start.
func (s *Scheduler) SetGateways(serving, slowStartShares int) {
	s.gateways = math.Max(1, float64(serving))
	s.slowStart.split(slowStartShares)
}

// runDemandPeriod runs once in a demand period, the paper's: demand.go measures, then concurrency.go splits the limits anew. What
// nobody can ask for any more is forgotten then, too.
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

// sweep runs sweepsPerThreshold times in a congestion threshold: concurrency.go moves limits, admission.go sheds what can't be
// answered in time any more, and queues that waited for a pace, a rate limit or slow start are served.
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

// without returns the list without its first element equal to x.
func without[T comparable](list []T, x T) []T {
	if i := slices.Index(list, x); i >= 0 {
		return slices.Delete(list, i, i+1)
	}
	return list
}
