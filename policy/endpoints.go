package policy

import (
	"slices"
	"time"
)

// The endpoint list contains the endpoints, whether each accepts attempts, and when each started. Draining is strict: nothing is
// sent to an endpoint that is listed as draining or removed. A removed endpoint is deleted at the first list after its last attempt
// has ended; replacements have new names, so without deletion the list would grow without bound.

// Endpoint is one storage endpoint. The gateway sets Name; the scheduler owns the other fields.
type Endpoint struct {
	Name string

	zone       string
	shard      int
	startedAt  time.Duration // 0: long ago
	accepting  bool          // listed as serving
	listed     bool          // not removed by the endpoint list
	registered bool          // added to Scheduler.endpoints

	inFlight int
	attempts []*Attempt // attempts in flight

	concurrency
	pace
	outlierState

	virtualTime       float64 // weight tag of the request sent last
	slowStartAttempts []*Attempt
}

// EndpointUpdate is one entry of the endpoint list.
type EndpointUpdate struct {
	Zone      string
	Shard     int           // shard of the endpoint's data; fixed when the endpoint is added, later changes are ignored until it is removed
	Serving   bool          // false: draining or removed
	Removed   bool          // no longer part of the fleet
	StartedAt time.Duration // on the runtime's clock; 0: unknown, long ago
}

// BeginEndpointList starts a list. Endpoints that a complete list does not contain are removed.
func (s *Scheduler) BeginEndpointList(complete bool) {
	s.listFailures = 0
	if !complete {
		return
	}
	for _, e := range s.endpoints {
		e.listed = false
	}
}

// UpdateEndpoint applies one entry of the list at once.
func (s *Scheduler) UpdateEndpoint(e *Endpoint, update EndpointUpdate) {
	if !e.registered {
		s.addEndpoint(e, update.Shard)
	}
	s.updateStartTime(e, update.StartedAt)
	if e.accepting && !update.Serving {
		s.logStopped(e, update.Removed)
	}
	e.zone, e.listed, e.accepting = update.Zone, !update.Removed, update.Serving
}

func (s *Scheduler) logStopped(e *Endpoint, removed bool) {
	state := "draining"
	if removed {
		state = "removed"
	}
	s.log("endpoint %s: %s, %d in flight", e.Name, state, e.inFlight)
}

// EndEndpointList ends a list: it stops sending to endpoints that a complete list does not contain, and fills free slots.
func (s *Scheduler) EndEndpointList() {
	for _, e := range slices.Clone(s.endpoints) {
		if !e.listed && e.accepting {
			e.accepting = false
			s.log("endpoint %s: not in the complete list, %d in flight", e.Name, e.inFlight)
		}
		s.fillEndpoint(e)
		if !e.listed && e.inFlight == 0 {
			s.removeEndpoint(e)
		}
	}
}

// maxBackoffDoublings bounds the backoff after failed polls to 8 demand periods.
const maxBackoffDoublings = 3

// EndpointListFailed reports that a poll or a watch failed. The next poll follows after a backoff with jitter, since all gateways
// see an outage of the discovery service at the same time.
func (s *Scheduler) EndpointListFailed() {
	s.listFailures++
	wait := min(demandPeriod<<min(s.listFailures, maxBackoffDoublings), s.settings.MaxListAge/2)
	s.log("endpoint list: failed %d times in a row, next poll within %v", s.listFailures, wait)
	jitter := time.Duration(s.rng.Int63n(int64(wait/2) + 1))
	s.runtime.After(wait/2+jitter, s.runtime.RequestEndpointList)
}

func (s *Scheduler) addEndpoint(e *Endpoint, shardNumber int) {
	e.registered = true
	e.shard = shardNumber
	e.startLimit(s.gateways, s.congestionThreshold)
	s.endpoints = append(s.endpoints, e)
	at := s.shardOf(shardNumber)
	at.endpoints = append(at.endpoints, e)
}

func (s *Scheduler) removeEndpoint(e *Endpoint) {
	e.registered = false
	s.endpoints = without(s.endpoints, e)
	at := s.shardOf(e.shard)
	at.endpoints = without(at.endpoints, e)
}

// updateStartTime records when an endpoint started. A later time means a restart: the endpoint's failures, ejection and send
// interval are reset, while its limit and latency stay as the best available estimates. An earlier time corrects an endpoint that
// was assumed to have just started until its real start time was known.
func (s *Scheduler) updateStartTime(e *Endpoint, startedAt time.Duration) {
	switch {
	case startedAt > e.startedAt:
		e.startedAt = startedAt
		e.consecutiveFailures = 0
		e.ejectedUntil = 0
		e.minSendInterval = 0
		if age := s.runtime.Now() - startedAt; age < s.slowStart.duration {
			s.log("endpoint %s: slow start, started %v ago, warm within %v", e.Name, age, s.slowStart.duration)
		}
	case startedAt < e.startedAt:
		e.startedAt = startedAt
	}
}

// shardOf returns the shard with a number, and creates it if it does not exist.
func (s *Scheduler) shardOf(number int) *shard {
	if s.shards[number] == nil {
		s.shards[number] = &shard{}
	}
	return s.shards[number]
}

// endpointsOf returns the endpoints that may serve a shard; a negative number means that any endpoint may.
func (s *Scheduler) endpointsOf(shardNumber int) []*Endpoint {
	if shardNumber < 0 {
		return s.endpoints
	}
	return s.shardOf(shardNumber).endpoints
}
