// Package endpointstate holds what a gateway believes of the storage endpoints and decides what the scheduler is notified of.
//
// Evidence comes from several sources, each of which may be late, wrong or unreachable: the settings, the state saved on disk,
// other gateways, the endpoint list service and the endpoint's own greeting. A Fleet weighs each report against the belief
// that it holds and passes every change on to its Sink.
//
// The rules, in the order in which they win, one file each:
//
//  1. drain.go: a drain wins over all else, until there is evidence of a later start of the endpoint.
//  2. greeting.go: an endpoint's own greeting outweighs other reports of the same age.
//  3. ordering.go: a later report outweighs an earlier one; an endpoint list whose number doesn't rise is stale.
//  4. completelist.go: what a complete list omits is gone, but a list that drops more than half has to be confirmed.
//  5. trust.go: trust decays with age; a doubted endpoint goes to the sink as one that has just started.
//  6. addressfilter.go: a report with an address outside the allowed networks is rejected.
//
// reports.go takes the evidence and applies the rules; where several apply, any of them is enough to drop a report.
//
// The package has no I/O, clock or goroutine, and knows nothing of requests or connections. Each call that needs the time
// is given it: the time since an epoch that the caller chooses and keeps over restarts, since beliefs are saved with it. The
// same calls in the same order give the same notifications and log lines.
package endpointstate
