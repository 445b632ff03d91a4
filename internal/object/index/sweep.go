package index

import (
	"time"

	"go.etcd.io/bbolt"
	"google.golang.org/protobuf/proto"

	"weirhaven/internal/object/decide"
	"weirhaven/internal/pb"
)

// RemovableExtents returns up to limit unreferenced extents whose bytes may be removed (see decide.RemovableExtents), and the total
// number of unreferenced extents. minAge is the minimum age of an intended extent, oldestReader the start of the oldest read in
// progress. RemovableExtents changes nothing; before removing any bytes, the caller must call ClaimForRemoval.
func (x *Index) RemovableExtents(minAge, now, oldestReader time.Duration, limit int) (removable []*pb.LooseRecord, total int, err error) {
	err = x.db.View(func(tx *bbolt.Tx) error {
		unreferenced, err := readUnreferenced(tx)
		total = len(unreferenced)
		referenced := func(id string) bool { return isReferenced(tx, id) }
		removable = decide.RemovableExtents(unreferenced, referenced, now, minAge, oldestReader)
		removable = removable[:min(len(removable), limit)]
		return err
	})
	return removable, total, err
}

func readUnreferenced(tx *bbolt.Tx) (all []*pb.LooseRecord, err error) {
	err = tx.Bucket(unreferencedBucket).ForEach(func(_, value []byte) error {
		record := &pb.LooseRecord{}
		if err := proto.Unmarshal(value, record); err != nil {
			return err
		}
		all = append(all, record)
		return nil
	})
	return all, err
}

// ClaimForRemoval abandons extents, so that nothing can refer to them from then on, and returns those whose bytes may now be removed. It
// leaves out extents that have become referenced since RemovableExtents returned them.
func (x *Index) ClaimForRemoval(found []*pb.LooseRecord) (claimed []*pb.LooseRecord, err error) {
	err = x.db.Update(func(tx *bbolt.Tx) error {
		claimed = nil
		for _, record := range found {
			if isReferenced(tx, record.Extent.Id) {
				continue
			}
			if !record.Doomed {
				record.Doomed = true
				if err := putMessage(tx.Bucket(unreferencedBucket), []byte(record.Extent.Id), record); err != nil {
					return err
				}
			}
			claimed = append(claimed, record)
		}
		return nil
	})
	return claimed, err
}

// Forget deletes the records of unreferenced extents. The caller must have removed the extents' bytes from their endpoints.
func (x *Index) Forget(ids []string) error {
	return x.db.Update(func(tx *bbolt.Tx) error {
		for _, id := range ids {
			if err := tx.Bucket(unreferencedBucket).Delete([]byte(id)); err != nil {
				return err
			}
		}
		return nil
	})
}
