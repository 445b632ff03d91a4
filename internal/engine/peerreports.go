package engine

import (
	"slices"
	"time"

	"weirhaven/internal/fleet/endpointstate"
)

// Gateways report endpoint states to each other, so that one that can't reach the discovery service still learns of drains
// and starts.
const (
	peerReportInterval = 2 * time.Second
	// peerReportEntries bounds a report; it has to fit a datagram.
	peerReportEntries = 48
	// peerReportFanout is to how many gateways, drawn at random, each report goes.
	peerReportFanout = 3
)

// EndpointsFromPeer takes another gateway's report, with times on this engine's clock.
func (c *Core) EndpointsFromPeer(reports []endpointstate.Report) {
	c.fleet.PeerReported(reports, c.now)
	c.applyEndpointChanges()
}

// reportToPeers sends a report if it is time: drained endpoints first, then as many of the others as fit, in turn from
// report to report.
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
