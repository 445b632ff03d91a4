package index

import (
	"errors"
	"fmt"
	"time"

	"go.etcd.io/bbolt"

	"weirhaven/internal/pb"
)

// ErrExtentsRemoved is returned where a name or a part would refer to extents that were abandoned or removed meanwhile. Nothing was
// changed then.
var ErrExtentsRemoved = errors.New("bytes of it were removed meanwhile")

// referencedMark is the value of an entry in referencedBucket; only the key says something.
var referencedMark = []byte{1}

// RecordIntent records extents as intended. It must have returned before any of their bytes leave the gateway.
//
// It guards against bytes that nothing knows of: a gateway that dies between sending an extent and committing its object would leave
// them on the endpoint for ever, which shows as endpoints that fill up while the objects don't grow. It holds since this record is
// synced before the bytes leave, and the commit is synced, by itself, before the client gets its response: at every moment between,
// the sweep finds the extent here.
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

// Abandon marks intended extents as abandoned: nothing can refer to them any more. Extents that are referenced stay so.
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

// addReferences makes extents referenced.
//
// It guards against an object whose bytes were already removed: an upload may last so long that the sweep mistakes its extents for leftovers of a
// crash. A commit that came after that would acknowledge an object whose reads fail. It holds since the sweep abandons extents, in a
// transaction, before it removes any bytes (ClaimForRemoval), writing transactions run one after another, and this one looks for each
// extent before it refers to it.
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

// referenceable reports whether the bytes of an extent have surely not been removed: it is referenced, or intended and not abandoned.
func referenceable(tx *bbolt.Tx, id string) (bool, error) {
	if isReferenced(tx, id) {
		return true, nil
	}
	record := &pb.LooseRecord{}
	found, err := readMessage(tx.Bucket(unreferencedBucket), []byte(id), record)
	return found && !record.Doomed, err
}

// abandon drops the references of extents and marks them as abandoned.
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
