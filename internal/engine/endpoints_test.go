package engine

import (
	"time"

	"weirhaven/internal/fleet/endpointstate"
	"weirhaven/policy"
)

// The discovery service's clock differs from the gateway's, and its lists are older than what endpoints themselves say.
// Only the age of a start counts, and the same start reported again is no new one. An endpoint that said itself that it
// drains gets nothing until it has started anew, whatever lists say.
func Example_startsAndDrains() {
	e := newQuietEngine(settings())
	e.run(20 * time.Second)
	e.quiet = false
	const noStart = -1
	list := func(entry EndpointEntry, age time.Duration) {
		entry.Name, entry.Address = "a", "1"
		if age != noStart {
			entry.HasAge, entry.Age = true, age
		}
		e.EndpointList(endpointstate.Generation{}, false, []EndpointEntry{entry})
	}
	serving, gone := EndpointEntry{Serving: true}, EndpointEntry{Removed: true}
	list(serving, 2*time.Second)
	e.run(300 * ms)
	list(serving, 2*time.Second+290*ms) // was under way 10 ms longer
	e.EndpointDraining("a")
	list(serving, 2*time.Second)
	e.submit("x", "read")
	e.run(300 * ms)
	list(serving, 0)
	e.submit("y", "read")
	e.endAttempt(0, policy.Served)
	list(gone, noStart)
	// Output:
	// 20000 ms  log: endpoint a: slow start, started 2s ago, warm within 10s
	// 20300 ms  log: endpoint a: draining, 0 in flight
	// 20300 ms  log: barred a: draining, told by itself
	// 20412 ms  x rejected, may have run false
	// 20600 ms  log: endpoint a: slow start, started 0s ago, warm within 10s
	// 20600 ms  log: trusted a: told by list
	// 20600 ms  y.0 goes to a, 1s left
	// 20600 ms  y served, may have run false
	// 20600 ms  log: endpoint a: removed, 0 in flight
	// 20600 ms  log: barred a: gone, told by list
	// 20600 ms  close the connection to a
}
