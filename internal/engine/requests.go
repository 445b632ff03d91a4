package engine

import (
	"fmt"
	"slices"
	"sync/atomic"
	"time"

	"weirhaven/policy"
)

// Request is a request as a client sent it. Whoever makes one fills it in and hands it to Core.Submit; from then on it
// belongs to the Core, but for the methods and fields that say otherwise.
type Request struct {
	Volume, Class, Object string
	Tag                   string // idempotency key, empty: none; passed on to endpoints
	Trace                 string // names the request in logs and at endpoints
	Plan                  string // service plan; used only where the Core has no VolumeLookup
	Gateways              int    // through which the volume is used; only with Plan
	Shard                 int    // of the data; -1: a new object, any shard takes it
	Units                 float64
	Timeout               time.Duration // 0, or more than that of the class: that of the class
	ReceivedAt            time.Duration // on the engine's clock, from when the timeout counts; 0: from Submit
	Header                []byte        // written by the client's front end for connections to endpoints; the engine doesn't read it
	Retry                 bool          // the client says that it sent this request before
	Body                  []byte
	// Release, if a connection to an endpoint set it, frees the memory of the response's body. Whoever uses the body
	// clears the field, and calls it once done.
	Release func()
	// Respond is called once with the result, by the Core's owner, unless the client disconnects first. It must not block.
	Respond func(Response)
	// ResponseStarted is called by the Core's owner when a streamed response begins; it must not block. May be nil.
	ResponseStarted func()
	// ClientClosed reports whether the client has closed its connection, noticed or not. May be nil. It is safe for
	// concurrent use and does not block.
	ClientClosed func() bool
	// Deadline is when the client stops waiting, on the engine's clock. Submit sets it.
	Deadline time.Duration

	open               *openRequest // nil until it is submitted
	clientDisconnected bool         // possibly before it was submitted
	endedAt            atomic.Int64 // ns on the engine's clock; 0: not ended
}

// End notes that from now, on the engine's clock, nothing is owed for the request any more: its client has disconnected
// or has its final response. Nothing may be sent for it afterwards. End is safe for concurrent use; the first call
// counts. A front end may call it ahead of the Core, so that connections learn of it before the loop's turn.
func (r *Request) End(now time.Duration) { r.endedAt.CompareAndSwap(0, int64(now)) }

// EndedAt returns when the request ended, on the engine's clock; ok is false while it has not. It is safe for concurrent
// use.
func (r *Request) EndedAt() (endedAt time.Duration, ok bool) {
	endedAt = time.Duration(r.endedAt.Load())
	return endedAt, endedAt != 0
}

// Response is the final response to a request.
type Response struct {
	Result     Result
	Body       []byte        // only of Served
	RetryAfter time.Duration // only of Rejected: when the client should retry; 0: no advice
	MayHaveRun bool          // only of Failed: an endpoint may have run the request, or may run it still
	Reason     string        // only of Failed, for the client to read; empty if the scheduler decided it
	GiveUp     policy.GiveUp // why the scheduler gave the request up; empty if it did not
}

// Result is how a request ended for its client.
type Result int

// The results of a request.
const (
	Served             Result = iota
	Rejected                  // a retry is harmless: it did not run, or may run again
	Failed                    // nothing is promised; see Response.MayHaveRun
	ClientDisconnected        // no response: the client went away first
)

// String returns the result as metrics and logs name it.
func (r Result) String() string {
	return [...]string{"served", "rejected", "failed", "client-disconnected"}[r]
}

// openRequest is a request from Submit until it has its result and no attempt is in flight.
type openRequest struct {
	policy.Request  // the scheduler's view of it
	request         *Request
	deadline        time.Duration
	inFlight        []*attempt
	attemptsSent    int
	mayHaveRun      bool // at an endpoint, by the outcomes so far
	done            bool // it has its result
	responseStarted bool
	record          *RequestRecord // nil: not observed, or passed on already
}

// volumeEntry is a volume, made when its first request arrives.
type volumeEntry struct {
	policy.Volume
	gateways int
}

// volumeUse is how a request uses its volume.
type volumeUse struct {
	key      string // in Core.volumes
	plan     string
	gateways int
}

// Submit hands a request to the scheduler. One that can't be handed over fails at once. One whose client has disconnected
// already is dropped.
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
	open := c.open(request, use, timeout)
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

// volumeUse looks up a request's volume. Where each request carries its plan, the plan is part of the key: one request
// with a wrong plan must not bind the volume to it for all others.
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
		return 0, fmt.Errorf("unknown queue type %q", request.Class) // the protocol's word for a class
	}
	if request.Timeout > 0 {
		timeout = min(timeout, request.Timeout)
	}
	return timeout, nil
}

// volume returns a request's volume and notifies the scheduler if it is used through another number of gateways now.
func (c *Core) volume(use volumeUse) *policy.Volume {
	entry := c.volumes[use.key]
	if entry == nil {
		entry = &volumeEntry{gateways: use.gateways}
		c.volumes[use.key] = entry
	}
	if entry.gateways != use.gateways {
		entry.gateways = use.gateways
		c.scheduler.SetVolumeGateways(&entry.Volume, use.gateways)
	}
	return &entry.Volume
}

// open makes the state of a request that goes to the scheduler next.
func (c *Core) open(request *Request, use volumeUse, timeout time.Duration) *openRequest {
	volume := c.volume(use)
	c.lastID++
	receivedAt := c.now
	if request.ReceivedAt > 0 {
		receivedAt = min(receivedAt, request.ReceivedAt)
	}
	open := &openRequest{
		Request:  policy.Request{ID: int64(c.lastID), Volume: volume},
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

// ClientDisconnected ends a request whose client went away: nothing is owed any more, and nothing begins for it. It may
// come before Submit, and after the response.
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

// respond is the one place where a response goes out; a request that has its result already gets no other. Attempts of
// which nothing was written are withdrawn, also where settings don't let the scheduler cancel any.
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

// releaseIfDone forgets a request that has its result and no attempt in flight, and passes its record to the observer.
func (c *Core) releaseIfDone(open *openRequest) {
	if !open.done || len(open.inFlight) > 0 {
		return
	}
	delete(c.requests, open.ID)
	if open.record != nil {
		c.observer.RequestEnded(open.record)
		open.record = nil
	}
}
