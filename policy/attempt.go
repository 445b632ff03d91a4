package policy

import (
	"math"
	"time"
)

// Attempt is one execution of a request at an endpoint. It begins with Runtime.Send and ends with exactly one AttemptEnded.
type Attempt struct {
	Request  *Request
	Endpoint *Endpoint
	Number   int           // index among the attempts of its request, from 0
	StartBy  time.Duration // latest start; after it the endpoint may have dropped the idempotency key; 0: no bound

	sentAt          time.Duration
	minSendInterval time.Duration // base of pacing updates from this attempt; see baseInterval
	ended           bool
	mayHaveRun      bool // the endpoint may have run it, or may still run it
	served          bool
	presumedLost    bool // its response is presumed lost: the endpoint quickly served a later attempt or health check
	canceledAsLost  bool // canceled so that the request can be retried
}

// Outcome is how an attempt ended.
type Outcome int

const (
	// Served means that the endpoint returned the requested response.
	Served Outcome = iota
	// ErrorResponse means that the endpoint returned an error; the request may have run.
	ErrorResponse
	// Rejected means that the endpoint shed the request without processing it; it never ran.
	Rejected
	// TimedOut means that no response arrived by the deadline; the request may still run.
	TimedOut
	// ConnectFailed means that the request was not sent completely, mostly because no connection was established; it never ran.
	ConnectFailed
	// ConnectionReset means that the connection broke; the request may have run.
	ConnectionReset
	// Canceled means that the gateway stopped waiting; the request may still run.
	Canceled
	// NotSent means that no byte of the request left the gateway; it never ran.
	NotSent
)

// String returns the name of the outcome in logs and metrics.
func (o Outcome) String() string {
	switch o {
	case Served:
		return "served"
	case ErrorResponse:
		return "error-response"
	case Rejected:
		return "rejected"
	case TimedOut:
		return "timed-out"
	case ConnectFailed:
		return "connect-failed"
	case ConnectionReset:
		return "connection-reset"
	case Canceled:
		return "canceled"
	case NotSent:
		return "not-sent"
	default:
		return "unknown"
	}
}

// MayHaveRun reports whether the endpoint may have run the request, or may still run it.
func (o Outcome) MayHaveRun() bool {
	switch o {
	case Served, ErrorResponse, TimedOut, ConnectionReset, Canceled:
		return true
	default:
		return false
	}
}

// AttemptResult describes how an attempt ended.
type AttemptResult struct {
	Outcome     Outcome
	Duration    time.Duration // time since the attempt was sent
	RequestOver bool          // the client has the final response
	Load        LoadReport
}

// LoadReport is the use of a volume through all gateways, as reported by an endpoint with a response; zero values: not reported.
type LoadReport struct {
	ServedElsewhere float64 // units served for other gateways since the endpoint's last report to this gateway
	Utilization     float64 // 1 + percent of the plan's nominal rate, so that 0 means not reported
}

// AttemptEnded reports the outcome of an attempt. It releases the attempt's slot, updates latency, pace and outlier detection, and
// then completes the request, retries it or gives it up.
func (s *Scheduler) AttemptEnded(attempt *Attempt, result AttemptResult) {
	now, r, e := s.runtime.Now(), attempt.Request, attempt.Endpoint
	result.Duration = s.suspensions.runningTime(attempt.sentAt, attempt.sentAt+result.Duration)
	s.account(attempt, result.Outcome, now)
	s.observe(attempt, result, now)
	if result.Outcome == Served || result.Outcome == ErrorResponse {
		s.applyLoadReport(r, result.Load, now)
	}
	s.continueRequest(r, result.RequestOver, now)
	s.fillEndpoint(e)
	if r.queue.shard != e.shard {
		s.serveQueue(r.queue)
	}
}

// account releases the slot that an attempt occupied.
func (s *Scheduler) account(attempt *Attempt, outcome Outcome, now time.Duration) {
	r, e := attempt.Request, attempt.Endpoint
	attempt.ended = true
	attempt.mayHaveRun = outcome.MayHaveRun()
	attempt.served = outcome == Served
	e.attempts = without(e.attempts, attempt)
	e.inFlight--
	r.inFlight--
	s.startOrderingCooldown(r, outcome, now)
}

// observe updates the endpoint's measurements with an outcome. Failures don't count as latency samples: fast ones would widen the
// limit of an endpoint that breaks down.
func (s *Scheduler) observe(attempt *Attempt, result AttemptResult, now time.Duration) {
	if attempt.presumedLost && !s.sharedHealthChecks { // already counted when the attempt was presumed lost
		if attempt.served {
			attempt.Request.Volume.served += attempt.Request.units
		}
		return
	}
	switch result.Outcome {
	case Served:
		s.observeServed(attempt, result.Duration, now)
	case TimedOut, Canceled:
		s.observeNoResponse(attempt, result.Duration, now)
	case Rejected, ConnectFailed, ConnectionReset:
		s.observeFailure(attempt, result, now)
	}
}

// Gains of the moving averages of a request class. The service time follows the fastest responses, which did not wait behind others
// at the endpoint, so it falls twenty times faster than it rises.
const (
	serviceTimeGainDown = 0.1
	serviceTimeGainUp   = 0.005
	responseTimeGain    = 0.02
)

func (s *Scheduler) observeServed(attempt *Attempt, duration, now time.Duration) {
	r, e := attempt.Request, attempt.Endpoint
	e.markHealthy()
	e.addLatencySample(duration)
	excess := duration.Seconds()/r.units - r.class.serviceTimePerUnit
	r.class.serviceTimePerUnit += math.Min(serviceTimeGainDown*excess, serviceTimeGainUp*excess)
	s.updatePace(attempt, duration-r.serviceTime(), now)
	e.smoothLatency(duration)
	r.Volume.served += r.units
	if !s.sharedHealthChecks && duration <= quickResponse*s.congestionThreshold {
		s.presumeLost(e, attempt.sentAt, now)
	}
	r.class.responseTimePerUnit += responseTimeGain * (duration.Seconds()/r.units - r.class.responseTimePerUnit)
}

// observeNoResponse records an attempt that ended without a response. The endpoint may still be processing it, so its age counts as
// a latency sample; otherwise an endpoint that hangs would keep a wide limit.
func (s *Scheduler) observeNoResponse(attempt *Attempt, duration, now time.Duration) {
	e := attempt.Endpoint
	e.addLatencySample(duration)
	if duration > s.congestionThreshold && !attempt.presumedLost {
		e.consecutiveFailures++
		s.checkHealth(e, now)
	}
	if !s.sharedHealthChecks {
		s.updatePace(attempt, 2*duration, now)
	}
}

// serviceTime returns the estimated time that the request takes at an idle endpoint.
func (r *Request) serviceTime() time.Duration {
	return time.Duration(r.class.serviceTimePerUnit * r.units * float64(time.Second))
}

// continueRequest ends a request, or queues it for a retry, after one of its attempts has ended.
func (s *Scheduler) continueRequest(r *Request, over bool, now time.Duration) {
	switch {
	case r.finished:
		s.leaveOrderingQueue(r)
	case over:
		s.finish(r)
	case r.inFlight > 0:
	case s.retryImpossible(r, now):
		s.giveUp(r, NoRetryPossible)
	default:
		s.enqueue(r)
	}
}
