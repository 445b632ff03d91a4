package statemachine

import (
	"fmt"
	"time"
)

// Phase says whether the controller may write, and if not why.
type Phase int

const (
	// Recovering means that not enough gateways have reported what they hold. Nothing is written and no snapshot is sent.
	Recovering Phase = iota
	// WaitingForLease means that no majority renews the lease, or an older lease may still be held. Snapshots are sent, nothing is written.
	WaitingForLease
	// HoldingLease means that snapshots are sent and changes are written.
	HoldingLease
	// Superseded means that a gateway follows a controller of a higher term. Nothing is written and no snapshot is sent.
	Superseded
)

// String is the phase as operators see it; it goes over the wire in pb.StatusTold.
func (p Phase) String() string {
	return [...]string{"recovering", "without the lease", "holding the lease", "outranked"}[p]
}

// supersededLeases is how many lease durations a controller stands back after a gateway last followed a higher term: long enough for
// that gateway to return here if the other controller is gone.
const supersededLeases = 3

// Tick lets time pass; it returns the phase at now.
func (s *State) Tick(now time.Duration) Phase {
	s.updatePhase(now)
	return s.phase
}

// updatePhase moves the phase on by what is known at now. Every event ends with it.
func (s *State) updatePhase(now time.Duration) {
	s.updateRecovery(now)
	renewals := s.leaseRenewals(now)
	s.updateMajority(renewals, now)
	previous := s.phase
	s.phase = s.nextPhase(now)
	if s.phase == Superseded {
		s.majoritySince = 0
	}
	if s.phase != previous {
		s.log.Info("phase changed", "phase", s.phase.String(), "previous", previous.String(), "term", s.term.Term, "generation", s.generation,
			"lease_renewals", renewals, "gateways", s.gatewayCount())
	}
}

func (s *State) nextPhase(now time.Duration) Phase {
	switch {
	case s.supersededAt > 0 && now-s.supersededAt < supersededLeases*s.config.Lease:
		return Superseded
	case !s.recovered:
		return Recovering
	case s.majoritySince == 0:
		return WaitingForLease
	case s.phase != HoldingLease && now-s.majoritySince < s.olderLeaseWait():
		return WaitingForLease
	}
	return HoldingLease
}

// WriteBlockedReason says for operators what keeps the controller from writing at now; empty: nothing does.
func (s *State) WriteBlockedReason(now time.Duration) string {
	switch s.phase {
	case Recovering:
		return fmt.Sprintf("%d of %d gateways reported what they hold", s.reportedGateways(), s.Majority())
	case Superseded:
		return fmt.Sprintf("a gateway followed a higher term %v ago", (now - s.supersededAt).Round(time.Millisecond))
	case WaitingForLease:
		if renewals := s.leaseRenewals(now); renewals < s.Majority() {
			return fmt.Sprintf("%d gateways renewed the lease, %d are needed", renewals, s.Majority())
		}
		return fmt.Sprintf("an older lease may be held for another %v", (s.olderLeaseWait() - (now - s.majoritySince)).Round(time.Millisecond))
	}
	return ""
}
