package store

import (
	"fmt"
	"slices"

	"go.etcd.io/bbolt"
	"google.golang.org/protobuf/proto"

	"weirhaven/internal/fleet/memberpb"
	"weirhaven/internal/fleet/membership"
	"weirhaven/internal/pb"
)

// Members returns the stored members, sorted by name.
func (s *Store) Members() (all []membership.Member, err error) {
	err = s.db.View(func(tx *bbolt.Tx) error {
		bucket := tx.Bucket(memberBucket)
		if bucket == nil {
			return nil
		}
		return bucket.ForEach(func(name, value []byte) error {
			saved := &pb.Gossip_Host{}
			if err := proto.Unmarshal(value, saved); err != nil || saved.Name != string(name) {
				return fmt.Errorf("the entry of gateway %q is unreadable", name)
			}
			all = append(all, memberpb.Decode(saved))
			return nil
		})
	})
	return all, err
}

// SaveMembers replaces the stored members in one transaction if they have changed. It fails with ErrReadOnly or a disk error.
func (s *Store) SaveMembers(all []membership.Member) error {
	if slices.Equal(all, s.members) && !s.membersUncertain {
		return nil
	}
	if s.readOnly {
		return fmt.Errorf("save the members: %w", ErrReadOnly)
	}
	err := s.update(func(tx *bbolt.Tx) error { return writeMembers(tx, all) })
	s.membersUncertain = err != nil
	if err != nil {
		return fmt.Errorf("save the members: %w", err)
	}
	s.members = slices.Clone(all)
	return nil
}

func writeMembers(tx *bbolt.Tx, all []membership.Member) error {
	if tx.Bucket(memberBucket) != nil {
		if err := tx.DeleteBucket(memberBucket); err != nil {
			return err
		}
	}
	bucket, err := tx.CreateBucket(memberBucket)
	if err != nil {
		return err
	}
	for _, m := range all {
		value, err := proto.Marshal(memberpb.Encode(m))
		if err != nil {
			return err
		}
		if err := bucket.Put([]byte(m.Name), value); err != nil {
			return err
		}
	}
	return nil
}
