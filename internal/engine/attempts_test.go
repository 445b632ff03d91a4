package engine

import (
	"fmt"
	"testing"

	"weirhaven/policy"
)

// A response that arrives after its attempt timed out is counted and dropped.
func Example_responseAfterTimeout() {
	s := settings()
	s.CanCancel = false
	e := newTestEngine(s)
	e.submit("x", "read")
	e.run(1100 * ms)
	e.endAttempt(0, policy.Served)
	fmt.Printf("%+v\n", e.Counts())
	// Output:
	//     0 ms  x.0 goes to a, 1s left
	//   990 ms  x rejected, may have run false
	// {Received:1 Served:0 Rejected:1 Failed:0 ClientDisconnected:0 Attempts:1 Retries:0 LateOutcomes:1 MismatchedOutcomes:0 Overlapping:0 Open:0 InFlight:0 Timers:3 Volumes:1 Outcomes:[0 0 0 1 0 0 0 0]}
}

// An endpoint resets the connection after the last byte of a request that is not idempotent was sent. The request may have
// run, so it fails and is not retried. If no byte was written, as for y, the request can be rejected.
func Example_connectionReset() {
	e := newTestEngine(settings())
	e.submit("x", "once")
	e.endAttempt(0, policy.ConnectionReset)
	e.run(100 * ms)
	e.submit("y", "once")
	e.endAttempt(1, policy.ConnectFailed)
	e.run(1100 * ms)
	// Output:
	//     0 ms  x.0 goes to a, 1s left
	//     0 ms  x failed, may have run true
	//   100 ms  y.0 goes to a, 1s left
	//   100 ms  log: endpoint a: first failure: connect-failed after 0s, 0 in flight
	//  1062 ms  y rejected, may have run false
}

// A response streams for longer than the class's timeout, then the connection breaks. A response that has begun does not
// time out, and a broken one fails the request without a retry, since the client already has part of it.
func Example_streamedResponse() {
	e := newTestEngine(settings())
	e.submit("x", "stream")
	e.run(100 * ms)
	e.ResponseStarted("a", e.sent[0])
	e.ResponseStarted("a", e.sent[0])
	e.run(2000 * ms)
	e.endAttempt(0, policy.ConnectionReset)
	// Output:
	//     0 ms  x.0 goes to a, 300ms left
	//   100 ms  x begins to stream
	//  2100 ms  x failed, may have run true the answer broke off
}

// Guards against writing an attempt that waited for a connection after its client disconnected or its endpoint began to
// drain. Such an attempt must be withdrawn, even if the settings forbid the scheduler to cancel attempts; an attempt that
// was written must stay in flight.
func TestWithdrawUnwrittenAttempt(t *testing.T) {
	for name, event := range map[string]func(*testEngine, *Request){
		"client disconnects": func(e *testEngine, request *Request) { e.ClientDisconnected(request) },
		"endpoint drains": func(e *testEngine, _ *Request) {
			e.AuthoritativeList(false, []EndpointEntry{{Name: "a", Address: "1", Shard: 0}})
		},
	} {
		for _, written := range []bool{false, true} {
			s := settings()
			s.CanCancel = false
			e := newQuietEngine(s)
			request := e.submitSilent()
			e.unwritten = map[uint64]bool{e.sent[0]: !written}
			event(e, request)
			if n := e.Counts(); (n.InFlight == 0) == written || (n.Outcomes[policy.NotSent] == 1) == written {
				t.Errorf("%s, written %v: %+v", name, written, n)
			}
		}
	}
}
