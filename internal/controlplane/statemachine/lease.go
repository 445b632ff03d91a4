package statemachine

import (
	"time"

	"google.golang.org/protobuf/proto"

	"weirhaven/internal/controlplane/snapshot"
	"weirhaven/internal/pb"
)

// heartbeatRetentionLeases is the number of lease durations for which the sending time of a heartbeat is kept. The acknowledgement
// of an older heartbeat does not renew the lease.
const heartbeatRetentionLeases = 4

// previousLeaseWait returns how long a majority must have lasted before the first write. By then the lease of a previous holder has
// expired, even if its clock is slower by a fifth.
func (s *State) previousLeaseWait() time.Duration { return s.config.Lease * 5 / 4 }

// gatewayCount returns the number of gateways of which a majority is needed.
func (s *State) gatewayCount() int { return max(s.config.MinGateways, len(s.gateways)) }

// Majority returns the smallest number of gateways that is more than half of them.
func (s *State) Majority() int { return s.gatewayCount()/2 + 1 }

// NextHeartbeat starts a new heartbeat and returns its number. The caller sends it to all gateways.
func (s *State) NextHeartbeat(now time.Duration) uint64 {
	s.lastHeartbeat++
	s.heartbeatSentAt[s.lastHeartbeat] = now
	for heartbeat, sentAt := range s.heartbeatSentAt {
		if now-sentAt > heartbeatRetentionLeases*s.config.Lease {
			delete(s.heartbeatSentAt, heartbeat)
		}
	}
	s.updatePhase(now)
	return s.lastHeartbeat
}

// LatestHeartbeat returns the number of the latest heartbeat, or 0 if there has been none.
func (s *State) LatestHeartbeat() uint64 { return s.lastHeartbeat }

// Acknowledge handles a gateway's acknowledgement, which contains the term that the gateway follows, the generation that it holds
// and the latest heartbeat that it received. An acknowledgement of another term does not renew the lease, since that gateway counts
// for another controller's majority. A higher term supersedes this controller.
func (s *State) Acknowledge(name string, term *pb.Tenure, generation, heartbeat uint64, now time.Duration) {
	g := s.gateways[name]
	if g == nil {
		return
	}
	g.lastMessageAt = now
	if order := snapshot.CompareTerms(term, s.term); order != 0 {
		if order > 0 {
			s.supersededAt = now
		}
		s.updatePhase(now)
		return
	}
	g.acknowledgedTerm = proto.Clone(term).(*pb.Tenure)
	if sentAt, ok := s.heartbeatSentAt[heartbeat]; ok {
		g.leaseRenewedAt = max(g.leaseRenewedAt, sentAt)
	}
	if generation >= g.acknowledgedGeneration {
		g.acknowledgedGeneration = generation
	}
	s.updatePhase(now)
}

// leaseRenewals returns how many gateways have acknowledged a heartbeat sent less than a lease duration before now.
func (s *State) leaseRenewals(now time.Duration) (renewals int) {
	for _, g := range s.gateways {
		if g.leaseRenewedAt > 0 && now-g.leaseRenewedAt < s.config.Lease {
			renewals++
		}
	}
	return renewals
}

// updateMajority records the time since which a majority has renewed the lease without interruption.
func (s *State) updateMajority(renewals int, now time.Duration) {
	switch {
	case renewals < s.Majority():
		s.majoritySince = 0
	case s.majoritySince == 0:
		s.majoritySince = now
	}
}
