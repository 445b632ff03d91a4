package statemachine

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"weirhaven/internal/pb"
)

// ErrSuperseded is returned if a gateway follows a controller with a higher term.
var ErrSuperseded = errors.New("superseded by a controller of a higher term")

// raiseTerm takes a higher term and persists it before using it. All lease renewals become void, since gateways acknowledged them
// under the previous term.
func (s *State) raiseTerm(number uint64) error {
	raised := &pb.Tenure{Term: number, Planner: s.term.Planner}
	if err := s.persister.Persist(raised, s.generation, nil); err != nil {
		return fmt.Errorf("persist term %d: %w", number, err)
	}
	s.log.Info("term raised, a gateway knew of a higher one", "previous", s.term.Term, "term", number)
	s.term, s.majoritySince = raised, 0
	for _, g := range s.gateways {
		g.leaseRenewedAt = 0
	}
	s.heartbeatSentAt = map[uint64]time.Duration{}
	return nil
}

// sameLineage reports whether a term was taken by a controller of this name, in this incarnation or an earlier one. If so, its
// generations belong to the same history as this controller's.
func (s *State) sameLineage(term *pb.Tenure) bool {
	theirs, _, _ := strings.Cut(term.GetPlanner(), "#")
	own, _, _ := strings.Cut(s.term.Planner, "#")
	return theirs == own && term.GetTerm() <= s.term.Term
}
