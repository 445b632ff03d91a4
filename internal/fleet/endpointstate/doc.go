// Package endpointstate maintains a gateway's view of the storage endpoints and decides which state changes the scheduler is
// notified of.
//
// Reports about an endpoint come from several sources, each of which may be late, wrong or unreachable: the settings, the
// state saved on disk, other gateways, the discovery service and the endpoint's own greeting. A Fleet compares each report
// with the Belief that it holds about the endpoint and notifies its Sink of every change.
//
// The rules, in order of precedence, each in its own file:
//
//  1. drain.go: a drain takes precedence over every other report until there is evidence that the endpoint started again.
//  2. greeting.go: an endpoint's own greeting takes precedence over other reports of the same age.
//  3. ordering.go: a later report takes precedence over an earlier one; an endpoint list whose number does not increase is stale.
//  4. completelist.go: an endpoint that a complete list omits is removed, but a list that drops more than half of the endpoints
//     needs confirmation.
//  5. trust.go: trust decays with age; the sink is notified of a doubted endpoint as if it had just started.
//  6. addressfilter.go: a report with an address outside the allowed networks is rejected.
//
// reports.go receives the reports and applies the rules. A report is dropped if any one rule rejects it.
//
// The package has no I/O, clock or goroutine, and does not deal with requests or connections. Each call that depends on the
// time takes it as an argument: the time since an epoch that the caller chooses and keeps across restarts, because beliefs are
// saved with their times. The same calls in the same order give the same notifications and log lines.
package endpointstate
