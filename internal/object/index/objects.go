package index

import (
	"errors"
	"time"

	"go.etcd.io/bbolt"

	"weirhaven/internal/pb"
)

// Precondition checks the object that a change would replace or delete; old is nil if there is none. It is called in the transaction of
// the change, possibly more than once. If it returns an error, the change is not made.
type Precondition func(old *pb.ObjectRecord) error

func objectKey(volume, name string) []byte { return []byte(volume + "\x00" + name) }

// Commit stores an object under its name and abandons the extents of the object that it replaces. It returns ErrExtentsRemoved if extents
// of the new object have been abandoned, or the error of precondition. A nil precondition allows every change.
func (x *Index) Commit(object *pb.ObjectRecord, precondition Precondition, now time.Duration) error {
	return x.db.Batch(func(tx *bbolt.Tx) error { return commit(tx, object, precondition, now) })
}

func commit(tx *bbolt.Tx, object *pb.ObjectRecord, precondition Precondition, now time.Duration) error {
	key := objectKey(object.Volume, object.Name)
	old, err := readReplaceable(tx, key, precondition)
	if err != nil {
		return err
	}
	if old != nil {
		if err := abandon(tx, object.Volume, old.Extent, now); err != nil {
			return err
		}
	}
	return errors.Join(addReferences(tx, object.Extent), putMessage(tx.Bucket(objectsBucket), key, object))
}

// Delete deletes an object and abandons its extents. existed reports whether the object existed; deleting a missing object is not an
// error.
func (x *Index) Delete(volume, name string, precondition Precondition, now time.Duration) (existed bool, err error) {
	err = x.db.Batch(func(tx *bbolt.Tx) error {
		key := objectKey(volume, name)
		old, err := readReplaceable(tx, key, precondition)
		existed = old != nil
		if err != nil || old == nil {
			return err
		}
		return errors.Join(abandon(tx, volume, old.Extent, now), tx.Bucket(objectsBucket).Delete(key))
	})
	return existed, err
}

// readReplaceable returns the object that a change would replace or delete, nil if there is none, and checks the precondition of the
// change.
func readReplaceable(tx *bbolt.Tx, key []byte, precondition Precondition) (*pb.ObjectRecord, error) {
	old, err := readObject(tx, key)
	if err != nil || precondition == nil {
		return old, err
	}
	return old, precondition(old)
}

func readObject(tx *bbolt.Tx, key []byte) (*pb.ObjectRecord, error) {
	object := &pb.ObjectRecord{}
	if found, err := readMessage(tx.Bucket(objectsBucket), key, object); err != nil || !found {
		return nil, err
	}
	return object, nil
}

// Get returns an object, or nil without an error if it does not exist.
func (x *Index) Get(volume, name string) (object *pb.ObjectRecord, err error) {
	err = x.db.View(func(tx *bbolt.Tx) error {
		object, err = readObject(tx, objectKey(volume, name))
		return err
	})
	return object, err
}
