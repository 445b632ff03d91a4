package policy

import (
	"math"
	"time"
)

// Why a request was given up: the rule that ended it, and what held it back until then. Logs and metrics show both; nothing is
// decided by them.

// GiveUp says why a request ended without the answer that it asked for.
type GiveUp struct {
	Cause GiveUpCause
	Hold  Hold
}

// GiveUpCause is the rule that ended a request.
type GiveUpCause string

// The causes.
const (
	NotSentInTime   GiveUpCause = "not-sent-in-time"  // no attempt by its latency objective, or by half of its time
	DeadlinePassed  GiveUpCause = "deadline-passed"   // no answer by its deadline
	CannotBeInTime  GiveUpCause = "cannot-be-in-time" // by the latency that its endpoints show
	NoRetryPossible GiveUpCause = "no-retry-possible" // no attempt, no time or no endpoint is left after a failed attempt
)

// Hold is what kept a request from being sent, at the endpoint that came nearest to taking it.
type Hold string

// The holds, in the order in which a request meets them.
const (
	NoEndpoint       Hold = "no-endpoint"       // its shard has none
	NotAccepting     Hold = "not-accepting"     // the endpoint drains or is removed
	Ejected          Hold = "ejected"           // by all gateways
	ConcurrencyLimit Hold = "concurrency-limit" // this gateway's places are taken
	SlowStart        Hold = "slow-start"        // the endpoint's budget is used
	RateLimit        Hold = "rate-limit"        // the volume's is used
	UnsafeNow        Hold = "unsafe-now"        // an attempt might have a wrong effect, or overtake another request
	RetryLimit       Hold = "retry-limit"       // attempts or retry budget are used, or the endpoint has just failed
	Pace             Hold = "pace"              // the interval since the last attempt is too short, or only what can be in time may go
	InFlight         Hold = "in-flight"         // nothing: it was sent and has no answer yet
	NotHeld          Hold = "none"              // nothing
)

// holdOrder ranks the holds: a request that met a later one came nearer to being sent.
var holdOrder = map[Hold]int{NoEndpoint: 0, NotAccepting: 1, Ejected: 2, ConcurrencyLimit: 3, SlowStart: 4, RateLimit: 5,
	UnsafeNow: 6, RetryLimit: 7, Pace: 8, NotHeld: 9}

// maxExaminedEndpoints bounds the endpoints of a shard at which a hold is looked for.
const maxExaminedEndpoints = 16

// GiveUp is why the request was given up; its fields are empty if it was not.
func (r *Request) GiveUp() GiveUp { return r.giveUp }

// holdOf tells what keeps a request from being sent now.
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

// holdAtEndpoint tells what keeps a request from being sent to one endpoint now.
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

// allowanceAt is what allowance would return, without filling the bucket: filling it in more steps rounds otherwise.
func (v *Volume) allowanceAt(now time.Duration) float64 {
	if v.plan.Limit <= 0 {
		return math.Inf(1)
	}
	bucket := v.limit
	return bucket.refill(now)
}
