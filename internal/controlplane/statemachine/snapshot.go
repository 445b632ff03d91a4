package statemachine

import (
	"weirhaven/internal/controlplane/snapshot"
	"weirhaven/internal/pb"
)

// Position describes the snapshot that a gateway holds: first according to its hello message, then according to the transfers sent.
type Position struct {
	Term       *pb.Tenure
	Generation uint64
	Digest     uint64 // digest of the records held
	NeedsFull  bool   // the gateway could not apply changes and requested the full snapshot
}

// SnapshotFor returns the transfer that a gateway at a position needs: the changes since its generation or the full snapshot. If it
// needs none, needed is false. A gateway that needs the full snapshot receives none before its report has been merged, since it may
// be the only one that holds some of its records and the full snapshot would remove them.
func (s *State) SnapshotFor(name string, held Position) (transfer *pb.ViewPart, needed bool) {
	if g := s.gateways[name]; held.NeedsFull && g != nil && !g.reported {
		return nil, false
	}
	sameLineage := s.sameLineage(held.Term) // the digest distinguishes two histories under the same name
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

// inTransfer reports whether a record belongs to a transfer to a gateway. A placement is sent only to the gateway that requested
// it. Tombstones are sent as changes; a full snapshot contains only those with a drain.
func (s *State) inTransfer(transfer *pb.ViewPart, record *pb.Item, gatewayName string) bool {
	if record.Kind == pb.Item_PLACE && record.GetPlace().GetEdge() != gatewayName {
		return false
	}
	if !transfer.Whole {
		return record.Generation > transfer.From
	}
	return !record.Gone || record.GetBrick().GetDrained() != 0
}

// Digest returns the digest of the records that every gateway should hold.
func (s *State) Digest() uint64 {
	if !s.digestValid {
		s.digest, s.digestValid = snapshot.Digest(s.records), true
	}
	return s.digest
}
