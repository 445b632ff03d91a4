package policy

import (
	"fmt"
	"time"
)

// The life of a request: received and queued; in flight as one or more attempts; perhaps streaming; over. Every transition
// happens in a function of this file. A request that is over is never answered again; its attempts may still be in flight.

// Request is one request that a client sent to this gateway. ID and Volume are set by the gateway before RequestReceived; the
// rest belongs to the scheduler. A Request must not be reused.
type Request struct {
	ID     int64
	Volume *Volume

	class              *class
	units              float64
	object             string
	shard              int
	receivedAt         time.Duration
	firstReceivedAt    time.Duration // when the client first asked, this being a retry of its own
	latencyObjectiveAt time.Duration // an answer after it is late
	deadline           time.Duration // no answer may go out after it
	queue              *volumeQueue
	fingerprint        retryFingerprint
	ordering           *orderingKey // nil: runs in any order
	attempts           []*Attempt   // all that were sent
	inFlight           int          // of these, without an outcome
	queued             bool
	streaming          bool // the answer has begun to reach the client
	charged            bool // the volume's limit has paid for it
	finished           bool
	giveUp             GiveUp
}

// RequestArrival describes a request as it reached this gateway.
type RequestArrival struct {
	Class    string
	Plan     string
	Object   string // ordering key, for classes whose requests run in order
	Shard    int    // negative: any endpoint may serve it
	Gateways int    // through which the volume is used; bound at the volume's first request
	Units    float64
	Deadline time.Duration // on the runtime's clock
	Retry    bool          // the client says that it asked before
}

// RequestReceived takes on a request that is now owed one final answer. It fails, with nothing taken on, for a class or plan
// that the settings don't have.
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

// UnknownNameError says that a request names a class or a service plan that the settings don't have.
type UnknownNameError struct {
	Class string
	Plan  string
}

// Error names both in the settings' words, for whoever wrote them.
func (e *UnknownNameError) Error() string {
	return fmt.Sprintf("unknown queue type %q or plan %q", e.Class, e.Plan)
}

// ResponseStarted notes that the answer of an attempt has begun to stream: from now on the request is between endpoint and
// client, and its other attempts are canceled.
func (s *Scheduler) ResponseStarted(attempt *Attempt) {
	attempt.Request.streaming = true
	s.cancelAttempts(attempt.Request, attempt)
}

// ClientDisconnected ends a request whose client has gone; no answer is owed.
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

// finish ends a request, whatever its answer.
func (s *Scheduler) finish(r *Request) {
	s.dequeue(r)
	r.finished = true
	r.queue.countOutstanding(s.runtime.Now(), -r.units)
	if !r.streaming {
		s.cancelAttempts(r, nil)
	}
	s.leaveOrderingQueue(r)
}

// cancelAttempts cancels what is in flight for a request, except one.
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

// retryFingerprint is what a client's retry has in common with its first request.
type retryFingerprint struct {
	volume *Volume
	class  *class
	object string
	units  float64
}

// recordGivenUp keeps when a request that gets no good answer was first received, for the client's own retry.
func (s *Scheduler) recordGivenUp(r *Request) {
	s.givenUp[r.fingerprint] = append(s.givenUp[r.fingerprint], r.firstReceivedAt)
}

// matchClientRetry is when the client first asked; a match is used up. Its retry of what this gateway gave up counts from there, so that it does not
// go before what can still be in time: this guards against retry storms. Where clients don't mark retries, an equal new request
// may be taken for one.
func (s *Scheduler) matchClientRetry(r *Request, markedRetry bool) time.Duration {
	earlier := s.givenUp[r.fingerprint]
	if len(earlier) == 0 || s.settings.ClientsMarkRetries && !markedRetry {
		return r.receivedAt
	}
	s.givenUp[r.fingerprint] = earlier[1:]
	return earlier[0]
}

// removeExpiredGivenUp drops what no client can still retry.
func (s *Scheduler) removeExpiredGivenUp(now time.Duration) {
	for fingerprint, received := range s.givenUp {
		retention := fingerprint.class.Timeout + s.settings.MaxRetryAfter + demandPeriod
		if len(received) == 0 || now-received[len(received)-1] > retention {
			delete(s.givenUp, fingerprint)
		}
	}
}
