package engine

import (
	"slices"
	"time"

	"weirhaven/internal/fleet/endpointstate"
)

// Gateways report endpoint states to each other, so that a gateway that can't reach the discovery service still receives
// drains and starts.
const (
	peerReportInterval = 2 * time.Second
	// peerReportEntries is the maximum number of endpoints in a report, which must fit in a datagram.
	peerReportEntries = 48
	// peerReportFanout is the number of randomly drawn gateways that each report goes to.
	peerReportFanout = 3
)

// EndpointsFromPeer takes another gateway's reports of endpoint states. Their times are on this engine's clock.
func (c *Core) EndpointsFromPeer(reports []endpointstate.Report) {
	c.fleet.PeerReported(reports, c.now)
	c.applyEndpointChanges()
}

// reportToPeers sends a report to other gateways when one is due. A report contains the drained endpoints first, then as
// many of the others as fit, rotating from report to report.
func (c *Core) reportToPeers() {
	if c.group == nil || c.now < c.nextPeerReportAt {
		return
	}
	c.nextPeerReportAt = c.now + peerReportInterval
	all := c.fleet.ReportsForPeers()
	slices.SortStableFunc(all, drainedFirst)
	drained := slices.IndexFunc(all, func(report endpointstate.Report) bool { return report.Serving })
	if drained < 0 {
		drained = len(all)
	}
	reports := slices.Clone(all[:min(drained, peerReportEntries)])
	rest := all[len(reports):]
	for len(reports) < peerReportEntries && len(rest) > 0 && len(reports) < len(all) {
		c.peerReportPosition++
		reports = append(reports, rest[c.peerReportPosition%len(rest)])
	}
	for _, address := range c.group.RandomAddresses(peerReportFanout) {
		c.outbound.SendEndpoints(address, c.now, reports)
	}
}

func drainedFirst(a, b endpointstate.Report) int {
	switch {
	case a.Serving == b.Serving:
		return 0
	case b.Serving:
		return -1
	}
	return 1
}
