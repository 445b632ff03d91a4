// Package membership determines which gateways exist, following "SWIM: Scalable Weakly-consistent Infection-style Process Group
// Membership Protocol" (Das, Gupta, Motivala, DSN 2002). Each member pings the others in turn, requests indirect pings through
// some of them before it suspects one, and piggybacks updates on its messages. A member that is suspected by mistake refutes the
// suspicion with a higher incarnation number.
//
// The package derives two counts (Counts). Serving is the number of gateways that answer; it is used for everything that depends
// on the load. Parts is the number of parts that a limit on all gateways together is split into, one per gateway. It therefore
// counts every gateway that may still be sending:
//
//   - Silence never lowers Parts. Otherwise each side of a network split would take over the other side's parts, and neither
//     could detect it. Only the member's own leave message (Leave), an operator (Forget) or the end of Rules.RetainDeparted
//     lowers it.
//   - Parts is never below the planned number of gateways.
//   - A gateway beyond the planned number has no part until every member has acknowledged it, so that the parts of all gateways
//     never add up to more than one.
//
// The package has no I/O, clock or goroutine. Messages and the time are passed in by calls; messages and changes are passed out
// through Outbound. The same calls and the same random source give the same messages in the same order.
package membership
