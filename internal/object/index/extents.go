package index

import (
	"errors"
	"fmt"
	"time"

	"go.etcd.io/bbolt"

	"weirhaven/internal/pb"
)

// ErrExtentsRemoved is returned if an object or a part refers to extents that have been abandoned or removed. The index is unchanged.
var ErrExtentsRemoved = errors.New("abandoned or removed before it was referenced")

// referencedMark is the value of all entries in referencedBucket; the key alone holds information.
var referencedMark = []byte{1}

// RecordIntent records extents as intended. The caller must not send any of their bytes before RecordIntent has returned.
//
// It prevents leaked extents: if a gateway crashed after sending an extent and before committing its object, the bytes would stay on the
// endpoint for ever, and endpoints would fill up while the objects don't grow. The intent is synced to disk before the bytes are sent,
// and the commit is synced in a later transaction, before the client gets its response. At any moment in between, the sweep finds the
// extent in this record.
func (x *Index) RecordIntent(volume string, extents []*pb.ExtentRecord, now time.Duration) error {
	return x.db.Batch(func(tx *bbolt.Tx) error {
		for _, extent := range extents {
			record := &pb.LooseRecord{Extent: extent, Volume: volume, Since: int64(now)}
			if err := putMessage(tx.Bucket(unreferencedBucket), []byte(extent.Id), record); err != nil {
				return err
			}
		}
		return nil
	})
}

// Abandon marks intended extents as abandoned, so that nothing can refer to them from then on. Referenced extents are left as they are.
func (x *Index) Abandon(volume string, extents []*pb.ExtentRecord, now time.Duration) error {
	return x.db.Batch(func(tx *bbolt.Tx) error {
		var unreferenced []*pb.ExtentRecord
		for _, extent := range extents {
			if !isReferenced(tx, extent.Id) {
				unreferenced = append(unreferenced, extent)
			}
		}
		return abandon(tx, volume, unreferenced, now)
	})
}

func isReferenced(tx *bbolt.Tx, id string) bool {
	return tx.Bucket(referencedBucket).Get([]byte(id)) != nil
}

// addReferences marks extents as referenced. It returns ErrExtentsRemoved if one of them was abandoned or removed.
//
// It prevents a commit of an object whose bytes have already been removed: during a very long upload, the sweep may take the upload's
// extents for leftovers of a crash, and a later commit would acknowledge an object that can't be read. The sweep therefore abandons
// extents in a transaction before it removes any bytes (ClaimForRemoval), write transactions are serialized, and addReferences checks
// the state of each extent in the transaction that refers to it.
func addReferences(tx *bbolt.Tx, extents []*pb.ExtentRecord) error {
	for _, extent := range extents {
		ok, err := referenceable(tx, extent.Id)
		if err != nil {
			return err
		}
		if !ok {
			return fmt.Errorf("extent %s: %w", extent.Id, ErrExtentsRemoved)
		}
		id := []byte(extent.Id)
		if err := errors.Join(tx.Bucket(unreferencedBucket).Delete(id), tx.Bucket(referencedBucket).Put(id, referencedMark)); err != nil {
			return err
		}
	}
	return nil
}

// referenceable reports whether an extent may be referenced: it is already referenced, or intended and not abandoned. Its bytes have not
// been removed then.
func referenceable(tx *bbolt.Tx, id string) (bool, error) {
	if isReferenced(tx, id) {
		return true, nil
	}
	record := &pb.LooseRecord{}
	found, err := readMessage(tx.Bucket(unreferencedBucket), []byte(id), record)
	return found && !record.Doomed, err
}

// abandon removes extents from the referenced ones and marks them as abandoned.
func abandon(tx *bbolt.Tx, volume string, extents []*pb.ExtentRecord, now time.Duration) error {
	for _, extent := range extents {
		id := []byte(extent.Id)
		record := &pb.LooseRecord{Extent: extent, Volume: volume, Since: int64(now), Doomed: true}
		if err := errors.Join(tx.Bucket(referencedBucket).Delete(id), putMessage(tx.Bucket(unreferencedBucket), id, record)); err != nil {
			return err
		}
	}
	return nil
}
