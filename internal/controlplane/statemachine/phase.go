package statemachine

import (
	"fmt"
	"time"
)

// Phase is the phase of a controller. It determines whether the controller may write and send snapshots.
type Phase int

const (
	// Recovering means that not enough gateways have reported their records. The controller writes nothing and sends no snapshot.
	Recovering Phase = iota
	// WaitingForLease means that no majority renews the lease, or that the lease of another controller may not have expired yet.
	// The controller sends snapshots but writes nothing.
	WaitingForLease
	// HoldingLease means that the controller writes changes and sends snapshots.
	HoldingLease
	// Superseded means that a gateway follows a controller with a higher term. The controller writes nothing and sends no snapshot.
	Superseded
)

// String returns the name of the phase that is shown to operators and sent in pb.StatusTold.
func (p Phase) String() string {
	return [...]string{"recovering", "without the lease", "holding the lease", "outranked"}[p]
}

// supersededLeases is the number of lease durations for which a controller stays in Superseded after a gateway last followed a
// higher term. It gives that gateway time to reconnect to this controller if the other one has failed.
const supersededLeases = 3

// Tick advances the time to now and returns the phase at that time.
func (s *State) Tick(now time.Duration) Phase {
	s.updatePhase(now)
	return s.phase
}

// updatePhase computes the phase at now. Every event handler calls it last.
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
	case s.phase != HoldingLease && now-s.majoritySince < s.previousLeaseWait():
		return WaitingForLease
	}
	return HoldingLease
}

// WriteBlockedReason describes for operators why the controller cannot write at now. It is empty if the controller can write.
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
		return fmt.Sprintf("an older lease may be held for another %v", (s.previousLeaseWait() - (now - s.majoritySince)).Round(time.Millisecond))
	}
	return ""
}
