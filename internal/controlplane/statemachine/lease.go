package statemachine

import (
	"time"

	"google.golang.org/protobuf/proto"

	"weirhaven/internal/controlplane/snapshot"
	"weirhaven/internal/pb"
)

// heartbeatRetentionLeases is for how many lease durations the sending time of a heartbeat is remembered; an acknowledgement of an
// older one renews nothing.
const heartbeatRetentionLeases = 4

// olderLeaseWait is how long a majority must have stood before the first write: the lease of a previous holder has run out by then,
// though its clock be a fifth slower.
func (s *State) olderLeaseWait() time.Duration { return s.config.Lease * 5 / 4 }

// gatewayCount is the number of gateways of which a majority is taken.
func (s *State) gatewayCount() int { return max(s.config.MinGateways, len(s.gateways)) }

// Majority is how many gateways must agree: more than half.
func (s *State) Majority() int { return s.gatewayCount()/2 + 1 }

// NextHeartbeat starts a new heartbeat, to be sent to all gateways, and returns its number.
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

// LatestHeartbeat is the number of the latest heartbeat; 0: none yet.
func (s *State) LatestHeartbeat() uint64 { return s.lastHeartbeat }

// Acknowledge takes a gateway's acknowledgement: it follows a term, holds all up to a generation and received a heartbeat. One of
// another term renews nothing, since that gateway's vote is another controller's; a higher term supersedes this controller.
func (s *State) Acknowledge(name string, term *pb.Tenure, generation, heartbeat uint64, now time.Duration) {
	g := s.gateways[name]
	if g == nil {
		return
	}
	g.lastHeardAt = now
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

// leaseRenewals is how many gateways acknowledged a heartbeat sent within the lease duration before now.
func (s *State) leaseRenewals(now time.Duration) (renewals int) {
	for _, g := range s.gateways {
		if g.leaseRenewedAt > 0 && now-g.leaseRenewedAt < s.config.Lease {
			renewals++
		}
	}
	return renewals
}

// updateMajority notes since when a majority renews the lease.
func (s *State) updateMajority(renewals int, now time.Duration) {
	switch {
	case renewals < s.Majority():
		s.majoritySince = 0
	case s.majoritySince == 0:
		s.majoritySince = now
	}
}
