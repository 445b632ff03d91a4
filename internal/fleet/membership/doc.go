// Package membership decides which gateways there are, after "SWIM: Scalable Weakly-consistent Infection-style Process Group
// Membership Protocol" (Das, Gupta, Motivala, DSN 2002): each member pings the others in turn, asks some of them to ping
// indirectly before it suspects one, and passes updates on with the messages that it sends anyway. A member that is suspected
// by mistake refutes the suspicion with a higher incarnation number.
//
// Two counts come of it (Counts). Serving follows who answers; what follows load goes by it. Parts is over how many gateways a
// limit is split that has to hold for all of them together, so it counts each that may still be sending:
//
//   - Silence never lowers Parts. On the two sides of a network split each side would take the other's part, and neither
//     could know. Only a member's own goodbye (Leave), an operator (Forget) or the end of Rules.RetainDeparted does.
//   - Parts is never below the planned number of gateways.
//   - A gateway beyond the planned number has no part until every member has acknowledged it, so that at no moment the parts of all
//     add up to more than one.
//
// The package has no I/O, clock or goroutine. Messages and the time come in by calls, messages and changes go out through
// Outbound. The same calls and the same random source give the same messages in the same order.
package membership
