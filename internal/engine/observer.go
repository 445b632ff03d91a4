package engine

import (
	"time"

	"weirhaven/policy"
)

// Observer is notified of ended requests and of endpoint changes, for example to capture a gateway's load. Calls come
// from the Core's owner and must not block.
type Observer interface {
	// Enabled reports whether requests are observed. A request submitted while it returns false is not recorded.
	Enabled() bool
	// RequestEnded takes the record of a request that has ended, with all its attempts. The observer owns the record.
	RequestEnded(record *RequestRecord)
	// EndpointChanged takes an endpoint's new state, also while Enabled returns false.
	EndpointChanged(change EndpointChange)
}

// RequestRecord describes a request that has ended. Times are on the engine's clock.
type RequestRecord struct {
	Volume, Plan, Class, Object string
	Shard                       int // -1: a new object
	BodyBytes                   int
	Units                       float64       // work, as charged by the scheduler
	Retry                       bool          // the client marked the request as a retry
	ReceivedAt                  time.Duration // time of Submit
	Duration                    time.Duration // time until the result
	Timeout                     time.Duration
	Result                      Result
	Attempts                    []AttemptRecord // in sending order
}

// AttemptRecord is one attempt of a RequestRecord.
type AttemptRecord struct {
	Endpoint string
	SentAt   time.Duration // on the engine's clock
	Duration time.Duration // time until the outcome
	Outcome  policy.Outcome
}

// EndpointChange is the state in which this gateway uses an endpoint from ChangedAt on. Times are on the engine's clock.
type EndpointChange struct {
	Endpoint, Zone string
	Shard          int
	Serving        bool          // false: draining or removed; no new attempts are sent
	Removed        bool          // no longer part of the fleet
	StartedAt      time.Duration // 0: unknown, long ago
	ChangedAt      time.Duration
}

// Observe sets the Core's observer. A Core has at most one. Call Observe before the first event.
func (c *Core) Observe(o Observer) { c.observer = o }

// newRecord returns a record for a request that is being submitted, nil if it is not observed.
func (c *Core) newRecord(request *Request, plan string, timeout time.Duration) *RequestRecord {
	if c.observer == nil || !c.observer.Enabled() {
		return nil
	}
	return &RequestRecord{
		Volume:     request.Volume,
		Plan:       plan,
		Class:      request.Class,
		Object:     request.Object,
		Shard:      request.Shard,
		BodyBytes:  len(request.Body),
		Units:      request.Units,
		Retry:      request.Retry,
		ReceivedAt: c.now,
		Timeout:    timeout,
		Attempts:   make([]AttemptRecord, 0, 1),
	}
}

// recordResult records the result of a request.
func (c *Core) recordResult(open *openRequest, result Result) {
	if open.record != nil {
		open.record.Result, open.record.Duration = result, c.now-open.record.ReceivedAt
	}
}

// recordAttempt records the start of an attempt.
func (c *Core) recordAttempt(a *attempt) {
	if record := a.owner.record; record != nil {
		a.recordIndex = len(record.Attempts)
		record.Attempts = append(record.Attempts, AttemptRecord{Endpoint: a.Endpoint.Name, SentAt: c.now})
	}
}

// recordOutcome records the outcome of an attempt.
func recordOutcome(a *attempt, report AttemptReport) {
	if record := a.owner.record; record != nil {
		attemptRecord := &record.Attempts[a.recordIndex]
		attemptRecord.Duration, attemptRecord.Outcome = report.SeenAt-a.sentAt, report.Outcome
	}
}

func (c *Core) observeEndpoint(change EndpointChange) {
	if c.observer != nil {
		c.observer.EndpointChanged(change)
	}
}
