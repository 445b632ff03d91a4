// Package index keeps on disk (bbolt) which objects there are and which extents hold their bytes.
//
// An extent is one stored piece of an object's bytes. Each extent that may exist on an endpoint is in one of two states:
//   - referenced: an object or an uploaded part names it; the sweep leaves it alone.
//   - unreferenced: nothing names it. It is either intended (a write may still be under way) or abandoned (nothing may refer to it
//     any more, and its bytes may be removed).
//
// Invariants, which hold also after a crash at any moment:
//   - An extent is recorded as intended, durably, before any of its bytes leave the gateway.
//   - A name changes in one transaction together with the references of all its extents: it stands for the object before or for the
//     one after, whole.
//   - An abandoned extent never becomes referenced again.
//
// The package knows neither HTTP nor the engine, and reads no clock: the caller passes the time. Times are durations on the clock of
// the caller; those of unreferenced extents are compared with each other only.
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
	maxBatchDelay = 500 * time.Microsecond // transactions that are ready within it share one sync of the disk
	fileMode      = 0o600
)

// The buckets; their names are part of the stored form.
var (
	objectsBucket      = []byte("objects") // objectKey to ObjectRecord
	uploadsBucket      = []byte("uploads") // id to UploadRecord
	partsBucket        = []byte("parts")   // partKey to PartRecord
	referencedBucket   = []byte("held")    // id of an extent to referencedMark
	unreferencedBucket = []byte("loose")   // id of an extent to LooseRecord; its field Doomed means abandoned
)

// Index is one open file. Its methods may be called by many goroutines at once. A method that changes something returns once the
// change is durable, or with an error and nothing changed.
type Index struct{ db *bbolt.DB }

// Open opens an index file, or creates it. It fails if another program has the file open, or if the file is no index.
func Open(file string) (*Index, error) {
	db, err := bbolt.Open(file, fileMode, &bbolt.Options{Timeout: lockTimeout})
	if errors.Is(err, bolterrors.ErrTimeout) {
		return nil, fmt.Errorf("index %s: another program has it open; each host needs one of its own", file)
	}
	if err != nil {
		return nil, fmt.Errorf("index %s: %w; objects can't be served without it", file, err)
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

// readMessage reads an entry into message, and reports whether there is one.
func readMessage(bucket *bbolt.Bucket, key []byte, message proto.Message) (found bool, err error) {
	value := bucket.Get(key)
	if value == nil {
		return false, nil
	}
	if err := proto.Unmarshal(value, message); err != nil {
		return false, fmt.Errorf("the entry %q can't be read: %w", key, err)
	}
	return true, nil
}
