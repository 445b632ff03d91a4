// Package direct is the baseline that scenarios compare the scheduler with: it sends each request at once to a random
// endpoint of its shard, within this gateway's even part of the volume's limit, and passes on whatever comes of it. It
// doesn't queue, retry, check health or slow down.
package direct

import (
	"math/rand"
	"time"

	"weirhaven/internal/engine"
	"weirhaven/policy"
)

// listRetryInterval is the wait before the endpoint list is asked for again.
const listRetryInterval = time.Second

// scheduler is an engine.Scheduler.
type scheduler struct {
	runtime        policy.Runtime
	rng            *rand.Rand
	plans          map[string]policy.ServicePlan
	deadlineMargin time.Duration // a request fails so long before its deadline, so that the response is in time
	endpoints      []*endpoint
	inFlight       map[*policy.Request]*policy.Attempt
	buckets        map[*policy.Volume]*tokenBucket
}

type endpoint struct {
	endpoint *policy.Endpoint
	shard    int
	serving  bool
}

// tokenBucket is this gateway's even part of a volume's limit.
type tokenBucket struct {
	level     float64 // units
	updatedAt time.Duration
}

// Start returns the baseline in place of a *policy.Scheduler.
func Start(runtime policy.Runtime, settings policy.Settings) engine.Scheduler {
	plans := map[string]policy.ServicePlan{}
	for _, plan := range settings.Plans {
		plans[plan.Name] = plan
	}
	if settings.PollEndpointList {
		runtime.After(0, runtime.RequestEndpointList)
	}
	return &scheduler{
		runtime:        runtime,
		rng:            rand.New(rand.NewSource(settings.Seed)),
		plans:          plans,
		deadlineMargin: 2 * settings.TimerResolution,
		inFlight:       map[*policy.Request]*policy.Attempt{},
		buckets:        map[*policy.Volume]*tokenBucket{},
	}
}

// takeTokens takes a request's units from this gateway's part of its volume's limit; it reports whether they were there.
func (s *scheduler) takeTokens(volume *policy.Volume, plan policy.ServicePlan, gateways, units float64) bool {
	if plan.Limit == 0 {
		return true
	}
	now := s.runtime.Now()
	bucket := s.buckets[volume]
	if bucket == nil {
		bucket = &tokenBucket{level: plan.InitialBurst / gateways, updatedAt: now}
		s.buckets[volume] = bucket
	}
	refill := plan.Limit / gateways * (now - bucket.updatedAt).Seconds()
	bucket.level, bucket.updatedAt = min(bucket.level+refill, plan.Burst/gateways), now
	if bucket.level < units {
		return false
	}
	bucket.level -= units
	return true
}

// BeginEndpointList implements engine.Scheduler.
func (s *scheduler) BeginEndpointList(whole bool) {
	if whole {
		s.endpoints = nil
	}
}

// UpdateEndpoint implements engine.Scheduler.
func (s *scheduler) UpdateEndpoint(updated *policy.Endpoint, update policy.EndpointUpdate) {
	serving := update.Serving && !update.Removed
	for _, known := range s.endpoints {
		if known.endpoint == updated {
			known.serving = serving
			return
		}
	}
	s.endpoints = append(s.endpoints, &endpoint{endpoint: updated, shard: update.Shard, serving: serving})
}

// EndEndpointList implements engine.Scheduler.
func (s *scheduler) EndEndpointList() {}

// EndpointListFailed implements engine.Scheduler.
func (s *scheduler) EndpointListFailed() {
	s.runtime.After(listRetryInterval, s.runtime.RequestEndpointList)
}

// RequestReceived implements engine.Scheduler.
func (s *scheduler) RequestReceived(request *policy.Request, arrival policy.RequestArrival) error {
	candidates := s.candidates(arrival.Shard)
	if len(candidates) == 0 || !s.takeTokens(request.Volume, s.plans[arrival.Plan], float64(arrival.Gateways), arrival.Units) {
		s.runtime.Reject(request, 0)
		return nil
	}
	attempt := &policy.Attempt{Request: request, Endpoint: candidates[s.rng.Intn(len(candidates))]}
	s.inFlight[request] = attempt
	s.runtime.After(arrival.Deadline-s.deadlineMargin-s.runtime.Now(), func() {
		if s.inFlight[request] == attempt {
			delete(s.inFlight, request)
			s.runtime.Fail(request)
		}
	})
	s.runtime.Send(attempt)
	return nil
}

// candidates returns the endpoints that serve a shard; below 0: any shard.
func (s *scheduler) candidates(shard int) (candidates []*policy.Endpoint) {
	for _, known := range s.endpoints {
		if known.serving && (shard < 0 || known.shard == shard) {
			candidates = append(candidates, known.endpoint)
		}
	}
	return candidates
}

// ResponseStarted implements engine.Scheduler.
func (s *scheduler) ResponseStarted(*policy.Attempt) {}

// AttemptEnded implements engine.Scheduler.
func (s *scheduler) AttemptEnded(attempt *policy.Attempt, result policy.AttemptResult) {
	request := attempt.Request
	if s.inFlight[request] != attempt {
		return
	}
	delete(s.inFlight, request)
	if result.RequestOver {
		return
	}
	switch result.Outcome {
	case policy.Rejected, policy.ConnectFailed, policy.NotSent: // never ran: a retry is harmless
		s.runtime.Reject(request, 0)
	default:
		s.runtime.Fail(request)
	}
}

// ClientDisconnected implements engine.Scheduler.
func (s *scheduler) ClientDisconnected(request *policy.Request) { delete(s.inFlight, request) }

// HealthChecked implements engine.Scheduler.
func (s *scheduler) HealthChecked(*policy.Endpoint, policy.Outcome, time.Duration) {}

// GossipReceived implements engine.Scheduler.
func (s *scheduler) GossipReceived(int, []byte) {}

// SetGateways implements engine.Scheduler.
func (s *scheduler) SetGateways(int, int) {}

// SetVolumeGateways implements engine.Scheduler.
func (s *scheduler) SetVolumeGateways(*policy.Volume, int) {}
