package snapshot

import (
	"errors"
	"fmt"
	"maps"

	"google.golang.org/protobuf/proto"

	"weirhaven/internal/pb"
)

// transferFactor bounds a transfer to so many times the records allowed: it may name tombstones beside them.
const transferFactor = 2

var (
	// ErrMixedTransfers is returned for a chunk of another transfer than the one being received.
	ErrMixedTransfers = errors.New("chunks of two transfers are mixed")
	// ErrLowerGeneration is returned for a transfer to a lower generation than the one held.
	ErrLowerGeneration = errors.New("lower generation than the one held")
	// ErrTooManyRecords is returned for a transfer with, or leading to, more records than allowed.
	ErrTooManyRecords = errors.New("too many records")
	// ErrDigestMismatch is returned for a full snapshot that does not have its own digest.
	ErrDigestMismatch = errors.New("digest mismatch")
)

// transfer is one being received: the full snapshot, or the changes from one generation to another.
type transfer struct {
	from, to uint64
	full     bool
	records  []*pb.Item // of all chunks so far
}

// Applied is the result of a chunk.
type Applied struct {
	Changed   []*pb.Item // records that are new, changed or removed (Gone), in order
	Complete  bool       // it was the last chunk: the transfer is applied, Changed is to be persisted
	NeedsFull bool       // what is held and what was sent don't fit together: the gateway must ask for the full snapshot
}

// AbortTransfer forgets the chunks of a transfer that is not complete: its stream ended.
func (s *Snapshot) AbortTransfer() { s.pending = nil }

// ApplyChunk takes a chunk of a transfer under a controller's term, which must be the one followed. Nothing changes before the last
// chunk. After an error, or if Applied.NeedsFull, what was received of the transfer is forgotten and nothing has changed.
func (s *Snapshot) ApplyChunk(term *pb.Tenure, chunk *pb.ViewPart) (Applied, error) {
	if CompareTerms(term, s.term) != 0 {
		return Applied{}, s.notFollowed(term)
	}
	if s.pending == nil {
		s.pending = &transfer{from: chunk.From, to: chunk.To, full: chunk.Whole}
	}
	if err := s.checkChunk(chunk); err != nil {
		s.AbortTransfer()
		return Applied{}, err
	}
	if !chunk.Whole && chunk.From > s.generation {
		s.AbortTransfer()
		return Applied{NeedsFull: true}, nil
	}
	if len(s.pending.records)+len(chunk.Item) > transferFactor*s.maxRecords {
		s.AbortTransfer()
		return Applied{}, fmt.Errorf("%w: a transfer for more than %d", ErrTooManyRecords, s.maxRecords)
	}
	s.pending.records = append(s.pending.records, chunk.Item...)
	if !chunk.Last {
		return Applied{}, nil
	}
	complete := s.pending
	s.AbortTransfer()
	return s.apply(complete, chunk.Digest)
}

// checkChunk refuses what a controller that follows the protocol never sends.
func (s *Snapshot) checkChunk(chunk *pb.ViewPart) error {
	if chunk.From != s.pending.from || chunk.To != s.pending.to || chunk.Whole != s.pending.full {
		return fmt.Errorf("%w: to generation %d and to %d", ErrMixedTransfers, s.pending.to, chunk.To)
	}
	if chunk.To < s.generation {
		return fmt.Errorf("%w: %d was sent, %d is held", ErrLowerGeneration, chunk.To, s.generation)
	}
	return nil
}

// apply takes over a complete transfer if its result has the digest; digest 0: not checked.
func (s *Snapshot) apply(t *transfer, digest uint64) (Applied, error) {
	next := s.merge(t)
	removed := s.removeUnnamed(t, next)
	if digest != 0 && Digest(next) != digest {
		if t.full {
			return Applied{}, fmt.Errorf("%w: full snapshot of generation %d", ErrDigestMismatch, t.to)
		}
		return Applied{NeedsFull: true}, nil
	}
	if len(next) > s.maxRecords {
		return Applied{}, fmt.Errorf("%w: %d, at most %d", ErrTooManyRecords, len(next), s.maxRecords)
	}
	changed := removed
	for key, record := range next {
		if known := s.records[key]; known == nil || known != record && !proto.Equal(known, record) {
			changed = append(changed, record)
		}
	}
	Sort(changed)
	s.records, s.generation = next, t.to
	return Applied{Changed: changed, Complete: true}, nil
}

// merge is the set of records after a transfer: of each key the later record, with its known drains.
func (s *Snapshot) merge(t *transfer) map[Key]*pb.Item {
	next := map[Key]*pb.Item{}
	if !t.full {
		maps.Copy(next, s.records)
	}
	for _, record := range t.records {
		key := KeyOf(record)
		if known := s.records[key]; known != nil && Supersedes(known, record) {
			record = known
		}
		next[key] = s.WithKnownDrain(record)
	}
	return next
}

// removeUnnamed returns the tombstones of the records that a full snapshot doesn't name. That of a drained endpoint is added to next,
// so that the drain stays known.
func (s *Snapshot) removeUnnamed(t *transfer, next map[Key]*pb.Item) (removed []*pb.Item) {
	for key, known := range s.records {
		if next[key] != nil {
			continue
		}
		tombstone := &pb.Item{Kind: key.Kind, Name: key.Name, Generation: t.to, Term: s.term.Term, Gone: true}
		if key.Kind == pb.Item_BRICK && known.GetBrick().GetDrained() != 0 {
			tombstone.Brick = known.Brick
			next[key] = tombstone
		}
		if !known.Gone {
			removed = append(removed, tombstone)
		}
	}
	return removed
}
