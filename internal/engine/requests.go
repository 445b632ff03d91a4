package engine

import (
	"fmt"
	"slices"
	"sync/atomic"
	"time"

	"weirhaven/policy"
)

// Request is a client's request. The front end fills it in and passes it to Core.Submit; from then on it belongs to the
// Core, except for the methods and fields documented otherwise.
type Request struct {
	Volume, Class, Object string
	Tag                   string        // idempotency key, sent to endpoints; empty: none
	Trace                 string        // trace ID of the request in logs and at endpoints
	Plan                  string        // service plan; only used by a Core without VolumeLookup
	Gateways              int           // number of gateways that use the volume; only used with Plan
	Shard                 int           // shard of the object; -1: a new object, which any shard accepts
	Units                 float64       // amount of work
	Timeout               time.Duration // 0 or longer than the class's timeout: the class's timeout applies
	ReceivedAt            time.Duration // start of the timeout on the engine's clock; 0: Submit
	Header                []byte        // request header, from the front end for the endpoint's connection
	Retry                 bool          // the client marked the request as a retry
	Body                  []byte
	// BodyMemory, if set by a connection to an endpoint, is the memory of the response's body. The user of the body clears the
	// field and calls Release when done.
	BodyMemory BodyMemory
	// Respond is called once with the result, by the Core's owner, unless the client disconnects first. It must not block.
	Respond func(Response)
	// ResponseStarted, if not nil, is called by the Core's owner when a streamed response begins. It must not block.
	ResponseStarted func()
	// ClientClosed, if not nil, reports whether the client has closed its connection, also before the Core is notified. It
	// is safe for concurrent use and does not block.
	ClientClosed func() bool
	// Deadline is the end of the request's timeout, on the engine's clock. Submit sets it.
	Deadline time.Duration

	open               *openRequest // nil until Submit
	clientDisconnected bool         // possibly before Submit
	endedAt            atomic.Int64 // end of the request on the engine's clock, in nanoseconds; 0: not ended
}

// BodyMemory is the memory that a response's body holds. It is safe for concurrent use.
type BodyMemory interface {
	// Release frees the memory. The body is not used afterwards.
	Release()
	// GiveWay offers the memory to others from now on. stop is called at most once, without blocking, if it is needed; the user of the
	// body then stops using it and calls Release.
	GiveWay(stop func())
}

// End marks the request as ended at now, on the engine's clock: its client has disconnected or has the final response.
// No attempt may be sent for it afterwards. End is safe for concurrent use; only the first call has an effect. A front
// end may call it before the Core does, so that connections see the end without waiting for the loop.
func (r *Request) End(now time.Duration) { r.endedAt.CompareAndSwap(0, int64(now)) }

// EndedAt returns the time at which the request ended, on the engine's clock; ok is false until then. It is safe for
// concurrent use.
func (r *Request) EndedAt() (endedAt time.Duration, ok bool) {
	endedAt = time.Duration(r.endedAt.Load())
	return endedAt, endedAt != 0
}

// Response is the final response to a request.
type Response struct {
	Result     Result
	Body       []byte        // only with Served
	RetryAfter time.Duration // only with Rejected: recommended wait before the client retries; 0: no recommendation
	MayHaveRun bool          // only with Failed: an endpoint may have run the request, or may still run it
	Reason     string        // only with Failed: error message for the client; empty if the scheduler failed the request
	GiveUp     policy.GiveUp // reason why the scheduler ended the request; empty if it did not
}

// Result is the result of a request for its client.
type Result int

// The results of a request.
const (
	Served             Result = iota
	Rejected                  // safe to retry: the request did not run, or is idempotent
	Failed                    // the request may or may not have run; see Response.MayHaveRun
	ClientDisconnected        // no response: the client disconnected first
)

// String returns the result's name in metrics and logs.
func (r Result) String() string {
	return [...]string{"served", "rejected", "failed", "client-disconnected"}[r]
}

// openRequest is a request from Submit until it has a result and no attempt in flight.
type openRequest struct {
	policy.Request  // the scheduler's view of it
	volume          *volumeEntry
	request         *Request
	deadline        time.Duration
	inFlight        []*attempt
	attemptsSent    int
	mayHaveRun      bool // an ended attempt may have run at its endpoint
	done            bool // it has a result
	responseStarted bool
	record          *RequestRecord // nil: not observed, or already passed to the observer
}

// volumeUse is the volume of a request and its parameters.
type volumeUse struct {
	key      string // key in Core.volumes
	plan     string
	gateways int
}

// Submit passes a request to the scheduler. A request with an unknown volume or class fails immediately, and so does one
// that the scheduler refuses. One is rejected if there are too many volumes in use. A request whose client has already disconnected is dropped.
func (c *Core) Submit(request *Request) {
	if request.clientDisconnected {
		return
	}
	use, err := c.volumeUse(request)
	if err != nil {
		request.Respond(Response{Result: Failed, Reason: err.Error()})
		return
	}
	timeout, err := c.timeoutOf(request)
	if err != nil {
		request.Respond(Response{Result: Failed, Reason: err.Error()})
		return
	}
	volume := c.useVolume(use)
	if volume == nil {
		request.Respond(Response{Result: Rejected})
		return
	}
	open := c.open(request, use, volume, timeout)
	arrival := policy.RequestArrival{
		Class:    request.Class,
		Plan:     use.plan,
		Object:   request.Object,
		Shard:    request.Shard,
		Gateways: use.gateways,
		Units:    request.Units,
		Deadline: open.deadline,
		Retry:    request.Retry,
	}
	if err := c.scheduler.RequestReceived(&open.Request, arrival); err != nil {
		c.respond(open, Response{Result: Failed, Reason: err.Error()})
		c.releaseIfDone(open)
	}
	c.runDeferred()
}

// volumeUse looks up a request's volume. Where each request names its own plan, the plan is part of the key, so that a
// request with a wrong plan does not change the plan of the volume's other requests.
func (c *Core) volumeUse(request *Request) (volumeUse, error) {
	if c.lookupVolume == nil {
		return volumeUse{key: request.Volume + " " + request.Plan, plan: request.Plan, gateways: request.Gateways}, nil
	}
	plan, gateways, ok := c.lookupVolume(request.Volume)
	if !ok {
		return volumeUse{}, fmt.Errorf("unknown volume %q", request.Volume)
	}
	return volumeUse{key: request.Volume, plan: plan, gateways: gateways}, nil
}

// timeoutOf returns the class's timeout, or the client's if that is shorter.
func (c *Core) timeoutOf(request *Request) (time.Duration, error) {
	timeout, ok := c.timeoutByClass[request.Class]
	if !ok {
		return 0, fmt.Errorf("unknown queue type %q", request.Class) // the protocol calls a class a queue type
	}
	if request.Timeout > 0 {
		timeout = min(timeout, request.Timeout)
	}
	return timeout, nil
}

// open makes the state of a request before it goes to the scheduler.
func (c *Core) open(request *Request, use volumeUse, volume *volumeEntry, timeout time.Duration) *openRequest {
	c.lastID++
	receivedAt := c.now
	if request.ReceivedAt > 0 {
		receivedAt = min(receivedAt, request.ReceivedAt)
	}
	open := &openRequest{
		Request:  policy.Request{ID: int64(c.lastID), Volume: &volume.Volume},
		volume:   volume,
		request:  request,
		deadline: receivedAt + timeout,
		record:   c.newRecord(request, use.plan, timeout),
	}
	request.open, request.Deadline = open, open.deadline
	c.requests[open.ID] = open
	c.counts.Received++
	c.counts.Open++
	return open
}

// ClientDisconnected ends a request whose client disconnected: it gets no response and no further attempts. It may be
// called before Submit and after the response.
func (c *Core) ClientDisconnected(request *Request) {
	request.clientDisconnected = true
	request.End(c.now)
	open := request.open
	if open == nil || open.done {
		return
	}
	for _, a := range slices.Clone(open.inFlight) {
		c.withdraw(a)
	}
	open.done = true
	c.recordResult(open, ClientDisconnected)
	c.countResult(ClientDisconnected)
	c.scheduler.ClientDisconnected(&open.Request)
	c.releaseIfDone(open)
	c.runDeferred()
}

// respond sends a request's response, unless the request already has a result; every response is sent here. It withdraws
// the attempts of which nothing was written, even if the settings forbid the scheduler to cancel attempts.
func (c *Core) respond(open *openRequest, response Response) {
	if open.done {
		return
	}
	open.done = true
	open.request.End(c.now)
	c.recordResult(open, response.Result)
	c.countResult(response.Result)
	mayHaveRun := open.mayHaveRun
	for _, a := range open.inFlight {
		if !c.withdraw(a) {
			mayHaveRun = true
		}
	}
	response.MayHaveRun = mayHaveRun && response.Result == Failed
	open.request.Respond(response)
	open.request.Body = nil
}

// releaseIfDone drops a request that has a result and no attempt in flight, and passes its record to the observer.
func (c *Core) releaseIfDone(open *openRequest) {
	if !open.done || len(open.inFlight) > 0 {
		return
	}
	delete(c.requests, open.ID)
	c.leaveVolume(open.volume)
	if open.record != nil {
		c.observer.RequestEnded(open.record)
		open.record = nil
	}
}
