package engine

import (
	"time"

	"weirhaven/internal/fleet/endpointstate"
	"weirhaven/policy"
)

// The discovery service's clock differs from the gateway's, and its lists are older than the endpoint's own reports. Only
// the age of a start must count, and a start that is reported again must not begin another slow start. An endpoint that
// announced its drain must get no attempts until it has restarted, whatever the lists say.
func Example_startAndDrainReports() {
	e := newQuietEngine(settings())
	e.run(20 * time.Second)
	e.quiet = false
	const unknownAge = -1
	list := func(entry EndpointEntry, age time.Duration) {
		entry.Name, entry.Address = "a", "1"
		if age != unknownAge {
			entry.HasAge, entry.Age = true, age
		}
		e.EndpointList(endpointstate.Generation{}, false, []EndpointEntry{entry})
	}
	serving, removed := EndpointEntry{Serving: true}, EndpointEntry{Removed: true}
	list(serving, 2*time.Second)
	e.run(300 * ms)
	list(serving, 2*time.Second+290*ms) // the same start; the list took 10 ms longer to arrive
	e.EndpointDraining("a")
	list(serving, 2*time.Second)
	e.submit("x", "read")
	e.run(300 * ms)
	list(serving, 0)
	e.submit("y", "read")
	e.endAttempt(0, policy.Served)
	list(removed, unknownAge)
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
