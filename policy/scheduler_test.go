package policy

import (
	"fmt"
	"time"
)

// An endpoint that never responds must not keep the client waiting: the attempt is canceled and the request rejected before its
// deadline.
func Example_finalResponseInTime() {
	h := startScheduler(smallSettings(), "a")
	h.receive("read", "plain", "x", 0, 2)
	h.advance(2000 * millisecond)
	// Output:
	//     0ms send 1.0 to a
	//   996ms cancel 1.0
	//   996ms reject 1, retry after 50ms
}

// Three ordered requests share a key, and the endpoint does not respond to the first. The other two can't be sent: each is rejected
// when its latency objective or half of the time to its deadline passes. The first, which was sent, keeps waiting for its response.
func Example_notSentInTime() {
	h := startScheduler(smallSettings(), "a")
	h.receive("row", "plain", "k", 0, 2)
	h.receive("row", "plain", "k", 0, 2)
	h.advance(600 * millisecond)
	h.receive("row", "plain", "k", 0, 2)
	h.advance(390 * millisecond)
	h.endOldestAttempt(Served, true)
	// Output:
	//     0ms send 1.0 to a
	//   496ms reject 2, retry after 50ms
	//   646ms reject 3, retry after 50ms
}

// A request that must not run twice is retried after a failed connect, since it never ran. After an error response it may have run,
// so it is neither retried nor rejected: it fails.
func Example_notIdempotent() {
	h := startScheduler(smallSettings(), "a")
	h.receive("once", "plain", "x", 0, 2)
	h.endOldestAttempt(ConnectFailed, false)
	h.receive("read", "plain", "x", 0, 2)
	h.advance(110 * millisecond)
	h.endOldestAttempt(Served, true)
	h.advance(20 * millisecond)
	h.endOldestAttempt(ErrorResponse, false)
	// Output:
	//     0ms send 1.0 to a
	//     0ms log: endpoint a: first failure: connect-failed after 0s, 0 in flight
	//    37ms send 2.0 to a
	//   110ms send 1.1 to a
	//   130ms fail 1
}

// Nothing is sent to a draining endpoint: a request for it is rejected in time.
func Example_draining() {
	h := startScheduler(smallSettings(), "a")
	h.scheduler.BeginEndpointList(false)
	h.update("a", 0, false, 0)
	h.scheduler.EndEndpointList()
	h.receive("read", "plain", "x", 0, 2)
	h.advance(2000 * millisecond)
	// Output:
	//     0ms log: endpoint a: draining, 0 in flight
	//   112ms reject 1, retry after 100ms
}

// An endpoint in slow start gets no more than this gateway's share of its budget (2 units at first). A served attempt frees its units
// at once, an error only after the overload window, and the budget grows as the endpoint warms up.
func Example_slowStart() {
	h := startScheduler(smallSettings(), "a")
	h.advance(5000 * millisecond)
	h.update("a", 0, true, 5000*millisecond)
	for range 3 {
		h.receive("read", "plain", "x", 0, 2)
	}
	h.advance(20 * millisecond)
	h.endOldestAttempt(Served, true)
	h.endOldestAttempt(ErrorResponse, true)
	h.advance(980 * millisecond)
	h.receive("read", "plain", "x", 0, 2)
	h.advance(200 * millisecond)
	// Output:
	//  5000ms log: endpoint a: slow start, started 0s ago, warm within 10s
	//  5000ms send 1.0 to a
	//  5020ms send 3.0 to a
	//  5196ms reject 2, retry after 47ms
	//  6025ms send 4.0 to a
}

// A gateway restarts while an endpoint is in slow start. Attempts from before the restart may still use its share of the budget, so
// it sends nothing there for one overload window. An endpoint that started after the gateway is not affected.
func Example_slowStartAfterRestart() {
	h := startSchedulerAt(5000*millisecond, smallSettings(), "a", "b")
	h.update("a", 0, true, 4900*millisecond)
	h.advance(10 * millisecond)
	h.update("b", 1, true, 5005*millisecond)
	h.receive("read", "plain", "x", 0, 1)
	h.receive("read", "plain", "y", 1, 1)
	h.advance(900 * millisecond)
	h.receive("read", "plain", "z", 0, 1)
	h.advance(200 * millisecond)
	// Output:
	//  5000ms log: endpoint a: slow start, started 100ms ago, warm within 10s
	//  5010ms log: endpoint b: slow start, started 5ms ago, warm within 10s
	//  5010ms send 2.0 to b
	//  5206ms reject 1, retry after 50ms
	//  6000ms send 3.0 to a
	//  6006ms cancel 2.0
	//  6006ms reject 2, retry after 50ms
}

// A request with an idempotency key is retried only while the endpoint remembers the key: StartBy is the end of that time.
func Example_idempotencyWindow() {
	h := startScheduler(smallSettings(), "a")
	h.receive("tag", "plain", "x", 0, 1)
	fmt.Println(h.sent[0].StartBy)
	h.advance(100 * millisecond)
	h.endOldestAttempt(ErrorResponse, false)
	fmt.Println(h.sent[0].StartBy)
	// Output:
	//     0ms send 1.0 to a
	// 0s
	//   100ms send 1.1 to a
	// 500ms
}

// An endpoint is removed from the list while an attempt is in flight there. It is deleted after that attempt has ended; otherwise
// the endpoints would accumulate, since replacements have new names.
func Example_removedEndpointIsDeleted() {
	h := startScheduler(smallSettings(), "a", "b")
	h.receive("row", "plain", "x", 0, 2)
	h.scheduler.BeginEndpointList(true)
	h.update("b", 1, true, 0)
	h.scheduler.EndEndpointList()
	fmt.Println(len(h.scheduler.endpoints))
	h.endOldestAttempt(Served, true)
	h.scheduler.BeginEndpointList(false)
	h.scheduler.EndEndpointList()
	h.advance(time.Second)
	fmt.Println(len(h.scheduler.endpoints), len(h.scheduler.shards[0].endpoints), len(h.scheduler.orderingKeys))
	// Output:
	//     0ms send 1.0 to a
	//     0ms log: endpoint a: not in the complete list, 1 in flight
	// 2
	// 1 0 0
}

// A response is lost, and health checks are not allowed. An endpoint whose attempts are all overdue gets one more request. Once that
// is answered quickly, the overdue attempt no longer occupies a slot; it is canceled and retried only after half of its time.
func Example_lostResponseWithoutHealthChecks() {
	h := startScheduler(smallSettings(), "a")
	h.scheduler.endpoints[0].limit = 1
	h.receive("read", "plain", "x", 0, 2)
	h.advance(270 * millisecond)
	h.receive("read", "plain", "y", 0, 2)
	lost := h.sent[0]
	h.sent = h.sent[1:]
	h.advance(20 * millisecond)
	h.endOldestAttempt(Served, true)
	h.receive("read", "plain", "w", 0, 2)
	h.advance(220 * millisecond)
	h.endOldestAttempt(Served, true)
	h.receive("read", "plain", "z", 0, 2)
	h.advance(20 * millisecond)
	h.endOldestAttempt(Served, true)
	h.scheduler.AttemptEnded(lost, AttemptResult{Outcome: Canceled, Duration: h.now})
	// Output:
	//     0ms send 1.0 to a
	//   270ms send 2.0 to a
	//   290ms send 3.0 to a
	//   510ms send 4.0 to a
	//   530ms cancel 1.0
	//   530ms send 1.1 to a
}

// The first of two consecutive connection resets does not count as a failure of the endpoint, the second one does.
func Example_connectionReset() {
	h := startScheduler(smallSettings(), "a")
	h.receive("read", "plain", "x", 0, 2)
	h.endOldestAttempt(ConnectionReset, false)
	h.endOldestAttempt(ConnectionReset, false)
	h.advance(200 * millisecond)
	// Output:
	//     0ms send 1.0 to a
	//     0ms send 1.1 to a
	//     0ms log: endpoint a: first failure: connection-reset after 0s, 0 in flight
}

// Requests with the same ordering key run one at a time, and a key has a cooldown after an outcome that does not rule out that the
// request still runs.
func Example_ordering() {
	h := startScheduler(smallSettings(), "a")
	h.receive("row", "plain", "k", 0, 2)
	h.receive("row", "plain", "k", 0, 2)
	h.receive("row", "plain", "j", 0, 2)
	h.endOldestAttempt(ConnectionReset, true)
	h.advance(400 * millisecond)
	// Output:
	//     0ms send 1.0 to a
	//     0ms send 3.0 to a
	//   300ms send 2.0 to a
}

// The token bucket of a volume's limit starts with this gateway's part of the initial burst and refills at its part of the rate.
func Example_rateLimit() {
	h := startScheduler(smallSettings(), "a")
	for range 4 {
		h.receive("read", "capped", "x", 0, 2)
	}
	h.endOldestAttempt(Served, true)
	h.advance(480 * millisecond)
	h.receive("read", "capped", "x", 0, 2)
	h.advance(400 * millisecond)
	// Output:
	//     0ms send 1.0 to a
	//   196ms reject 2, retry after 45ms
	//   196ms reject 3, retry after 45ms
	//   196ms reject 4, retry after 45ms
	//   500ms send 5.0 to a
}

// A slow response lengthens the send interval, a quick one shortens it; a due reservation waits for only a part of it.
func Example_pacing() {
	h := startScheduler(smallSettings(), "a")
	h.receive("read", "plain", "x", 0, 2)
	h.advance(180 * millisecond)
	h.endOldestAttempt(Served, true)
	h.receive("read", "plain", "y", 0, 2)
	h.receive("read", "plain", "w", 0, 2)
	h.receive("read", "gold", "z", 0, 2)
	h.advance(40 * millisecond)
	fmt.Println(h.scheduler.endpoints[0].minSendInterval)
	h.endOldestAttempt(Served, true)
	fmt.Println(h.scheduler.endpoints[0].minSendInterval)
	// Output:
	//     0ms send 1.0 to a
	//   180ms send 2.0 to a
	//   200ms send 4.0 to a
	// 37.5ms
	//   220ms send 3.0 to a
	// 0s
}

// An endpoint that rejects an attempt is ejected by all gateways and checked until a check returns quickly; then it resumes with a
// send interval. Later an attempt is overdue and a health check is quick: the response is presumed lost, so the attempt is canceled
// and retried. Findings of other gateways are applied.
func Example_ejection() {
	s := smallSettings()
	s.HealthChecks, s.Gossip, s.Ordinal = true, true, 1
	h := startScheduler(s, "a")
	a := h.endpoints["a"]
	h.receive("read", "plain", "x", 0, 2)
	h.endOldestAttempt(Rejected, false)
	h.advance(210 * millisecond)
	h.scheduler.HealthChecked(a, Served, 300*millisecond)
	h.advance(210 * millisecond)
	h.scheduler.HealthChecked(a, Served, 40*millisecond)
	fmt.Println(a.minSendInterval, a.ejectedUntil)
	h.scheduler.GossipReceived(0, []byte("sa"))
	h.receive("row", "plain", "y", 0, 1)
	h.scheduler.GossipReceived(0, []byte("fa"))
	a.minSendInterval = 0
	h.advance(300 * millisecond)
	h.scheduler.HealthChecked(a, Served, 40*millisecond)
	h.endOldestAttempt(Canceled, false)
	fmt.Println(a.minSendInterval, a.consecutiveFailures)
	// Output:
	//     0ms send 1.0 to a
	//     0ms log: endpoint a: first failure: rejected after 0s, 0 in flight
	//     0ms log: endpoint a: ejected, it rejected an attempt, 0 in flight
	//     0ms gossip "sa"
	//   112ms reject 1, retry after 181ms
	//   200ms check health of a
	//   410ms check health of a
	//   420ms gossip "fa"
	// 100ms 0s
	//   425ms send 2.0 to a
	//   700ms check health of a
	//   720ms cancel 2.0
	//   720ms send 2.1 to a
	// 0s 0
}

// A client's retry of a rejected request keeps the latency objective of the first one, so it yields to requests that can meet theirs.
func Example_clientRetry() {
	h := startScheduler(smallSettings(), "a")
	h.scheduler.BeginEndpointList(false)
	h.update("a", 0, false, 0)
	h.receive("read", "plain", "x", 0, 2)
	h.advance(200 * millisecond)
	h.update("a", 0, true, 0)
	h.scheduler.endpoints[0].limit = 1
	h.receive("read", "plain", "x", 0, 4)
	h.receive("read", "plain", "x", 0, 3)
	h.receive("read", "plain", "x", 0, 2)
	h.endOldestAttempt(NotSent, true)
	h.endOldestAttempt(Served, true)
	// Output:
	//     0ms log: endpoint a: draining, 0 in flight
	//   112ms reject 1, retry after 100ms
	//   200ms send 2.0 to a
	//   200ms send 3.0 to a
	//   200ms send 4.0 to a
}

// A due reservation precedes weights; a request that can wait for two of the shortest latency objectives comes after both.
func Example_fairQueue() {
	h := startScheduler(smallSettings(), "a")
	h.scheduler.endpoints[0].limit = 1
	h.receive("read", "gold", "x", 0, 2)
	h.receive("row", "gold", "y", 0, 2)
	h.receive("read", "plain", "x", 0, 2)
	h.receive("read", "gold", "z", 0, 2)
	for range 4 {
		h.endOldestAttempt(NotSent, true)
	}
	// Output:
	//     0ms send 1.0 to a
	//     0ms send 4.0 to a
	//     0ms send 3.0 to a
	//     0ms send 2.0 to a
}

// A request gets two errors in a row with a retry budget of one. The second retry waits for the budget and is rejected in time.
func Example_retryBudget() {
	s := smallSettings()
	s.RetryBudget, s.RetryBudgetFree, s.RetryBudgetRatio, s.RetryBudgetWindow = true, 1, 0, 5*time.Second
	h := startScheduler(s, "a")
	h.receive("read", "plain", "x", 0, 2)
	h.endOldestAttempt(ErrorResponse, false)
	h.endOldestAttempt(ErrorResponse, false)
	h.advance(300 * millisecond)
	h.scheduler.endpoints[0].smoothedLatency = 90 * millisecond
	h.advance(100 * millisecond)
	// Output:
	//     0ms send 1.0 to a
	//     0ms send 1.1 to a
	//   312ms reject 1, retry after 90ms
}

// Eight requests at an endpoint with a limit of four: waiting requests count as demand, long attempts in flight narrow the limit, and
// fast errors don't widen it.
func Example_demandAndLimit() {
	h := startScheduler(smallSettings(), "a")
	show := func() {
		a := h.scheduler.endpoints[0]
		fmt.Printf("Q %.2f of %.2f, window %d, demand %.1f\n", a.fleetLimit, a.limitShare, a.limit, h.volumes["plainx"].queues[0].demand)
	}
	for range 8 {
		h.receive("read", "plain", "x", 0, 1)
	}
	h.quiet = true
	show()
	h.advance(100 * millisecond)
	show()
	for range 4 {
		h.endOldestAttempt(ErrorResponse, true)
	}
	h.advance(100 * millisecond)
	show()
	h.advance(800 * millisecond)
	show()
	// Output:
	//     0ms send 1.0 to a
	//     0ms send 2.0 to a
	//     0ms send 3.0 to a
	//     0ms send 4.0 to a
	// Q 8.00 of 0.50, window 4, demand 0.0
	// Q 6.00 of 0.50, window 3, demand 0.0
	// Q 4.71 of 0.50, window 2, demand 0.0
	// Q 1.00 of 1.00, window 1, demand 71.7
}

// If the amount covers all maximums, the divvy grants them and divides the remainder by weight; otherwise it divides the amount by
// weight between each claim's minimum and maximum.
func Example_divvy() {
	show := func(amount float64, claims ...claim) {
		divvy(amount, claims)
		for i, c := range claims {
			fmt.Printf("%d: %.1f;", i, c.granted)
		}
		fmt.Println()
	}
	show(12, claim{maximum: 2, weight: 1}, claim{maximum: 4, weight: 1})
	show(12, claim{maximum: 2, weight: 1}, claim{maximum: 40, weight: 1}, claim{maximum: 40, weight: 1})
	show(12, claim{minimum: 6, maximum: 9, weight: 1}, claim{maximum: 40, weight: 1}, claim{maximum: 40, weight: 2})
	// Output:
	// 0: 5.0;1: 7.0;
	// 0: 2.0;1: 5.0;2: 5.0;
	// 0: 6.0;1: 2.0;2: 4.0;
}

// The number of gateways changes. A part of a limit shrinks at once, with its tokens, and grows only at its rate; a gateway without a
// share sends nothing to an endpoint in slow start; a corrected start time ends a slow start that was assumed wrongly.
func Example_membershipChange() {
	h := startScheduler(smallSettings(), "a")
	h.advance(8000 * millisecond)
	h.receive("read", "capped", "x", 0, 2)
	h.endOldestAttempt(Served, true)
	h.advance(2000 * millisecond)
	v := h.volumes["cappedx"]
	show := func() {
		fmt.Printf("%.1f of %.1f, %.1f a second\n", v.limit.refill(h.now), v.limit.capacity, v.limit.rate)
	}
	show()
	h.scheduler.SetVolumeGateways(v, 4)
	show()
	h.scheduler.SetVolumeGateways(v, 1)
	show()
	h.update("a", 0, true, 10000*millisecond)
	h.scheduler.SetGateways(3, 0)
	h.receive("read", "plain", "x", 0, 2)
	h.scheduler.SetGateways(3, 4)
	fmt.Println(h.scheduler.slowStart.units)
	h.update("a", 0, true, 1*millisecond)
	h.scheduler.fillEndpoint(h.endpoints["a"])
	// Output:
	//  8000ms send 1.0 to a
	// 8.0 of 16.0, 4.0 a second
	// 4.0 of 8.0, 2.0 a second
	// 4.0 of 32.0, 8.0 a second
	// 10000ms log: endpoint a: slow start, started 0s ago, warm within 10s
	// 1
	// 10000ms send 2.0 to a
}
