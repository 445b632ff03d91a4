package store

import (
	"fmt"
	"time"

	"go.etcd.io/bbolt"
	"google.golang.org/protobuf/proto"

	"weirhaven/internal/fleet/endpointstate"
	"weirhaven/internal/pb"
)

// The protobuf names (brick, cell, host) are part of the file format and must not change.

// writeMeta writes the format version, the owner of the file and the generation of the latest accepted list.
func (s *Store) writeMeta(tx *bbolt.Tx, last endpointstate.Generation) error {
	bucket, err := tx.CreateBucketIfNotExists(metaBucket)
	if err != nil {
		return err
	}
	value, err := proto.Marshal(&pb.SavedMeta{Format: FormatVersion, Host: s.gateway, Epoch: last.Epoch, Number: last.Number})
	if err != nil {
		return err
	}
	return bucket.Put(metaKey, value)
}

// decodeMeta decodes what writeMeta wrote, and checks the format version and the owner of the file.
func (s *Store) decodeMeta(value []byte) (last endpointstate.Generation, err error) {
	meta := &pb.SavedMeta{}
	if err := proto.Unmarshal(value, meta); err != nil || meta.Format == 0 {
		return last, ErrNotAStore
	}
	if meta.Format > FormatVersion {
		return last, fmt.Errorf("%w: the file has format %d, this program supports %d", ErrNewerFormat, meta.Format, FormatVersion)
	}
	if meta.Host != s.gateway {
		return last, fmt.Errorf("%w: the file belongs to %q, this gateway is %q", ErrOtherGateway, meta.Host, s.gateway)
	}
	return endpointstate.Generation{Epoch: meta.Epoch, Number: meta.Number}, nil
}

func encodeBelief(b endpointstate.Belief) *pb.SavedBrick {
	return &pb.SavedBrick{Name: b.Name, Address: b.Address, Zone: b.Zone, Cell: int64(b.Shard), Serving: b.Serving, Gone: b.Removed,
		Started: int64(b.Started), At: int64(b.ObservedAt), From: int32(b.Source), Drained: int64(b.DrainedUpTo),
		Since: int64(b.DrainKnownAt), Why: b.Reason}
}

func decodeBelief(saved *pb.SavedBrick) endpointstate.Belief {
	return endpointstate.Belief{
		Report: endpointstate.Report{Name: saved.Name, Address: saved.Address, Zone: saved.Zone, Shard: int(saved.Cell),
			Serving: saved.Serving, Removed: saved.Gone, Started: time.Duration(saved.Started), ObservedAt: time.Duration(saved.At)},
		Source:      endpointstate.Source(saved.From),
		DrainedUpTo: time.Duration(saved.Drained), DrainKnownAt: time.Duration(saved.Since), Reason: saved.Why}
}
