package policy

import (
	"math"
	"time"
)

// Reasons for giving up a request: the rule that ended it, and the condition that kept it from being sent until then. They appear
// in logs and metrics only; no decision depends on them.

// GiveUp describes why a request ended without the response that the client requested.
type GiveUp struct {
	Cause GiveUpCause
	Hold  Hold
}

// GiveUpCause is the rule that ended a request.
type GiveUpCause string

// Causes of giving up.
const (
	NotSentInTime   GiveUpCause = "not-sent-in-time"  // no attempt by its latency objective, or by half of the time to its deadline
	DeadlinePassed  GiveUpCause = "deadline-passed"   // no response by its deadline
	CannotBeInTime  GiveUpCause = "cannot-be-in-time" // the latency of its endpoints rules out a response in time
	NoRetryPossible GiveUpCause = "no-retry-possible" // an attempt failed and no attempt, no time or no endpoint is left
)

// Hold is the condition that kept a request from being sent at the endpoint that came closest to accepting it.
type Hold string

// Holds, in the order in which they are checked.
const (
	NoEndpoint       Hold = "no-endpoint"       // the shard has no endpoint
	NotAccepting     Hold = "not-accepting"     // the endpoint is draining or removed
	Ejected          Hold = "ejected"           // the endpoint is ejected by all gateways
	ConcurrencyLimit Hold = "concurrency-limit" // all slots of this gateway at the endpoint are in use
	SlowStart        Hold = "slow-start"        // this gateway's slow-start budget of the endpoint is in use
	RateLimit        Hold = "rate-limit"        // the volume's rate limit is exhausted
	UnsafeNow        Hold = "unsafe-now"        // an attempt could take effect twice or overtake an earlier request
	RetryLimit       Hold = "retry-limit"       // attempts or retry budget are exhausted, or the endpoint has just failed
	Pace             Hold = "pace"              // the send interval has not passed, or the request would miss its latency objective
	InFlight         Hold = "in-flight"         // no hold: an attempt is in flight
	NotHeld          Hold = "none"              // no hold
)

// holdOrder ranks the holds: a request with a higher-ranked hold came closer to being sent.
var holdOrder = map[Hold]int{NoEndpoint: 0, NotAccepting: 1, Ejected: 2, ConcurrencyLimit: 3, SlowStart: 4, RateLimit: 5,
	UnsafeNow: 6, RetryLimit: 7, Pace: 8, NotHeld: 9}

// maxExaminedEndpoints bounds the number of endpoints of a shard that are examined for holds.
const maxExaminedEndpoints = 16

// GiveUp returns why the request was given up; its fields are empty if it was not.
func (r *Request) GiveUp() GiveUp { return r.giveUp }

// holdOf returns the condition that keeps a request from being sent now.
func (s *Scheduler) holdOf(r *Request, now time.Duration) Hold {
	if r.inFlight > 0 {
		return InFlight
	}
	endpoints := s.endpointsOf(r.shard)
	nearest := NoEndpoint
	for _, e := range endpoints[:min(len(endpoints), maxExaminedEndpoints)] {
		if hold := s.holdAtEndpoint(r, e, now); holdOrder[hold] > holdOrder[nearest] {
			nearest = hold
		}
	}
	return nearest
}

// holdAtEndpoint returns the condition that keeps a request from being sent to one endpoint now.
func (s *Scheduler) holdAtEndpoint(r *Request, e *Endpoint, now time.Duration) Hold {
	_, urgency := s.rank(r, e, now)
	switch {
	case !e.accepting:
		return NotAccepting
	case now < e.ejectedUntil:
		return Ejected
	case s.freeSlots(e) <= 0:
		return ConcurrencyLimit
	case r.units > s.slowStartAllowance(e, now):
		return SlowStart
	case !r.charged && r.units > r.Volume.allowanceAt(now):
		return RateLimit
	case !s.attemptAllowed(r, e, now):
		return UnsafeNow
	case !s.retryAllowed(r, e, now):
		return RetryLimit
	case !e.paceAllows(now-e.lastSentAt, candidate{urgency: urgency}):
		return Pace
	}
	return NotHeld
}

// allowanceAt returns what allowance would return, without refilling the bucket: refilling it in more steps would round differently.
func (v *Volume) allowanceAt(now time.Duration) float64 {
	if v.plan.Limit <= 0 {
		return math.Inf(1)
	}
	bucket := v.limit
	return bucket.refill(now)
}
