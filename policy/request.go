package policy

import (
	"fmt"
	"time"
)

// The life cycle of a request: queued; in flight as one or more attempts; possibly streaming; finished. All transitions are in this
// file. A finished request is never answered again, but its attempts may still be in flight.

// Request is one request that a client sent to this gateway. The gateway sets ID and Volume before RequestReceived; the scheduler
// owns the other fields. A Request must not be reused.
type Request struct {
	ID     int64
	Volume *Volume

	class              *class
	units              float64
	object             string
	shard              int
	receivedAt         time.Duration
	firstReceivedAt    time.Duration // receipt of the client's first request, if this one is its retry
	latencyObjectiveAt time.Duration // latest time of a response that meets the latency objective
	deadline           time.Duration // latest time of any response
	queue              *volumeQueue
	fingerprint        retryFingerprint
	ordering           *orderingKey // nil: not ordered
	attempts           []*Attempt   // all attempts sent
	inFlight           int          // attempts without an outcome
	queued             bool
	streaming          bool // the response has begun to reach the client
	charged            bool // the units are deducted from the volume's limit
	finished           bool
	giveUp             GiveUp
}

// RequestArrival describes a request as received by this gateway.
type RequestArrival struct {
	Class    string
	Plan     string
	Object   string // ordering key, for ordered classes
	Shard    int    // shard of the object; negative: any endpoint may serve the request
	Gateways int    // number of gateways that serve the volume; used only for the volume's first request
	Units    float64
	Deadline time.Duration // on the runtime's clock
	Retry    bool          // the client marked the request as a retry
}

// RequestReceived accepts a request, which then gets exactly one final response, unless its client disconnects. It returns an error,
// and accepts nothing, if the settings lack the request's class or plan.
func (s *Scheduler) RequestReceived(r *Request, arrival RequestArrival) error {
	class, plan := s.classes[arrival.Class], s.plans[arrival.Plan]
	if class == nil || plan == nil {
		return &UnknownNameError{Class: arrival.Class, Plan: arrival.Plan}
	}
	now := s.runtime.Now()
	s.retryBudget.requestReceived(now)
	r.class, r.object, r.shard, r.units = class, arrival.Object, arrival.Shard, arrival.Units
	r.receivedAt, r.deadline = now, arrival.Deadline
	s.bindPlan(r.Volume, plan, arrival.Gateways, now)
	r.fingerprint = retryFingerprint{r.Volume, r.class, r.object, r.units}
	r.firstReceivedAt = s.matchClientRetry(r, arrival.Retry)
	r.latencyObjectiveAt = min(r.firstReceivedAt+class.LatencyObjective, r.deadline)
	r.queue = s.queueOf(r.Volume, r.shard)
	s.joinOrderingQueue(r)
	r.queue.countOutstanding(now, r.units)
	s.enqueue(r)
	s.scheduleGiveUp(r, now)
	s.serveQueue(r.queue)
	return nil
}

// UnknownNameError reports that a request names a class or a service plan that the settings lack.
type UnknownNameError struct {
	Class string
	Plan  string
}

// Error names both in the terms of the settings file.
func (e *UnknownNameError) Error() string {
	return fmt.Sprintf("unknown queue type %q or plan %q", e.Class, e.Plan)
}

// ResponseStarted reports that the response of an attempt has begun to stream to the client. It cancels the other attempts; from then
// on only the endpoint and the client determine how the request ends.
func (s *Scheduler) ResponseStarted(attempt *Attempt) {
	attempt.Request.streaming = true
	s.cancelAttempts(attempt.Request, attempt)
}

// ClientDisconnected ends a request whose client has disconnected; no response is sent.
func (s *Scheduler) ClientDisconnected(r *Request) {
	if !r.finished {
		s.recordGivenUp(r)
		s.finish(r)
	}
}

func (s *Scheduler) enqueue(r *Request) {
	r.queued = true
	r.queue.waiting = append(r.queue.waiting, r)
}

func (s *Scheduler) dequeue(r *Request) {
	if r.queued {
		r.queued = false
		r.queue.waiting = without(r.queue.waiting, r)
	}
}

// finish ends a request, with or without a response.
func (s *Scheduler) finish(r *Request) {
	s.dequeue(r)
	r.finished = true
	r.queue.countOutstanding(s.runtime.Now(), -r.units)
	if !r.streaming {
		s.cancelAttempts(r, nil)
	}
	s.leaveOrderingQueue(r)
}

// cancelAttempts cancels the attempts of a request that are in flight, except one.
func (s *Scheduler) cancelAttempts(r *Request, except *Attempt) {
	if !s.settings.CanCancel {
		return
	}
	for _, attempt := range r.attempts {
		if attempt != except && !attempt.ended {
			s.runtime.Cancel(attempt)
		}
	}
}

// retryFingerprint identifies a client's retry: it consists of the properties that the retry shares with the first request.
type retryFingerprint struct {
	volume *Volume
	class  *class
	object string
	units  float64
}

// maxGivenUp bounds the records of requests that were given up: clients name the volumes and objects in them.
const maxGivenUp = 4096

// recordGivenUp records when a request that ends without the requested response was first received, for matchClientRetry.
func (s *Scheduler) recordGivenUp(r *Request) {
	if len(s.givenUp) >= maxGivenUp && s.givenUp[r.fingerprint] == nil {
		return
	}
	s.givenUp[r.fingerprint] = append(s.givenUp[r.fingerprint], r.firstReceivedAt)
}

// matchClientRetry returns when the client first sent this request. The retry of a request that this gateway gave up keeps the time
// of the first one, so that it does not precede requests that can still meet their latency objective: this guards against retry
// storms. Each record matches once. Where clients don't mark retries, a new request with equal properties may be taken for a retry.
func (s *Scheduler) matchClientRetry(r *Request, markedRetry bool) time.Duration {
	earlier := s.givenUp[r.fingerprint]
	if len(earlier) == 0 || s.settings.ClientsMarkRetries && !markedRetry {
		return r.receivedAt
	}
	s.givenUp[r.fingerprint] = earlier[1:]
	return earlier[0]
}

// removeExpiredGivenUp deletes records of requests that no client can still retry.
func (s *Scheduler) removeExpiredGivenUp(now time.Duration) {
	for fingerprint, received := range s.givenUp {
		retention := fingerprint.class.Timeout + s.settings.MaxRetryAfter + demandPeriod
		if len(received) == 0 || now-received[len(received)-1] > retention {
			delete(s.givenUp, fingerprint)
		}
	}
}
