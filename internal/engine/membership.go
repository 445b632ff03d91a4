package engine

import (
	"fmt"
	"math/rand"
	"time"

	"weirhaven/internal/fleet/membership"
)

// minMembershipTick is the shortest wait between two membership ticks. Without it, a membership whose next tick is
// already due would tick endlessly at one point in time.
const minMembershipTick = time.Millisecond

// Join starts the membership, which discovers and counts the other gateways, beginning with the addresses in seeds. Call
// it at most once, before the first event.
func (c *Core) Join(self membership.Member, rules membership.Rules, seeds []string) {
	rng := rand.New(rand.NewSource(c.rng.Int63()))
	c.group = membership.New(self, rules, seeds, (*membershipOutbound)(c), rng, c.now)
	c.tickMembership()
}

// Membership returns the membership, nil without Join. Only the Core's owner may use it.
func (c *Core) Membership() *membership.Group { return c.group }

// MembershipReceived takes a membership message from another gateway.
func (c *Core) MembershipReceived(message membership.Message) {
	if c.group != nil {
		c.group.Receive(message, c.now)
		c.runDeferred()
	}
}

// ForgetGateway removes a silent gateway at an operator's request, so that no capacity stays reserved for it. It reports
// whether the gateway was known.
func (c *Core) ForgetGateway(name string) bool {
	known := c.group != nil && c.group.Forget(name, c.now)
	c.runDeferred()
	return known
}

func (c *Core) tickMembership() {
	c.group.Tick(c.now)
	c.schedule(max(c.group.NextTick()-c.now, minMembershipTick), timer{fire: c.tickMembership})
}

// membershipOutbound implements membership.Outbound on a Core.
type membershipOutbound Core

// Send implements membership.Outbound.
func (m *membershipOutbound) Send(address string, message membership.Message) {
	m.outbound.SendMembership(address, message)
}

// Log implements membership.Outbound.
func (m *membershipOutbound) Log(line string) { m.outbound.Log(line) }

// MembershipChanged implements membership.Outbound. It defers the notification of the scheduler, since the membership
// calls it from within the Core's calls.
func (m *membershipOutbound) MembershipChanged(counts membership.Counts) {
	c := (*Core)(m)
	c.deferCall(func() {
		c.outbound.Log(fmt.Sprintf("gateways: %d serving, slow-start budgets split over %d", counts.Serving, counts.Parts))
		c.scheduler.SetGateways(counts.Serving, counts.Parts)
		if c.group != nil {
			c.outbound.MembersChanged(c.group.Members())
		}
	})
}
