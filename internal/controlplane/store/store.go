// Package store stores a controller's state, or a gateway's snapshot of it, in a bbolt file: the term, the generation and the
// records. Each change is one transaction, so a program that is killed at any time leaves either the previous or the new state.
//
// The file has two buckets. "meta" has the keys "format", "tenure" (pb.Tenure) and "generation"; numbers are 8 bytes in big-endian
// order. "items" has a pb.Item under "KIND/NAME" for each record.
package store

import (
	"encoding/binary"
	"errors"
	"fmt"

	"go.etcd.io/bbolt"
	"google.golang.org/protobuf/proto"

	"weirhaven/internal/pb"
)

// FormatVersion is the version of the file format. A file with a higher version was written by a later release and is renamed by
// Open.
const FormatVersion = 1

// ErrLocked is returned if another program has the file open.
var ErrLocked = errors.New("another program has this store open; each controller and gateway needs its own store")

// Names of buckets and keys in the file. They must not change, since files of earlier versions must remain readable.
var (
	metaBucket    = []byte("meta")
	recordBucket  = []byte("items")
	formatKey     = []byte("format")
	termKey       = []byte("tenure")
	generationKey = []byte("generation")
)

// Saved is the content of a store.
type Saved struct {
	Term       *pb.Tenure // nil: nothing has been persisted
	Generation uint64
	Records    []*pb.Item // ordered by their keys in the file
}

// Store is an open file. It must not be used by several goroutines at the same time.
type Store struct{ db *bbolt.DB }

// Persist stores a term, a generation and changed records in one transaction, which is on disk when Persist returns. After an error
// the disk holds nothing of the transaction or, if its last write failed, possibly all of it. A removed record is stored as a
// tombstone, since it may contain a drain and the controller must know which records were removed.
func (s *Store) Persist(term *pb.Tenure, generation uint64, changed []*pb.Item) error {
	return s.db.Update(func(tx *bbolt.Tx) error {
		meta, err := tx.CreateBucketIfNotExists(metaBucket)
		if err != nil {
			return err
		}
		records, err := tx.CreateBucketIfNotExists(recordBucket)
		if err != nil {
			return err
		}
		marshaledTerm, err := proto.Marshal(term)
		if err != nil {
			return err
		}
		err = errors.Join(
			meta.Put(formatKey, encodeNumber(FormatVersion)),
			meta.Put(termKey, marshaledTerm),
			meta.Put(generationKey, encodeNumber(generation)))
		for _, record := range changed {
			value, marshalErr := proto.Marshal(record)
			err = errors.Join(err, marshalErr, records.Put(recordKey(record), value))
		}
		return err
	})
}

// Close closes the file. No data is lost if it is not called.
func (s *Store) Close() error { return s.db.Close() }

func recordKey(record *pb.Item) []byte { return fmt.Appendf(nil, "%d/%s", record.Kind, record.Name) }

func encodeNumber(n uint64) []byte { return binary.BigEndian.AppendUint64(nil, n) }
