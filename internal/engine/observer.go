package engine

import (
	"time"

	"weirhaven/policy"
)

// Observer is notified of requests that are over and of changes of endpoints, such as to capture a gateway's load. Calls
// come from the Core's owner and must not block.
type Observer interface {
	// Enabled reports whether requests are observed; one that is submitted while it is false is not recorded.
	Enabled() bool
	// RequestEnded passes on a request that is over, with all its attempts. The record is the observer's.
	RequestEnded(record *RequestRecord)
	// EndpointChanged passes on an endpoint's state, whether or not Enabled.
	EndpointChanged(change EndpointChange)
}

// RequestRecord is a request that is over. Times are on the engine's clock.
type RequestRecord struct {
	Volume, Plan, Class, Object string
	Shard                       int // -1: a new object
	BodyBytes                   int
	Units                       float64       // of work, as the scheduler charges it
	Retry                       bool          // the client marked it as one
	ReceivedAt                  time.Duration // by the engine
	Duration                    time.Duration // until the result
	Timeout                     time.Duration
	Result                      Result
	Attempts                    []AttemptRecord // in the order in which they were sent
}

// AttemptRecord is one attempt of a RequestRecord.
type AttemptRecord struct {
	Endpoint string
	SentAt   time.Duration // on the engine's clock
	Duration time.Duration // until the outcome
	Outcome  policy.Outcome
}

// EndpointChange is the state of an endpoint as this gateway uses it from ChangedAt on. Times are on the engine's clock.
type EndpointChange struct {
	Endpoint, Zone string
	Shard          int
	Serving        bool          // false: draining or removed; nothing new is sent
	Removed        bool          // it is no longer part of the fleet
	StartedAt      time.Duration // 0: not known, long ago
	ChangedAt      time.Duration
}

// Observe makes o the observer of what happens from now on. A Core has one observer at most. Call it before the first
// event.
func (c *Core) Observe(o Observer) { c.observer = o }

// newRecord returns the record of a request that is being submitted, nil if nobody observes it.
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

// recordResult notes how a request ended.
func (c *Core) recordResult(open *openRequest, result Result) {
	if open.record != nil {
		open.record.Result, open.record.Duration = result, c.now-open.record.ReceivedAt
	}
}

// recordAttempt notes that an attempt goes out.
func (c *Core) recordAttempt(a *attempt) {
	if record := a.owner.record; record != nil {
		a.recordIndex = len(record.Attempts)
		record.Attempts = append(record.Attempts, AttemptRecord{Endpoint: a.Endpoint.Name, SentAt: c.now})
	}
}

// recordOutcome notes how an attempt ended.
func recordOutcome(a *attempt, report AttemptReport) {
	if record := a.owner.record; record != nil {
		noted := &record.Attempts[a.recordIndex]
		noted.Duration, noted.Outcome = report.SeenAt-a.sentAt, report.Outcome
	}
}

func (c *Core) observeEndpoint(change EndpointChange) {
	if c.observer != nil {
		c.observer.EndpointChanged(change)
	}
}
