// Package store keeps a controller's state, or a gateway's snapshot of it, in a bbolt file: term, generation and records, each change
// one transaction. A program killed at any moment leaves the state before a change or after it.
//
// The file has two buckets: "meta" with the keys "format", "tenure" (pb.Tenure) and "generation" (numbers: 8 bytes, big-endian), and
// "items" with a pb.Item under "KIND/NAME" for each record.
package store

import (
	"encoding/binary"
	"errors"
	"fmt"

	"go.etcd.io/bbolt"
	"google.golang.org/protobuf/proto"

	"weirhaven/internal/pb"
)

// FormatVersion is the version of the file's form. A file of a higher one is set aside: a later program wrote it.
const FormatVersion = 1

// ErrLocked is returned where another program has the file open.
var ErrLocked = errors.New("another program has this store open; each controller and gateway needs one of its own")

// The stored names. They can't change: files of earlier versions are read.
var (
	metaBucket    = []byte("meta")
	recordBucket  = []byte("items")
	formatKey     = []byte("format")
	termKey       = []byte("tenure")
	generationKey = []byte("generation")
)

// Saved is what a store holds.
type Saved struct {
	Term       *pb.Tenure // nil: nothing was persisted
	Generation uint64
	Records    []*pb.Item // ordered by their keys in the file
}

// Store is one open file. It may be used by one goroutine at a time.
type Store struct{ db *bbolt.DB }

// Persist stores a term, a generation and changed records in one transaction, on disk when it returns. After an error nothing of it may
// be on disk, or, if the last write of the transaction failed, all of it. A removed record is stored as a tombstone: it may hold a
// drain, and the controller must know what was removed.
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

// Close closes the file. Nothing is lost without it.
func (s *Store) Close() error { return s.db.Close() }

func recordKey(record *pb.Item) []byte { return fmt.Appendf(nil, "%d/%s", record.Kind, record.Name) }

func encodeNumber(n uint64) []byte { return binary.BigEndian.AppendUint64(nil, n) }
