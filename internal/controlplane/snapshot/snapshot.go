package snapshot

import (
	"errors"
	"fmt"

	"google.golang.org/protobuf/proto"

	"weirhaven/internal/pb"
)

var (
	// ErrNoTerm is returned for a controller's message without a term.
	ErrNoTerm = errors.New("message of the controller has no term")
	// ErrNotFollowed is returned for a message whose term is not the one that the gateway follows.
	ErrNotFollowed = errors.New("the controller is not followed")
)

// Snapshot is the set of records that a gateway holds, with their generation and term. Use New to create one.
type Snapshot struct {
	term       *pb.Tenure // highest term seen
	generation uint64
	records    map[Key]*pb.Item
	maxRecords int
	pending    *transfer // transfer being received; nil: none
}

// New returns a snapshot with the persisted term, generation and records; the arguments are nil, 0 and nil if nothing was
// persisted. maxRecords limits the number of records after a transfer.
func New(term *pb.Tenure, generation uint64, records []*pb.Item, maxRecords int) *Snapshot {
	s := &Snapshot{term: &pb.Tenure{}, generation: generation, records: map[Key]*pb.Item{}, maxRecords: maxRecords}
	if term != nil {
		s.term = term
	}
	for _, record := range records {
		s.records[KeyOf(record)] = record
	}
	return s
}

// Term returns the highest term seen; its number is 0 if none has been seen. The result must not be modified.
func (s *Snapshot) Term() *pb.Tenure { return s.term }

// Generation returns the generation of the latest transfer applied.
func (s *Snapshot) Generation() uint64 { return s.generation }

// Digest returns the digest of the records held.
func (s *Snapshot) Digest() uint64 { return Digest(s.records) }

// Records returns the records held in order, including tombstones with a drain. The records must not be modified.
func (s *Snapshot) Records() []*pb.Item { return Sorted(s.records) }

// Get returns the record with the given key, or nil if there is none. The record must not be modified.
func (s *Snapshot) Get(key Key) *pb.Item { return s.records[key] }

// ObserveTerm checks the term of a controller's message. If raised, the term is higher than any seen before and must be persisted
// before the gateway replies. For a lower term the error wraps ErrNotFollowed, and the message must not be used.
func (s *Snapshot) ObserveTerm(term *pb.Tenure) (raised bool, err error) {
	if term.GetTerm() == 0 {
		return false, ErrNoTerm
	}
	order := CompareTerms(term, s.term)
	if order < 0 {
		return false, s.notFollowed(term)
	}
	if order > 0 {
		s.term = proto.Clone(term).(*pb.Tenure)
		s.AbortTransfer()
	}
	return order > 0, nil
}

func (s *Snapshot) notFollowed(term *pb.Tenure) error {
	return fmt.Errorf("%w: %q has term %d, %q of term %d is followed", ErrNotFollowed, term.GetPlanner(), term.GetTerm(), s.term.Planner, s.term.Term)
}

// AddPlacement adds a placement requested by this gateway before the transfer that contains it arrives. The gateway's report then
// includes the placement if the controller loses its disk in between.
func (s *Snapshot) AddPlacement(placement *pb.Item) {
	if known := s.records[KeyOf(placement)]; known == nil || Supersedes(placement, known) {
		s.records[KeyOf(placement)] = placement
	}
}
