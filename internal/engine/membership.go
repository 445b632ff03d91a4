package engine

import (
	"fmt"
	"math/rand"
	"time"

	"weirhaven/internal/fleet/membership"
)

// minMembershipTick keeps a membership whose next step is already due from firing without end at one instant.
const minMembershipTick = time.Millisecond

// Join lets this gateway find the others, beginning with the addresses in seeds, and count them. Call it once at most,
// before the first event.
func (c *Core) Join(self membership.Member, rules membership.Rules, seeds []string) {
	rng := rand.New(rand.NewSource(c.rng.Int63()))
	c.group = membership.New(self, rules, seeds, (*membershipOutbound)(c), rng, c.now)
	c.tickMembership()
}

// Membership returns the membership, to be used by the Core's owner only; nil without Join.
func (c *Core) Membership() *membership.Group { return c.group }

// MembershipReceived takes a membership message of another gateway.
func (c *Core) MembershipReceived(message membership.Message) {
	if c.group != nil {
		c.group.Receive(message, c.now)
		c.runDeferred()
	}
}

// ForgetGateway drops a gateway that sends nothing any more, as an operator asks, so that no capacity is kept for it. It
// reports whether the gateway was known.
func (c *Core) ForgetGateway(name string) bool {
	known := c.group != nil && c.group.Forget(name, c.now)
	c.runDeferred()
	return known
}

func (c *Core) tickMembership() {
	c.group.Tick(c.now)
	c.schedule(max(c.group.NextTick()-c.now, minMembershipTick), timer{fire: c.tickMembership})
}

// membershipOutbound is the Core as the membership sees it: a membership.Outbound.
type membershipOutbound Core

// Send implements membership.Outbound.
func (m *membershipOutbound) Send(address string, message membership.Message) {
	m.outbound.SendMembership(address, message)
}

// Log implements membership.Outbound.
func (m *membershipOutbound) Log(line string) { m.outbound.Log(line) }

// MembershipChanged implements membership.Outbound. The scheduler is notified later: the membership is in the middle of a
// call of this Core.
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
