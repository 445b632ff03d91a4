package policy

import (
	"math"
	"time"
)

// Attempt is one try of a request at an endpoint. It begins with Runtime.Send and ends with exactly one AttemptEnded.
type Attempt struct {
	Request  *Request
	Endpoint *Endpoint
	Number   int           // 0 for the first attempt of its request
	StartBy  time.Duration // it must not begin later, or its idempotency key may be forgotten; 0: any time

	sentAt          time.Duration
	minSendInterval time.Duration // the endpoint's when it was sent
	ended           bool
	mayHaveRun      bool // at the endpoint, or may yet
	served          bool
	presumedLost    bool // its answer, as a later attempt that was answered, or a quick health check, showed
	canceledAsLost  bool
}

// Outcome tells how an attempt ended.
type Outcome int

const (
	// Served means that the endpoint answered as asked.
	Served Outcome = iota
	// ErrorResponse means that the endpoint answered with an error; the request may have run.
	ErrorResponse
	// Rejected means that the endpoint shed the request unseen; it never ran.
	Rejected
	// TimedOut means that no answer came by the deadline; the request may still run.
	TimedOut
	// ConnectFailed means that the request was not sent whole, mostly since no connection came up; it never ran.
	ConnectFailed
	// ConnectionReset means that the connection broke; the request may have run.
	ConnectionReset
	// Canceled means that the gateway stopped waiting; the request may still run.
	Canceled
	// NotSent means that nothing left the gateway; the request never ran.
	NotSent
)

// String names an outcome in logs and metrics.
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

// MayHaveRun tells whether the request may have had its effect, or may yet.
func (o Outcome) MayHaveRun() bool {
	switch o {
	case Served, ErrorResponse, TimedOut, ConnectionReset, Canceled:
		return true
	default:
		return false
	}
}

// AttemptResult is how an attempt ended.
type AttemptResult struct {
	Outcome     Outcome
	Duration    time.Duration // since it was sent
	RequestOver bool          // the request has its final answer
	Load        LoadReport
}

// LoadReport is what an answer says of a volume's use through all gateways; zero values: nothing reported.
type LoadReport struct {
	ServedElsewhere float64 // units served for other gateways since the endpoint's last report to this one
	Utilization     float64 // 1 + percent of the plan's nominal rate, so that 0 means not reported
}

// AttemptEnded takes an attempt's outcome: it is accounted, fed into latency, pace and outlier detection, and the request goes on.
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

// account releases the places that an attempt held.
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

// observe feeds an outcome into what is known of the endpoint. Only work done feeds latency: failures that come fast would widen
// the limit of an endpoint that breaks down.
func (s *Scheduler) observe(attempt *Attempt, result AttemptResult, now time.Duration) {
	if attempt.presumedLost && !s.sharedHealthChecks { // the later attempt that showed the loss has fed them already
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

// How fast the figures of a request class follow its answers. Work follows the quickest answers, which met nothing before them:
// it falls twenty times faster than it rises.
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

// observeNoResponse: the endpoint may still hold the request, so its age counts as a latency sample; without it the limit of an
// endpoint that hangs would stay wide.
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

// serviceTime is the time that the request's own work takes at an endpoint with nothing before it.
func (r *Request) serviceTime() time.Duration {
	return time.Duration(r.class.serviceTimePerUnit * r.units * float64(time.Second))
}

// continueRequest ends a request or queues it for a retry after one of its attempts has ended.
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
