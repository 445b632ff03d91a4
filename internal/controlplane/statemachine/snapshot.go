package statemachine

import (
	"weirhaven/internal/controlplane/snapshot"
	"weirhaven/internal/pb"
)

// Position is where a gateway stands: what it said that it holds, then what it was sent.
type Position struct {
	Term       *pb.Tenure
	Generation uint64
	Digest     uint64 // of the records that it holds
	NeedsFull  bool   // changes did not fit what it holds: it asked for the full snapshot
}

// SnapshotFor returns what a gateway at a position is to be sent, in one piece: the changes since its generation or the full
// snapshot; due false: nothing. A gateway that needs the full snapshot gets none before its report is merged: records that don't fit
// may be known to it alone, and the full snapshot would remove them.
func (s *State) SnapshotFor(name string, held Position) (transfer *pb.ViewPart, due bool) {
	if g := s.gateways[name]; held.NeedsFull && g != nil && !g.reported {
		return nil, false
	}
	sameLineage := s.sameLineage(held.Term) // two histories under one name are told apart by the digest
	if sameLineage && !held.NeedsFull && held.Generation == s.generation && held.Digest == s.Digest() {
		return nil, false
	}
	transfer = &pb.ViewPart{From: held.Generation, To: s.generation, Digest: s.Digest(), Last: true}
	transfer.Whole = held.NeedsFull || !sameLineage ||
		held.Generation < s.changesKnownSince || held.Generation >= s.generation
	if transfer.Whole {
		transfer.From = 0
	}
	for _, record := range s.records {
		if s.inTransfer(transfer, record, name) {
			transfer.Item = append(transfer.Item, record)
		}
	}
	snapshot.Sort(transfer.Item)
	return transfer, true
}

// inTransfer tells whether a record belongs to a transfer to a gateway. Placements go to the gateway that requested them only.
// Tombstones are changes, and not in a full snapshot but for their drains.
func (s *State) inTransfer(transfer *pb.ViewPart, record *pb.Item, gatewayName string) bool {
	if record.Kind == pb.Item_PLACE && record.GetPlace().GetEdge() != gatewayName {
		return false
	}
	if !transfer.Whole {
		return record.Generation > transfer.From
	}
	return !record.Gone || record.GetBrick().GetDrained() != 0
}

// Digest is the digest of the records that every gateway should hold.
func (s *State) Digest() uint64 {
	if !s.digestValid {
		s.digest, s.digestValid = snapshot.Digest(s.records), true
	}
	return s.digest
}
