package snapshot

import (
	"errors"
	"fmt"
	"maps"

	"google.golang.org/protobuf/proto"

	"weirhaven/internal/pb"
)

// transferFactor limits the size of a transfer to a multiple of the maximum number of records, since a transfer may also contain
// tombstones.
const transferFactor = 2

var (
	// ErrMixedTransfers is returned for a chunk that does not belong to the transfer being received.
	ErrMixedTransfers = errors.New("chunks of two transfers are mixed")
	// ErrLowerGeneration is returned for a transfer to a lower generation than the one held.
	ErrLowerGeneration = errors.New("lower generation than the one held")
	// ErrTooManyRecords is returned if a transfer or its result has more records than allowed.
	ErrTooManyRecords = errors.New("too many records")
	// ErrDigestMismatch is returned for a full snapshot whose records do not match its digest.
	ErrDigestMismatch = errors.New("digest mismatch")
)

// transfer is a transfer being received: the full snapshot, or the changes from one generation to another.
type transfer struct {
	from, to uint64
	full     bool
	records  []*pb.Item // records of all chunks received so far
}

// Applied is the result of ApplyChunk.
type Applied struct {
	Changed   []*pb.Item // new, changed and removed (Gone) records, in order
	Complete  bool       // the transfer was completed and applied; the caller must persist Changed
	NeedsFull bool       // the changes cannot be applied to the records held; the gateway must request the full snapshot
}

// AbortTransfer discards the chunks of an incomplete transfer.
func (s *Snapshot) AbortTransfer() { s.pending = nil }

// ApplyChunk processes a chunk of a transfer sent under the given term, which must be the one that the gateway follows. The records
// change only with the last chunk. After an error, or if Applied.NeedsFull, the transfer is discarded and the records are
// unchanged.
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

// checkChunk rejects chunks that violate the protocol.
func (s *Snapshot) checkChunk(chunk *pb.ViewPart) error {
	if chunk.From != s.pending.from || chunk.To != s.pending.to || chunk.Whole != s.pending.full {
		return fmt.Errorf("%w: to generation %d and to %d", ErrMixedTransfers, s.pending.to, chunk.To)
	}
	if chunk.To < s.generation {
		return fmt.Errorf("%w: %d was sent, %d is held", ErrLowerGeneration, chunk.To, s.generation)
	}
	return nil
}

// apply applies a complete transfer if the result matches the digest. A digest of 0 is not checked.
func (s *Snapshot) apply(t *transfer, digest uint64) (Applied, error) {
	next := s.merge(t)
	removed := s.removeMissing(t, next)
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

// merge returns the records after a transfer: the later record of each key, with the known drains merged into it.
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

// removeMissing returns tombstones for the records that a full snapshot does not contain. The tombstone of a drained endpoint is
// added to next, so that the drain is not lost.
func (s *Snapshot) removeMissing(t *transfer, next map[Key]*pb.Item) (removed []*pb.Item) {
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
