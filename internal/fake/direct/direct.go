// Package direct is the baseline scheduler that scenarios compare the real one with. It sends each request at once to a
// random endpoint of its shard, within this gateway's equal share of the volume's limit, and returns the outcome of that one
// attempt. It doesn't queue, retry, check health or slow down.
package direct

import (
	"math/rand"
	"time"

	"weirhaven/internal/engine"
	"weirhaven/policy"
)

// listRetryInterval is the delay before the endpoint list is requested again after a failure.
const listRetryInterval = time.Second

// scheduler implements engine.Scheduler.
type scheduler struct {
	runtime        policy.Runtime
	rng            *rand.Rand
	plans          map[string]policy.ServicePlan
	deadlineMargin time.Duration // time before its deadline at which a request fails, so that the response arrives in time
	endpoints      []*endpoint
	inFlight       map[*policy.Request]*policy.Attempt
	buckets        map[*policy.Volume]*tokenBucket
}

type endpoint struct {
	endpoint *policy.Endpoint
	shard    int
	serving  bool
}

// tokenBucket enforces this gateway's equal share of a volume's limit.
type tokenBucket struct {
	level     float64 // units
	updatedAt time.Duration
}

// Start returns the baseline scheduler, to be used in place of a *policy.Scheduler.
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

// takeTokens takes a request's units from this gateway's share of its volume's limit. It reports whether enough were left.
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

// ForgetVolume implements engine.Scheduler.
func (s *scheduler) ForgetVolume(*policy.Volume) bool { return true }

// BeginEndpointList implements engine.Scheduler.
func (s *scheduler) BeginEndpointList(complete bool) {
	if complete {
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

// candidates returns the endpoints that serve a shard, or all serving endpoints if shard is negative.
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
	case policy.Rejected, policy.ConnectFailed, policy.NotSent: // the request never ran: a retry is safe
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
