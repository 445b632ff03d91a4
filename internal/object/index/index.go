// Package index stores the metadata of objects on disk (bbolt): their names, their attributes and the extents that hold their bytes.
//
// An extent is one stored piece of an object's bytes. Each extent that may exist on an endpoint is in one of two states:
//   - referenced: an object or an uploaded part refers to it; the sweep never removes it.
//   - unreferenced: nothing refers to it. It is either intended (a write may still be in progress) or abandoned (nothing may refer to it
//     from now on, and its bytes may be removed).
//
// Invariants, which also hold after a crash at any moment:
//   - An extent is durably recorded as intended before any of its bytes leave the gateway.
//   - A change of an object and of the references to all its extents is one transaction: a name refers to the complete old object or to
//     the complete new one.
//   - An abandoned extent never becomes referenced again.
//
// The package depends neither on HTTP nor on the engine, and reads no clock: the caller passes the time, as a duration on the caller's
// clock. Times of unreferenced extents are compared only with times on the same clock.
package index

import (
	"errors"
	"fmt"
	"time"

	"go.etcd.io/bbolt"
	bolterrors "go.etcd.io/bbolt/errors"
	"google.golang.org/protobuf/proto"
)

const (
	lockTimeout   = 200 * time.Millisecond // how long Open waits for another program to close the file
	maxBatchDelay = 500 * time.Microsecond // how long a transaction waits for others, to share one sync to disk
	fileMode      = 0o600
)

// The buckets, with their keys and values. The bucket names are part of the file format.
var (
	objectsBucket      = []byte("objects") // objectKey to ObjectRecord
	uploadsBucket      = []byte("uploads") // upload id to UploadRecord
	partsBucket        = []byte("parts")   // partKey to PartRecord
	referencedBucket   = []byte("held")    // extent id to referencedMark
	unreferencedBucket = []byte("loose")   // extent id to LooseRecord; its field Doomed means abandoned
)

// Index is an open index file. It is safe for concurrent use. A method that changes the index returns once the change is durable; if it
// returns an error, the index is unchanged.
type Index struct{ db *bbolt.DB }

// Open opens an index file and creates it if it does not exist. It fails if another program has the file open, or if the file is not an
// index.
func Open(file string) (*Index, error) {
	db, err := bbolt.Open(file, fileMode, &bbolt.Options{Timeout: lockTimeout})
	if errors.Is(err, bolterrors.ErrTimeout) {
		return nil, fmt.Errorf("index %s: another program has this file open; each gateway needs its own index", file)
	}
	if err != nil {
		return nil, fmt.Errorf("open index %s: %w", file, err)
	}
	db.MaxBatchDelay = maxBatchDelay
	if err := db.Update(createBuckets); err != nil {
		_ = db.Close() // nothing was written
		return nil, fmt.Errorf("index %s: %w", file, err)
	}
	return &Index{db}, nil
}

func createBuckets(tx *bbolt.Tx) error {
	for _, name := range [][]byte{objectsBucket, uploadsBucket, partsBucket, referencedBucket, unreferencedBucket} {
		if _, err := tx.CreateBucketIfNotExists(name); err != nil {
			return err
		}
	}
	return nil
}

// Close closes the file. No other method may be called afterwards.
func (x *Index) Close() error { return x.db.Close() }

func putMessage(bucket *bbolt.Bucket, key []byte, message proto.Message) error {
	value, err := proto.Marshal(message)
	if err != nil {
		return err
	}
	return bucket.Put(key, value)
}

// readMessage reads the entry of key into message. found reports whether the entry exists.
func readMessage(bucket *bbolt.Bucket, key []byte, message proto.Message) (found bool, err error) {
	value := bucket.Get(key)
	if value == nil {
		return false, nil
	}
	if err := proto.Unmarshal(value, message); err != nil {
		return false, fmt.Errorf("decode entry %q: %w", key, err)
	}
	return true, nil
}
