package engine

import (
	"fmt"
	"testing"
	"time"

	"weirhaven/policy"
)

// A client's disconnect races with the response to its request. The event that the loop runs first decides the result: the
// disconnect of x suppresses its response, and the disconnect of y has no effect after its response.
func Example_disconnectRacesResponse() {
	e := newTestEngine(settings())
	x := e.submit("x", "read")
	e.run(50 * ms)
	e.ClientDisconnected(x)
	e.endAttempt(0, policy.Served)
	y := e.submit("y", "read")
	e.endAttempt(1, policy.Served)
	e.ClientDisconnected(y)
	fmt.Println(e.Counts().ClientDisconnected, e.Counts().LateOutcomes, e.Counts().Open, e.Counts().InFlight)
	// Output:
	//     0 ms  x.0 goes to a, 1s left
	//    50 ms  cancel at a
	//    50 ms  y.0 goes to a, 1s left
	//    50 ms  y served, may have run false
	// 1 1 0 0
}

// A request with an unknown volume or class fails immediately. A report that names another endpoint than the attempt's, or
// an attempt that has already ended, is counted and dropped.
func Example_invalidRequestsAndReports() {
	e := newTestEngine(settings())
	request := &Request{Volume: "nobody", Class: "read", Units: 1, Respond: func(response Response) { e.print("%v: %s", response.Result, response.Reason) }}
	e.Submit(request)
	request.Volume, request.Class = "v", "strange"
	e.Submit(request)
	e.submit("x", "read")
	e.AttemptEnded(AttemptReport{Endpoint: "b", ID: e.sent[0], Outcome: policy.Served})
	e.endAttempt(0, policy.Served)
	e.endAttempt(0, policy.Served)
	fmt.Println(e.Counts().MismatchedOutcomes, e.Counts().LateOutcomes)
	// Output:
	//     0 ms  failed: unknown volume "nobody"
	//     0 ms  failed: unknown queue type "strange"
	//     0 ms  x.0 goes to a, 1s left
	//     0 ms  x served, may have run false
	// 1 1
}

// Outcomes, disconnects and timeouts come in random order, some of them twice or for attempts that have ended. Each request
// must get one response, or none if its client disconnected, and no state of it may remain.
func TestOneResponsePerRequest(t *testing.T) {
	for seed := range 200 {
		e := newQuietEngine(settings())
		state := uint64(seed)*2654435761 + 12345
		draw := func(n int) int {
			state = state*6364136223846793005 + 1442695040888963407
			return int(state>>33) % n
		}
		disconnected := map[string]bool{}
		var requests []*Request
		for i := range 60 {
			requests = append(requests, e.submit(fmt.Sprint("c", i), []string{"read", "once"}[draw(2)]))
			e.run(time.Duration(draw(40)) * ms)
			for range draw(4) {
				if len(e.sent) > 0 {
					e.endAttempt(draw(len(e.sent)), policy.Outcome(draw(8)))
				}
			}
			request := requests[draw(len(requests))]
			if draw(6) == 0 && e.responses[request.Trace] == 0 && !disconnected[request.Trace] {
				disconnected[request.Trace] = true
				e.ClientDisconnected(request)
			}
		}
		e.run(3 * time.Second)
		for _, request := range requests {
			want := 1
			if disconnected[request.Trace] {
				want = 0
			}
			if got := e.responses[request.Trace]; got != want {
				t.Fatalf("seed %d: %s got %d responses, wanted %d", seed, request.Trace, got, want)
			}
		}
		if n := e.Counts(); n.Open != 0 || n.InFlight != 0 || len(e.requests) != 0 || len(e.attempts) != 0 {
			t.Fatalf("seed %d: state of ended requests remains: %+v", seed, n)
		}
	}
}

// Volume names that clients make up must not hold memory for good.
func TestVolumeStateIsBounded(t *testing.T) {
	e := newQuietEngine(settings())
	e.lookupVolume = nil
	e.run(time.Second)
	for i := range 30000 {
		request := &Request{Volume: fmt.Sprint("v", i), Plan: "plain", Gateways: 1, Class: "read", Object: "o", Units: 1, Respond: func(Response) {}}
		e.Submit(request)
		e.endAttempt(len(e.sent)-1, policy.Served)
		e.run(100 * time.Microsecond)
	}
	const allowed = 5000
	if n := len(e.volumes); n > allowed {
		t.Errorf("%d volumes are kept, wanted at most %d", n, allowed)
	}
	e.run(time.Minute)
	if n := len(e.volumes); n > allowed/10 {
		t.Errorf("%d volumes are kept after a minute without requests, wanted at most %d", n, allowed/10)
	}
}
