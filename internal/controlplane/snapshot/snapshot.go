package snapshot

import (
	"errors"
	"fmt"

	"google.golang.org/protobuf/proto"

	"weirhaven/internal/pb"
)

var (
	// ErrNoTerm is returned for a message of a controller that names no term.
	ErrNoTerm = errors.New("the controller names no term")
	// ErrNotFollowed is returned for a message of another term than the one followed.
	ErrNotFollowed = errors.New("the controller is not followed")
)

// Snapshot is what a gateway holds. New makes one.
type Snapshot struct {
	term       *pb.Tenure // the highest seen
	generation uint64
	records    map[Key]*pb.Item
	maxRecords int
	pending    *transfer // nil: none is being received
}

// New makes a snapshot of what was persisted; nil, 0 and nil: nothing. maxRecords bounds the records that a transfer may lead to.
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

// Term is the highest term seen; its number is 0 while none was. Not to be modified.
func (s *Snapshot) Term() *pb.Tenure { return s.term }

// Generation is that of the latest transfer applied.
func (s *Snapshot) Generation() uint64 { return s.generation }

// Digest is the digest of the records held.
func (s *Snapshot) Digest() uint64 { return Digest(s.records) }

// Records are the records held in order, tombstones with a drain included. Not to be modified.
func (s *Snapshot) Records() []*pb.Item { return Sorted(s.records) }

// Get is the record of a key; nil: none. Not to be modified.
func (s *Snapshot) Get(key Key) *pb.Item { return s.records[key] }

// ObserveTerm takes the term of a controller's message. raised: it is higher than any seen, and must be persisted before the message
// is answered. A lower one is an ErrNotFollowed: the message must not be used.
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

// AddPlacement takes a placement given to this gateway, ahead of the transfer that will contain it: it is part of the gateway's report
// to a controller that lost its disk in between.
func (s *Snapshot) AddPlacement(placement *pb.Item) {
	if known := s.records[KeyOf(placement)]; known == nil || Supersedes(placement, known) {
		s.records[KeyOf(placement)] = placement
	}
}
