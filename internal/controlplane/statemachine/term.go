package statemachine

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"weirhaven/internal/pb"
)

// ErrSuperseded is returned where a gateway follows a controller of a higher term.
var ErrSuperseded = errors.New("superseded by a controller of a higher term")

// raiseTerm takes a higher term, persisted before it is used. Gateways acknowledged the old one, so all lease renewals are void.
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

// sameLineage tells whether a term was taken by a controller of this name, in this life or an earlier one: its generations are then
// numbers of the same history.
func (s *State) sameLineage(term *pb.Tenure) bool {
	theirs, _, _ := strings.Cut(term.GetPlanner(), "#")
	own, _, _ := strings.Cut(s.term.Planner, "#")
	return theirs == own && term.GetTerm() <= s.term.Term
}
